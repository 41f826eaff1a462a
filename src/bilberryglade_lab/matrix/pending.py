"""Pairs of step and fault that no row proves yet; the tests print them.

Add a `Pending` in alphabetical order of the steps. A pair that has a row or an
exclusion must not stand here.
"""

import typing


class Pending(typing.NamedTuple):
    """Faults at a step that are not proved."""

    step: str
    faults: tuple[str, ...]


#: Faults that strike an exchange of messages.
EXCHANGE: typing.Final = (
    'answer_lost',
    'connection_silent',
    'crashing_request',
    'freeze_and_return',
    'key_withdrawn',
    'log_down',
    'loss',
    'message_delayed',
    'message_dropped',
    'message_duplicated',
    'message_reordered',
    'partition_both',
    'partition_one_way',
    'partition_peers',
    'partition_platform',
    'pause',
    'target_cold',
)

#: Faults that strike an append.
APPEND: typing.Final = (*EXCHANGE, 'log_slow', 'log_stale', 'operators_race')

PENDING: typing.Final[tuple[Pending, ...]] = (
    Pending('membership.append_lost', APPEND),
    Pending('membership.append_off', APPEND),
    Pending('membership.heartbeat', EXCHANGE),
    Pending('ownership.append_assignment', APPEND),
    Pending('ownership.append_ended', APPEND),
    Pending('ownership.append_target', APPEND),
    Pending('ownership.answer_release', ('freeze_and_return',)),
    Pending('ownership.ask_release', ('freeze_and_return',)),
    Pending(
        'ownership.fence_off_earlier_owner',
        (
            'answer_lost',
            'connection_silent',
            'freeze_and_return',
            'message_dropped',
            'message_duplicated',
            'message_reordered',
            'partition_both',
            'partition_one_way',
            'partition_peers',
            'partition_platform',
        ),
    ),
    Pending('ownership.grant_to_target', ('freeze_and_return',)),
    Pending('ownership.probe_target', EXCHANGE),
)
