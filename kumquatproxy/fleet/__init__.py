"""Entry hosts and control hosts of a fleet with routes configured by its operator."""
