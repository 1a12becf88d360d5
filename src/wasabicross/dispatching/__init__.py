"""Requests and orders sent to backend servers, and their answers."""
