"""A specification of a protocol and what a walk over its states finds."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

#: A walk that meets more states than this is reported as undecided.
MAX_STATES = 1_000_000

NOTHING: frozenset[str] = frozenset()

Step = tuple[str, Any]
Action = Callable[[Any, frozenset[str]], Iterable[Step]]


class Spec(NamedTuple):
    """One protocol: its actions, its properties and what may be left out.

    :param name: the name under which ``python -m model NAME`` finds it.
    :param bounds: the limits of the walk in words.
    :param initial: the first state, a named tuple.
    :param actions: functions from a state and the names of the mechanisms
        left out to labelled next states.
    :param properties: predicates over a state by name.
    :param mechanisms: what each mechanism does, by name.
    :param optional: mechanisms that the properties hold without.
    """

    name: str
    bounds: str
    initial: Any
    actions: tuple[Action, ...]
    properties: dict[str, Callable[[Any], bool]]
    mechanisms: dict[str, str]
    optional: dict[str, str]


class Finding(NamedTuple):
    """The verdict on one property.

    :param holds: None when the walk was not exhaustive.
    :param trace: labels of the shortest way to a violation.
    """

    name: str
    holds: bool | None
    trace: tuple[str, ...]


class Walk(NamedTuple):
    """What one walk found.

    :param states: number of distinct states.
    :param depth: steps from the first state to the farthest one.
    """

    states: int
    depth: int
    findings: tuple[Finding, ...]

    @property
    def is_clean(self) -> bool:
        """Whether every property was shown to hold."""
        return all(finding.holds for finding in self.findings)


class _Numbering:
    """Numbers the states, so that the checker compares small tuples."""

    def __init__(
        self, spec: Spec, left_out: frozenset[str], stops: bool
    ) -> None:
        self._spec = spec
        self._left_out = left_out
        self._stops = stops
        self.stopped = False
        self._numbers = {spec.initial: 0}
        self._depths = [0]
        self.states = [spec.initial]

    @property
    def deepest(self) -> int:
        """Steps to the farthest state met so far."""
        return self._depths[-1]

    def expand(self, numbered: tuple[int]) -> list[Step]:
        """Return the labelled next states of one state."""
        number = numbered[0]
        state = self.states[number]
        self.stopped = self.stopped or self._stops and self._violates(state)
        if self.stopped:
            return []
        depth = self._depths[number] + 1
        return [
            (label, (self._number(following, depth),))
            for action in self._spec.actions
            for label, following in action(state, self._left_out)
        ]

    def _number(self, state: Any, depth: int) -> int:
        number = self._numbers.setdefault(state, len(self.states))
        if number == len(self.states):
            self.states.append(state)
            self._depths.append(depth)
        return number

    def _violates(self, state: Any) -> bool:
        return not all(holds(state) for holds in self._spec.properties.values())


def walk(spec: Spec, left_out: frozenset[str] = NOTHING) -> Walk:
    """Walk every state of a specification.

    With mechanisms left out the walk ends at the first violation, and what
    it has not violated by then stays undecided.

    :param left_out: names of the mechanisms to do without.
    """
    numbering = _Numbering(spec, left_out, stops=bool(left_out))
    report = check_safety(_protocol(spec, numbering), max_states=MAX_STATES)
    findings = tuple(
        _finding(name, found, numbering.stopped)
        for name, found in report['properties'].items()
    )
    return Walk(report['reachable_states'], numbering.deepest, findings)


def _finding(name: str, found: dict[str, Any], stopped: bool) -> Finding:
    holds = None if stopped and found['holds'] else found['holds']
    return Finding(name, holds, _labels(found['counterexample']))


def _protocol(spec: Spec, numbering: _Numbering) -> Protocol:
    return Protocol(
        name=spec.name,
        candidate=False,
        fields=('number',),
        initial=(0,),
        transitions=numbering.expand,
        invariants={
            name: _on_number(holds, numbering.states)
            for name, holds in spec.properties.items()
        },
    )


def _on_number(
    holds: Callable[[Any], bool], states: list[Any]
) -> Callable[[dict[str, int]], bool]:
    return lambda fields: holds(states[fields['number']])


def _labels(trace: list[dict[str, Any]] | None) -> tuple[str, ...]:
    return tuple(step['label'] for step in (trace or ())[1:])
