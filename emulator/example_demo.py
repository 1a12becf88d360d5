"""A demonstration that calls each route of an example and rolls bundles."""

import json
import pathlib
import sys
import tempfile
from functools import partial
from typing import Any

import click
import urllib3
import yaml

from emulator.example import ExampleDeployment
from emulator.fleet import Runner
from emulator.operators_tool import OperatorsTool
from emulator.readiness import wait_ready
from emulator.waiting import wait_until
from wasabicross.runtime.stopping import stop_event, wait_for_stop

READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 30
ADAPTERS = 3000
PROPAGATION_TIMEOUT_S = 30
STATUS_OK = 200


class ExampleDemo:
    """Rolls an example's bundle, calls each route and rolls a second one.

    :param folder: folder of the example.
    :param deployment: the example's deployment, started.
    :param scratch: folder for the files that are written.
    :param adapters: number of adapters in the bundle; generated names are
        added to those of the example.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        deployment: ExampleDeployment,
        scratch: pathlib.Path,
        adapters: int,
    ) -> None:
        self.wrong_answers: list[str] = []
        self._deployment = deployment
        self._bundle = yaml.safe_load((folder / 'bundle.yaml').read_text())
        self._http = urllib3.PoolManager(retries=False)
        self._tool = OperatorsTool(
            deployment.admins[0].url, deployment.operator_token, scratch
        )
        self._tool.write_key(deployment.key_name, deployment.signing_key)
        self._versions = self._bundle['adapters'][0]['versions']
        self._example_adapters = list(self._versions)
        for number in range(adapters - len(self._versions)):
            self._versions[f'made-up-{number:05}'] = '1'

    def roll_first(self) -> None:
        """Bring the example's bundle into force."""
        self._tool.roll(self._bundle)
        wait_ready(self._deployment.entries, READY_TIMEOUT_S)

    def run(self) -> None:
        """Run all steps after the first roll."""
        self._call_routes('1')
        changed = self._example_adapters[0]
        self._versions[changed] = '2'
        self._tool.roll({**self._bundle, 'name': 'second'})
        self._wait_for_second_bundle(changed)
        self._call_routes('2')
        self._tool.run('status')

    def _wait_for_second_bundle(self, adapter: str) -> None:
        """Wait until every data centre answers with the second bundle."""
        for data_centre in self._deployment.settings.data_centres:
            has_second_bundle = partial(
                self._has_second_bundle, data_centre, adapter
            )
            what = f'second bundle in {data_centre}'
            wait_until(has_second_bundle, PROPAGATION_TIMEOUT_S, what)

    def _has_second_bundle(self, data_centre: str, adapter: str) -> bool:
        resp = self._request_completion(data_centre, adapter)
        return resp.headers.get('X-Wasabicross-Bundle') == '2'

    def _call_routes(self, bundle: str) -> None:
        """Call each route in each data centre, and check the answers."""
        for data_centre in self._deployment.settings.data_centres:
            for route in self._bundle['routes']:
                if route['kind'] == 'engine':
                    for adapter in self._example_adapters[:2]:
                        self._call_model(data_centre, adapter, bundle)
                else:
                    self._call_service(data_centre, route, bundle)

    def _call_model(self, data_centre: str, adapter: str, bundle: str) -> None:
        resp = self._request_completion(data_centre, adapter)
        version = self._versions[adapter]
        is_right = f'[{adapter}@{version}]'.encode() in resp.data
        self._check_answer(
            data_centre, f'{adapter}@{version}', resp, bundle, is_right
        )

    def _call_service(
        self, data_centre: str, route: dict[str, Any], bundle: str
    ) -> None:
        url = f'{self._url(data_centre)}{route["path"]}'
        body = json.dumps({'where': data_centre, 'bundle': bundle}).encode()
        key = {'Idempotency-Key': f'{data_centre}-{route["path"]}-{bundle}'}
        headers = {**self._headers(), **key}
        first = self._http.request('POST', url, headers=headers, body=body)
        again = self._http.request('POST', url, headers=headers, body=body)
        may_repeat = 'POST' in route['idempotent_methods']
        repeated = again.headers.get('X-Wasabicross-Repeated') == 'true'
        is_right = first.data == again.data and repeated is not may_repeat
        self._check_answer(
            data_centre, f'POST {route["path"]}', first, bundle, is_right
        )
        if not may_repeat:
            click.echo(
                f'  {data_centre}: same key sent again: repeated={repeated}'
            )
        read = self._http.request('GET', url, headers=self._headers())
        self._check_answer(
            data_centre, f'GET {route["path"]}', read, bundle, is_right=True
        )

    def _request_completion(
        self, data_centre: str, adapter: str
    ) -> urllib3.BaseHTTPResponse:
        document = {
            'model': adapter,
            'messages': [{'role': 'user', 'content': 'Draft a short reply.'}],
            'max_tokens': 8,
        }
        return self._http.request(
            'POST',
            f'{self._url(data_centre)}/v1/chat/completions',
            headers=self._headers(),
            body=json.dumps(document).encode(),
        )

    def _check_answer(
        self,
        data_centre: str,
        what: str,
        resp: urllib3.BaseHTTPResponse,
        bundle: str,
        is_right: bool,
    ) -> None:
        stated_bundle = resp.headers.get('X-Wasabicross-Bundle')
        line = f'{data_centre}: {what}: {resp.status} bundle={stated_bundle}'
        click.echo(f'  {line}')
        if resp.status != STATUS_OK or stated_bundle != bundle or not is_right:
            self.wrong_answers.append(f'{line} {resp.data[:200]!r}')

    def _url(self, data_centre: str) -> str:
        return self._deployment.entry_of(data_centre).url

    def _headers(self) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._deployment.tenant_token}',
            'Content-Type': 'application/json',
        }


def run_example(folder: pathlib.Path, adapters: int, stay: bool) -> None:
    """Start an example's deployment, run the steps and stop it.

    Exit with 1 if an answer did not match its bundle, or a program did not stop
    cleanly.

    :param folder: folder of the example.
    :param adapters: number of adapters in the bundle.
    :param stay: bring only the first bundle into force, and run until
        interrupted.
    """
    with tempfile.TemporaryDirectory() as name:
        scratch = pathlib.Path(name)
        runner = Runner(scratch / 'logs')
        with runner:
            deployment = ExampleDeployment(folder.resolve(), runner)
            deployment.start()
            click.echo(f'started {len(runner.running())} processes')
            demo = ExampleDemo(folder, deployment, scratch, adapters)
            demo.roll_first()
            if stay:
                _wait_interrupted(deployment, scratch)
            else:
                demo.run()
            programs = deployment.program_names()
            runner.terminate(*programs)
            codes = {
                runner.wait(program, STOP_TIMEOUT_S) for program in programs
            }
        remaining = runner.running()
    click.echo('summary:')
    click.echo(f'  {len(demo.wrong_answers)} wrong answers')
    for wrong_answer in demo.wrong_answers:
        click.echo(f'    {wrong_answer}')
    click.echo(f'  exit codes of the stopped programs: {sorted(codes)}')
    click.echo(f'  {len(remaining)} processes still running')
    if demo.wrong_answers or remaining or codes != {0}:
        sys.exit(1)


def _wait_interrupted(
    deployment: ExampleDeployment, scratch: pathlib.Path
) -> None:
    for endpoint in deployment.entries:
        click.echo(f'entry {endpoint.name}: {endpoint.url}')
    for endpoint in deployment.admins:
        click.echo(f'administration API of {endpoint.name}: {endpoint.url}')
    click.echo(f'logs and the private key: {scratch}')
    click.echo('press Ctrl-C to stop')
    wait_for_stop(stop_event())
