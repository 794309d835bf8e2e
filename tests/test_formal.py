import pytest

from formal.bounded import Verdict
from formal.check import BOUNDS, Case, iter_cases
from formal.ownership import SPEC

CASES = list(iter_cases())


@pytest.mark.parametrize("case", CASES, ids=str)
def test_each_check_gives_the_expected_verdict(case: Case) -> None:
    """Guards against faults of the protocol and against checks that can't fail.

    The invariants must hold, every mutation must violate its invariant, and every
    goal must be reached, so a specification without reachable steps fails.
    """
    result = case.run()
    assert result.verdict is case.expected, result.trace


def test_each_invariant_has_a_mutation() -> None:
    """Guards against an invariant that no mutation violates."""
    for bound in BOUNDS:
        assert set(bound.spec.mutations.values()) == set(bound.spec.invariants)


def test_an_unknown_mutation_is_refused() -> None:
    """Guards against a misspelt mutation, which would have no effect."""
    case = Case(BOUNDS[0], "one_holder", "no such mutation", Verdict.VIOLATED)
    with pytest.raises(ValueError, match=SPEC.name):
        case.run()
