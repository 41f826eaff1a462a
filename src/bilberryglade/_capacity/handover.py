"""What a dispatcher has learnt goes to its successor when it leaves.

The successor could learn it again, but until then it doesn't know which limits
hold, nor how many requests are at the targets.
"""

import typing
from collections import abc

import loguru

from bilberryglade._capacity import policies
from bilberryglade._delivery import permit_broker
from bilberryglade._knowledge import reading
from bilberryglade._membership import fleet
from bilberryglade._peers import handlers
from bilberryglade._targets import directory
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

if typing.TYPE_CHECKING:
    from bilberryglade._instance import entry

#: Most targets in one message; a target of four places takes about 180 bytes, so
#: that a message stays below 6 KB.
MAX_TARGETS: typing.Final = 32


class Handover:
    """Sends what this instance has learnt, and takes in what others have."""

    def __init__(
        self,
        members: fleet.Fleet,
        reader: reading.Reader,
        policy: policies.Policy,
    ) -> None:
        """`policy` is that of this instance's permits."""
        self.members = members
        self.reader = reader
        self.policy = policy

    def send(self) -> None:
        """Sends each target's part to the dispatcher that follows this one."""
        by_successor: dict[str, list[messages.LearntTarget]] = {}
        for learnt in self.policy.learnt(clock.now()):
            successor = self._successor(learnt.target)
            if successor is not None:
                by_successor.setdefault(successor, []).append(encoded(learnt))
        for successor, rows in by_successor.items():
            for first in range(0, len(rows), MAX_TARGETS):
                message: messages.Capacity = {
                    'kind': 'capacity',
                    'sender': self.members.own.name,
                    'targets': rows[first : first + MAX_TARGETS],
                }
                self.members.send(successor, message)

    def handle(self, message: messages.Capacity) -> None:
        """Takes in what a dispatcher that leaves has learnt."""
        listed = self.reader.known.directory.targets
        now = clock.now()
        taken = 0
        for row in message['targets'][:MAX_TARGETS]:
            target = listed.get(row['target'])
            if target is not None and target.born == row['born']:
                self.policy.take(decoded(row, target), now)
                taken += 1
        loguru.logger.info(
            'learnt limits of {} targets from {}', taken, message['sender']
        )

    def _successor(self, target: directory.Target) -> str | None:
        """Returns the member that dispatches a target once this one has left."""
        service = self.reader.known.service(target.service)
        is_partitioned = service is not None and service.is_partitioned
        owner = target if is_partitioned else None
        ranking = permit_broker.rank_pool(target.service, owner, self.members)
        others = (name for name in ranking if name != self.members.own.name)
        return next(others, None)


def encoded(learnt: policies.Learnt) -> messages.LearntTarget:
    """Returns what is learnt of a target as a part of a message."""
    return {
        'target': learnt.target.name,
        'born': learnt.target.born,
        'level': learnt.level,
        'outstanding': learnt.outstanding,
        'levels': list(learnt.levels),
    }


def decoded(
    row: messages.LearntTarget, target: directory.Target
) -> policies.Learnt:
    """Returns what a part of a message says of a target that is listed."""
    levels: abc.Sequence[tuple[float, float, float]] = row['levels']
    return policies.Learnt(
        target,
        row['level'],
        target.places,
        0,
        row['outstanding'],
        tuple(levels),
    )


@handlers.handler_for('capacity', messages.Capacity)
def handle_capacity(
    parts: 'entry.Parts',
    message: messages.Capacity,
) -> None:
    """Takes in what a dispatcher that leaves has learnt."""
    parts.handover.handle(message)
