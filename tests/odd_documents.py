"""Odd JSON documents, and the entry of a server without a fault."""

import json

from wasabicross.gateway.store import StoredItem

SERVER = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'bilbao-hall',
    'slots': 64,
    'state': 'ready',
    'models': [{'name': 'm0', 'adapters': ['a1@3', 'a2']}],
    'seq': 4,
    'born': 1700000000123,
}

DEEP = b'[' * 100_000 + b']' * 100_000


def encoded(document):
    return json.dumps(document).encode()


def with_number(document, name, literal):
    """Return a document with a literal that `json.dumps` doesn't write."""
    marked = encoded({**document, name: '@'})
    return marked.replace(b'"@"', literal)


HUGE_NUMBERS = [
    b'1e999',
    b'-1e999',
    b'NaN',
    b'Infinity',
    b'9' * 400,
    b'9' * 5000,
    b'18446744073709551616',
    b'-1',
]

SOUND = StoredItem('servers/i-1', 5, encoded(SERVER))
