"""The limits and the load faults of the stand-in weight store."""

from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from emulator.backend_control import BackendControl
from emulator.fleet import Program
from emulator.waiting import free_ports
from emulator.weights import FULL_SPEED_IN_FLIGHT


@pytest.mark.parametrize(
    ('loads', 'loads_per_s', 'breaches', 'least_s'),
    [
        (1, 3, 0, 0.25),
        (16, 100, 0, 16 * 0.25 / FULL_SPEED_IN_FLIGHT),
        (3, 1, 2, 2.25),
    ],
)
def test_limits(runner, loads, loads_per_s, breaches, least_s):
    (port,) = free_ports(1)
    args = ('--port', str(port), '--loads-per-s', str(loads_per_s))
    ready = f'tcp://127.0.0.1:{port}'
    runner.run(Program(f'weights{port}', 'emulator.weights', args, ready))
    http = urllib3.PoolManager(retries=False, maxsize=loads)

    def fetch(number):
        url = f'http://127.0.0.1:{port}/weights/a{number}/1'
        return http.request('GET', url).status

    with ThreadPoolExecutor(loads) as callers:
        assert set(callers.map(fetch, range(loads))) == {200}
    described = BackendControl(port).describe()
    assert described['counts']['breaches'] == breaches
    ended_s = max(entry['at'] + entry['took_s'] for entry in described['log'])
    assert ended_s - min(entry['at'] for entry in described['log']) >= least_s


@pytest.mark.parametrize(
    ('fault', 'statuses'),
    [
        ({'count': 2}, [500, 500, 200, 200]),
        ({}, [500, 200, 200, 200]),
        # Each named adapter fails once, whatever was loaded before.
        ({'adapters': ['b']}, [200, 500, 200, 200]),
        ({'adapters': ['b'], 'count': 1}, [500, 500, 200, 200]),
    ],
)
def test_loads_that_fail(runner, fault, statuses):
    (port,) = free_ports(1)
    args = ('--port', str(port), '--load-ms', '1', '--loads-per-s', '100')
    ready = f'tcp://127.0.0.1:{port}'
    runner.run(Program(f'weights{port}', 'emulator.weights', args, ready))
    control = BackendControl(port)
    control.set_fault('fail_loads', **fault)
    http = urllib3.PoolManager(retries=False)
    url = f'http://127.0.0.1:{port}/weights'
    found = [
        http.request('GET', f'{url}/{adapter}/1').status for adapter in 'abab'
    ]
    assert found == statuses
    failed = [entry['failed'] for entry in control.describe()['log']]
    assert failed == [status == 500 for status in statuses]
