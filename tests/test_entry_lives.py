"""Reports of the claim holders that were lost with their entry process."""

import pytest

from wasabicross.controllers.entry_incarnations import EntryIncarnations
from wasabicross.messaging.messages import HoldersLost

FIRST = HoldersLost('i/e/', 'i/e/1/')
SECOND = HoldersLost('i/e/', 'i/e/2/')
END = HoldersLost('i/e/1/', '')


@pytest.fixture
def incarnations():
    return EntryIncarnations('i', 60)


def test_a_new_life_tells_the_end_of_all_others(incarnations):
    assert incarnations.joined('e', 'i/e/1', 0) == FIRST
    assert incarnations.joined('e', 'i/e/2', 1) == SECOND
    assert incarnations.recent_losses(1) == [SECOND]


def test_a_link_that_was_cut_tells_nothing(incarnations):
    incarnations.joined('e', 'i/e/1', 0)
    assert incarnations.joined('e', 'i/e/1', 1) is None


def test_a_process_without_a_life_ends_no_other(incarnations):
    incarnations.joined('e', 'i/e/1', 0)
    assert incarnations.joined('e', '', 1) is None
    assert incarnations.recent_losses(1) == [FIRST]


def test_an_end_is_told_once(incarnations):
    incarnations.joined('e', 'i/e/1', 0)
    assert incarnations.ended('e', 1) == END
    assert incarnations.ended('e', 2) is None
    assert incarnations.ended('unknown', 2) is None


@pytest.mark.parametrize(
    ('now_s', 'recent'),
    [(10, [FIRST, END]), (65, [END]), (70, [])],
)
def test_news_grow_old(incarnations, now_s, recent):
    incarnations.joined('e', 'i/e/1', 0)
    incarnations.ended('e', 10)
    assert incarnations.recent_losses(now_s) == recent
