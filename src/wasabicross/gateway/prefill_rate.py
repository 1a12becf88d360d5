"""Estimates how fast engines prefill prompts, from when their answers begin.

An engine prefills prompts one after the other, so the prompts sent to it before
decide when the first token of the next one comes.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

#: Factor by which each new answer reduces the weight of all earlier ones.
_DECAY = 0.97

#: Weighted number of tokens from which on the rate of a service is known.
_MIN_TOKENS = 5000

#: Silence after which an idempotent request without an answer is sent to
#: another server: a multiple of its target and of the expected prefill time.
_MAX_SILENCE_TARGETS = 1.5
_MAX_SILENCE_PREFILLS = 3


class PrefillRate:
    """The prefill rate of each service, estimated from its answers."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = defaultdict(float)
        self._took_s: dict[str, float] = defaultdict(float)

    def on_answer(self, service: str, tokens: int, took_s: float) -> None:
        """Record that an answer has begun.

        :param service: the service that the server belongs to.
        :param tokens: unread prompt tokens at the server when the request was
            sent, including its own.
        :param took_s: seconds from then until its answer began.
        """
        if tokens <= 0:
            return
        self._tokens[service] = self._tokens[service] * _DECAY + tokens
        self._took_s[service] = self._took_s[service] * _DECAY + took_s

    def expected_s(self, service: str, tokens: int) -> float:
        """Return the expected prefill time, 0 while the rate isn't known.

        :param service: the service that the engine belongs to.
        :param tokens: unread prompt tokens.
        """
        measured_tokens = self._tokens.get(service, 0)
        if measured_tokens < _MIN_TOKENS:
            return 0
        return tokens * self._took_s[service] / measured_tokens


class PendingPrefill(NamedTuple):
    """The prefill that a server does before a request's first token.

    :param rate: the prefill rates of services.
    :param service: the service that the server belongs to.
    :param tokens: unread prompt tokens there, including those of the request.
    :param sent_s: when the request was sent, monotonic seconds.
    """

    rate: PrefillRate
    service: str
    tokens: int
    sent_s: float

    def max_silence_s(self, target_s: float) -> float:
        """Return the longest silence that doesn't indicate a fault, seconds.

        :param target_s: time in which the answer should begin.
        """
        expected_s = self.rate.expected_s(self.service, self.tokens)
        return max(
            target_s * _MAX_SILENCE_TARGETS, expected_s * _MAX_SILENCE_PREFILLS
        )

    def on_answer(self, now_s: float) -> None:
        """Record that the answer has begun.

        :param now_s: the present time, monotonic seconds.
        """
        self.rate.on_answer(self.service, self.tokens, now_s - self.sent_s)
