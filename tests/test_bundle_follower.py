"""A follower brings an offered bundle into force, with retries.

A part that cannot be fetched once must not keep the instance on the old bundle.
"""

import threading

import pytest
from bundle_parts import TRUSTED, MemorySource, built, pointer_to

from emulator.waiting import wait_until
from wasabicross.bundles import propagation
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.propagation import BundleFollower

#: A change is required to be in force everywhere within this time.
IN_FORCE_S = 17


class FailingSource(MemorySource):
    """Fails a number of calls, then answers.

    :param failures: how many calls fail.
    """

    def __init__(self, bundle, failures):
        super().__init__(bundle)
        self.failures = failures
        self.asked = 0

    def _fetch(self, parts, digest):
        self.asked += 1
        if self.asked <= self.failures:
            return super()._fetch({}, digest)
        return super()._fetch(parts, digest)


@pytest.fixture
def follower():
    bundle_follower = BundleFollower(BundleHolder(TRUSTED), lambda bundle: None)
    bundle_follower.start()
    return bundle_follower


@pytest.mark.parametrize('failures', [0, 1, 3])
def test_parts_that_could_not_be_fetched_are_retried(follower, failures):
    bundle = built({'a': '1'})
    follower.offer(pointer_to(bundle), FailingSource(bundle, failures))
    wait_until(lambda: follower.holder.current is not None, IN_FORCE_S)
    assert follower.holder.current.digest == bundle.digest


def test_a_source_that_never_answers_is_abandoned(follower, monkeypatch):
    monkeypatch.setattr(propagation, 'RETRY_S', 0.01)
    bundle = built({'a': '1'})
    source = FailingSource(bundle, 1000)
    follower.offer(pointer_to(bundle), source)
    most = propagation.MAX_TRIES
    wait_until(lambda: source.asked == most, IN_FORCE_S)
    assert not threading.Event().wait(0.1)
    assert source.asked == most


def test_a_bundle_that_was_overtaken_is_not_fetched_again(follower):
    first, second = built({'a': '1'}), built({'a': '2'}, 2)
    source = FailingSource(first, 1000)
    follower.offer(pointer_to(first), source)
    wait_until(lambda: source.asked, IN_FORCE_S)
    follower.offer(pointer_to(second, 2), MemorySource(second))
    wait_until(lambda: follower.holder.current is not None, IN_FORCE_S)
    asked = source.asked
    assert not threading.Event().wait(propagation.RETRY_S * 2)
    assert source.asked <= asked + 1
