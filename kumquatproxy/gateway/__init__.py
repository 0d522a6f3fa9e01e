"""Proxying of calls: HTTP framing, server selection, retries and responses."""
