"""The output of the command line, and its exit codes."""

import json
import sys
from functools import singledispatch
from http import HTTPStatus
from typing import Any, NoReturn

import click

from wasabicross.commands.admin_client import Answer
from wasabicross.commands.operator_errors import (
    AdminClientError,
    AdminRefused,
    DraftMismatch,
)

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_AUTHORISED = 5
EXIT_STILL_PROPAGATING = 6

_SHOWN_DIGEST_DIGITS = 12
_STATE_TEXTS = {'in_force': 'in force'}
_NO_VALUE = '-'


def content_or_exit(answer: Answer, *, as_json: bool) -> dict[str, Any]:
    """Return the content of an answer, or show its error and exit.

    :param answer: answer of the administration API.
    :param as_json: whether to show an error as JSON.
    """
    if answer.is_error():
        fail(answer.error, as_json=as_json)
    return answer.ok


def fail(exc: AdminClientError, *, as_json: bool) -> NoReturn:
    """Show an error on standard error and exit with its code.

    :param exc: the error.
    :param as_json: whether to show it as JSON.
    """
    faults = exc.faults if isinstance(exc, AdminRefused) else ()
    if as_json:
        document = {
            'code': exc.code,
            'message': str(exc),
            'faults': [fault._asdict() for fault in faults],
        }
        click.echo(json.dumps({'error': document}), err=True)
    else:
        lines = [str(fault) for fault in faults] or [str(exc)]
        click.echo('\n'.join((f'{exc.code}:', *lines)), err=True)
    sys.exit(exit_code_of(exc))


@singledispatch
def exit_code_of(exc: AdminClientError) -> int:
    """Return the exit code for an error.

    :param exc: the error.
    """
    return EXIT_UNREACHABLE


@exit_code_of.register
def _(exc: DraftMismatch) -> int:
    return EXIT_REFUSED


@exit_code_of.register
def _(exc: AdminRefused) -> int:
    if exc.status == HTTPStatus.UNAUTHORIZED:
        return EXIT_NOT_AUTHORISED
    is_server_error = exc.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return EXIT_UNREACHABLE if is_server_error else EXIT_REFUSED


def show(content: dict[str, Any], text: str, *, as_json: bool) -> None:
    """Show a result on standard output.

    :param content: the answer of the API.
    :param text: the same content as text for people.
    :param as_json: whether to show `content` as JSON instead of `text`.
    """
    click.echo(json.dumps(content) if as_json else text)


def draft_text(draft: dict[str, Any]) -> str:
    """Return the text that describes a draft.

    :param draft: the answer of the API.
    """
    changes = draft['changes']
    counts = ', '.join(f'{count} {name}' for name, count in changes.items())
    signed_by = draft['signed_by']
    return '\n'.join(
        (
            f'bundle {draft["number"]} ({draft["name"]}): adapters {counts}',
            f'prepared by {draft["prepared_by"]} at {draft["prepared_at"]}',
            f'signed by {signed_by}' if signed_by else 'not signed yet',
            draft['digest'],
        )
    )


def pointer_text(pointer: dict[str, Any]) -> str:
    """Return a line that describes a bundle that is or was in force.

    :param pointer: pointer to the bundle, as in answers of the API.
    """
    digest = pointer['digest'][:_SHOWN_DIGEST_DIGITS]
    parts = [f'bundle {pointer["number"]} ({digest})']
    if pointer['rolled_by']:
        parts.append(f'rolled by {pointer["rolled_by"]}')
        parts.append(f'at {pointer["rolled_at"]}')
    return ' '.join(parts)


def history_text(content: dict[str, Any]) -> str:
    """Return the history with a line for each bundle.

    :param content: the answer of the API.
    """
    lines = [pointer_text(pointer) for pointer in content['bundles']]
    return '\n'.join(lines) or 'no bundle was rolled yet'


def status_text(content: dict[str, Any]) -> str:
    """Return the status with a table of the data centres.

    :param content: the answer of the API.
    """
    in_force = content['in_force']
    head = 'no bundle is in force yet'
    if in_force:
        head = f'{pointer_text(in_force)} {in_force["name"]}'.rstrip()
    if not content['store_reachable']:
        head = f'the key-value service is unreachable; last heard: {head}'
    rows = [['DATA CENTRE', 'STATE', 'BUNDLE', 'SINCE', 'INSTANCES', 'NOTE']]
    rows.extend(_status_row(each) for each in content['data_centres'])
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
    return '\n'.join((head, *lines))


def _status_row(status: dict[str, Any]) -> list[str]:
    state = status['state']
    return [
        status['data_centre'],
        _STATE_TEXTS.get(state, state),
        str(status['bundle_number'] or _NO_VALUE),
        status['in_force_since'] or _NO_VALUE,
        str(status['reachable']),
        _status_note(status),
    ]


def _status_note(status: dict[str, Any]) -> str:
    if status['lagging']:
        return f'waiting for {", ".join(status["lagging"])}'
    if status['state'] != 'unreachable':
        return ''
    report_age_s = status['last_heard_s']
    return (
        'never heard of'
        if report_age_s is None
        else f'heard {report_age_s:.0f} s ago'
    )


def convictions_text(listed: dict[str, Any]) -> str:
    """Return what is convicted of crashing servers, as lines of text.

    :param listed: the answer of a gateway.
    """
    lines = [
        f'{each["cause"]}  {each["crashes"]} crashes, the last one '
        f'{each["last_crash_age_s"]:.0f} s ago; tried again in '
        f'{each["remaining_s"]:.0f} s; {", ".join(each["servers"])}'
        for each in listed['convictions']
    ]
    return '\n'.join(lines) or 'nothing is convicted'
