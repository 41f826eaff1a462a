"""Decodes what targets write of themselves into the store."""

import result

from bilberryglade._codec import codec
from bilberryglade._targets import directory
from bilberryglade._values import stored
from bilberryglade.platform import durations
from bilberryglade_schema import provider

DRAINING = 'draining'


def decode(
    record: stored.Record,
    now: float,
) -> result.Result[directory.Target, str]:
    """Returns the target that an entry names, or why it names none.

    `now` is the monotonic time of the reading in seconds.
    """
    decoded = codec.decode_json(record.payload or b'', provider.ServerValue)
    if isinstance(decoded, result.Err):
        return result.Err(decoded.err_value.detail)
    entry = decoded.ok_value
    try:
        cold_seconds = durations.seconds_of(entry.get('warmup_left', '0ms'))
    except ValueError as wrong:
        return result.Err(str(wrong))
    return result.Ok(
        directory.Target(
            name=record.key,
            born=entry.get('born', 0),
            service=entry['service'],
            address=entry['address'],
            failure_domain=entry['zone'],
            places=entry['slots'],
            is_draining=entry['state'] == DRAINING,
            cold_until=now + cold_seconds if cold_seconds else 0,
            sequence=entry['seq'],
            offset=record.offset,
            version=entry.get('config_version', ''),
        ),
    )
