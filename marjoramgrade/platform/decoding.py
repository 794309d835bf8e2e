"""Exceptions that decoding a document of the platform can raise."""

import msgspec

# Raised for a missing field, a value of the wrong type, an unknown enumeration value,
# an entry that is not an object, or bytes that are not JSON.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    msgspec.DecodeError,
)
