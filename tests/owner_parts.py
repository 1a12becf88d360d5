"""An owner of an engine with a fake engine, fake links and fake permits."""

from types import SimpleNamespace

from expression import Ok

from wasabicross.dispatching.engines import Inventory, LoadReport
from wasabicross.loads.subscribers import Subscribers, UseWindow
from wasabicross.messaging.messages import (
    Hello,
    LoadsOpened,
    ServerReport,
    ServerTerm,
    WantLoad,
)
from wasabicross.ownership.server_owner import ServerOwner

SERVER = ServerTerm('s', 2)
NEXT_TERM = SERVER._replace(term=5)
WINDOW = UseWindow(use_lease_s=6, max_request_s=60)
INHERITED_LOAD = 'quote@1#s:1:1'
NEW_LOAD = 'letter@1#s:2:1'
LETTER_REQUEST = WantLoad('letter', '1', 'base', 'drafting', 'c', 1, [])


class FakeEngine:
    """An engine with two slots that records the evict orders it gets."""

    def __init__(self, loads=()):
        self.loads = list(loads)
        self.evicted = []
        self.answer = Ok(None)

    def load(self, order):
        if self.answer.is_ok():
            self.loads.append(order.load_name)
        return self.answer

    def evict(self, order):
        self.evicted.append(order.load_name)
        self.loads.remove(order.load_name)
        return Ok(None)

    def inventory(self):
        return Ok(Inventory(tuple(self.loads), 1, 16))

    def load_report(self):
        return Ok(LoadReport(0, 0, {}, 0))


class FakeLink:
    """A link to an instance that records the messages sent on it."""

    def __init__(self, instance_id, data_centre='north'):
        self.peer = Hello(
            'controller', instance_id, instance_id, data_centre, 't', [], [], []
        )
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


class OwnerHarness:
    """An owner, by default of an engine with a load of an earlier owner."""

    def __init__(self, loads=(INHERITED_LOAD,)):
        self.engine = FakeEngine(loads)
        self.subscribers = Subscribers('north', WINDOW)
        self.links = {}
        permits = SimpleNamespace(
            request=lambda server_id, load_request, waiting_since_s: (
                self.owner.permit_granted(
                    load_request.adapter, load_request.version
                )
            ),
            return_permit=lambda server_id, load_request, loaded: None,
        )
        self.owner = ServerOwner(SERVER, self.engine, self.subscribers, permits)

    def connect(self, instance_id, now_s, data_centre='north'):
        link = FakeLink(instance_id, data_centre)
        self.links[instance_id] = link
        self.subscribers.link_opened(link, now_s)

    def report(self, instance_id, now_s, opened=(INHERITED_LOAD,), closed=()):
        report = ServerReport(SERVER, list(opened), list(closed))
        self.owner.receive_report(instance_id, report, now_s)

    def request_letter(self, now_s):
        self.owner.request_load(LETTER_REQUEST, self.links['a'], now_s)

    def run_steps(self, *times):
        for now_s in times:
            self.owner.step(now_s)

    def start_next_term(self):
        """Let the same process own the engine for the next term.

        Returns the previous owner, which made the loads that are there.
        """
        previous = self.owner
        self.owner = ServerOwner(
            NEXT_TERM, self.engine, self.subscribers, previous.queue.permits
        )
        return previous

    def announced_loads(self, instance_id):
        return [
            name
            for message in self.links[instance_id].sent
            if isinstance(message, LoadsOpened)
            for name in message.load_names
        ]
