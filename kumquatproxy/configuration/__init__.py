"""The sheet and claims in the configuration group, and how versions spread."""
