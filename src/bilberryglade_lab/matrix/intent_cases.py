"""Rows of the intents' steps, over two leaders in turn and a faulty log."""

import asyncio
import random
import types
import typing
from collections import abc
from unittest import mock

from bilberryglade._delivery import at_most_once, intent_log
from bilberryglade._delivery.tests import fake_fleet
from bilberryglade._values import outcomes
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

ACTIONS: typing.Final = 12
TURNS: typing.Final = (2, 20, 60)
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
REFUSED: typing.Final = outcomes.NotRun(outcomes.Reason.target_refused)
#: What each fault does to the log's next answers.
LOG_FAULTS: typing.Final = types.MappingProxyType(
    {
        'log_down': 'never',
        'partition_platform': 'never',
        'partition_both': 'never',
        'message_dropped': 'never',
        'log_slow': 'held',
        'message_delayed': 'held',
        'pause': 'held',
        'lease_lapsed': 'held',
        'answer_lost': 'lost',
        'connection_silent': 'lost',
        'message_reordered': 'late',
        'message_duplicated': 'twice',
        'log_stale': 'stale',
    },
)
#: What each fault does to the target's next outcomes.
TARGET_FAULTS: typing.Final[abc.Mapping[str, outcomes.Outcome]] = (
    types.MappingProxyType(
        {
            'freeze_and_return': LOST,
            'crashing_request': LOST,
            'target_cold': REFUSED,
        },
    )
)
#: Faults in which the other instance acts at the same moment.
RIVALS: typing.Final = ('partition_peers', 'partition_one_way')


class Schedule:
    """A random order of calls, takeovers and the faults that strike."""

    def __init__(self, seed: int, struck: frozenset[str]) -> None:
        """Draws from `seed`."""
        self.draw = random.Random(seed)
        self.struck = sorted(struck)
        self.fleet = fake_fleet.FakeFleet()

    async def run(self) -> list[violations.Violation]:
        """Plays the schedule to its end and returns what is wrong."""
        for _ in range(ACTIONS):
            self.strike(self.draw.choice(self.struck))
            await self.act()
        self.fleet.log.answer_gate.set()
        self.fleet.log.release_held.set()
        told = await asyncio.gather(*self.fleet.calls, return_exceptions=True)
        runs = len(self.fleet.run_digests)
        found: list[violations.Violation] = []
        if runs > 1:
            found.append(
                violations.Violation('at most once', f'ran {runs} times'),
            )
        if fake_fleet.ANSWERED in told and not runs:
            found.append(violations.Violation('own answer', 'never ran'))
        return found

    async def act(self) -> None:
        """Calls the leader, moves the lead, or lets the log catch up."""
        chosen = self.draw.randrange(4)
        if chosen == 0:
            self.fleet.take_over()
        if chosen == 1:
            self.fleet.log.release_held.set()
            self.fleet.log.apply_delayed()
        if chosen > 1:
            self.fleet.call(self.fleet.leader)
        for _ in range(self.draw.choice(TURNS)):
            await asyncio.sleep(0)
        self.fleet.log.release_held.clear()

    def strike(self, fault: str) -> None:
        """Brings about a fault."""
        effect = LOG_FAULTS.get(fault, '')
        if effect == 'stale':
            self.fleet.log.stale_count = self.draw.randrange(4)
        elif effect:
            self.fleet.log.fault = effect
            self.fleet.log.is_fault_for_markers = bool(self.draw.getrandbits(1))
        target = TARGET_FAULTS.get(fault)
        if target is not None:
            self.fleet.target_outcome = target
        if fault == 'loss' and self.draw.getrandbits(1):
            self.fleet.crash(self.draw.randrange(2))
        if fault in RIVALS:
            self.fleet.call(0)
            self.fleet.call(1)


def _case(seed: int, struck: frozenset[str]) -> list[violations.Violation]:
    with mock.patch.multiple(
        intent_log,
        RETRY_DELAY_SECONDS=0.001,
        COMMIT_TIMEOUT_SECONDS=0.02,
    ):
        return asyncio.run(_run(seed, struck))


async def _run(seed: int, struck: frozenset[str]) -> list[violations.Violation]:
    return await Schedule(seed, struck).run()


def _register(step: str, skipped: frozenset[str]) -> None:
    faults = {*LOG_FAULTS, *TARGET_FAULTS, *RIVALS} - skipped
    for fault in sorted(faults):
        _register_row(step, fault)
        _register_row(step, fault, 'loss')
    _register_row(step, 'loss')
    rows.not_applicable(
        step,
        'key_withdrawn',
        'the intent names an organisation and no key',
    )


def _register_row(step: str, *struck: str) -> None:
    @rows.row(step, *struck)
    def intents(seed: int) -> list[violations.Violation]:  # noqa: WPS430
        return _case(seed, frozenset(struck))


EXCHANGES: typing.Final = frozenset(('lease_lapsed',))
CHECKS: typing.Final = frozenset(
    (
        'log_stale',
        'answer_lost',
        'connection_silent',
        'message_dropped',
        'message_delayed',
        'message_reordered',
        'message_duplicated',
    ),
)
_register(intent_log.APPEND.name, EXCHANGES)
_register(intent_log.READ.name, EXCHANGES)
_register(at_most_once.RUN.name, CHECKS)
rows.not_applicable(
    intent_log.APPEND.name,
    'operators_race',
    'intents are written by instances and in any order',
)
