"""The example deployments: every file is valid, and no ports collide."""

import json
from collections import Counter

import pytest

from emulator.example import StandInOptions
from emulator.fleet import ROOT
from emulator.instances import read_entries
from emulator.waiting import FIRST_PORT, LAST_PORT
from wasabicross.bundles.bundle_file import parse_bundle_file
from wasabicross.runtime.settings import load_settings

EXAMPLES = ROOT / 'examples'
INSTANCES = sorted(EXAMPLES.glob('*/instances/*.yaml'))
FOLDERS = [EXAMPLES / 'cantabrico', EXAMPLES / 'derwent']


def settings_of(folder):
    loaded = [
        load_settings([folder / 'common.yaml', path])
        for path in sorted((folder / 'instances').glob('*.yaml'))
    ]
    return [each.ok for each in loaded]


def fleet_of(folder):
    return json.loads((folder / 'fleet.json').read_text())


@pytest.mark.parametrize('path', INSTANCES, ids=lambda path: path.stem)
def test_settings_are_valid(path):
    loaded = load_settings([path.parent.parent / 'common.yaml', path])
    assert loaded.is_ok(), [str(fault) for fault in loaded.error.faults]
    assert loaded.ok.instance.instance_id == path.stem


@pytest.mark.parametrize(
    ('name', 'data_centres', 'instances', 'engines', 'services'),
    [
        ('cantabrico', 3, 6, 6, 3),
        ('derwent', 4, 7, 6, 4),
    ],
)
def test_sizes(name, data_centres, instances, engines, services):
    folder = EXAMPLES / name
    fleet = fleet_of(folder)
    kinds = Counter(server['kind'] for server in fleet['servers'])
    assert kinds == {'engine': engines, 'service': services}
    assert len(read_entries(folder / 'fleet.json')) == (
        instances + engines + services
    )
    settings = settings_of(folder)
    assert len(settings) == instances
    assert len(settings[0].data_centres) == data_centres


@pytest.mark.parametrize('folder', FOLDERS, ids=lambda folder: folder.name)
def test_list_names_the_instances_of_the_settings(folder):
    listed = {
        (each['instance_id'], each['data_centre'], each['host'], each['port'])
        for each in fleet_of(folder)['instances']
    }
    assert listed == {_identity(cfg) for cfg in settings_of(folder)}


def _identity(cfg):
    instance = cfg.instance
    return (
        instance.instance_id,
        instance.data_centre,
        instance.host,
        cfg.controller.port,
    )


@pytest.mark.parametrize('folder', FOLDERS, ids=lambda folder: folder.name)
def test_bundle_fits_the_fleet(folder):
    parsed = parse_bundle_file((folder / 'bundle.yaml').read_text())
    assert parsed.is_ok(), [str(fault) for fault in parsed.error.faults]
    servers = fleet_of(folder)['servers']
    groups = {(server['kind'], server['group']) for server in servers}
    routes = {(route.kind, route.group) for route in parsed.ok.routes}
    assert routes == groups
    models = {server['base_model'] for server in servers} - {''}
    assert {section.base_model for section in parsed.ok.adapters} == models
    fencing = settings_of(folder)[0].servers.fencing
    assert set(fencing) < {server['server_id'] for server in servers}


@pytest.mark.parametrize('folder', FOLDERS, ids=lambda folder: folder.name)
def test_ports_do_not_collide(folder):
    ports = [server['port'] for server in fleet_of(folder)['servers']]
    ports.append(
        StandInOptions.from_file(folder / 'stand-ins.yaml').weights_port
    )
    settings = settings_of(folder)
    platform = settings[0].platform
    for url in (platform.kv.url, platform.instance_list.url):
        ports.append(int(url.rpartition(':')[2]))
    for cfg in settings:
        for program in (cfg.controller, cfg.admin, *cfg.entries):
            ports.extend((program.port, program.metrics_port))
    assert [port for port, count in Counter(ports).items() if count > 1] == []
    # Tests take their ports from this range, and may run at the same time.
    assert not set(ports) & set(range(FIRST_PORT, LAST_PORT + 1))
