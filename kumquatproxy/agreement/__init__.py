"""Replicated-log groups: consensus, its disk, and the repair of voters."""
