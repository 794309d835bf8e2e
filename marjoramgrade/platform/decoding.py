"""What can go wrong when a document of the platform is read."""

import msgspec

# A missing field, a value of another type, an unknown word, an entry that is no
# object, or bytes that are no JSON.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    msgspec.DecodeError,
)
