"""The programs, one module for each."""
