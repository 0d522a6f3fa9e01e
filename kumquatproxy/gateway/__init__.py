"""Calls of callers: framing, routes, choice of a backend server, answers."""
