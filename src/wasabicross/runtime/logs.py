"""Logging of numbered events, as JSON lines or as text for people."""

from __future__ import annotations

import json
import logging
import sys
import threading
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from wasabicross.runtime.events import Event

if TYPE_CHECKING:
    from loguru import Message, Record

_HUMAN_TIME = '%Y-%m-%d %H:%M:%S.%f'


class LogFormat(Protocol):
    """Format and lowest level of the log."""

    @property
    def format(self) -> str:
        """Either `json` or `human`."""

    @property
    def level(self) -> str:
        """Lowest level that is logged."""


class LogStream(Protocol):
    """A stream that log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write a line, including its newline."""

    def flush(self) -> None:
        """Flush buffered lines."""


def configure_logs(
    cfg: LogFormat,
    program: str,
    stream: LogStream | None = None,
) -> None:
    """Write the events of this process to a stream, replacing other sinks.

    :param cfg: format and lowest level.
    :param program: name of the program, written with each line.
    :param stream: destination; standard error if not given.
    """
    target: LogStream = stream or sys.stderr
    render = _FORMATS[cfg.format]

    def sink(message: Message) -> None:  # noqa: WPS430
        target.write(f'{render(message.record)}\n')
        target.flush()

    logger.remove()
    logger.configure(extra={'program': program})
    logger.add(sink, level=cfg.level, format='{message}', catch=True)
    threading.excepthook = _log_thread_failure
    logging.basicConfig(
        handlers=[_LibraryHandler(logging.WARNING)],
        level=logging.WARNING,
        force=True,
    )


def log_event(event: Event, /, **fields: Any) -> None:
    """Log one event of the catalogue.

    :param event: the event, which determines number, name and level.
    :param fields: details of this occurrence, such as ``request`` or
        ``bundle``.
    """
    bound = logger.bind(event=event.number, fields=fields)
    bound.log(event.level, event.name.lower())


def _log_thread_failure(failed: threading.ExceptHookArgs) -> None:
    lines = traceback.format_exception(
        failed.exc_type, failed.exc_value, failed.exc_traceback
    )
    log_event(
        Event.THREAD_FAILED,
        thread=failed.thread.name if failed.thread else '',
        trace=''.join(lines),
    )


class _LibraryHandler(logging.Handler):
    """Converts log records of libraries to events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record of a library as an event.

        :param record: the library's log record.
        """
        log_event(
            Event.LIBRARY_MESSAGE,
            library=record.name,
            severity=record.levelname,
            text=record.getMessage(),
        )


def _render_json(record: Record) -> str:
    extra = record['extra']
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'program': extra.get('program'),
        'event': extra.get('event'),
        'name': record['message'],
    }
    # The fixed keys take precedence over fields of the same name.
    return json.dumps({**extra.get('fields', {}), **line}, default=str)


def _render_human(record: Record) -> str:
    extra = record['extra']
    when = record['time'].strftime(_HUMAN_TIME)
    pairs = ' '.join(
        f'{name}={json.dumps(value, default=str)}'
        for name, value in extra.get('fields', {}).items()
    )
    level = record['level'].name
    head = f'{when} {level:<7} {extra.get("program")}'
    return f'{head} {extra.get("event")} {record["message"]} {pairs}'.rstrip()


_FORMATS: dict[str, Callable[['Record'], str]] = {
    'json': _render_json,
    'human': _render_human,
}
