"""How many model calls the engines run at a time for one entry.

Too high a count admits calls that miss their deadlines in a queue, too low a
count refuses calls that would fit.
"""

import pytest
from expression import Error

from wasabicross.messaging.errors import LinkClosed
from wasabicross.messaging.messages import ServerInfo, ServerLoad
from wasabicross.servers.server_watch import ServerWatch
from wasabicross.servers.suspects import Suspects
from wasabicross.servers.trials import Trials


def watch(engines, own):
    no_answer = Error(LinkClosed('none'))
    trials = Trials(lambda message, timeout_s: no_answer, list, 'e')
    server_watch = ServerWatch(Suspects(), lambda: None, trials)
    server_watch.update_servers(
        [
            ServerInfo(f's{number}', kind, 'g', 'dc', 'h', 1, 'live', 'base')
            for number, kind in enumerate(('engine', 'engine', 'service'))
        ],
        0,
    )
    server_watch.add_reports(
        [
            ServerLoad(f's{number}', running, waiting, 16, age_s, 0)
            for number, (running, waiting, age_s) in enumerate(engines)
        ],
        10,
    )
    for number in range(own):
        server_watch.begin(str(number).encode(), 's0', 10)
    return server_watch


@pytest.mark.parametrize(
    ('engines', 'own', 'slots'),
    [
        ([(0, 0, 0), (0, 0, 0)], 0, 32),
        # The requests of other entries leave a share of the batches.
        ([(15, 0, 0), (15, 0, 0)], 0, 2),
        ([(15, 0, 0), (15, 0, 0)], 7, 9),
        ([(16, 15, 0), (0, 0, 0)], 15, 24),
        # An old report does not count.
        ([(15, 0, 60), (15, 0, 60)], 0, 32),
    ],
)
def test_slots(engines, own, slots):
    assert watch(engines, own).slots(10) == slots
