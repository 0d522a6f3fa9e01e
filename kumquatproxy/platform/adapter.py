"""Load all variants for the platform into the product's registries."""

from kumquatproxy.platform import callformat, controlapi

__all__ = ["callformat", "controlapi"]
