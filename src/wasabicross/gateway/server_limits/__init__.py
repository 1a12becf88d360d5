"""Limits that backend servers state, and this gateway's share of them."""
