"""Hosts and backend servers of a data centre, links, and reports on trees."""
