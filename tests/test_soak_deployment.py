"""A fault reaches a server of the soak that has just been started again."""

import pytest
from test_dispatch import COMPLETE, ScriptedServer

from emulator.soak.deployment import Server, SoakDeployment


@pytest.mark.parametrize('lost', [['rst'], ['head', 'rst'], ['head', 'fin']])
def test_a_fault_is_sent_again_after_a_lost_connection(tmp_path, lost):
    """A play ended with an error as a server had crashed just then."""
    server = ScriptedServer(lost, ['head', COMPLETE])
    deployment = SoakDeployment(None, tmp_path, 1, 0)
    target = Server('desk-0', 'desk', 'north', server.port, 0)
    deployment.fault_server(target, kind='leave')
    assert server.connections == 2
