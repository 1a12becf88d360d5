"""A specification of a protocol and what a walk over its states finds."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

#: A walk that meets more states than this is reported as undecided.
MAX_STATES = 3_000_000

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
    :param assumptions: what the protocol takes for granted, by name; left
        out in the same way as a mechanism.
    """

    name: str
    bounds: str
    initial: Any
    actions: tuple[Action, ...]
    properties: dict[str, Callable[[Any], bool]]
    mechanisms: dict[str, str]
    assumptions: dict[str, str]


class Finding(NamedTuple):
    """The verdict on one property.

    :param holds: None when the walk was not exhaustive.
    :param trace: labels of the shortest way to a violation.
    """

    name: str
    holds: bool | None
    trace: tuple[str, ...]


class Walk(NamedTuple):
    """What one exhaustive walk found.

    :param states: number of distinct states.
    :param depth: steps from the first state to the farthest one.
    """

    states: int
    depth: int
    findings: tuple[Finding, ...]


class _Depths:
    """Depth of each state, counted while the checker expands states."""

    def __init__(self, spec: Spec, left_out: frozenset[str]) -> None:
        self._spec = spec
        self._left_out = left_out
        self._depths = {spec.initial: 0}
        self.deepest = 0

    def expand(self, state: Any) -> list[Step]:
        """Return the labelled next states of one state."""
        steps = [
            step
            for action in self._spec.actions
            for step in action(state, self._left_out)
        ]
        depth = self._depths[state] + 1
        for _, following in steps:
            if following not in self._depths:
                self._depths[following] = depth
                self.deepest = max(self.deepest, depth)
        return steps


def walk(spec: Spec, left_out: frozenset[str] = frozenset()) -> Walk:
    """Walk every state of a specification.

    :param left_out: names of the mechanisms or assumptions to do without.
    """
    depths = _Depths(spec, left_out)
    report = check_safety(_protocol(spec, depths), max_states=MAX_STATES)
    findings = tuple(
        Finding(name, found['holds'], _labels(found['counterexample']))
        for name, found in report['properties'].items()
    )
    return Walk(report['reachable_states'], depths.deepest, findings)


def _protocol(spec: Spec, depths: _Depths) -> Protocol:
    state_type = type(spec.initial)
    return Protocol(
        name=spec.name,
        candidate=False,
        fields=state_type._fields,
        initial=spec.initial,
        transitions=depths.expand,
        invariants={
            name: _on_fields(predicate, state_type)
            for name, predicate in spec.properties.items()
        },
    )


def _on_fields(
    predicate: Callable[[Any], bool],
    state_type: Any,
) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: predicate(state_type(**fields))


def _labels(trace: list[dict[str, Any]] | None) -> tuple[str, ...]:
    return tuple(step['label'] for step in (trace or ())[1:])
