import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import jsontext
from marjoramgrade.errors import InvalidInputError, OversizedInputError
from tests import strategies


@given(st.binary(max_size=200) | st.text(max_size=200))
def test_arbitrary_text_raises_only_typed_errors(data: bytes | str) -> None:
    """Guards against untrusted input that crashes the parser."""
    try:
        jsontext.parse_text(data)
    except InvalidInputError as error:
        assert error.message


@pytest.mark.parametrize("depth", [17, 100_000])
def test_deep_nesting_is_refused(depth: int) -> None:
    """Guards against a document that exhausts the stack."""
    with pytest.raises(OversizedInputError):
        jsontext.parse_text("[" * depth + "]" * depth)


@pytest.mark.parametrize(
    "data", ['{"a":1,"a":2}', "NaN", "9" * 5000, b"\xff\xfe\x00", ""]
)
def test_text_that_readers_understand_differently_is_refused(
    data: bytes | str,
) -> None:
    """Guards against duplicate names and numbers that JSON does not allow."""
    with pytest.raises(InvalidInputError):
        jsontext.parse_text(data)


def test_a_text_over_its_bound_is_refused_before_it_is_read() -> None:
    """Guards against memory spent on parsing a text that will be refused."""
    with pytest.raises(OversizedInputError):
        jsontext.parse_text(b"[1,2,3]", max_bytes=5)


@given(strategies.specs)
def test_text_is_one_line(spec: object) -> None:
    """Guards against a payload with line breaks that splits a JSON line."""
    from marjoramgrade import documents

    document = documents.serialize_job_spec(spec)  # type: ignore[arg-type]
    line = jsontext.serialize_text(document)
    assert "\n" not in line
    assert jsontext.parse_text(line) == document


@pytest.mark.parametrize("text", ['"\\ud800"', b'{"\\udfff": 1}', b'["a\\uDC00b"]'])
def test_half_of_a_surrogate_pair_is_refused(text):
    # Guards against a text that is read and that nothing can write again.
    with pytest.raises(InvalidInputError):
        jsontext.parse_text(text)


def test_escaped_characters_are_read():
    assert jsontext.parse_text(b'"\\ud83d\\ude00 \\u00e9"') == "\U0001f600 \u00e9"
