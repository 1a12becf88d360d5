"""Forwards requests to other gateways where this one reaches no server."""
