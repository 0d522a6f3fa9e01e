"""Platform adapter: translates the names, formats and calls of the platform.

The platform is the system around the hosts: its callers, backend servers and operators
use these formats.
"""
