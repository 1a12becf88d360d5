"""The links of a deployment that lead through a fault-injecting proxy."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from emulator.fleet import Program
from emulator.proxy import ProxyClient

HOST = '127.0.0.1'
PROXY_NAME = 'proxy'


class LinkTable:
    """Proxied links, each known by its source instance and its target.

    :param sources: names of the instances from which links start.
    :param targets: port of each process that is reached through the proxy.
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
        """Return the port by which a source reaches a target.

        :param direct: the target's own port, for a link without the proxy.
        """
        return self._listen.get((source, target), direct)

    def fault(self, source: str, target: str, **faults: Any) -> None:
        """Change the faults of a link, named as the proxy names them."""
        self._client.fault(self._listen[source, target], **faults)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cut links, each given by its source and its target."""
        for source, target in pairs:
            self.fault(source, target, cut=True)

    def heal(self, *pairs: tuple[str, str]) -> None:
        """End the faults of links."""
        for pair in pairs:
            self._client.heal(self._listen[pair])

    def count(self, source: str, target: str, direction: str, what: str) -> int:
        """Sum up a count over a link's connections, as the proxy names it."""
        listen = self._listen[source, target]
        return self._client.count(listen, direction, what)

    def reset(self, source: str, target: str) -> None:
        """Reset the present connections of a link."""
        self._client.reset(self._listen[source, target])
