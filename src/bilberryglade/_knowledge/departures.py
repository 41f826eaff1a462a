"""Targets that said in an answer that they leave, told to all instances.

The instance that got such an answer tells the coordinator at once, and repeats it,
since that one may have been out of reach or have started since. The coordinator tells
all others what is new to it, so that each instance needs a connection to it alone.
While no coordinator is heard, the first instance that gets the answer tells all.
"""

import typing
from collections import abc

import loguru

from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy, fleet
from bilberryglade._targets import directory
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Part of the drain time in which a leaving target still gets what no other
#: target can serve. The rest is for what is on its way.
USED_PART: typing.Final = 0.5
#: Seconds between two repeats to the coordinator.
REPEAT_SECONDS: typing.Final = 1.0
#: Seconds for which the word of a target that is no longer listed is kept: its
#: entry may come back after an outage of the store.
KEPT_SECONDS: typing.Final = 600.0


class Departures:
    """Takes in and passes on that targets leave."""

    def __init__(
        self,
        members: fleet.Fleet,
        reader: reading.Reader,
        lease: candidacy.Candidacy,
        drain_seconds: float,
    ) -> None:
        """A leaving target gets nothing more after `drain_seconds`."""
        self.members = members
        self.reader = reader
        self.lease = lease
        self.drain_seconds = drain_seconds
        #: Lives that said so to this instance.
        self.witnessed: set[directory.Life] = set()
        self.repeated_at: float = 0

    def notice(self, target: directory.Target) -> None:
        """Takes in a target's answer to this instance."""
        life = directory.life_of(target)
        if life in self.witnessed:
            return
        self.witnessed.add(life)
        if life in self.reader.known.directory.leaving:
            # Others were told by whoever told this instance.
            return
        self._take(life, self.members.own.name)
        message = self._message((life,))
        if self.lease.holds or not self.lease.is_heard:
            self.members.send_all(message)
        else:
            self.members.send(self.lease.coordinator, message)

    def hear(self, message: messages.Leaving) -> None:
        """Takes in what another instance was told."""
        known = self.reader.known.directory.leaving
        told = [
            directory.Life(life['target'], life['born'])
            for life in message['lives']
        ]
        fresh = [life for life in told if life not in known]
        for life in fresh:
            self._take(life, message['sender'])
        if fresh and self.lease.holds:
            self.members.send_all(self._message(fresh))

    def tell(self, name: str) -> None:
        """Tells an instance all that is known here."""
        known = self.reader.known.directory.leaving
        if known:
            self.members.send(name, self._message(tuple(known)))

    def repeat(self) -> None:
        """Repeats to the coordinator what was said here, each second.

        Drops what has become of no use.
        """
        now = clock.now()
        if now - self.repeated_at < REPEAT_SECONDS:
            return
        self.repeated_at = now
        self.reader.forget_left(now - KEPT_SECONDS)
        known = self.reader.known.directory
        self.witnessed &= set(known.leaving)
        lives = [
            life for life in self.witnessed if life.target in known.targets
        ]
        if lives and self.lease.coordinator:
            self.members.send(self.lease.coordinator, self._message(lives))

    def _take(self, life: directory.Life, source: str) -> None:
        loguru.logger.info('target {} leaves, as told to {}', life, source)
        used_until = clock.now() + self.drain_seconds * USED_PART
        self.reader.leave(life, used_until)

    def _message(self, lives: abc.Sequence[directory.Life]) -> messages.Leaving:
        return {
            'kind': 'leaving',
            'sender': self.members.own.name,
            'lives': [
                {'target': life.target, 'born': life.born} for life in lives
            ],
        }
