"""Rows of the quota protocol: faults at asks, grants, and spent tokens."""

import asyncio
import functools
import random
import types
import typing

from bilberryglade._limits import tokens
from bilberryglade._routing import roles
from bilberryglade_lab.experiments import limits_model
from bilberryglade_lab.fakes import quota_entry
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

ASK: typing.Final = 'quota.ask'
GRANT: typing.Final = 'quota.grant'
HANDOVER: typing.Final = 'quota.handover'
SPEND: typing.Final = 'quota.spend_to_forward'
QUOTA: typing.Final = tokens.QuotaName('press', 'allow|listing')
LIMIT: typing.Final = tokens.Limit(rate=40, burst=6)
INSTANCES: typing.Final = ('entry-0', 'entry-1', 'entry-2')
START_SECONDS: typing.Final = 1.4
FAULT_SECONDS: typing.Final = 0.9
TRAFFIC_SECONDS: typing.Final = 2.5
DEMAND: typing.Final = 90
TOLERANCE: typing.Final = 1e-6
LINKS: typing.Final = types.MappingProxyType(
    {
        'answer_lost': limits_model.Link(loss=0.4),
        'message_dropped': limits_model.Link(loss=0.4),
        'message_duplicated': limits_model.Link(duplication=0.5),
        'message_delayed': limits_model.Link(late=0.3),
        'message_reordered': limits_model.Link(late=0.5, late_seconds=0.05),
    }
)
FAULTS: typing.Final = (
    'partition_platform',
    'partition_peers',
    'partition_both',
    'partition_one_way',
    'connection_silent',
    'pause',
    'loss',
    'log_down',
    *LINKS,
)
IRRELEVANT: typing.Final = types.MappingProxyType(
    {
        'crashing_request': 'a token is spent whatever the request then does',
        'freeze_and_return': 'no target takes part',
        'key_withdrawn': 'keys are checked before and after admission',
        'target_cold': 'no target takes part',
    }
)


class Struck(limits_model.Model):
    """A small fleet that some faults strike at a moment drawn at random."""

    def __init__(self, seed: int, struck: frozenset[str]) -> None:
        """Plans the traffic and the faults in `struck`."""
        super().__init__(seed, {QUOTA: LIMIT})
        for name in INSTANCES:
            self.join(name)
        self.home = roles.quota_home(self.log, *QUOTA)
        moment = START_SECONDS + self.random.random()
        for fault in sorted(struck - LINKS.keys()):
            self.at(moment, functools.partial(self.strike, fault))
        self.plan_traffic()

    def plan_traffic(self) -> None:
        """Lets callers send more than the rate through every entry."""
        moment = START_SECONDS
        while moment < START_SECONDS + TRAFFIC_SECONDS:
            moment += self.random.expovariate(DEMAND)
            entry = self.random.choice(INSTANCES)
            self.at(moment, functools.partial(self.arrive, entry, QUOTA))

    def strike(self, fault: str) -> None:
        """Brings about one fault, for a while or for good."""
        node = self.instances[self.home]
        if fault == 'loss':
            self.lose(self.home, FAULT_SECONDS / 2)
        elif fault == 'pause':
            node.paused_until = self.now + 2 * FAULT_SECONDS
            self.leave(self.home)
        elif fault == 'log_down':
            self.cut_from_log(*INSTANCES)
        elif fault.startswith('partition') or fault == 'connection_silent':
            self.cut(fault)

    def cut(self, fault: str) -> None:
        """Cuts the home off; others may then declare it lost."""
        others = [name for name in INSTANCES if name != self.home]
        if fault in {'partition_platform', 'partition_both'}:
            self.cut_from_log(self.home)
            self.leave(self.home)
        if fault == 'partition_platform':
            return
        pairs = {(self.home, other) for other in others}
        if fault != 'partition_one_way':
            pairs |= {(other, self.home) for other in others}
        self.cuts |= pairs
        if fault != 'connection_silent':
            self.at(
                self.now + FAULT_SECONDS,
                functools.partial(self.cuts.difference_update, pairs),
            )

    def cut_from_log(self, *names: str) -> None:
        """Stops reads of the log for a while."""
        for name in names:
            node = self.instances[name]
            node.reads_log = False
            self.at(
                self.now + FAULT_SECONDS,
                functools.partial(setattr, node, 'reads_log', True),
            )


def judged(fleet: Struck) -> list[violations.Violation]:
    """Runs a fleet and returns by how much it exceeded the limit, if at all."""
    fleet.run(START_SECONDS + TRAFFIC_SECONDS + 1)
    overshoot = fleet.judge(QUOTA).overshoot
    if overshoot <= TOLERANCE:
        return []
    return [violations.Violation('rate_and_burst', f'{overshoot} too many')]


@rows.sweep(ASK, *FAULTS)
def check_asks(seed: int, struck: frozenset[str]) -> list[violations.Violation]:
    """Strikes asks, and the instances that send and take them."""
    fleet = Struck(seed, struck)
    for fault in struck & LINKS.keys():
        fleet.asks = LINKS[fault]
    return judged(fleet)


@rows.row(GRANT, *FAULTS)
def check_grants(seed: int) -> list[violations.Violation]:
    """Strikes grants by up to three faults drawn from all."""
    struck = frozenset(random.Random(seed).sample(FAULTS, 3))
    fleet = Struck(seed, struck)
    for fault in struck & LINKS.keys():
        fleet.grants = LINKS[fault]
    return judged(fleet)


@rows.row(HANDOVER, *FAULTS)
def check_handovers(seed: int) -> list[violations.Violation]:
    """Moves the home by a join, and strikes the handover and its ends."""
    chance = random.Random(seed)
    struck = frozenset(chance.sample(FAULTS, 2))
    fleet = Struck(seed, struck)
    for fault in struck & LINKS.keys():
        fleet.handovers = LINKS[fault]
    for number in range(3):
        moment = START_SECONDS + chance.uniform(0, TRAFFIC_SECONDS)
        joining = functools.partial(fleet.join, f'entry-new-{number}')
        fleet.at(moment, joining)
    return judged(fleet)


@rows.row(SPEND, 'pause')
def check_spent_token(seed: int) -> list[violations.Violation]:
    """A token that was spent before a pause admits nothing after it."""
    seconds = random.Random(seed).uniform(0.06, 30)
    return asyncio.run(_spend_over_pause(seconds))


async def _spend_over_pause(seconds: float) -> list[violations.Violation]:
    entry = quota_entry.FakeEntry()
    admission = await entry.admit_over_pause(seconds)
    if admission.done():
        return [violations.Violation('rate_and_burst', 'a stale token')]
    admission.cancel()
    return []


def _exclude() -> None:
    for irrelevant, cause in IRRELEVANT.items():
        rows.not_applicable(ASK, irrelevant, cause)
        rows.not_applicable(GRANT, irrelevant, cause)
        rows.not_applicable(HANDOVER, irrelevant, cause)
        rows.not_applicable(SPEND, irrelevant, cause)
    for elsewhere in (
        'log_down',
        'log_slow',
        'partition_both',
        'partition_one_way',
        'partition_peers',
        'partition_platform',
        'lease_lapsed',
    ):
        rows.not_applicable(
            SPEND, elsewhere, 'a spent token needs nobody any more'
        )
    rows.not_applicable(SPEND, 'loss', 'a lost token admits nothing')


_exclude()
