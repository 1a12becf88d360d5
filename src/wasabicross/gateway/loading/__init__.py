"""How owners have adapters loaded on their engines."""
