"""Plans the owners of a service's keys while a rollout of it runs."""

import typing
from collections import abc

from bilberryglade._ownership import (
    candidates,
    owners,
    planning,
    ranges,
    table_manager,
)
from bilberryglade._rollouts import key_moves, phases, stepper, versions
from bilberryglade._targets import directory
from bilberryglade._values import clock

#: The rollout of a service as it is told now; None if there is none.
Find: typing.TypeAlias = abc.Callable[[str], stepper.Rollout | None]


class KeyPlans:
    """Takes the place of the usual plan for services that are moving."""

    def __init__(self, chosen: candidates.Candidates, find: Find) -> None:
        """`chosen` weighs the targets; `find` returns a service's rollout."""
        self.candidates = chosen
        self.find = find

    def plan(
        self,
        service: str,
        targets: abc.Sequence[directory.Target],
        tables: owners.Tables,
        before: ranges.Table,
    ) -> planning.Plan | None:
        """Returns the plan of a service; None if the usual one holds."""
        rollout = self.find(service)
        if rollout is None or rollout.phase not in phases.REVOCABLE:
            return None
        if not before:
            return None
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
