"""Calls of callers: routing, admission, retries, and protocols of servers."""
