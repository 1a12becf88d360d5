"""A TCP proxy that injects faults, with any number of links.

``python -m emulator.proxy --control C --listen P --target HOST:PORT ...``

A link is identified by the port on which it listens; `--listen` and `--target`
may be repeated in pairs.

=====================  =====================================================
GET /links             each link's faults, and for each open connection the
                       bytes carried, waiting and lost by direction
POST /links            ``{"listen": P, "target": "HOST:PORT"}``: a new link
POST /fault            ``{"listen": P, ...}``: change faults, by their names
                       in :class:`Faults`
POST /heal             ``{"listen": P}``: end all faults of a link
POST /reset            ``{"listen": P}``: reset the open connections
=====================  =====================================================

If the target does not listen, the proxy accepts the caller's connection and
then resets it; only a cut link refuses connections.
"""

import argparse
import threading
from typing import Any

import urllib3

from emulator.http_server import Reply, Request, json_reply, serve_until_stopped
from emulator.proxy_link import Link
from emulator.proxy_pump import DIRECTIONS, Faults

NO_FAULTS = Faults()
BY_DIRECTION = frozenset(('swallow', 'hold', 'reset_after'))


class Proxy:
    """A set of links, whose faults are controlled over HTTP."""

    def __init__(self) -> None:
        self._links: dict[int, Link] = {}
        self._lock = threading.Lock()

    def add(self, listen: int, target: str) -> Link:
        """Open a link.

        :param listen: port on loopback, 0 for any.
        :param target: ``HOST:PORT``.
        """
        host, _, port = target.rpartition(':')
        link = Link(listen, (host, int(port)))
        self._links[link.listen] = link
        return link

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def answer(self, req: Request) -> Reply:
        """Answer a call to the control port."""
        with self._lock:
            if (req.method, req.path) == ('GET', '/links'):
                links = self._links.values()
                return json_reply([link.summary() for link in links])
            return self._change(req.path, req.document())

    def _change(self, path: str, document: dict[str, Any]) -> Reply:
        listen = document.pop('listen')
        if path == '/links':
            return json_reply(self.add(listen, document['target']).summary())
        link = self._links[listen]
        if path == '/fault':
            current = link.state().faults
            link.set_faults(changed_faults(current, document))
        elif path == '/heal':
            link.set_faults(NO_FAULTS)
        elif path == '/reset':
            link.reset_connections()
        else:
            return json_reply({'error': 'no such path'}, 404)
        return json_reply(link.summary())


class ProxyClient:
    """Controls a proxy in another process.

    :param control_port: its control port.
    """

    def __init__(self, control_port: int) -> None:
        self._url = f'http://127.0.0.1:{control_port}'
        self._http = urllib3.PoolManager(retries=False)

    def add(self, listen: int, target: str) -> None:
        """Open a link."""
        self._post('/links', listen=listen, target=target)

    def fault(self, listen: int, **faults: Any) -> None:
        """Change faults of a link, by their names in :class:`Faults`."""
        self._post('/fault', listen=listen, **faults)

    def count(self, listen: int, direction: str, what: str) -> int:
        """Sum up a count over a link's open connections.

        :param direction: ``up`` or ``down``.
        :param what: ``carried``, ``waiting`` or ``lost`` for bytes, or
            ``ended`` for sources that have closed.
        """
        connections = self.links()[listen]['connections']
        return sum(
            connection[direction][what]
            for connection in connections
            if connection
        )

    def heal(self, listen: int) -> None:
        """End all faults of a link."""
        self._post('/heal', listen=listen)

    def reset(self, listen: int) -> None:
        """Reset a link's open connections."""
        self._post('/reset', listen=listen)

    def links(self) -> dict[int, dict[str, Any]]:
        """Return each link's faults and connections, by its port."""
        resp = self._http.request('GET', f'{self._url}/links')
        return {link['listen']: link for link in resp.json()}

    def close(self) -> None:
        """Close the idle connections."""
        self._http.clear()

    def _post(self, path: str, **document: Any) -> None:
        resp = self._http.request('POST', self._url + path, json=document)
        if resp.status != 200:
            raise ValueError(f'{path} {document}: {resp.data!r}')


def changed_faults(faults: Faults, changes: dict[str, Any]) -> Faults:
    """Return faults with some of them changed.

    :param faults: the faults before the change.
    :param wanted: new values by name; directions as lists or objects.
    :raises ValueError: a name or direction is unknown.
    """
    unknown = changes.keys() - set(Faults._fields)
    if unknown:
        raise ValueError(f'unknown faults: {sorted(unknown)}')
    for name in BY_DIRECTION.intersection(changes):
        if set(changes[name]) - set(DIRECTIONS):
            raise ValueError(f'{name}: directions are {DIRECTIONS}')
    limits = changes.pop('reset_after', dict(faults.reset_after))
    return faults._replace(reset_after=tuple(limits.items()), **changes)


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--control', type=int, required=True)
    parser.add_argument('--listen', type=int, action='append', default=[])
    parser.add_argument('--target', action='append', default=[])
    args = parser.parse_args()
    links = list(zip(args.listen, args.target, strict=True))
    serve_until_stopped(args.control, lambda: _open_links(links).answer)


def _open_links(links: list[tuple[int, str]]) -> Proxy:
    proxy = Proxy()
    for listen, target in links:
        proxy.add(listen, target)
    return proxy


if __name__ == '__main__':
    main()
