"""Frames between entry instances, encoded as Cap'n Proto.

Each message type has one encoder and one decoder, registered by decorators
under the name of its field in the frame's union; `peermessages` and `stepmessages`
register theirs.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import capnp
from cattrs import Converter
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from marjoramgrade import errors

MAX_FRAME_BYTES = 4 * 1_048_576
# Traversal limit of one frame in words; bounds the work of a hostile frame.
MAX_TRAVERSAL_WORDS = MAX_FRAME_BYTES // 4

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
        message_type: The attrs class.
        field: Name of the member of the frame's union.
        decode: Turns the member back into the attrs class.
    """

    def add(encode: Encoder) -> Encoder:
        codec = _Codec(field, encode, decode)
        _codec_by_type[message_type] = codec
        _codec_by_field[field] = codec
        return encode

    return add


@attrs.frozen
class PeerFrame:
    """One decoded frame; `body` is a message, a reply or an error."""

    correlation: int
    body: Any


@attrs.frozen
class Hello:
    """The first frame on a connection: who dialled."""

    instance_id: str


@attrs.frozen
class EmptyReply:
    """A reply without content."""


def serialize_frame(frame: PeerFrame) -> bytes:
    """Return the bytes of a frame.

    Raises:
        ProtocolError: If the body has no encoder.
        OversizedInputError: If the frame is larger than `MAX_FRAME_BYTES`.
    """
    body_type = type(frame.body)
    is_error = isinstance(frame.body, errors.MarjoramgradeError)
    if is_error and body_type not in _codec_by_type:
        body_type = errors.MarjoramgradeError
    codec = _codec_by_type.get(body_type)
    if codec is None:
        raise errors.ProtocolError(f"{body_type.__name__} has no encoding")
    content = {"correlation": frame.correlation, codec.field: codec.encode(frame.body)}
    data: bytes = _schema.Frame.new_message(**content).to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise errors.OversizedInputError(f"a frame of {len(data)} bytes is too large")
    return data


def parse_frame(data: bytes) -> PeerFrame:
    """Return the frame that these bytes hold.

    Raises:
        ProtocolError: If the bytes are no valid frame.
    """
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as frame:
            codec = _codec_by_field[frame.which()]
            body = codec.decode(getattr(frame, codec.field))
            return PeerFrame(frame.correlation, body)
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise errors.ProtocolError(f"invalid frame: {error}") from error


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
    """Return a converter between attrs classes and structs of the same fields."""
    converter = Converter()

    def unstructure(kind: type) -> Callable[[Any], Any]:
        return make_dict_unstructure_fn(kind, converter, **_renamed(kind))

    def structure(kind: type) -> Callable[[Any, Any], Any]:
        return make_dict_structure_fn(kind, converter, **_renamed(kind))

    converter.register_unstructure_hook_factory(attrs.has, unstructure)
    converter.register_structure_hook_factory(attrs.has, structure)
    converter.register_unstructure_hook(bytes, bytes)
    return converter


def _renamed(kind: type) -> dict[str, Any]:
    return {
        field.name: override(rename=_field_name(field.name))
        for field in attrs.fields(kind)
    }


def _field_name(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


converter = _make_converter()


def register_message_type(message_type: type) -> None:
    """Register a message type whose struct has the fields of the attrs class.

    Args:
        message_type: The attrs class; the member of the frame's union has its name.
    """
    attrs.resolve_types(message_type)
    name = message_type.__name__
    field = name[0].lower() + name[1:]

    def decode(data: Any) -> Any:
        return converter.structure(data.to_dict(verbose=True), message_type)

    encodes(message_type, field, decode)(converter.unstructure)
