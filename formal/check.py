"""Checks every specification and prints a table: `python -m formal.check`.

`--deep` explores further steps; `--traces` also prints the runs that were found.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator

import attrs

from formal import (
    acceptance,
    config,
    grants_lemmas,
    ownership_lemmas,
    requests,
    takeover,
    tasks,
)
from formal.bounded import (
    Result,
    Spec,
    Verdict,
    check_all_invariants,
    check_goal,
    check_induction,
    check_invariant,
)

# Number of steps to which CI explores every interleaving. Each further step takes
# about twice as long as the previous one, and all checks together must stay under
# 90 s on one core.
OWNERSHIP_DEPTH = 6
TASKS_DEPTH = 8
GRANTS_DEPTH = 6
CONFIG_DEPTH = 5
REQUESTS_DEPTH = 8
ACCEPTANCE_DEPTH = 12
TAKEOVER_DEPTH = 24
# Maximum length of a run to a goal or to the violation that a mutation causes.
WITNESS_DEPTH = 13
# Steps that `--deep` adds; CI does not run it.
DEEP_STEPS = 2


@attrs.frozen
class Bound:
    """A specification and the number of steps to which CI explores it."""

    spec: Spec
    depth: int


BOUNDS = (
    Bound(ownership_lemmas.SPEC, OWNERSHIP_DEPTH),
    Bound(tasks.SPEC, TASKS_DEPTH),
    Bound(grants_lemmas.SPEC, GRANTS_DEPTH),
    Bound(config.SPEC, CONFIG_DEPTH),
    Bound(requests.SPEC, REQUESTS_DEPTH),
    Bound(acceptance.SPEC, ACCEPTANCE_DEPTH),
    Bound(takeover.SPEC, TAKEOVER_DEPTH),
)


@attrs.frozen
class Case:
    """One row of the table.

    Attributes:
        bound: The specification and its depth.
        subject: The invariant or goal; empty for all invariants.
        mutation: The active mutation; empty for none.
        expected: The verdict of a correct specification.
    """

    bound: Bound
    subject: str
    mutation: str
    expected: Verdict

    def __str__(self) -> str:
        parts = (self.bound.spec.name, self.subject or "all invariants", self.mutation)
        return ": ".join(part for part in parts if part)

    def run(self, further_steps: int = 0) -> Result:
        """Run the check; `further_steps` extends only the check of all invariants."""
        spec = self.bound.spec
        if self.expected is Verdict.HOLDS:
            return check_all_invariants(spec, self.bound.depth + further_steps)
        if self.expected is Verdict.INDUCTIVE:
            return check_induction(spec)
        if self.expected is Verdict.REACHED:
            return check_goal(spec, self.subject, WITNESS_DEPTH)
        return check_invariant(spec, self.subject, WITNESS_DEPTH, self.mutation)


def iter_cases() -> Iterator[Case]:
    """Yield every check of every specification."""
    for bound in BOUNDS:
        spec = bound.spec
        yield Case(bound, "", "", Verdict.HOLDS)
        if spec.lemmas:
            yield Case(bound, "", "", Verdict.INDUCTIVE)
        for goal in spec.goals:
            yield Case(bound, goal, "", Verdict.REACHED)
        for mutation, invariant in spec.mutations.items():
            yield Case(bound, invariant, mutation, Verdict.VIOLATED)


def main(arguments: list[str]) -> int:
    """Print the table; return 1 if any verdict differs from the expected one."""
    further_steps = DEEP_STEPS if "--deep" in arguments else 0
    unexpected, seconds = 0, 0.0
    print(f"{'property':<46} {'mutation':<48} {'bound':>5} {'verdict':<13} seconds")
    for case in iter_cases():
        result = case.run(further_steps)
        seconds += result.seconds
        subject = f"{case.bound.spec.name}: {case.subject or 'all invariants'}"
        print(
            f"{subject:<46} {case.mutation or '-':<48} {result.depth:>5} "
            f"{result.verdict.value:<13} {result.seconds:7.1f}",
            flush=True,
        )
        if result.verdict is not case.expected:
            unexpected += 1
            print("  unexpected; trace: " + "; ".join(result.trace))
        elif "--traces" in arguments and result.trace:
            print("  " + "; ".join(result.trace))
    print(f"{unexpected} unexpected verdicts, {seconds:.1f} s")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
