import pytest

from formal.bounded import Verdict
from formal.check import BOUNDS, Case, iter_cases
from formal.ownership import SPEC

CASES = list(iter_cases())


@pytest.mark.parametrize("case", CASES, ids=str)
def test_each_check_gives_the_expected_verdict(case: Case) -> None:
    """Guards against a fault of the protocol and against checks that see nothing.

    The invariants must hold, every mutation must violate its invariant, and
    every goal must be reached, so a specification that can do nothing fails.
    """
    result = case.run()
    assert result.verdict is case.expected, result.trace


def test_each_invariant_has_a_mutation() -> None:
    """Guards against an invariant that no fault can violate."""
    for bound in BOUNDS:
        assert set(bound.spec.mutations.values()) == set(bound.spec.invariants)


def test_an_unknown_mutation_is_refused() -> None:
    """Guards against a misspelt mutation that changes nothing."""
    case = Case(BOUNDS[0], "one_holder", "no such mutation", Verdict.VIOLATED)
    with pytest.raises(ValueError, match=SPEC.name):
        case.run()
