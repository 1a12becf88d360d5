"""Bundles: their files, signatures, storage and propagation."""
