"""The log's rows find what they are for once a protection is taken out."""

import typing
import unittest
from unittest import mock

import immutables

from bilberryglade._log import intake, relay, snapshots
from bilberryglade._state import folding, state
from bilberryglade_lab.matrix import log_cases, log_fleet, rows

SEEDS = 12


def _believing_hear(
    before: intake.Intake,
    offset: int,
    known_at: float,
) -> intake.Intake:
    heard = before._replace(heard_offset=max(before.heard_offset, offset))
    return heard._replace(fresh_at=max(before.fresh_at, known_at))


def _any_state(
    before: intake.Intake,
    given: state.ClusterState,
    known_at: float,
    now: float,
) -> intake.Intake:
    taken = before._replace(view=given, recent=(), has_gap=False)
    return intake.hear(taken, given.offset, known_at)


def _forgetful_fold(
    before: state.ClusterState,
    offset: int,
    record: folding.Record,
) -> folding.FoldStep:
    forgotten = {
        record_id: verdict
        for record_id, verdict in before.verdicts.items()
        if record_id != record['id']
    }
    bare = before._replace(verdicts=immutables.Map(forgotten))
    return REAL_FOLD(bare, offset, record)


REAL_FOLD = folding.fold


class Protection(typing.NamedTuple):
    """A protection, how it is taken out, and what must be found then."""

    module: typing.Any
    name: str
    replacement: typing.Any
    step: str
    struck: frozenset[str]
    promise: str


PROTECTIONS = (
    Protection(
        intake,
        'hear',
        _believing_hear,
        intake.READ_CONTROL.name,
        frozenset(('message_dropped',)),
        'fresh_is_true',
    ),
    Protection(
        intake,
        'take_state',
        _any_state,
        relay.STATE_GIVEN.name,
        frozenset(('message_delayed',)),
        'never_goes_back',
    ),
    Protection(
        snapshots,
        'is_due',
        lambda *_: False,
        intake.READ_CONTROL.name,
        frozenset(('loss',)),
        'same_state',
    ),
)


def _found(protection: Protection) -> set[str]:
    found: set[str] = set()
    for seed in range(SEEDS):
        fleet = log_fleet.LogFleet(seed, protection.step, protection.struck)
        found.update(violation.promise for violation in fleet.run())
        if protection.promise in found:
            return found
    return found


class ProtectionTest(unittest.TestCase):
    """Protections of the log, one after the other."""

    def test_each_protection_matters(self) -> None:
        """Without it the observer finds the violation that it prevents."""
        for protection in PROTECTIONS:
            with self.subTest(protection.name):
                patch = mock.patch.object(
                    protection.module,
                    protection.name,
                    protection.replacement,
                )
                with patch:
                    self.assertIn(protection.promise, _found(protection))

    def test_copies_are_known(self) -> None:
        """Without the memory of verdicts a copy gets a verdict of its own."""
        with mock.patch.object(folding, 'fold', _forgetful_fold):
            struck = frozenset(('message_duplicated',))
            found = log_fleet.LogFleet(1, 'log.append_record', struck).run()
        promises = {violation.promise for violation in found}
        self.assertIn('acknowledged_lasts', promises)

    def test_every_log_step_is_swept(self) -> None:
        """Each step of the log has rows for single faults and for pairs."""
        for step in log_cases.STEPS:
            mine = [
                row
                for row in rows.rows.entries.values()
                if row.step == step.name
            ]
            self.assertGreater(len(mine), 100)
