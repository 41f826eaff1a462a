"""JSON, YAML and MessagePack by `msgspec`, checked against generated types."""

import typing

import msgspec
import result

Message = typing.TypeVar('Message')


class DecodeError(typing.NamedTuple):
    """Bytes that are not the message they should be."""

    #: Path inside the message and what is wrong with it.
    detail: str


def encode_json(message: object) -> bytes:
    """Returns `message` as compact JSON."""
    return msgspec.json.encode(message)


def encode_packed(message: object) -> bytes:
    """Returns `message` as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_json(
    raw: bytes,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Decodes JSON into `kind`."""
    try:
        return result.Ok(msgspec.json.decode(raw, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(DecodeError(str(error)))


def decode_packed(
    raw: bytes,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Decodes MessagePack into `kind`."""
    try:
        return result.Ok(msgspec.msgpack.decode(raw, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(DecodeError(str(error)))


def decode_yaml(
    raw: bytes,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Decodes YAML into `kind`."""
    try:
        return result.Ok(msgspec.yaml.decode(raw, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(DecodeError(str(error)))


def convert(
    plain: object,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Checks plain data (maps, lists, scalars) against `kind`."""
    try:
        return result.Ok(msgspec.convert(plain, type=kind))
    except msgspec.ValidationError as error:
        return result.Err(DecodeError(str(error)))
