"""Owners of groups of engines, and the links to them."""
