"""Compare designs for streams of two software versions.

``python -m model.stream_versions [SEED]`` prints, for each setup, scenario and
design: the streams joined of two versions, the share of the interrupted
streams that go on while two servers of their version serve, and the same in
the worst 5 s.  Then, over all scenarios, also the least share of new streams
that begin and for how long first events wait (median, longest, seconds); at
last the costs and the balance.
"""

from __future__ import annotations

import sys
from typing import NamedTuple

from model.stream_balance import print_balance
from model.stream_costs import print_costs
from model.stream_designs import DESIGNS, Design, Stream
from model.stream_worlds import (
    END_S,
    SCENARIOS,
    TIME_LIMIT_S,
    Scenario,
    World,
)

_RETRIES = 3
_WINDOW_S = 5
#: Least number of interrupted streams in a window that is looked at.
_LEAST = 12


class Setup(NamedTuple):
    """Size of a system.

    :param gateways: number of gateways.
    :param servers: number of servers.
    :param rate: simulated streams a second.
    :param runs: number of runs.
    """

    gateways: int
    servers: int
    rate: float
    runs: int


#: The last one has one stream in 90 of 9,000 a second.
SETUPS = (Setup(7, 6, 3, 24), Setup(7, 6, 14, 8), Setup(360, 60, 100, 1))


class Tally:
    """Counts of the runs of one design in one scenario."""

    def __init__(self) -> None:
        self.joined = 0
        self.asked = 0
        self.begun = 0
        self.waits_s: list[float] = []
        self.taken_up: list[tuple[float, bool]] = []

    @property
    def share(self) -> float:
        """Share of the interrupted streams that go on."""
        return _share([went for _, went in self.taken_up])

    @property
    def worst(self) -> float:
        """That share in the worst window of 5 s with enough of them."""
        shares = [1.0]
        for start_s in range(int(END_S)):
            went = [
                each
                for when_s, each in self.taken_up
                if start_s <= when_s < start_s + _WINDOW_S
            ]
            if len(went) >= _LEAST:
                shares.append(_share(went))
        return min(shares)


def simulate(
    design: Design, scenario: Scenario, setup: Setup, seed: int
) -> Tally:
    """Return the counts of the runs of one design in one scenario."""
    tally = Tally()
    for run in range(setup.runs):
        world = World(
            scenario, setup.gateways, setup.servers, seed * 1000 + run
        )
        asked_s = 2.0
        while asked_s < END_S - TIME_LIMIT_S:
            asked_s += world.random.expovariate(setup.rate)
            _play(world, design, tally, asked_s)
    return tally


def _play(world: World, design: Design, tally: Tally, asked_s: float) -> None:
    """Begin one stream and take it up as often as it breaks."""
    gateway = world.pick_gateway(asked_s)
    if gateway is None:
        return
    tally.asked += 1
    id_ = f'{world.random.getrandbits(64):016x}'
    wanted = design.begin(world, gateway, id_, asked_s)
    server = _pick_server(world, wanted, gateway, asked_s)
    if server is None:
        return
    event_s = asked_s + world.random.uniform(0.1, 0.5)
    first_s = design.first_s(world, gateway, event_s)
    broken_s = world.breaks_s(gateway, server, asked_s)
    if first_s > asked_s + TIME_LIMIT_S:
        return
    tally.begun += 1
    tally.waits_s.append(first_s - event_s)
    if broken_s < first_s:
        return
    version = world.servers[server].version
    stream = Stream(id_, asked_s, first_s, gateway, version)
    end_s = first_s + world.random.uniform(1, 4)
    _Tries(world, design, stream).run(tally, broken_s, end_s)


class _Tries:
    """The tries of a caller to take up one stream.

    :param is_joined: whether servers of two versions have written it.
    """

    def __init__(self, world: World, design: Design, stream: Stream) -> None:
        self._world = world
        self._design = design
        self._stream = stream
        self._left = _RETRIES
        self.is_joined = False

    def run(self, tally: Tally, broken_s: float, end_s: float) -> None:
        """Take a stream up until it ends or no try is left."""
        while broken_s < end_s and self._left:
            taken = self._take_up(tally, broken_s)
            if taken is None:
                break
            now_s, gateway, server = taken
            version = self._world.servers[server].version
            self.is_joined = self.is_joined or version != self._stream.version
            end_s += now_s - broken_s
            broken_s = self._world.breaks_s(gateway, server, now_s)
        tally.joined += self.is_joined

    def _take_up(
        self, tally: Tally, broken_s: float
    ) -> tuple[float, int, int] | None:
        """Return when and where a broken stream goes on, if it does."""
        now_s = broken_s
        is_eligible = False
        taken = None
        while self._left and taken is None:
            now_s += self._world.random.uniform(0.05, 0.3)
            if now_s > self._stream.asked_s + TIME_LIMIT_S:
                break
            gateway = self._world.pick_gateway(now_s)
            if gateway is not None:
                serving = self._world.serving(self._stream.version, now_s)
                is_eligible = is_eligible or len(serving) > 1
                self._left -= 1
                taken = self._try(gateway, now_s)
        if is_eligible:
            tally.taken_up.append((broken_s, taken is not None))
        return taken

    def _try(self, gateway: int, now_s: float) -> tuple[float, int, int] | None:
        wanted = self._design.resume(self._world, gateway, self._stream, now_s)
        server = _pick_server(self._world, wanted, gateway, now_s)
        return None if server is None else (now_s, gateway, server)


def _pick_server(
    world: World, wanted: str | None, gateway: int, now_s: float
) -> int | None:
    """Return a server for a stream, None if it is refused.

    A gateway that doesn't reach the store knows only the servers of before.
    """
    if wanted is None:
        return None
    serving = world.serving(wanted, now_s)
    lost_s = world.lost_touch_s(gateway, now_s)
    if lost_s is not None:
        serving = [
            each for each in serving if world.servers[each].from_s <= lost_s
        ]
    return world.random.choice(serving) if serving else None


def _share(flags: list[bool]) -> float:
    return sum(flags) / len(flags) if flags else 1.0


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _cell(tally: Tally) -> str:
    return f'{tally.joined}, {tally.share:.2f}, {tally.worst:.2f}'


def _summary(tallies: list[Tally]) -> str:
    """Return the figures of one design over all scenarios."""
    waits_s = sorted(wait_s for each in tallies for wait_s in each.waits_s)
    begun = min(each.begun / max(1, each.asked) for each in tallies)
    return (
        f'{sum(each.joined for each in tallies)}'
        f' | {min(each.share for each in tallies):.2f}'
        f' | {min(each.worst for each in tallies):.2f} | {begun:.3f}'
        f' | {waits_s[len(waits_s) // 2]:.2f} | {waits_s[-1]:.2f}'
    )


def _print_setup(setup: Setup, seed: int) -> None:
    """Print the figures of one setup."""
    _print(f'\n{setup}, seed {seed}: joined, share that goes on, worst 5 s\n')
    names = [design.name for design in DESIGNS]
    _print(f'| scenario | {" | ".join(names)} |')
    by_design: dict[str, list[Tally]] = {name: [] for name in names}
    for scenario in SCENARIOS:
        for design in DESIGNS:
            tally = simulate(design, scenario, setup, seed)
            by_design[design.name].append(tally)
        cells = [_cell(by_design[name][-1]) for name in names]
        _print(f'| {scenario.name} | {" | ".join(cells)} |')
    _print('\n| design | joined | share | worst 5 s | begun | waits |')
    for name, tallies in by_design.items():
        _print(f'| {name} | {_summary(tallies)} |')


def main(seed: int) -> None:
    """Print all figures."""
    for setup in SETUPS:
        _print_setup(setup, seed)
    print_costs(DESIGNS)
    print_balance(seed)


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
