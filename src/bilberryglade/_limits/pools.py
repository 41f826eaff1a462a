"""The coordinator's pools: one a quota, from which tokens go where needed."""

from collections import abc

from bilberryglade._limits import division, parts
from bilberryglade._membership import candidacy, fleet
from bilberryglade._routing import catalogue
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages


class Pools:
    """Gives tokens while this instance coordinates."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        organisations: abc.Callable[[], dict[str, catalogue.Organisation]],
    ) -> None:
        """`organisations` returns those of the configuration in force."""
        self.members = members
        self.lease = lease
        self.organisations = organisations
        self.divisions = division.Divisions(members)
        self.buckets: dict[str, parts.Bucket] = {}
        #: Seconds at which this term began; its pools were empty then.
        self.began_at: float = 0
        #: Seconds at which each instance last said that it hears of this one.
        self.heard_by: dict[str, float] = {}

    def begin(self) -> None:
        """Starts a term with empty pools: the earlier ones may be spent."""
        self.buckets.clear()
        self.heard_by.clear()
        self.began_at = clock.now()

    def take_report(self, report: messages.Report) -> None:
        """Takes in whether an instance hears of the coordinator."""
        if report['is_led']:
            self.heard_by[report['sender']] = clock.now()
        else:
            self.heard_by.pop(report['sender'], None)

    def answer(self, ask: messages.QuotaAsk) -> messages.QuotaGrant:
        """Takes tokens out of a pool; none if this one does not coordinate."""
        return grant_of(ask, self.members.own.name, self._take(ask))

    def _take(self, ask: messages.QuotaAsk) -> parts.Taken:
        holder = self.organisations().get(ask['organisation'])
        now = clock.now()
        empty = parts.Bucket(0, self.began_at)
        if holder is None or not self.lease.holds:
            return parts.Taken(empty, 0, 1.0)
        quota = parts.Quota(holder.rate, holder.burst)
        shares = self.divisions.division(holder.name, quota).shares
        flow = parts.pool_flow(quota, self._covered(shares, now))
        taken = parts.take(
            self.buckets.get(holder.name, empty),
            flow,
            parts.Need(
                max(ask['needed'], 0),
                max(ask['extra'], 0),
                is_late=ask.get('is_late', False),
            ),
            now,
        )
        self.buckets[holder.name] = taken.bucket
        return taken

    def _covered(self, shares: abc.Mapping[str, float], now: float) -> float:
        """Returns the shares of the holders that hear of this instance."""
        own = self.members.own.name
        return sum(
            share
            for name, share in shares.items()
            if name == own
            or now - self.heard_by.get(name, float('-inf'))
            < parts.COVERED_SECONDS
        )


def grant_of(
    ask: messages.QuotaAsk, name: str, taken: parts.Taken
) -> messages.QuotaGrant:
    """Returns the answer of the instance called `name` to an ask."""
    return {
        'kind': 'quota_grant',
        'sender': name,
        'boot': ask['boot'],
        'sequence': ask['sequence'],
        'organisation': ask['organisation'],
        'amount': taken.amount,
        'retry_ms': int(taken.retry_seconds * 1000),
    }
