"""Seeded runs of gateway processes among faults, on stand-ins of a platform."""
