"""Ids of the records that operations append."""

import hashlib
import typing

import msgspec

from bilberryglade._log import recorder

DIGITS: typing.Final = 32


def record_id_for(
    operation: str,
    request: typing.Mapping[str, typing.Any],
    idempotency_key: str,
) -> str:
    """Returns the id of the record that a call appends.

    The same key, operation and request give the same id, so that a repeated
    call cannot take effect twice; without a key each call has its own id.
    Another request under the same key has another id, since the verdict on
    the first request says nothing about it.
    """
    if not idempotency_key:
        return recorder.new_record_id()
    packed = msgspec.json.encode(
        (operation, idempotency_key, request),
        order='deterministic',
    )
    return hashlib.sha256(packed).hexdigest()[:DIGITS]
