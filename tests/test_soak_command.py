"""The soak command keeps the folder of a failed run when it runs again."""

import pytest
from click.testing import CliRunner

from emulator.soak import __main__ as command
from emulator.soak import play as playing
from emulator.soak.evidence import Evidence
from emulator.soak.schedule import encode, schedule_of

NOTHING = Evidence([], [], [], [], [], [], [], [], [], 0)


@pytest.fixture
def kept(tmp_path, monkeypatch):
    """The folder of a failed run of seed 7; later runs start no deployment."""

    class Deployment:
        def __init__(self, *args, **options):
            """Start nothing."""

        def start(self):
            """Start nothing."""

    async def nothing(*args):
        return NOTHING

    monkeypatch.setattr(playing, 'SoakDeployment', Deployment)
    monkeypatch.setattr(playing, '_play', nothing)
    folder = tmp_path / 'seed-7'
    folder.mkdir()
    (folder / 'schedule.json').write_text(encode(schedule_of(7, 9)))
    (folder / 'evidence').touch()
    return folder


def run(kept, *args):
    return CliRunner().invoke(
        command.main, ['--folder', str(kept.parent), *args]
    )


@pytest.mark.parametrize('broken', [[], ['a promise']])
@pytest.mark.parametrize('is_replay', [False, True])
def test_what_failed_stays(kept, monkeypatch, broken, is_replay):
    monkeypatch.setattr(playing, 'violations', lambda seen: broken)
    replay = ['--schedule', str(kept / 'schedule.json')] if is_replay else []
    result = run(kept, '--seeds', '7..7', *replay)
    assert result.exit_code == len(broken)
    assert (kept / 'evidence').exists()
    assert len(list(kept.parent.iterdir())) == 1 + len(broken)
