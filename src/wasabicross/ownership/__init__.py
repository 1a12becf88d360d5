"""Ownership of engines, and the links between the instances."""
