"""Frames between entry instances, encoded as Cap'n Proto.

Each message type has one encoder and one decoder, registered by a decorator
under the name of its field in the frame's union. Importing `peermessages` and
`stepmessages` registers the message types of those modules.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import capnp
from cattrs import Converter
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from marjoramgrade import errors

MAX_FRAME_BYTES = 4 * 1_048_576
# Cap'n Proto traversal limit of one frame, in 8-byte words; bounds the cost of decoding
# a malicious frame.
MAX_TRAVERSAL_WORDS = MAX_FRAME_BYTES // 4

# A value that its message type does not allow raises some of these.
_DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    BaseValidationError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    capnp.KjException,
    errors.InvalidInputError,
)
# A value that a field of the frame cannot hold raises some of these.
_ENCODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    TypeError,
    ValueError,
    capnp.KjException,
)

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

Encoder = Callable[[Any], Any]
Decoder = Callable[[Any], Any]


@attrs.frozen
class _Codec:
    field: str
    encode: Encoder
    decode: Decoder


_codec_by_type: dict[type, _Codec] = {}
_codec_by_field: dict[str, _Codec] = {}


def encodes(message_type: type, field: str, decode: Decoder) -> Callable[..., Any]:
    """Return a decorator that registers the encoder of a message type.

    Args:
        message_type: Type of the decoded message.
        field: Name of the field in the frame's union.
        decode: Turns the value of the field into an instance of the type.
    """

    def add(encode: Encoder) -> Encoder:
        codec = _Codec(field, encode, decode)
        _codec_by_type[message_type] = codec
        _codec_by_field[field] = codec
        return encode

    return add


@attrs.frozen
class PeerFrame:
    """One decoded frame.

    Attributes:
        correlation: Number that matches a reply to its call; 0 if no reply is
            expected.
        body: A message, a reply or an error.
    """

    correlation: int
    body: Any


@attrs.frozen
class Hello:
    """The first message on a connection; identifies the connecting instance."""

    instance_id: str


@attrs.frozen
class EmptyReply:
    """A reply without content."""


def serialize_frame(frame: PeerFrame) -> bytes:
    """Encode a frame; an error without its own encoder is sent by its code.

    Raises:
        ProtocolError: If no encoder is registered for the body, or a value of it does
            not fit its field.
        OversizedInputError: If the frame is larger than `MAX_FRAME_BYTES`.
    """
    body_type = type(frame.body)
    is_error = isinstance(frame.body, errors.MarjoramgradeError)
    if is_error and body_type not in _codec_by_type:
        body_type = errors.MarjoramgradeError
    codec = _codec_by_type.get(body_type)
    if codec is None:
        raise errors.ProtocolError(f"no encoder is registered for {body_type.__name__}")
    try:
        content = codec.encode(frame.body)
        message = {"correlation": frame.correlation, codec.field: content}
        data: bytes = _schema.Frame.new_message(**message).to_bytes()
    except _ENCODE_ERRORS as error:
        raise errors.ProtocolError(
            f"{body_type.__name__} cannot be encoded: {error!r:.200}"
        ) from None
    if len(data) > MAX_FRAME_BYTES:
        raise errors.OversizedInputError(
            f"frame of {len(data)} bytes exceeds the maximum size"
        )
    return data


def parse_frame(data: bytes) -> PeerFrame:
    """Decode a frame.

    Raises:
        ProtocolError: If the bytes are not a valid frame.
    """
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as frame:
            codec = _codec_by_field[frame.which()]
            body = codec.decode(getattr(frame, codec.field))
            return PeerFrame(frame.correlation, body)
    except _DECODE_ERRORS as error:
        raise errors.ProtocolError(f"invalid frame: {error!r:.200}") from None


@encodes(Hello, "hello", Hello)
def _serialize_hello(hello: Hello) -> str:
    return hello.instance_id


@encodes(EmptyReply, "done", lambda _: EmptyReply())
def _serialize_done(_: EmptyReply) -> None:
    return None


def _parse_failure(data: Any) -> errors.MarjoramgradeError:
    details = {entry.name: entry.value for entry in data.details}
    return errors.from_code(data.code, data.message, details)


@encodes(errors.MarjoramgradeError, "failure", _parse_failure)
def _serialize_failure(error: errors.MarjoramgradeError) -> dict[str, Any]:
    details = [{"name": name, "value": str(v)} for name, v in error.details.items()]
    return {"code": error.code, "message": error.message, "details": details}


def _make_converter() -> Converter:
    """Return a converter between attrs classes and Cap'n Proto structs.

    The structs have the same fields as the classes, named in camel case.
    """
    converter = Converter()

    def unstructure(kind: type) -> Callable[[Any], Any]:
        return make_dict_unstructure_fn(kind, converter, **_make_overrides(kind))

    def structure(kind: type) -> Callable[[Any, Any], Any]:
        return make_dict_structure_fn(kind, converter, **_make_overrides(kind))

    converter.register_unstructure_hook_factory(attrs.has, unstructure)
    converter.register_structure_hook_factory(attrs.has, structure)
    converter.register_unstructure_hook(bytes, bytes)
    return converter


def _make_overrides(kind: type) -> dict[str, Any]:
    return {
        field.name: override(rename=_to_camel_case(field.name))
        for field in attrs.fields(kind)
    }


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


converter = _make_converter()


def register_message_type(message_type: type) -> None:
    """Register a message type whose Cap'n Proto struct has the same fields.

    Args:
        message_type: The attrs class. The field in the frame's union has its name,
            with a lower-case first letter.
    """
    attrs.resolve_types(message_type)
    name = message_type.__name__
    field = name[0].lower() + name[1:]

    def decode(data: Any) -> Any:
        return converter.structure(data.to_dict(verbose=True), message_type)

    encodes(message_type, field, decode)(converter.unstructure)
