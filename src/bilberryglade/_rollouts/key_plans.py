"""Plans the owners of a service's keys while a rollout of it runs."""

from collections import abc

from bilberryglade._ownership import (
    candidates,
    owners,
    planning,
    ranges,
    table_manager,
)
from bilberryglade._rollouts import key_moves, manager, phases, versions
from bilberryglade._targets import directory
from bilberryglade._values import clock


class KeyPlans:
    """Takes the place of the usual plan for services that are moving."""

    def __init__(
        self, chosen: candidates.Candidates, rollouts: manager.Manager
    ) -> None:
        """`chosen` weighs the targets for what `rollouts` tells."""
        self.candidates = chosen
        self.rollouts = rollouts

    def plan(
        self,
        service: str,
        targets: abc.Sequence[directory.Target],
        tables: owners.Tables,
        before: ranges.Table,
    ) -> planning.Plan | None:
        """Returns the plan of a service; None if the usual one holds."""
        if not before or service not in self.rollouts.reader.known.orders:
            return None
        if not self.rollouts.is_ready():
            # A new coordinator must not give a version on trial what it can.
            return planning.Plan(before, is_changed=False)
        told = self.rollouts.exposure.told.get(service)
        if told is None or told.rollout.phase not in phases.REVOCABLE:
            return None
        rollout = told.rollout
        now = clock.now()
        loads = self.candidates.load_sum.loads(service)
        old = [one for one in targets if one.version != rollout.version]
        new = [one for one in targets if one.version == rollout.version]
        receivers = versions.exposed(new, rollout) if rollout.share else []
        share = 0 if rollout.is_paused else rollout.share
        weigh = self.candidates.weigh
        sides = key_moves.Sides(
            tuple(weigh(old, loads, now)),
            tuple(weigh(new, loads, now)),
            tuple(weigh(receivers, loads, now)),
        )
        return key_moves.plan(
            before,
            sides,
            loads,
            share,
            owners.moving_ranges(tables, service),
        )


class Holders:
    """Tells how much of a service's keys is not yet at a version."""

    def __init__(self, steward: table_manager.TableManager) -> None:
        """Reads the tables and the targets of `steward`."""
        self.steward = steward

    def __call__(self, service: str, version: str) -> int:
        """Returns how many ranges are not granted to targets of a version."""
        if service not in self.steward.candidates.services():
            return 0
        return key_moves.old_owners(
            self.steward.tables,
            self.steward.reader.known.directory,
            service,
            version,
        )
