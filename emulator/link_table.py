"""Links of a deployment that pass through a fault-injecting proxy."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from emulator.fleet import Program
from emulator.proxy import ProxyClient

HOST = '127.0.0.1'
PROXY_NAME = 'proxy'


class LinkTable:
    """Proxied links, each identified by its source instance and its target.

    :param sources: names of the instances from which links start.
    :param targets: port of each process that is reached through the proxy,
        by name.
    :param ports: unused ports.
    """

    def __init__(
        self,
        sources: Iterable[str],
        targets: Mapping[str, int],
        ports: Iterator[int],
    ) -> None:
        self._control = next(ports)
        self._client = ProxyClient(self._control)
        self._targets = targets
        self._listen = {
            (source, target): next(ports)
            for source in sources
            for target in targets
            if source != target
        }

    def program(self) -> Program:
        """Return the proxy as a program to run."""
        args = ['--control', str(self._control)]
        for (_source, target), listen in self._listen.items():
            address = f'{HOST}:{self._targets[target]}'
            args.extend(('--listen', str(listen), '--target', address))
        ready = f'tcp://{HOST}:{self._control}'
        return Program(PROXY_NAME, 'emulator.proxy', tuple(args), ready)

    def port(self, source: str, target: str, direct: int) -> int:
        """Return the port through which a source reaches a target.

        :param direct: port of the target itself, which is returned if the link
            is not proxied.
        """
        return self._listen.get((source, target), direct)

    def fault(self, source: str, target: str, **faults: Any) -> None:
        """Change faults of a link, by their names in `proxy_pump.Faults`."""
        self._client.fault(self._listen[source, target], **faults)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cut links, each given as a pair of source and target."""
        for source, target in pairs:
            self.fault(source, target, cut=True)

    def heal(self, *pairs: tuple[str, str]) -> None:
        """End all faults of links, each given as a pair of source and target."""
        for pair in pairs:
            self._client.heal(self._listen[pair])

    def count(self, source: str, target: str, direction: str, what: str) -> int:
        """Sum up a count over a link's connections.

        :param direction: ``up`` or ``down``.
        :param what: name of the count, as in `proxy_pump.Pump.counts`.
        """
        listen = self._listen[source, target]
        return self._client.count(listen, direction, what)

    def reset(self, source: str, target: str) -> None:
        """Reset the open connections of a link."""
        self._client.reset(self._listen[source, target])
