"""Specifications of protocols, and exhaustive walks over their states."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

#: A walk that reaches more states than this leaves the properties undecided.
MAX_STATES = 1_000_000

NOTHING: frozenset[str] = frozenset()

Step = tuple[str, Any]
Action = Callable[[Any, frozenset[str]], Iterable[Step]]


class Spec(NamedTuple):
    """One protocol: its actions, properties and mechanisms.

    :param name: name of the specification for ``python -m model NAME``.
    :param bounds: bounds of the walk, as text.
    :param initial: the initial state, a named tuple.
    :param actions: functions from a state and the names of the omitted
        mechanisms to labelled successor states.
    :param properties: safety properties by name: predicates over a state.
    :param mechanisms: descriptions, by name, of the mechanisms that the
        properties need.
    :param optional: descriptions, by name, of the mechanisms that the
        properties don't need.
    """

    name: str
    bounds: str
    initial: Any
    actions: tuple[Action, ...]
    properties: dict[str, Callable[[Any], bool]]
    mechanisms: dict[str, str]
    optional: dict[str, str]


class PropertyResult(NamedTuple):
    """The result of a walk for one property.

    :param holds: whether the property holds; None if undecided, as the walk
        was not exhaustive.
    :param trace: labels of the steps of a shortest violation.
    """

    name: str
    holds: bool | None
    trace: tuple[str, ...]


class WalkResult(NamedTuple):
    """The result of one walk.

    :param states: number of distinct states reached.
    :param depth: steps from the initial state to the farthest one.
    :param results: results of the properties.
    """

    states: int
    depth: int
    results: tuple[PropertyResult, ...]

    @property
    def is_clean(self) -> bool:
        """Whether every property holds."""
        return all(result.holds for result in self.results)


class _StateNumbering:
    """Numbers the states, so that the checker handles small tuples only.

    :param spec: the specification.
    :param omitted: names of the omitted mechanisms.
    :param stops_at_violation: whether to expand no more states after one
        that violates a property.
    """

    def __init__(
        self, spec: Spec, omitted: frozenset[str], stops_at_violation: bool
    ) -> None:
        self._spec = spec
        self._omitted = omitted
        self._stops_at_violation = stops_at_violation
        self.stopped = False
        self._numbers = {spec.initial: 0}
        self._depths = [0]
        self.states = [spec.initial]

    @property
    def depth_reached(self) -> int:
        """Steps from the initial state to the farthest one so far."""
        return self._depths[-1]

    def expand(self, numbered: tuple[int]) -> list[Step]:
        """Return the labelled successors of one state."""
        number = numbered[0]
        state = self.states[number]
        self.stopped = (
            self.stopped or self._stops_at_violation and self._violates(state)
        )
        if self.stopped:
            return []
        depth = self._depths[number] + 1
        return [
            (label, (self._number(successor, depth),))
            for action in self._spec.actions
            for label, successor in action(state, self._omitted)
        ]

    def _number(self, state: Any, depth: int) -> int:
        number = self._numbers.setdefault(state, len(self.states))
        if number == len(self.states):
            self.states.append(state)
            self._depths.append(depth)
        return number

    def _violates(self, state: Any) -> bool:
        return not all(holds(state) for holds in self._spec.properties.values())


def walk(spec: Spec, omitted: frozenset[str] = NOTHING) -> WalkResult:
    """Walk all reachable states of a specification.

    With omitted mechanisms the walk ends at the first violation, and the
    properties that are not violated by then stay undecided.

    :param spec: the specification.
    :param omitted: names of the mechanisms to omit.
    """
    numbering = _StateNumbering(spec, omitted, stops_at_violation=bool(omitted))
    report = check_safety(_protocol(spec, numbering), max_states=MAX_STATES)
    results = tuple(
        _property_result(name, found, numbering.stopped)
        for name, found in report['properties'].items()
    )
    return WalkResult(
        report['reachable_states'], numbering.depth_reached, results
    )


def _property_result(
    name: str, found: dict[str, Any], stopped: bool
) -> PropertyResult:
    holds = None if stopped and found['holds'] else found['holds']
    return PropertyResult(name, holds, _labels(found['counterexample']))


def _protocol(spec: Spec, numbering: _StateNumbering) -> Protocol:
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
