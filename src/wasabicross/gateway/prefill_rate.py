"""How fast the engines of a service read prompts, by when answers began.

Answers long prompts: an engine reads them one after the other, so what was sent
there before decides when the first token of the next one comes.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

#: Weight of all that was learned before, when another answer begins.
_KEPT = 0.97

#: Tokens from which on a pace is known.
_LEAST_TOKENS = 5000

#: Silence after which an idempotent request that has brought no answer yet goes
#: on elsewhere: a multiple of the target, and of what reading should take.
_SILENCE_TARGETS = 1.5
_SILENCE_READINGS = 3


class PrefillRate:
    """The pace of each service, learned from its answers."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = defaultdict(float)
        self._took_s: dict[str, float] = defaultdict(float)

    def on_answer(self, service: str, tokens: int, took_s: float) -> None:
        """Note that an answer began.

        :param service: the service that the server belongs to.
        :param tokens: unread prompt tokens there when the request was sent,
            with its own.
        :param took_s: seconds from then until its answer began.
        """
        if tokens <= 0:
            return
        self._tokens[service] = self._tokens[service] * _KEPT + tokens
        self._took_s[service] = self._took_s[service] * _KEPT + took_s

    def expected_s(self, service: str, tokens: int) -> float:
        """Return how long an engine reads, 0 while that isn't known.

        :param service: the service that the engine belongs to.
        :param tokens: unread prompt tokens.
        """
        known = self._tokens.get(service, 0)
        if known < _LEAST_TOKENS:
            return 0
        return tokens * self._took_s[service] / known


class PendingPrefill(NamedTuple):
    """What a server reads until a request's first token.

    :param pace: the pace of its service.
    :param service: the service that the server belongs to.
    :param tokens: unread prompt tokens there, with those of the request.
    :param sent_s: when the request was sent, monotonic seconds.
    """

    pace: PrefillRate
    service: str
    tokens: int
    sent_s: float

    def max_silence_s(self, target_s: float) -> float:
        """Return the silence that is no sign of a fault, seconds.

        :param target_s: time in which the answer should begin.
        """
        expected_s = self.pace.expected_s(self.service, self.tokens)
        return max(target_s * _SILENCE_TARGETS, expected_s * _SILENCE_READINGS)

    def on_answer(self, now_s: float) -> None:
        """Note that the answer has begun.

        :param now_s: the present time, monotonic seconds.
        """
        self.pace.on_answer(self.service, self.tokens, now_s - self.sent_s)
