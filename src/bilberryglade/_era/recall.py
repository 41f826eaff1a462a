"""What instances remember of key owners whose records the store has lost.

Tables written after the copy from which the store came back are gone, and with
them the only list of targets that may hold keys. A coordinator keeps track of all
leases that its own orders may have created; so together the processes of the
fleet know of every lease. If one of them does not answer, or has started too
recently to know, any target may hold any key until the longest lease has ended.
"""

import asyncio
import itertools
import typing
from collections import abc

import loguru
import result

from bilberryglade._membership import fleet
from bilberryglade._ownership import (
    former_leases,
    lease_manager,
    outstanding_leases,
    owners,
    ranges,
)
from bilberryglade._values import clock, leases, stored
from bilberryglade.platform import orders
from bilberryglade_schema import fleet as messages

#: Seconds for the answers; the slowest link of 5 Mbit/s takes 0.5 s for those of
#: sixty instances with the tables of a hundred targets each.
GATHER_SECONDS: typing.Final = 0.8
#: Seconds between two questions to those who have not answered.
ASK_SECONDS: typing.Final = 0.4
LOOK_SECONDS: typing.Final = 0.02
MILLISECONDS: typing.Final = 1000
#: Stands for a target of which nothing is known; nothing can be sent to it.
ANYBODY: typing.Final = ranges.Owner('', 0)

#: Earlier owners, by service.
Former: typing.TypeAlias = abc.Mapping[str, abc.Sequence[owners.FormerOwner]]


class Recalled(typing.NamedTuple):
    """What was remembered of the time before the store came back."""

    #: The newest tables that anybody knows.
    tables: owners.Tables
    #: All leases that targets may hold.
    former: Former
    addresses: owners.Addresses
    #: Whether there can be no lease besides those in `former`.
    is_complete: bool


class Recall:
    """Asks others for what they remember, and answers them."""

    def __init__(
        self, members: fleet.Fleet, leasing: lease_manager.LeaseManager
    ) -> None:
        """Remembers what `leasing` has ordered since the process started."""
        self.members = members
        self.lease_manager = leasing
        self.started_at = clock.now()
        #: Era for which answers are gathered, and these by name of the sender.
        self.era = 0
        self.answers: dict[str, messages.Holdings] = {}

    async def remember(
        self,
        era: int,
        known: abc.Sequence[owners.Tables],
        *,
        is_own: bool,
    ) -> Recalled | None:
        """Returns what the store has lost since tables of an earlier era.

        Returns None if any of the tables `known` is of this `era`. With `is_own`
        nobody else has ordered leases for as long as one may last.
        """
        if any(stored.era_of(one.version) >= era for one in known) or not era:
            return None
        self.era = era
        self.answers.clear()
        until = clock.now() + GATHER_SECONDS
        while not is_own and clock.now() < until and self._missing():
            self._ask()
            asked_until = min(clock.now() + ASK_SECONDS, until)
            while clock.now() < asked_until and self._missing():
                await asyncio.sleep(LOOK_SECONDS)
        told = [message['tables'] for message in self.answers.values()]
        tables = [
            *known,
            *(owners.from_message(one, one['version']) for one in told),
        ]
        return Recalled(
            max(tables, key=lambda one: (one.version, one.change)),
            self._all_leases(tables, told),
            _addresses_in(told),
            is_complete=is_own or self._is_complete(),
        )

    def answer(
        self, ask: messages.HoldingsAsk, tables: owners.Tables
    ) -> messages.Holdings:
        """Returns what this instance knows, with its newest `tables`."""
        addresses = self.lease_manager.addresses.all_addresses()
        told = owners.to_message(tables, self.members.own.name, addresses)
        told['former'] = {
            service: owners.to_former_table(held, addresses)
            for service, held in self._held().items()
        }
        return {
            'kind': 'holdings',
            'sender': self.members.own.name,
            'era': ask['era'],
            'age_ms': int((clock.now() - self.started_at) * MILLISECONDS),
            'tables': told,
        }

    def take(self, message: messages.Holdings) -> None:
        """Takes in an answer."""
        if message['era'] == self.era:
            self.answers[message['sender']] = message

    def _missing(self) -> list[str]:
        return [
            member.name
            for member in self.members.others()
            if member.name not in self.answers
        ]

    def _ask(self) -> None:
        ask: messages.HoldingsAsk = {
            'kind': 'holdings_ask',
            'sender': self.members.own.name,
            'era': self.era,
        }
        for name in self._missing():
            self.members.send(name, ask)

    def _held(self) -> Former:
        return former_leases.held(self.lease_manager.outstanding, clock.now())

    def _all_leases(
        self,
        tables: abc.Iterable[owners.Tables],
        told: abc.Iterable[messages.Assignment],
    ) -> Former:
        longest = longest_seconds(self.lease_manager)
        return merged(
            (
                *(owners_in(one, longest) for one in tables),
                *(former_in(one.get('former', {})) for one in told),
                self._held(),
            )
        )

    def _is_complete(self) -> bool:
        """Tells whether every process that may have ordered leases has answered.

        A process knows nothing of the orders of the one before it.
        """
        needed = outstanding_leases.lease_end(
            orders.GRANT_SECONDS, self.lease_manager.max_lease_seconds
        )
        youngest = min(
            clock.now() - self.started_at,
            *(
                message['age_ms'] / MILLISECONDS
                for message in self.answers.values()
            ),
            needed,
        )
        silent = len(self._missing())
        if silent or youngest < needed:
            loguru.logger.warning(
                'owners of keys before the store came back are not all known: '
                '{} instances silent, the youngest started {:.1f} s ago',
                silent,
                youngest,
            )
        return not silent and youngest >= needed


def longest_seconds(leasing: lease_manager.LeaseManager) -> float:
    """Returns for how long a lease may last whose order may still arrive."""
    return leasing.max_lease_seconds + orders.GRANT_SECONDS


def anybody(seconds: float, now: float) -> outstanding_leases.OutstandingLease:
    """Returns the lease of an unknown holder of all keys, for `seconds`."""
    everything = ranges.Range(0, leases.LAST_KEY, ANYBODY, ranges.NEW_FENCE)
    return former_leases.to_lease(owners.FormerOwner(everything, seconds), now)


def owners_in(tables: owners.Tables, seconds: float) -> Former:
    """Returns the owners in tables, with leases of `seconds`."""
    return {
        service: [owners.FormerOwner(owned.entry, seconds) for owned in entries]
        for service, entries in tables.services.items()
    }


def former_in(tables: abc.Mapping[str, messages.FormerTable]) -> Former:
    """Returns the earlier owners in a record or message."""
    return {
        service: owners.from_former_table(table)
        for service, table in tables.items()
    }


def merged(parts: abc.Iterable[Former]) -> Former:
    """Returns all earlier owners, each with the longest of its times."""
    longest: dict[str, dict[ranges.Range, float]] = {}
    rows = itertools.chain.from_iterable(part.items() for part in parts)
    for service, former_owners in rows:
        known = longest.setdefault(service, {})
        for former in former_owners:
            seconds = known.get(former.entry, former.seconds)
            known[former.entry] = max(former.seconds, seconds)
    return {
        service: [owners.FormerOwner(*row) for row in known.items()]
        for service, known in longest.items()
    }


def version_of(record: messages.Assignment, position: int) -> int:
    """Returns the version of the tables in a record at a packed position.

    A restored record has the place of the original; the era in it tells that it
    is not newer than tables which were lost.
    """
    offset = stored.position_of(position).offset
    return stored.Position(record.get('era', 0), offset).packed


def validate(
    message: messages.Holdings,
) -> result.Result[messages.Holdings, str]:
    """Returns an answer if its tables are valid, else the error."""
    return owners.validate(message['tables']).map(lambda _: message)


def _addresses_in(
    told: abc.Iterable[messages.Assignment],
) -> owners.Addresses:
    return {
        owner: address
        for one in told
        for owner, address in owners.addresses_of(one).items()
        if address
    }
