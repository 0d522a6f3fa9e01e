"""Adapter for the platform that hosts run on: its names, formats and calls."""
