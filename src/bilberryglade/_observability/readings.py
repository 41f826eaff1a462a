"""Values that are read from the instance at each scrape."""

import typing
from collections import abc

from bilberryglade._delivery import delivery, dispatcher
from bilberryglade._log import follower
from bilberryglade._observability import measurements
from bilberryglade._peers import network
from bilberryglade._routing import roles
from bilberryglade._state import state

#: Stands for an age that is not known, in seconds.
UNKNOWN_AGE_SECONDS: typing.Final = 3600.0


class Parts(typing.NamedTuple):
    """What the readings look at."""

    instance: str
    reader: follower.Follower
    dispatcher: dispatcher.Dispatcher
    delivery: delivery.Delivery
    peers: network.PeerNetwork
    is_ready: abc.Callable[[], bool]
    #: Returns the name of the case that the log is in for this instance.
    log_case: abc.Callable[[], str]


@measurements.reading_of('offset')
def read_offset(parts: Parts) -> float:
    """Offset of the newest folded record."""
    return parts.reader.view.offset


@measurements.reading_of('knowledge_age_seconds')
def read_age(parts: Parts) -> float:
    """Seconds since the log was last known to hold nothing newer."""
    return min(parts.reader.age_seconds, UNKNOWN_AGE_SECONDS)


@measurements.reading_of('rules_revision')
def read_revision(parts: Parts) -> float:
    """Revision of the rules in force."""
    return parts.reader.view.rules.revision


@measurements.reading_of('ready')
def read_ready(parts: Parts) -> float:
    """1 if callers may be sent here, else 0."""
    return float(parts.is_ready())


@measurements.reading_of('members')
def read_members(parts: Parts) -> float:
    """Instances that have joined and not left."""
    return len(parts.reader.view.members)


@measurements.reading_of('peer_connections')
def read_peers(parts: Parts) -> float:
    """Peers that a sending socket is kept for."""
    return len(parts.peers.senders)


@measurements.reading_of('sent_messages', is_counter=True)
def read_sent_messages(parts: Parts) -> float:
    """Messages handed to ZeroMQ for peers."""
    return parts.peers.sent_messages


@measurements.reading_of('sent_bytes', is_counter=True)
def read_sent_bytes(parts: Parts) -> float:
    """Bytes handed to ZeroMQ for peers, before encryption and framing."""
    return parts.peers.sent_bytes


@measurements.reading_of('led_targets')
def read_led_targets(parts: Parts) -> float:
    """Targets that this instance leads."""
    return len(led_targets(parts.reader.view, parts.instance))


@measurements.reading_of('queue_length')
def read_queue_length(parts: Parts) -> float:
    """Requests that wait in front of led targets."""
    return parts.dispatcher.waiting_count()


@measurements.reading_of('failed_log_reads', is_counter=True)
def read_failed_reads(parts: Parts) -> float:
    """Reads of the log that gave no usable answer."""
    return parts.reader.failed_reads


@measurements.reading_of('stale_log_reads', is_counter=True)
def read_stale_reads(parts: Parts) -> float:
    """Answers of the log that lagged behind what was known already."""
    return parts.reader.known.ignored.get('stale_read', 0)


@measurements.reading_of('rejected_records', is_counter=True)
def read_rejected_records(parts: Parts) -> float:
    """Records that the fold refused: lost races and malformed ones."""
    return parts.reader.known.ignored.get('rejected_record', 0)


@measurements.reading_of('old_states', is_counter=True)
def read_old_states(parts: Parts) -> float:
    """Snapshots and states of peers that were older than the own."""
    return parts.reader.known.ignored.get('old_state', 0)


@measurements.reading_of('retries', is_counter=True)
def read_retries(parts: Parts) -> float:
    """Attempts to run a request after its first."""
    return parts.delivery.retries


def led_targets(view: state.ClusterState, instance: str) -> frozenset[str]:
    """Returns the targets that `instance` leads."""
    return frozenset(
        target
        for target in view.targets
        if roles.leader_of_target(view, target) == instance
    )
