"""Memory, orders, the weight store, and plans for models and adapters."""
