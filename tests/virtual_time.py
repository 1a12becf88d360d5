"""An event loop in virtual time, in which tests of time-outs do not wait."""

import asyncio
import selectors


class _VirtualSelector(selectors.DefaultSelector):
    """A selector that advances the clock of its loop instead of waiting."""

    loop = None

    def select(self, timeout=None):
        """Return ready events; without any, advance the clock by `timeout`."""
        ready = super().select(0)
        if not ready and timeout:
            self.loop.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances without waiting."""

    def __init__(self):
        self.now_s = 0.0
        selector = _VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.now_s


def run(scenario):
    """Run a coroutine in virtual time and return its result.

    :param scenario: coroutine to run.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario)
