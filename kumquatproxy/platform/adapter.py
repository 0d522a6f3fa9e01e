"""Import every module that registers an implementation for the platform."""

from kumquatproxy.platform import callformat, controlapi

__all__ = ["callformat", "controlapi"]
