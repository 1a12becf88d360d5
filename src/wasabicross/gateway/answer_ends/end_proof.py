"""What shows that an answer has ended where its server wanted it to."""

from __future__ import annotations

import enum


class EndProof(enum.Enum):
    """What shows that an answer is complete.

    `none`: it isn't complete, or there is no answer. `stated`: the answer states
    its length or comes in chunks. `not_found_ended`: its connection ended, and a
    check of its server didn't find that the process has ended. `connection_end`:
    its connection ended, and nothing was checked.
    """

    none = 'none'
    stated = 'stated'
    not_found_ended = 'server not found ended'
    connection_end = 'connection ended'
