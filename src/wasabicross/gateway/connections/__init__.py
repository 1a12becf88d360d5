"""Connections with callers and servers, and what is read from them."""
