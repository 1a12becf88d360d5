"""Walk the specifications and print the results.

``python -m model [NAME ...]`` walks all or the named specifications: with all
mechanisms, and with each mechanism omitted in turn.  The exit code is 1 if a
property does not hold, or if a mechanism turns out not to be needed.
"""

import sys

from model import (
    bundles,
    claims,
    continuations,
    evictions,
    outages,
    owner_records,
    visitors,
)
from model.spec import PropertyResult, Spec, WalkResult, walk

SPECS = (
    evictions.SPEC,
    visitors.SPEC,
    outages.SPEC,
    continuations.SPEC,
    claims.SPEC,
    bundles.SPEC,
    owner_records.SPEC,
)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _print_result(result: PropertyResult) -> None:
    if result.holds is None:
        return
    verdict = 'holds' if result.holds else 'VIOLATED'
    _print(f'    {result.name}: {verdict}')
    for step in result.trace:
        _print(f'        {step}')


def _print_walk(title: str, found: WalkResult) -> None:
    _print(f'  {title}: {found.states} states, depth {found.depth}')
    for result in found.results:
        _print_result(result)


def check(spec: Spec) -> bool:
    """Walk a specification; return whether the results are as expected."""
    _print(f'{spec.name} ({spec.bounds})')
    complete = walk(spec)
    _print_walk('all mechanisms', complete)
    is_expected = complete.is_clean
    for name, purpose in (spec.mechanisms | spec.optional).items():
        found = walk(spec, frozenset((name,)))
        _print_walk(f'without {name} ({purpose})', found)
        is_expected = is_expected and found.is_clean == (name in spec.optional)
    return is_expected


def main() -> int:
    """Check the specifications that the arguments name."""
    names = sys.argv[1:] or [spec.name for spec in SPECS]
    results = [check(spec) for spec in SPECS if spec.name in names]
    return 0 if results and all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
