"""The gateway: one process a machine that serves without a controller."""
