"""The sheet, the idempotency claims, and the distribution of versions to hosts."""
