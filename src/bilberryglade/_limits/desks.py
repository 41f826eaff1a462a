"""Admission of organisations' requests at one instance."""

import math
import typing
from collections import abc

from bilberryglade._limits import parts
from bilberryglade._membership import candidacy, fleet
from bilberryglade._peers import asks
from bilberryglade._routing import catalogue
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Longest time for which a request waits for a token of the pool.
WAIT_SECONDS: typing.Final = 0.08
#: Seconds over which the demand is counted.
DEMAND_SECONDS: typing.Final = 0.8
#: Seconds for which tokens ahead of need are asked, and are kept.
AHEAD_SECONDS: typing.Final = 0.4
KEEP_SECONDS: typing.Final = 1.0
MOST_AHEAD: typing.Final = 12
#: Time to come back for a caller who got no answer of the coordinator.
UNANSWERED_SECONDS: typing.Final = 0.3


class Desk(typing.NamedTuple):
    """What an instance knows of one organisation's quota."""

    #: Its own part.
    bucket: parts.Bucket
    #: Tokens of the pool, and the seconds until which they are kept.
    spare: int = 0
    spare_until: float = 0
    #: Seconds before which the pool has no token.
    retry_at: float = 0
    #: Moving count of requests a second that the own part did not cover.
    need: float = 0
    counted_at: float = 0


class Desks:
    """The desks of all organisations."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        instances: abc.Callable[[], int],
        ask_own: abc.Callable[[messages.QuotaAsk], messages.QuotaGrant],
    ) -> None:
        """`instances` returns how many instances share each quota.

        `ask_own` answers the asks of this instance while it coordinates.
        """
        self.members = members
        self.lease = lease
        self.instances = instances
        self.desks: dict[str, Desk] = {}
        self.asks: asks.Asks[messages.QuotaGrant] = asks.Asks()
        self.sequence = 0
        self.ask_own = ask_own

    async def admit(
        self,
        holder: catalogue.Organisation,
        *,
        is_late: bool,
    ) -> float | None:
        """Takes a token; returns None, or the seconds until there is one.

        `is_late` tells that the answer will be late in any case.
        """
        if not holder.rate:
            return None
        now = clock.now()
        quota = parts.Quota(holder.rate, holder.burst)
        flow = parts.even_flow(
            quota, self.instances(), is_led=self.lease.is_heard
        )
        desk = self._desk(holder.name, flow, now)
        need = parts.Need(is_late=is_late)
        taken = parts.take(desk.bucket, flow, need, now)
        self.desks[holder.name] = desk._replace(bucket=taken.bucket)
        if taken.amount:
            return None
        return await self._admit_from_pool(
            holder.name, taken.retry_seconds, is_late=is_late
        )

    def give_back(self, organisation: str) -> None:
        """Returns the token of a request that reached no target."""
        desk = self.desks.get(organisation)
        if desk is not None:
            self.desks[organisation] = desk._replace(
                bucket=parts.give_back(desk.bucket)
            )

    def take(self, grant: messages.QuotaGrant) -> None:
        """Takes in an answer of the coordinator."""
        if grant['boot'] == self.members.own.boot:
            self.asks.answer(grant['sequence'], grant)

    async def _admit_from_pool(
        self,
        name: str,
        own_retry_seconds: float,
        *,
        is_late: bool,
    ) -> float | None:
        now = clock.now()
        desk = _counted(self.desks[name], now)
        if desk.spare and desk.spare_until > now:
            self.desks[name] = desk._replace(spare=desk.spare - 1)
            return None
        self.desks[name] = desk
        if desk.retry_at > now:
            return min(desk.retry_at - now, own_retry_seconds)
        need = parts.Need(extra=_ahead(desk), is_late=is_late)
        grant = await self._ask(name, need)
        if grant is None:
            return min(UNANSWERED_SECONDS, own_retry_seconds)
        return self._take_grant(name, grant, own_retry_seconds)

    def _take_grant(
        self,
        name: str,
        grant: messages.QuotaGrant,
        own_retry_seconds: float,
    ) -> float | None:
        now = clock.now()
        desk = self.desks[name]
        retry_seconds = grant['retry_ms'] / 1000
        if not grant['amount']:
            self.desks[name] = desk._replace(retry_at=now + retry_seconds)
            return min(retry_seconds, own_retry_seconds)
        self.desks[name] = desk._replace(
            spare=_kept(desk, now) + grant['amount'] - 1,
            spare_until=now + KEEP_SECONDS,
        )
        return None

    async def _ask(
        self,
        name: str,
        need: parts.Need,
    ) -> messages.QuotaGrant | None:
        self.sequence += 1
        number = self.sequence
        ask: messages.QuotaAsk = {
            'kind': 'quota_ask',
            'sender': self.members.own.name,
            'boot': self.members.own.boot,
            'sequence': number,
            'organisation': name,
            'needed': need.tokens,
            'extra': need.extra,
            'is_late': need.is_late,
        }
        if self.lease.holds:
            return self.ask_own(ask)
        coordinator = self.lease.coordinator
        return await self.asks.wait(
            number, lambda: self.members.send(coordinator, ask), WAIT_SECONDS
        )

    def _desk(self, name: str, flow: parts.Flow, now: float) -> Desk:
        known = self.desks.get(name)
        return known or Desk(parts.Bucket(flow.room, now))


def _kept(desk: Desk, now: float) -> int:
    return desk.spare if desk.spare_until > now else 0


def _ahead(desk: Desk) -> int:
    return min(int(desk.need * AHEAD_SECONDS), MOST_AHEAD)


def _counted(desk: Desk, now: float) -> Desk:
    elapsed = max(now - desk.counted_at, 0)
    need = desk.need * math.exp(-elapsed / DEMAND_SECONDS)
    return desk._replace(need=need + 1 / DEMAND_SECONDS, counted_at=now)
