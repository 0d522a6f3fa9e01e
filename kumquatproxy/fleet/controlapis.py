"""Registry of the APIs that control hosts offer to operators and backend servers."""

from kumquatproxy import registry

# Each entry is a callable that takes the control host and returns a WSGI application.
CONTROL_APIS = registry.Registry("control interface")
