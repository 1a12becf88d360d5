"""Requests and links for the tests of trials."""

import time
from concurrent.futures import Future
from types import SimpleNamespace

from expression import Ok

from wasabicross.suspects import fingerprint

KILLER = fingerprint('/v1/chat', b'killer')
INNOCENT = fingerprint('/v1/chat', b'innocent')
OTHER = fingerprint('/v1/chat', b'other')


class FakeLink:
    """Takes what a desk answers; is answered by another desk."""

    def __init__(self, kind, keeper=None):
        self.peer = SimpleNamespace(kind=kind)
        self.keeper = keeper
        self.answer = None

    def reply(self, call_id, message):
        self.answer = message

    def send(self, message):
        self.keeper.note(message, FakeLink('controller'), time.monotonic())

    def request(self, message):
        back = FakeLink('controller')
        self.keeper.ask(message, back, 1, time.monotonic())
        fut = Future()
        fut.set_result(Ok(back.answer))
        return fut
