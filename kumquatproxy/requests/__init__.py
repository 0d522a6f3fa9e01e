"""Requests of callers: admission, routing, retries, and protocols of servers."""
