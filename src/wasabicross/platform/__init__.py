"""Interface to the users' platform: names, formats, calls; no decisions."""
