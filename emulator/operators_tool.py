"""Runs the operators' command-line tool as an operator does."""

import json
import os
import pathlib
import subprocess  # noqa: S404
import sys
from typing import Any

import click
import yaml
from nacl.signing import SigningKey

from emulator.fleet import ROOT
from wasabicross.commands.operator_key import OperatorKey

DIGEST_DIGITS = 64


class OperatorsTool:
    """Runs the program `wasabicross` for one administration API.

    :param url: base URL of the administration API.
    :param token: the operator's token.
    :param folder: folder for bundle files and the private key.
    """

    def __init__(self, url: str, token: str, folder: pathlib.Path) -> None:
        self._url = url
        self._token = token
        self._folder = folder
        self._key_path = folder / 'operator.key'

    def write_key(self, name: str, key: SigningKey) -> None:
        """Write the private key that signs bundles."""
        OperatorKey(name, key).write(self._key_path)

    def roll(self, bundle: dict[str, Any]) -> None:
        """Prepare, sign off and roll a bundle.

        :param bundle: the content of the bundle file.
        """
        path = self._folder / f'{bundle["name"]}.yaml'
        path.write_text(yaml.safe_dump(bundle))
        prepared = self.run('prepare', str(path), '--json', show=False)
        digest = json.loads(prepared)['digest']
        self.run('sign-off', digest, '--key', str(self._key_path))
        self.run('roll', digest)

    def run(self, *args: str, show: bool = True) -> str:
        """Run a command and return its output.

        :param args: the command and its arguments.
        :param show: whether to print the output too.
        :raises subprocess.CalledProcessError: the command failed.
        """
        env = {
            **os.environ,
            'PYTHONPATH': str(ROOT / 'src'),
            'WASABICROSS_ADMIN_URL': self._url,
            'WASABICROSS_TOKEN': self._token,
        }
        shown = ' '.join(
            arg[:12] if len(arg) == DIGEST_DIGITS else arg for arg in args
        )
        click.echo(f'$ wasabicross {shown}')
        done = subprocess.run(  # noqa: S603
            (sys.executable, '-m', 'wasabicross.programs.cli', *args),
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )
        if show or done.returncode:
            click.echo((done.stdout + done.stderr).rstrip())
        done.check_returncode()
        return done.stdout
