"""Walk the specifications and print what was found.

``python -m model [NAME ...]`` walks all or the named specifications: as they
are, and with each mechanism left out in turn.  Exit code 1 tells that a
property does not hold, or that a mechanism is not needed.
"""

import sys

from model import (
    bundles,
    claims,
    continuations,
    evictions,
    outages,
    visitors,
)
from model.spec import Finding, Spec, Walk, walk

SPECS = (
    evictions.SPEC,
    visitors.SPEC,
    outages.SPEC,
    continuations.SPEC,
    claims.SPEC,
    bundles.SPEC,
)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _say_finding(finding: Finding) -> None:
    if finding.holds is None:
        return
    verdict = 'holds' if finding.holds else 'VIOLATED'
    _say(f'    {finding.name}: {verdict}')
    for step in finding.trace:
        _say(f'        {step}')


def _say_walk(title: str, found: Walk) -> None:
    _say(f'  {title}: {found.states} states, depth {found.depth}')
    for finding in found.findings:
        _say_finding(finding)


def check(spec: Spec) -> bool:
    """Walk a specification; return whether all is as it should be."""
    _say(f'{spec.name} ({spec.bounds})')
    whole = walk(spec)
    _say_walk('all mechanisms', whole)
    is_good = whole.is_clean
    for name, purpose in (spec.mechanisms | spec.optional).items():
        found = walk(spec, frozenset((name,)))
        _say_walk(f'without {name} ({purpose})', found)
        is_good = is_good and found.is_clean == (name in spec.optional)
    return is_good


def main() -> int:
    """Check the specifications that the arguments name."""
    wanted = sys.argv[1:] or [spec.name for spec in SPECS]
    results = [check(spec) for spec in SPECS if spec.name in wanted]
    return 0 if results and all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
