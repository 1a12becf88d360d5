"""An entry that chooses servers by a baseline: `baseline_entry NAME [OPTIONS]`.

A baseline chooses one server for each request among all usable ones, whether or
not it holds the adapter, and waits until that server has loaded it.
"""

import random
import sys
from functools import partial

from wasabicross.callers.attempts import Attempts
from wasabicross.callers.entry_link import EntryLink
from wasabicross.callers.model_calls import ModelCalls, _ModelCall
from wasabicross.messaging.messages import WantLoad
from wasabicross.programs import entry
from wasabicross.servers.baselines import (
    LeastOutstanding,
    RandomChoice,
    RendezvousChoice,
)
from wasabicross.servers.routing import Dispatch, Hints, Holder, choose

BASELINES = {
    'random': RandomChoice(random.Random(1)),  # noqa: S311
    'least_outstanding': LeastOutstanding(),
    'rendezvous': RendezvousChoice(),
}

_MAX_CHOSEN = 4096


class BaselineCalls(ModelCalls):
    """Model calls whose servers are chosen by a baseline policy.

    :param policy: the baseline policy.
    """

    def __init__(
        self,
        policy: object,
        link: EntryLink,
        attempts: Attempts,
        data_centre: str,
    ) -> None:
        super().__init__(link, attempts, data_centre)
        self._policy = policy
        self._chosen: dict[str, str] = {}

    def _begin(self, run: _ModelCall, now_s: float) -> Holder | None:
        server_id = self._server(run, now_s)
        for holder in self._holders(run, now_s):
            if holder.server_id == server_id:
                began = self._link.loads.begin_request(holder.load_name, now_s)
                return holder if began else None
        return None

    def _load_request(
        self, run: _ModelCall, held_by: tuple[str, ...], now_s: float
    ) -> WantLoad:
        chosen = self._chosen.get(run.req.request_id, '')
        group = self._watch.group('engine', run.req.route.group)
        others = [
            server.server_id for server in group if server.server_id != chosen
        ]
        return super()._load_request(run, (), now_s)._replace(excluded=others)

    def _server(self, run: _ModelCall, now_s: float) -> str:
        """Return a request's server, which stays the same while it waits."""
        request_id = run.req.request_id
        chosen = self._chosen.get(request_id, '')
        if chosen and chosen not in run.history.servers:
            return chosen
        group = self._watch.group('engine', run.req.route.group)
        usable = self._watch.usable([each.server_id for each in group], now_s)
        servers = [
            self._watch.holder(server, '', now_s)
            for server in group
            if server.server_id in usable
            and server.server_id not in run.history.servers
        ]
        hints = Hints(adapter=run.requested.adapter)
        choice = choose(servers, self._policy, self._data_centre, now_s, hints)
        chosen = choice.holder.server_id if isinstance(choice, Dispatch) else ''
        if len(self._chosen) >= _MAX_CHOSEN:
            self._chosen.clear()
        self._chosen[request_id] = chosen
        return chosen


def main() -> None:
    """Run an entry with the baseline that the first argument names."""
    policy = BASELINES[sys.argv.pop(1)]
    setattr(entry, 'ModelCalls', partial(BaselineCalls, policy))  # noqa: B010
    entry.main()


if __name__ == '__main__':
    main()
