"""What this instance sends to which version, and what it counts of that."""

import typing

import immutables
import loguru
import result

from bilberryglade._delivery import send_results
from bilberryglade._knowledge import reading
from bilberryglade._membership import fleet
from bilberryglade._rollouts import (
    counting,
    encoding,
    phases,
    share,
    versions,
)
from bilberryglade._targets import directory
from bilberryglade._values import clock, spreading
from bilberryglade_schema import fleet as messages

#: Number of different scores, which are of 64 bits.
SCORES: typing.Final = 1 << 64  # noqa: WPS432

#: What the results of sends tell of a version; others tell nothing.
ENDINGS: typing.Final = {  # noqa: WPS407
    send_results.SendResult.good: counting.Ending.good,
    send_results.SendResult.bad: counting.Ending.failed,
    send_results.SendResult.lost: counting.Ending.lost,
    send_results.SendResult.silent: counting.Ending.lost,
    send_results.SendResult.unreachable: counting.Ending.lost,
}


class Exposure:
    """Applies what the coordinator tells of rollouts to own requests."""

    def __init__(
        self,
        members: fleet.Fleet,
        reader: reading.Reader,
        rollback_seconds: float,
    ) -> None:
        """Looks at versions only after `start`.

        A version that turned out bad gets nothing after `rollback_seconds`.
        """
        self.members = members
        self.reader = reader
        self.lapse_seconds = rollback_seconds * versions.LAPSE_PART
        self.is_on = False
        #: Versions of each service's targets when it was first known here.
        self.listed: dict[str, tuple[str, ...]] = {}
        #: Versions to which services have moved since.
        self.settled: dict[str, str] = {}
        self.told: dict[str, versions.Told] = {}
        self.term = -1
        self.credits: dict[str, float] = {}
        self.counters: dict[str, counting.Counter] = {}
        #: Requests at targets now, by service and version.
        self.running: dict[str, dict[str, int]] = {}
        #: Requests sent since the start, by service and version.
        self.sends: dict[tuple[str, str], int] = {}
        #: Rollouts told in words that this instance does not know.
        self.unknown_phases = 0

    def start(self) -> None:
        """Looks at versions from now on."""
        self.is_on = True
        self.reader.known = self.reader.known._replace(is_versioned=True)
        self.reader.listeners.append(self.refresh)

    def refresh(self) -> None:
        """Puts in force what may be used now."""
        if not self.is_on:
            return
        known = self.reader.known
        if any(
            target.service not in self.listed
            for target in known.directory.targets.values()
        ):
            listed = versions.first_listed(known.directory.targets.values())
            self.listed = {**listed, **self.listed}
        now = clock.now()
        allowed = immutables.Map(
            {
                service: versions.allowed(
                    self.base_of(service), self.told.get(service), now
                )
                for service in self.listed
            }
        )
        if allowed != known.allowed:
            self._tell_allowed(known.allowed, allowed)
            self.reader.known = known._replace(allowed=allowed)

    def base_of(self, service: str) -> str:
        """Returns the version in use of a listed service."""
        settled = self.settled.get(service)
        if settled is not None:
            return settled
        return versions.base_of(
            self.listed[service], self.reader.known.orders.get(service)
        )

    def hear(self, message: messages.RolloutStages) -> bool:
        """Takes in what the coordinator tells; returns whether a phase began."""
        if not self.is_on or message['term'] < self.term:
            return False
        self.term = message['term']
        now = clock.now()
        has_begun = False
        for stage in message['stages']:
            decoded = encoding.from_stage(stage, now)
            if isinstance(decoded, result.Err):
                self._note_unknown(decoded.err_value)
                continue
            told = versions.Told(decoded.ok_value, now + self.lapse_seconds)
            has_begun = self._take(told) or has_begun
        self.refresh()
        return has_begun

    def version_for(self, service: str, *, is_repeat: bool) -> str:
        """Returns the version for a request without a key; '' if any allowed.

        A repeat goes to the version in use: what the new one could not answer
        must not be lost by it twice.
        """
        told = self.told.get(service)
        if told is None or told.rollout.phase in phases.FINAL:
            return ''
        rollout = told.rollout
        if not versions.is_in_force(told, clock.now()):
            return rollout.base
        if rollout.share >= 1:
            return rollout.version
        if is_repeat:
            return rollout.base
        turn = share.next_turn(self._credit(service), rollout.share)
        self.credits[service] = turn.credit
        return rollout.version if turn.is_new else rollout.base

    def instead_of(self, service: str, version: str) -> str:
        """Returns the version for a request that `version` has no room for.

        It is '' if there is none: only a version on trial is stood in for.
        """
        told = self.told.get(service)
        if told is None or version != told.rollout.version:
            return ''
        if told.rollout.share >= 1:
            return ''
        self.credits[service] = self._credit(service) + 1
        return told.rollout.base

    def targets(self, service: str, version: str) -> list[directory.Target]:
        """Returns the targets in use that run a version, '' for any."""
        found = self.reader.known.in_use(service)
        if version:
            found = [target for target in found if target.version == version]
        told = self.told.get(service)
        if told is None or told.rollout.phase not in phases.PARTIAL:
            return found
        rollout = told.rollout
        new = [one for one in found if one.version == rollout.version]
        old = [one for one in found if one.version != rollout.version]
        return old + versions.exposed(new, rollout)

    def is_closed(self, target: directory.Target) -> bool:
        """Tells whether a target gets nothing more without a key."""
        if not self.is_on:
            return False
        if not self.reader.known.allows(target):
            return True
        told = self.told.get(target.service)
        if told is None or told.rollout.share < 1:
            return False
        if not versions.is_in_force(told, clock.now()):
            return False
        return target.version != told.rollout.version

    def note_start(self, target: directory.Target) -> None:
        """Counts a request that is sent to a target."""
        if not self.is_on:
            return
        sent = (target.service, target.version)
        self.sends[sent] = self.sends.get(sent, 0) + 1
        running = self.running.setdefault(target.service, {})
        running[target.version] = running.get(target.version, 0) + 1
        counter = self.counters.get(target.service)
        if counter is not None:
            counter.begin(target.version)

    def note_end(
        self,
        target: directory.Target,
        route: str,
        finished: send_results.FinishedSend,
    ) -> None:
        """Counts what became of a send."""
        if not self.is_on:
            return
        self.running[target.service][target.version] -= 1
        counter = self.counters.get(target.service)
        ending = ENDINGS.get(finished.result)
        if counter is None or ending is None:
            return
        key = counting.CellKey(
            str(directory.life_of(target)), target.version, route
        )
        counter.end(key, ending, _work_seconds(target, finished))

    def counts(self, *, has_ended: bool) -> list[messages.RolloutCounts]:
        """Returns what is to be told of each rollout.

        Of those that have ended only if `has_ended`.
        """
        return [
            {
                'kind': 'rollout_counts',
                'sender': self.members.own.name,
                'boot': self.members.own.boot,
                'service': service,
                'order': told.rollout.order,
                'phase': self._phase(told),
                'sent': dict(self.counters[service].sent),
                'running': dict(self.running.get(service, {})),
                'cells': encoding.to_cells(self.counters[service].take_fresh()),
            }
            for service, told in self.told.items()
            if has_ended or told.rollout.phase not in phases.FINAL
        ]

    def retell(self) -> None:
        """Has everything told again, to a new coordinator."""
        for counter in self.counters.values():
            counter.retell()

    def _phase(self, told: versions.Told) -> str:
        """Returns the phase by which targets are chosen here; '' if lapsed."""
        phase = told.rollout.phase
        if phase in phases.REVOCABLE and not versions.is_in_force(
            told, clock.now()
        ):
            return ''
        return phase.value

    def _take(self, told: versions.Told) -> bool:
        """Takes in one rollout; returns whether its phase is another one."""
        rollout = told.rollout
        service = rollout.service
        before = self.told.get(service)
        is_same = before is not None and before.rollout.order == rollout.order
        if before is not None and is_same and _is_ended(before, told):
            return False
        if not is_same:
            self.counters[service] = counting.Counter(rollout.order)
            self.credits.pop(service, None)
        self.told[service] = told
        is_settled = rollout.phase in phases.SETTLED
        self.settled[service] = rollout.version if is_settled else rollout.base
        if before is not None and is_same:
            return before.rollout.phase is not rollout.phase
        return True

    def _credit(self, service: str) -> float:
        known = self.credits.get(service)
        if known is not None:
            return known
        return spreading.score(self.members.own.name, service) / SCORES

    def _note_unknown(self, cause: str) -> None:
        if not self.unknown_phases:
            loguru.logger.warning('rollout left out: {}', cause)
        self.unknown_phases += 1

    def _tell_allowed(
        self,
        before: immutables.Map[str, frozenset[str]],
        after: immutables.Map[str, frozenset[str]],
    ) -> None:
        for service, allowed in after.items():
            if before.get(service) != allowed:
                loguru.logger.info(
                    'versions in use of {}: {}', service, sorted(allowed)
                )


def _is_ended(before: versions.Told, told: versions.Told) -> bool:
    """Tells whether a phase without a way back was told before another one.

    A coordinator may have read a store that has come back older.
    """
    earlier, later = before.rollout.phase, told.rollout.phase
    if earlier in phases.FINAL:
        return later is not earlier
    return earlier in phases.SETTLED and later not in phases.SETTLED


def _work_seconds(
    target: directory.Target, finished: send_results.FinishedSend
) -> float | None:
    """Returns how long a target worked, its queue at the answer left out.

    None if it was cold, which is no fault of its version.
    """
    if target.cold_until > clock.now() - finished.seconds:
        return None
    waiting = 0 if finished.report is None else finished.report.waiting
    return finished.seconds / (1 + waiting / target.places)
