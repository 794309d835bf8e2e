import collections

from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import errors

CODES = sorted({kind.code for kind in errors.iter_error_types()})
# Two types share this code: callers see one reason, the table client another.
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
    """Guards against a reported error whose details crash the caller."""
    error = errors.from_code(code, message, details)
    assert error.code == code
    assert type(error).code == code
    assert message in str(error)
    assert error.details == details


def test_a_conflict_keeps_its_versions() -> None:
    """Guards against operators who cannot see which version won."""
    sent = errors.ConflictError("changed", expected_version=3, current_version=7)
    error = errors.from_code(sent.code, sent.message, sent.details)
    assert isinstance(error, errors.ConflictError)
    assert (error.expected_version, error.current_version) == (3, 7)


def test_a_code_names_one_type() -> None:
    """Guards against two failures that programs cannot tell apart."""
    count_by_code = collections.Counter(
        kind.code
        for kind in errors.iter_error_types()
        if kind.__module__ == "marjoramgrade.errors"
    )
    assert {c for c, n in count_by_code.items() if n > 1} == SHARED_CODES
