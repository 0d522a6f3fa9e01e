"""Entry and control hosts of a fleet whose operator configures routes."""
