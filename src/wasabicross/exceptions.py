"""The base class of all errors; each layer derives its own from it."""

import re


class WasabicrossError(Exception):
    """Base of all errors of the package."""

    #: Stable machine-readable code: by default the name of the class in snake
    #: case.
    code = 'error'

    def __init_subclass__(cls) -> None:
        words = re.sub('(?<!^)(?=[A-Z])', '_', cls.__name__)
        cls.code = cls.__dict__.get('code', words.lower())
