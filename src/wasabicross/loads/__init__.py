"""Loads, which are adapter versions in engine slots: requests, permits, use."""
