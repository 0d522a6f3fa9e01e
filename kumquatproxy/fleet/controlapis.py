"""Registry of the interfaces that control hosts offer operators and servers."""

from kumquatproxy import registry

# Each entry is called with the control host and returns a WSGI application.
CONTROL_APIS = registry.Registry("control interface")
