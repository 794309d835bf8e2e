import collections

from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import errors

CODES = sorted({kind.code for kind in errors.iter_error_types()})
# TableRequiredError, which clients get, and TableUnavailableError, which the table
# client raises, share this code.
SHARED_CODES = {"table_unavailable"}


@given(
    code=st.sampled_from(CODES),
    message=st.text(),
    details=st.dictionaries(
        st.text() | st.sampled_from(["message", "self", "current_version"]), st.text()
    ),
)
def test_every_code_is_rebuilt_with_its_type(
    code: str, message: str, details: dict[str, str]
) -> None:
    """Guards against details of a reported error that crash its reconstruction."""
    error = errors.from_code(code, message, details)
    assert error.code == code
    assert type(error).code == code
    assert message in str(error)
    assert error.details == details


def test_a_conflict_keeps_its_versions() -> None:
    """Guards against a conflict that does not show operators both versions."""
    sent = errors.ConflictError("changed", expected_version=3, current_version=7)
    error = errors.from_code(sent.code, sent.message, sent.details)
    assert isinstance(error, errors.ConflictError)
    assert (error.expected_version, error.current_version) == (3, 7)


def declared_code(kind: type[errors.MarjoramgradeError]) -> str | None:
    return vars(kind).get("code")


def test_a_code_is_declared_by_one_type() -> None:
    """Guards against two failures that programs cannot distinguish."""
    declared = filter(None, map(declared_code, errors.iter_error_types()))
    count_by_code = collections.Counter(declared)
    assert {c for c, n in count_by_code.items() if n > 1} == SHARED_CODES


def test_a_type_with_an_inherited_code_is_rebuilt_as_its_ancestor() -> None:
    """Guards against a subtype whose `ran` changes when another process rebuilds it."""
    for kind in errors.iter_error_types():
        if declared_code(kind) is None:
            rebuilt = errors.from_code(kind.code, "", {})
            assert issubclass(kind, type(rebuilt))
            assert kind.ran is rebuilt.ran
