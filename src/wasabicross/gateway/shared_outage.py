"""Whether the owners in reach hear as little of the store as this gateway.

A gateway that hears nothing can't tell a cut from an outage of the store. In an
outage no division changes, so streams may begin by the known ones; in a cut
others may put a change in force.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wasabicross.gateway.stream_divisions import SPREAD_S, StreamDivision
from wasabicross.gateway.stream_messages import DIGEST_BYTES, StreamAnswer

#: Digests of questions for news begin with this, as one of 4 billion streams does.
_PREFIX = b'\xfe\xff\xff\xff'

_MS_PER_S = 1000
_MAX_AGE_MS = 86_400_000

#: How long the word of owners counts.
_MAX_WORD_AGE_S = SPREAD_S


class OwnerAnswers(NamedTuple):
    """What all other owners answer to a question.

    :param answers: the answer of each, None where none came.
    :param are_all_reached: whether an owner of each data centre has answered,
        or is known to have ended; this gateway may be one.
    """

    answers: tuple[StreamAnswer | None, ...] = ()
    are_all_reached: bool = True

    @property
    def told(self) -> tuple[str, ...]:
        """Return the texts of those that know what is asked."""
        return tuple(
            each.software_version
            for each in self.answers
            if each is not None and each.is_known
        )


class SharedOutage:
    """The last word of owners on the store."""

    def __init__(self) -> None:
        self._shared_s = -math.inf
        self._changed: frozenset[str] = frozenset()

    def covers(self, service: str, now_s: float) -> bool:
        """Return whether a known division may still begin streams.

        :param service: its service.
        :param now_s: the present time, monotonic seconds.
        """
        is_recent = now_s - self._shared_s <= _MAX_WORD_AGE_S
        return is_recent and service not in self._changed

    def on_answers(
        self,
        answers: OwnerAnswers,
        divisions: Mapping[str, StreamDivision],
        asked_s: float,
    ) -> None:
        """Record what owners answer to a question for news.

        :param answers: their answers.
        :param divisions: the divisions that this gateway knows.
        :param asked_s: when they were asked, monotonic seconds.
        """
        news = [_parsed(text) for text in answers.told]
        if any(age_s <= SPREAD_S for age_s, _ in news):
            self._shared_s = -math.inf
        elif answers.are_all_reached:
            self._shared_s = asked_s
            self._changed = frozenset(
                service
                for _, numbers in news
                for service, number in numbers.items()
                if service in divisions and number > divisions[service].number
            )


def news_digest(divisions: Mapping[str, StreamDivision]) -> bytes:
    """Return the digest that asks for news of the store.

    :param divisions: the divisions that this gateway knows.
    """
    text = '\n'.join(_lines(divisions))
    hashed = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return (_PREFIX + hashed)[:DIGEST_BYTES]


def is_news_digest(digest: bytes) -> bool:
    """Return whether a digest asks for news of the store."""
    return digest.startswith(_PREFIX)


def news_text(
    digest: bytes, divisions: Mapping[str, StreamDivision], age_s: float
) -> str:
    """Return the answer to a question for news of the store.

    The divisions are part of it if the gateway that asks knows other ones.

    :param digest: the digest of the question.
    :param divisions: the divisions that this gateway knows.
    :param age_s: age of this gateway's knowledge of the store, seconds.
    """
    age_ms = int(min(age_s * _MS_PER_S, _MAX_AGE_MS))
    is_same = digest == news_digest(divisions)
    return '\n'.join((str(age_ms), *(() if is_same else _lines(divisions))))


def _lines(divisions: Mapping[str, StreamDivision]) -> Iterable[str]:
    return (
        f'{division.number} {service}'
        for service, division in sorted(divisions.items())
    )


def _parsed(text: str) -> tuple[float, dict[str, int]]:
    """Return the age of an owner's knowledge, seconds, and its divisions.

    What can't be read is taken for recent knowledge.
    """
    age, *lines = text.split('\n')
    numbers: dict[str, int] = {}
    for line in lines:
        number, _, service = line.partition(' ')
        if number.isdecimal():
            numbers[service] = int(number)
    return (int(age) / _MS_PER_S if age.isdecimal() else 0), numbers
