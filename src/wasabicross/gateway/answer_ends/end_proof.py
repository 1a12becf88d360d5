"""What shows that an answer has ended where its server wanted it to."""

from __future__ import annotations

import enum


class EndProof(enum.Enum):
    """What shows that an answer is complete.

    `none`: nothing does, or there is no answer. `stated`: the answer states its
    length or comes in chunks. `same_start`: its connection ended, and the process
    that sent it reported after that. `same_process`: its connection ended, and
    one process was at the address from before the request until after that.
    """

    none = 'none'
    stated = 'stated'
    same_start = 'same start'
    same_process = 'same process'
