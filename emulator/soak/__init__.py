"""Seeded runs of gateway processes with faults, on stand-ins for a platform."""
