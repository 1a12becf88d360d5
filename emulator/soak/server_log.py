"""The events that a stand-in for a backend server prints for the checks."""

from __future__ import annotations

import json
import time
from typing import Any

import click


def log(event_name: str, **fields: Any) -> None:
    """Print an event as a line of JSON.

    :param event_name: name of the event.
    :param fields: its details.
    """
    line = {'at_s': time.monotonic(), 'event': event_name, **fields}
    click.echo(json.dumps(line))
