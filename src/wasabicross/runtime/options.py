"""Command-line options that the programs of an instance share."""

import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn, TypeVar

import click

import wasabicross
from wasabicross.runtime.settings import Settings, load_settings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_PORT = 3

_Command = TypeVar('_Command', bound=Callable[..., Any])


def settings_options(
    program: str,
    *,
    named: bool = False,
) -> Callable[[_Command], _Command]:
    """Add ``--config``, ``--check-config``, ``--version`` (and ``--name``).

    The decorated function takes ``config: tuple[str, ...]`` and
    ``check_config: bool``, and ``name: str | None`` with `named`; it passes
    them to :func:`settings_or_exit`.

    :param program: name of the program that ``--version`` prints.
    :param named: add ``--name``, for a program of which the settings may
        describe several processes.
    """
    options = [
        click.option(
            '--config',
            multiple=True,
            required=True,
            metavar='FILE',
            help='Settings in YAML; repeatable, later sections win.',
        ),
        click.option(
            '--check-config',
            is_flag=True,
            help='Check the settings, print the verdict and exit.',
        ),
        click.version_option(wasabicross.__version__, prog_name=program),
    ]
    if named:
        options.append(
            click.option('--name', help='Which of the entries to run.'),
        )

    def decorate(command: _Command) -> _Command:  # noqa: WPS430
        for option in options:
            command = option(command)
        return command

    return decorate


def settings_or_exit(
    config: tuple[str, ...],
    *,
    check_config: bool,
    name: str | None = None,
) -> Settings:
    """Return valid settings, or print their faults and exit with code 2.

    With `check_config` it always exits: with 0 after printing ``ok``, or
    with 2 after printing the faults.

    :param config: paths of the settings files.
    :param check_config: only check the settings.
    :param name: name of an entry that the settings must contain, if any.
    """
    loaded = load_settings(config)
    if loaded.is_error():
        _exit_with_faults(str(fault) for fault in loaded.error.faults)
    cfg = loaded.ok
    if name is not None and cfg.entry(name) is None:
        _exit_with_faults([f'entries: none is named {name!r}'])
    if check_config:
        click.echo('ok')
        sys.exit(EXIT_OK)
    return cfg


def _exit_with_faults(faults: Iterable[str]) -> NoReturn:
    for fault in faults:
        click.echo(fault, err=True)
    sys.exit(EXIT_SETTINGS)
