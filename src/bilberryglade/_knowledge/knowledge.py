"""Everything that the store says, folded by offsets; it never goes back."""

import typing

import immutables
import loguru

from bilberryglade._knowledge import left_out, topics
from bilberryglade._rollouts import orders as rollout_orders
from bilberryglade._routing import catalogue as catalogues
from bilberryglade._targets import directory as directories
from bilberryglade._values import stored


class Domain(typing.NamedTuple):
    """An operator's word on a failure domain."""

    offset: int
    is_out: bool
    #: Seconds at which this was learnt.
    since: float


class Origin(typing.NamedTuple):
    """Where records come from."""

    #: Seconds at which the store was asked, by this instance's clock.
    read_at: float
    #: Name of the instance that read or relayed them.
    instance: str = ''
    #: Whether this instance has asked the store in vain since it last knew more.
    is_after_silence: bool = False


class Knowledge(typing.NamedTuple):
    """The state of the store as far as this instance has read it."""

    #: None until a configuration was read.
    catalogue: catalogues.Catalogue | None = None
    #: Offset of the newest configuration that was read, also if nothing can be
    #: made of it, or if the one in force has a higher version.
    catalogue_offset: int = -1
    #: Offset of the record of the configuration in force.
    in_force_offset: int = -1
    directory: directories.Directory = directories.Directory()
    domains: immutables.Map[str, Domain] = immutables.Map()
    #: Offset up to which each topic was read.
    ends: immutables.Map[str, int] = immutables.Map()
    #: Seconds at which each topic was read last, by anybody.
    read_at: immutables.Map[str, float] = immutables.Map()
    #: Name of the instance that read or relayed what is newest of each topic.
    source: immutables.Map[str, str] = immutables.Map()
    omitted: left_out.LeftOut = left_out.LeftOut()
    #: Orders to move a service to another version, by service.
    orders: immutables.Map[str, rollout_orders.Order] = immutables.Map()
    #: Whether only targets of allowed versions are used.
    is_versioned: bool = False
    #: Versions that may be used now, by service.
    allowed: immutables.Map[str, frozenset[str]] = immutables.Map()

    def age(self, topic: str, now: float) -> float:
        """Returns for how many seconds nothing was heard of a topic."""
        return now - self.read_at.get(topic, float('-inf'))

    def standing(self, topic: str) -> int:
        """Returns the offset of a record that stands though the store lost it.

        It is that of the configuration in force, if that is of an earlier era
        than what was read last; otherwise -1.
        """
        if topic != topics.OPERATOR:
            return stored.NOWHERE
        read_era = stored.era_of(self.ends.get(topic, stored.NOWHERE))
        is_lost = stored.era_of(self.in_force_offset) < read_era
        return self.in_force_offset if is_lost else stored.NOWHERE

    def is_out(self, failure_domain: str) -> bool:
        """Tells whether operators have taken a failure domain out."""
        domain = self.domains.get(failure_domain)
        return domain is not None and domain.is_out

    def service(self, name: str) -> catalogues.Service | None:
        """Returns a service of the configuration in force."""
        if self.catalogue is None:
            return None
        return self.catalogue.services.get(name)

    def allows(self, target: directories.Target) -> bool:
        """Tells whether the version of a target may be used."""
        if not self.is_versioned:
            return True
        return target.version in self.allowed.get(target.service, ())

    def in_use(self, service: str) -> list[directories.Target]:
        """Returns a service's targets that may be used.

        Those in domains taken out, and of versions not allowed, may not.
        """
        found = [
            target
            for target in self.directory.targets.values()
            if target.service == service
            and not self.is_out(target.failure_domain)
        ]
        if not self.is_versioned:
            return found
        allowed = self.allowed.get(service, frozenset())
        return [target for target in found if target.version in allowed]


def learn(
    known: Knowledge,
    topic: str,
    batch: stored.Batch,
    origin: Origin,
) -> Knowledge:
    """Returns the knowledge after `batch`.

    A whole reading that is older than what is known changes nothing.
    """
    end = known.ends.get(topic, -1)
    if batch.is_whole and batch.end < end:
        loguru.logger.info('stale reading of {} left out', topic)
        return known
    read_at = origin.read_at
    gap: float = 0
    if origin.is_after_silence and topic in known.read_at:
        gap = known.age(topic, read_at)
    fold = topics.folds.entries[topic]
    is_new_era = topic in known.ends and (
        stored.era_of(batch.end) > stored.era_of(end)
    )
    after = fold(known, topics.Reading(batch, read_at, gap, is_new_era))
    after = after._replace(ends=known.ends.set(topic, max(batch.end, end)))
    if read_at < known.read_at.get(topic, read_at):
        return after
    return after._replace(
        read_at=known.read_at.set(topic, read_at),
        source=known.source.set(topic, origin.instance),
    )
