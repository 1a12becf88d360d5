"""Every error that wasabicross raises, rooted in one base."""


class WasabicrossError(Exception):
    """Base of all errors of the package."""
