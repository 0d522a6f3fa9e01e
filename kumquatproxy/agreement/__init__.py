"""Raft consensus groups: replicated log, durable storage and voter replacement."""
