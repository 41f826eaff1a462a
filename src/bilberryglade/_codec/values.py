"""MessagePack of immutable values: `NamedTuple`s and maps of them.

Equal values give equal bytes: maps are written as pairs in key order. A type
may get new fields only at its end and with defaults; then older bytes can
still be read.
"""

import typing

import immutables
import msgspec
import result

from bilberryglade._codec import codec

Value = typing.TypeVar('Value')


def encode_value(value: object) -> bytes:
    """Returns `value` as MessagePack."""
    return msgspec.msgpack.encode(value, enc_hook=_plain)


def decode_value(
    raw: bytes,
    kind: type[Value],
) -> result.Result[Value, codec.DecodeError]:
    """Decodes MessagePack into the value type `kind`."""
    return codec.attempt(
        lambda: msgspec.msgpack.decode(raw, type=kind, dec_hook=_restored),
    )


def _plain(value: typing.Any) -> typing.Any:
    if isinstance(value, immutables.Map):
        return sorted(value.items(), key=lambda pair: pair[0])
    raise NotImplementedError(type(value).__name__)


def _restored(kind: typing.Any, plain: typing.Any) -> typing.Any:
    if typing.get_origin(kind) is not immutables.Map:
        raise NotImplementedError(str(kind))
    key, inner = typing.get_args(kind)
    pairs = msgspec.convert(
        plain,
        type=list[tuple[key, inner]],  # type: ignore[valid-type]
        dec_hook=_restored,
    )
    return immutables.Map(pairs)
