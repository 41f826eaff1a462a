"""Orders of operators to move a service, and what they are told of them."""

import typing

import result

from bilberryglade._codec import codec
from bilberryglade._rollouts import orders, phases
from bilberryglade._values import stored
from bilberryglade.platform import durations
from bilberryglade_schema import provider

#: Begins the keys of orders and of their statuses.
PREFIX: typing.Final = 'rollout/'
#: Phases as operators are told of them; all others are active.
STATES: typing.Final = {  # noqa: WPS407
    phases.Phase.completed: 'completed',
    phases.Phase.rolled_back: 'rolled_back',
}


def decode(
    record: stored.Record, read_at: float
) -> result.Result[orders.Order, str]:
    """Returns the order that a record gives, or why it gives none.

    `read_at` is the monotonic time of the reading in seconds.
    """
    decoded = codec.decode_json(record.payload or b'', provider.RolloutOrder)
    if isinstance(decoded, result.Err):
        return result.Err(decoded.err_value.detail)
    told = decoded.ok_value
    service = record.key.removeprefix(PREFIX)
    if told['service'] != service:
        return result.Err(f'service {told["service"]!r} under another key')
    if not told['to']:
        return result.Err('no version is named')
    try:
        seconds = durations.seconds_of(told['duration'])
    except ValueError as wrong:
        return result.Err(str(wrong))
    if seconds <= 0:
        return result.Err('its duration is zero')
    return result.Ok(
        orders.Order(service, told['to'], seconds, record.offset, read_at)
    )


def status_key(service: str) -> str:
    """Returns the key of the record that tells how far an order is."""
    return f'{PREFIX}{service}'


def encode_status(service: str, phase: phases.Phase, version: str) -> bytes:
    """Returns the record that tells how far an order is."""
    status = {
        'service': service,
        'state': STATES.get(phase, 'active'),
        'to': version,
    }
    return codec.encode_json(status)
