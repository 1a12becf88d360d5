"""Handling of callers' requests, from admission to the end of the answer."""
