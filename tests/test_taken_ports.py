"""A program whose port is taken ends, rather than living without serving."""

import socket

import pytest

from emulator.deployment import Deployment
from emulator.fleet import ProgramFailed, Runner
from emulator.shape import Shape
from wasabicross.options import EXIT_PORT


@pytest.fixture
def deployment(tmp_path):
    shape = Shape(data_centres=('north',))
    with Runner(tmp_path / 'logs') as runner:
        yield Deployment(shape, runner, tmp_path)


@pytest.mark.parametrize('kind', ['entries', 'admins', 'controllers'])
def test_program_ends_if_its_port_is_taken(deployment, kind):
    place = getattr(deployment, kind)[0]
    deployment.start_platform()
    with socket.create_server(('127.0.0.1', place.port)):
        try:
            deployment.start_programs()
        except ProgramFailed as exc:
            assert place.name in str(exc)
        assert deployment.runner.wait(place.name, 10) == EXIT_PORT
    assert 'Address already in use' in deployment.runner.log_tail(place.name)
