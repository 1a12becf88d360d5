"""Whether a server's answer is complete where it ends, and what proves it."""
