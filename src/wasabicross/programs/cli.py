"""`wasabicross`: the command line with which operators manage bundles.

Exit codes: 0 done; 2 wrong usage; 3 refused, for instance because another
bundle was rolled first; 4 no answer, or a server error such as an unreachable
key-value service (the command may be repeated); 5 not authorised; 6 rolled,
but not yet in force in every reachable data centre.
"""

import base64
import itertools
import re
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO, TypeVar

import click

import wasabicross
from wasabicross.bundles.bundle_file import build_bundle, parse_bundle_file
from wasabicross.bundles.bundles import Manifest, digest_of
from wasabicross.bundles.manifests import decode_manifest
from wasabicross.commands.admin_client import AdminClient, Answer
from wasabicross.commands.cli_output import (
    EXIT_STILL_PROPAGATING,
    content_or_exit,
    convictions_text,
    draft_text,
    fail,
    history_text,
    pointer_text,
    show,
    status_text,
)
from wasabicross.commands.explain import explain, find_outages, read_lines
from wasabicross.commands.gateway_client import GatewayClient
from wasabicross.commands.operator_errors import DraftMismatch
from wasabicross.commands.operator_key import OperatorKey
from wasabicross.commands.roll_progress import RollProgress

DEFAULT_WAIT_S = 60.0

_Command = TypeVar('_Command', bound=Callable[..., Any])
_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
_NEW_FILE = click.Path(dir_okay=False, path_type=Path)


def _api_options(command: _Command) -> _Command:
    """Add the options for calls to the administration API."""
    for option in (
        click.option(
            '--json',
            'as_json',
            is_flag=True,
            help='Print the answer as one JSON object.',
        ),
        click.option(
            '--token',
            envvar='WASABICROSS_TOKEN',
            required=True,
            show_envvar=True,
            help='Bearer token of the operator.',
        ),
        click.option(
            '--url',
            envvar='WASABICROSS_ADMIN_URL',
            required=True,
            show_envvar=True,
            help='Base URL of the administration API.',
        ),
    ):
        command = option(command)
    return command


def _validate_digest(
    ctx: click.Context,
    argument: click.Parameter,
    digest: str,
) -> str:
    if re.fullmatch('[0-9a-f]{64}', digest):
        return digest
    raise click.BadParameter('must be 64 hexadecimal digits')


_digest_argument = click.argument('digest', callback=_validate_digest)


def _wait_options(command: _Command) -> _Command:
    """Add the options for the wait after a roll."""
    for option in (
        click.option(
            '--wait-s',
            type=click.FloatRange(min=0),
            default=DEFAULT_WAIT_S,
            show_default=True,
            help='Maximum wait in seconds.',
        ),
        click.option(
            '--wait/--no-wait',
            default=True,
            help='Wait until every reachable data centre has the bundle.',
        ),
    ):
        command = option(command)
    return command


@click.group(epilog=(__doc__ or '').partition('\n\n')[2])
@click.version_option(wasabicross.__version__, prog_name='wasabicross')
def main() -> None:
    """Prepare, sign off, roll and supersede bundles."""


@main.command(name='explain')
@click.argument('request_id')
@click.argument('logs', nargs=-1, type=click.File())
def explain_request(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Show the lines that explain REQUEST_ID.

    They are read from LOGS of gateways, or from standard input.
    """
    log_text = itertools.chain.from_iterable(logs or (sys.stdin,))
    all_lines = list(read_lines(log_text))
    lines = explain(request_id, all_lines)
    for line in lines:
        click.echo(str(line))
    if lines:
        return
    for outage in find_outages(all_lines):
        click.echo(str(outage))
    raise click.ClickException(
        f'{request_id}: not in these logs; it reached no gateway, or one that '
        'ended without a stop'
    )


@main.command()
@click.argument('gateway')
@click.option('--lift', metavar='CAUSE', help='Lift this conviction.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def convictions(gateway: str, lift: str | None, as_json: bool) -> None:
    """Show what is refused since it crashes servers, or lift one.

    GATEWAY is the base URL at which a gateway serves its metrics.
    """
    client = GatewayClient(gateway)
    if lift:
        lifted = content_or_exit(client.lift(lift), as_json=as_json)
        show(lifted, f'lifted: {lift}', as_json=as_json)
        return
    listed = content_or_exit(client.convictions(), as_json=as_json)
    show(listed, convictions_text(listed), as_json=as_json)


@main.command()
@click.argument('name')
@click.option('--out', type=_NEW_FILE, required=True, help='New key file.')
def keygen(name: str, out: Path) -> None:
    """Generate a private key NAME and print its line for trusted_keys."""
    key = OperatorKey.generate(name)
    try:
        key.write(out)
    except OSError as exc:
        raise click.BadParameter(str(exc), param_hint='--out') from exc
    click.echo(f'{name}: {key.public_key}')


@main.command()
@click.argument('file', type=_FILE)
@_api_options
def prepare(file: Path, url: str, token: str, as_json: bool) -> None:
    """Prepare the bundle of FILE (YAML or JSON) as a draft."""
    answer = AdminClient(url, token).prepare(_read_text(file))
    draft = content_or_exit(answer, as_json=as_json)
    show(draft, draft_text(draft), as_json=as_json)


@main.command('sign-off')
@_digest_argument
@click.option('--key', type=_FILE, required=True, help='Private key file.')
@click.option(
    '--file',
    type=_FILE,
    help='Sign only if the bundle is made from this file.',
)
@_api_options
def sign_off(
    digest: str,
    key: Path,
    file: Path | None,
    url: str,
    token: str,
    as_json: bool,
) -> None:
    """Sign the draft DIGEST; the private key stays on this machine."""
    operator_key = OperatorKey.from_file(key)
    if operator_key.is_error():
        raise click.BadParameter(str(operator_key.error), param_hint='--key')
    client = AdminClient(url, token)
    draft = content_or_exit(client.draft(digest), as_json=as_json)
    encoded = base64.b64decode(draft['manifest'])
    manifest = decode_manifest(encoded)
    if manifest.is_error() or digest_of(encoded) != digest:
        mismatch = DraftMismatch('the draft has another digest')
        fail(mismatch, as_json=as_json)
    if file and not _is_made_from(file, manifest.ok, digest):
        mismatch = DraftMismatch(f'the draft is not made from {file}')
        fail(mismatch, as_json=as_json)
    answer = client.sign_off(
        digest,
        operator_key.ok.name,
        operator_key.ok.signature(encoded),
    )
    signed = content_or_exit(answer, as_json=as_json)
    text = f'bundle {manifest.ok.number} signed by {signed["signed_by"]}'
    show(signed, text, as_json=as_json)


@main.command()
@_digest_argument
@_wait_options
@_api_options
def roll(
    digest: str,
    url: str,
    token: str,
    as_json: bool,
    wait: bool,
    wait_s: float,
) -> None:
    """Roll the signed bundle DIGEST if the one in force has propagated."""
    client = AdminClient(url, token)
    rolled = _show_rolled(client.roll(digest), as_json)
    if wait:
        _wait_for_propagation(client, rolled, wait_s, as_json)


@main.command()
@_digest_argument
@click.option(
    '--number',
    type=click.IntRange(min=1),
    required=True,
    help='Number of the bundle in force that is to be replaced.',
)
@_wait_options
@_api_options
def supersede(
    digest: str,
    number: int,
    url: str,
    token: str,
    as_json: bool,
    wait: bool,
    wait_s: float,
) -> None:
    """Replace the bundle in force by DIGEST, even if it has not propagated."""
    client = AdminClient(url, token)
    rolled = _show_rolled(client.supersede(digest, number), as_json)
    if wait:
        _wait_for_propagation(client, rolled, wait_s, as_json)


@main.command()
@_api_options
def status(url: str, token: str, as_json: bool) -> None:
    """Show the bundle in force in each data centre, and since when."""
    answer = AdminClient(url, token).status()
    content = content_or_exit(answer, as_json=as_json)
    show(content, status_text(content), as_json=as_json)


@main.command()
@click.option('--limit', type=click.IntRange(1, 1000), default=20)
@_api_options
def history(limit: int, url: str, token: str, as_json: bool) -> None:
    """Show the current and the past bundles, the current one first."""
    answer = AdminClient(url, token).history(limit)
    content = content_or_exit(answer, as_json=as_json)
    show(content, history_text(content), as_json=as_json)


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding='utf-8')
    except UnicodeDecodeError as exc:
        raise click.BadParameter(str(exc), param_hint=str(file)) from exc


def _is_made_from(file: Path, manifest: Manifest, digest: str) -> bool:
    parsed = parse_bundle_file(_read_text(file))
    if parsed.is_error():
        return False
    built = build_bundle(parsed.ok, manifest.number, manifest.parent)
    return built.is_ok() and built.ok.digest == digest


def _show_rolled(answer: Answer, as_json: bool) -> int:
    """Show the bundle that has come into force and return its number."""
    rolled = content_or_exit(answer, as_json=as_json)
    show(rolled, pointer_text(rolled), as_json=as_json)
    number: int = rolled['number']
    return number


def _wait_for_propagation(
    client: AdminClient,
    number: int,
    wait_s: float,
    as_json: bool,
) -> None:
    progress = RollProgress(client, lambda line: click.echo(line, err=True))
    outcome = progress.follow(number, time.monotonic() + wait_s)
    if outcome.is_error():
        fail(outcome.error, as_json=as_json)
    if not outcome.ok:
        click.echo(f'still spreading after {wait_s:g} s', err=True)
        sys.exit(EXIT_STILL_PROPAGATING)


if __name__ == '__main__':
    main()
