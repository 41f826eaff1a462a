"""Admission of organisations' requests at one instance.

A request takes a token of this instance's even part; of a neighbour's, if this
instance holds none; or of the coordinator's pool.
"""

import math
import random
import typing

from bilberryglade._limits import division, parts, pools
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
#: Time to come back for a caller who got no answer of the one asked.
UNANSWERED_SECONDS: typing.Final = 0.3
MILLISECONDS: typing.Final = 1000


class Desk(typing.NamedTuple):
    """What an instance knows of one organisation's quota."""

    #: Its own even part.
    bucket: parts.Bucket
    #: Tokens of the pool, and the seconds until which they are kept.
    spare: int = 0
    spare_until: float = 0
    #: Seconds before which the pool, or a neighbour, has no token.
    retry_at: float = 0
    near_retry_at: float = 0
    #: Moving count of requests a second that the own part did not cover.
    need: float = 0
    counted_at: float = 0


class Desks:
    """The desks of all organisations."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        pool: pools.Pools,
    ) -> None:
        """`pool` answers the asks of this instance while it coordinates."""
        self.members = members
        self.lease = lease
        self.pool = pool
        self.desks: dict[str, Desk] = {}
        self.asks: asks.Asks[messages.QuotaGrant] = asks.Asks()
        self.sequence = 0
        #: Seconds since which even parts fill.
        self.started_at = clock.now()

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
        taken = self._take_own(holder, parts.Need(is_late=is_late))
        if taken.amount:
            return None
        desk = _counted(self.desks[holder.name], clock.now())
        self.desks[holder.name] = desk
        if self._take_spare(holder.name):
            return None
        retry_seconds = taken.retry_seconds
        for take in (self._admit_near, self._admit_from_pool):
            wait = await take(holder, is_late=is_late)
            if wait is None:
                return None
            retry_seconds = min(retry_seconds, wait)
        return retry_seconds

    def give_back(self, organisation: str) -> None:
        """Returns the token of a request that reached no target."""
        desk = self.desks.get(organisation)
        if desk is None:
            return
        if desk.bucket.flow is not None and desk.bucket.flow.room:
            bucket = parts.give_back(desk.bucket)
            self.desks[organisation] = desk._replace(bucket=bucket)
            return
        self.desks[organisation] = _with_spare(desk, 1, clock.now())

    def take(self, grant: messages.QuotaGrant) -> None:
        """Takes in an answer of the coordinator or of a neighbour."""
        if grant['boot'] == self.members.own.boot:
            self.asks.answer(grant['sequence'], grant)

    def answer(self, ask: messages.QuotaAsk) -> messages.QuotaGrant:
        """Takes tokens of this instance's even part for a neighbour."""
        holder = self.pool.organisations().get(ask['organisation'])
        taken = parts.Taken(parts.Bucket(0, 0), 0, UNANSWERED_SECONDS)
        if holder is not None:
            need = parts.Need(
                max(ask['needed'], 0), is_late=ask.get('is_late', False)
            )
            taken = self._take_own(holder, need)
        return pools.grant_of(ask, self.members.own.name, taken)

    def _take_own(
        self, holder: catalogue.Organisation, need: parts.Need
    ) -> parts.Taken:
        """Takes tokens of the own even part."""
        now = clock.now()
        quota = parts.Quota(holder.rate, holder.burst)
        shares = self._division(holder).shares
        share = shares.get(self.members.own.name, 0)
        flow = parts.even_flow(quota, share, is_led=self.lease.is_heard)
        desk = self.desks.get(holder.name)
        if desk is None:
            bucket = parts.first_bucket(quota, share, self.started_at)
            desk = Desk(bucket)
        taken = parts.take(desk.bucket, flow, need, now)
        self.desks[holder.name] = desk._replace(bucket=taken.bucket)
        return taken

    def _division(self, holder: catalogue.Organisation) -> division.Division:
        quota = parts.Quota(holder.rate, holder.burst)
        return self.pool.divisions.division(holder.name, quota)

    def _take_spare(self, name: str) -> bool:
        """Takes a token that was given ahead of need, if there is one."""
        desk = self.desks[name]
        if not _kept(desk, clock.now()):
            return False
        self.desks[name] = desk._replace(spare=desk.spare - 1)
        return True

    async def _admit_near(
        self, holder: catalogue.Organisation, *, is_late: bool
    ) -> float | None:
        """Takes a token of a neighbour, unless this instance holds a part."""
        own = self.members.own
        divided = self._division(holder)
        near = divided.near.get(own.failure_domain, ())
        if own.name in divided.shares or not near:
            return math.inf
        now = clock.now()
        desk = self.desks[holder.name]
        if desk.near_retry_at > now:
            return desk.near_retry_at - now
        grant = await self._ask(
            holder.name,
            parts.Need(is_late=is_late),
            random.choice(near),
            from_part=True,
        )
        if grant is not None and grant['amount']:
            return None
        wait = UNANSWERED_SECONDS if grant is None else _retry_seconds(grant)
        self.desks[holder.name] = self.desks[holder.name]._replace(
            near_retry_at=clock.now() + wait
        )
        return wait

    async def _admit_from_pool(
        self, holder: catalogue.Organisation, *, is_late: bool
    ) -> float | None:
        """Takes a token of the pool."""
        name = holder.name
        now = clock.now()
        desk = self.desks[name]
        if desk.retry_at > now:
            return desk.retry_at - now
        if not self.lease.is_heard:
            return UNANSWERED_SECONDS
        need = parts.Need(extra=_ahead(desk), is_late=is_late)
        grant = await self._ask(name, need, self.lease.coordinator)
        if grant is None:
            return UNANSWERED_SECONDS
        now = clock.now()
        desk = self.desks[name]
        wait = _retry_seconds(grant)
        if grant['amount']:
            self.desks[name] = _with_spare(desk, grant['amount'] - 1, now)
            return None
        self.desks[name] = desk._replace(retry_at=now + wait)
        return wait

    async def _ask(
        self,
        name: str,
        need: parts.Need,
        asked: str,
        *,
        from_part: bool = False,
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
            'from_part': from_part,
        }
        if asked == self.members.own.name:
            return self.pool.answer(ask)
        return await self.asks.wait(
            number, lambda: self.members.send(asked, ask), WAIT_SECONDS
        )


def _retry_seconds(grant: messages.QuotaGrant) -> float:
    return grant['retry_ms'] / MILLISECONDS


def _kept(desk: Desk, now: float) -> int:
    return desk.spare if desk.spare_until > now else 0


def _with_spare(desk: Desk, tokens: int, now: float) -> Desk:
    return desk._replace(
        spare=_kept(desk, now) + tokens, spare_until=now + KEEP_SECONDS
    )


def _ahead(desk: Desk) -> int:
    return min(int(desk.need * AHEAD_SECONDS), MOST_AHEAD)


def _counted(desk: Desk, now: float) -> Desk:
    """Counts a request that the own part did not cover."""
    elapsed = max(now - desk.counted_at, 0)
    need = desk.need * math.exp(-elapsed / DEMAND_SECONDS)
    return desk._replace(need=need + 1 / DEMAND_SECONDS, counted_at=now)
