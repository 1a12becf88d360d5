"""Claims of idempotency keys, which make a request run at most once."""
