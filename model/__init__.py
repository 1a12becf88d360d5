"""Specifications of the core protocol for exhaustive model checking."""
