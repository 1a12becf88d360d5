"""A demonstration that rolls two bundles in a deployment under traffic.

`python -m emulator.demo [--example FOLDER]` exits with 0 if every answer came
from the adapter version named by the bundle in force when the request was
accepted.
"""

import json
import pathlib
import sys
import tempfile
import threading
from collections import Counter
from typing import Any, NamedTuple

import click
import urllib3
import yaml

from emulator.deployment import (
    KEY_NAME,
    OPERATOR_TOKEN,
    TENANT_TOKEN,
    Deployment,
)
from emulator.example_demo import ADAPTERS, run_example
from emulator.fleet import Runner
from emulator.link_table import HOST
from emulator.operator import bundle_text
from emulator.operators_tool import OperatorsTool
from emulator.readiness import wait_ready
from emulator.shape import Shape
from emulator.waiting import wait_until

SHAPE = Shape(
    data_centres=('north', 'south'),
    instances=1,
    entries=2,
    engines=1,
    services=1,
    engine_args=('--token-ms', '10', '--first-token-ms', '50'),
)
READY_TIMEOUT_S = 20
ANSWERS_PER_BUNDLE = 20
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
FIRST_VERSIONS = {'bunker-quote': '1', 'fee-letter': '1'}
SECOND_VERSIONS = {'bunker-quote': '2', 'fee-letter': '1'}


class TrafficAnswer(NamedTuple):
    """An answer to a request of the traffic.

    :param version: adapter version that the entry states.
    :param bundle: bundle number that the entry states.
    :param is_right: whether that version produced the answer and is the one in
        the bundle.
    """

    version: str
    bundle: str
    is_right: bool


class Demo:
    """The steps of the demonstration.

    :param deployment: a started deployment.
    :param folder: folder for the files that are written.
    """

    def __init__(self, deployment: Deployment, folder: pathlib.Path) -> None:
        self.answers: list[TrafficAnswer] = []
        self._deployment = deployment
        self._http = urllib3.PoolManager(retries=False)
        admin = deployment.admins[0]
        self._tool = OperatorsTool(admin.url, OPERATOR_TOKEN, folder)

    def run(self) -> None:
        """Run all steps; raise an exception if one fails."""
        self._tool.write_key(KEY_NAME, self._deployment.signing_key)
        self.roll('first', FIRST_VERSIONS)
        wait_ready(self._deployment.entries, READY_TIMEOUT_S)
        self.show_requests()
        traffic = threading.Thread(target=self.send_traffic)
        traffic.start()
        wait_until(
            lambda: len(self.answers) >= ANSWERS_PER_BUNDLE, READY_TIMEOUT_S
        )
        self.roll('second', SECOND_VERSIONS)
        traffic.join()
        self._tool.run('status')
        self._tool.run('history')

    def roll(self, name: str, versions: dict[str, str]) -> None:
        """Prepare, sign off and roll a bundle with the command-line tool.

        :param name: name of the bundle.
        :param versions: versions by adapter name.
        """
        self._tool.roll(yaml.safe_load(bundle_text(versions, name)))

    def show_requests(self) -> None:
        """Send one request of each kind and print the answers."""
        for stream in (False, True):
            resp = self.ask('south', stream=stream)
            kind = 'streamed answer' if stream else 'complete answer'
            click.echo(f'{kind}: {resp.status} {_stated_names(resp)}')
            click.echo(f'  {resp.data[:100].decode()} ...')
        url = self._deployment.entry_of('north').url
        order = json.dumps({'berth': 'R7', 'tonnes': 120}).encode()
        headers = {**_caller_headers(), 'Idempotency-Key': 'order-1'}
        self._order(url, headers, order)
        self._order(url, headers, order)

    def _order(self, url: str, headers: dict[str, str], order: bytes) -> None:
        """Send an order until it is completed, and print each answer."""
        status = 0
        while status != STATUS_OK:
            resp = self._http.request(
                'POST', f'{url}/orders', headers=headers, body=order
            )
            status = resp.status
            again = resp.headers.get('X-Wasabicross-Repeated', 'false')
            outcome = resp.headers.get('X-Wasabicross-Outcome')
            click.echo(f'order: {status} {outcome} repeated={again}')
            click.echo(f'  {resp.data[:100].decode()}')
            if status not in {STATUS_OK, STATUS_UNAVAILABLE}:
                raise ValueError(f'order: {status}')
            # Keys can be claimed only once every range has an owner.
            threading.Event().wait(float(resp.headers.get('Retry-After', 0)))

    def ask(
        self, data_centre: str, *, stream: bool
    ) -> urllib3.BaseHTTPResponse:
        """Make a model call at an entry.

        :param data_centre: data centre of the entry.
        :param stream: whether to request a streamed answer.
        """
        url = self._deployment.entry_of(data_centre).url
        document = {
            'model': 'bunker-quote',
            'messages': [{'role': 'user', 'content': 'A quote for R7?'}],
            'max_tokens': 8,
            'stream': stream,
        }
        return self._http.request(
            'POST',
            f'{url}/v1/chat/completions',
            headers=_caller_headers(),
            body=json.dumps(document).encode(),
        )

    def send_traffic(self) -> None:
        """Send requests until enough answers come from the second bundle."""
        second = 0
        while second < ANSWERS_PER_BUNDLE:
            for data_centre in self._deployment.shape.data_centres:
                answer = _traffic_answer(self.ask(data_centre, stream=False))
                self.answers.append(answer)
                second += answer.bundle == '2'


def _caller_headers() -> dict[str, str]:
    return {
        'Authorization': f'Bearer {TENANT_TOKEN}',
        'Content-Type': 'application/json',
    }


def _stated_names(resp: urllib3.BaseHTTPResponse) -> str:
    names = ('Adapter', 'Version', 'Bundle')
    return ' '.join(
        f'{name.lower()}={resp.headers.get(f"X-Wasabicross-{name}")}'
        for name in names
    )


def _traffic_answer(resp: urllib3.BaseHTTPResponse) -> TrafficAnswer:
    version = resp.headers.get('X-Wasabicross-Version', '')
    bundle = resp.headers.get('X-Wasabicross-Bundle', '')
    expected = {'1': FIRST_VERSIONS, '2': SECOND_VERSIONS}.get(bundle, {}).get(
        'bunker-quote'
    )
    answer: dict[str, Any] = json.loads(resp.data)
    text = answer['choices'][0]['message']['content']
    is_as_stated = text.startswith(f'[bunker-quote@{version}]')
    return TrafficAnswer(version, bundle, is_as_stated and version == expected)


@click.command()
@click.option(
    '--example',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Run the deployment of this folder instead.',
)
@click.option(
    '--adapters',
    default=ADAPTERS,
    help='Adapters in the bundle of the example.',
)
@click.option(
    '--stay',
    is_flag=True,
    help='Keep the example running until interrupted, for manual calls.',
)
def main(example: pathlib.Path | None, adapters: int, stay: bool) -> None:
    """Start a deployment, roll two bundles under traffic, and stop it."""
    if example is None:
        run_demo()
    else:
        run_example(example, adapters, stay)


def run_demo() -> None:
    """Run the demonstration of two data centres under traffic."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        runner = Runner(folder / 'logs')
        with runner:
            deployment = Deployment(SHAPE, runner, folder / 'settings')
            deployment.start()
            click.echo(f'started {len(runner.running())} processes on {HOST}')
            demo = Demo(deployment, folder)
            demo.run()
            names = [program.name for program in deployment.programs()]
            codes = {runner.stop(name) for name in names}
        remaining = runner.running()
    counts = Counter(
        f'bundle {answer.bundle} version {answer.version}'
        for answer in demo.answers
    )
    wrong = [answer for answer in demo.answers if not answer.is_right]
    click.echo('summary:')
    for what, count in sorted(counts.items()):
        click.echo(f'  {count} answers from {what}')
    click.echo(f'  {len(wrong)} answers from a wrong version')
    click.echo(f'  exit codes of the stopped programs: {sorted(codes)}')
    click.echo(f'  {len(remaining)} processes still running')
    if wrong or remaining or codes != {0}:
        sys.exit(1)


if __name__ == '__main__':
    main()
