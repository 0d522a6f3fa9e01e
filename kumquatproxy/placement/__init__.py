"""Placement of models and adapters on backend servers: plans, orders and memory."""
