"""Rows of the log's and the relay's steps."""

import functools
import typing

from bilberryglade._log import intake, recorder, relay, snapshots
from bilberryglade._state import ownership_folds, rule_folds, topology_folds
from bilberryglade._values import steps
from bilberryglade_lab.matrix import faults, log_fleet, rows
from bilberryglade_lab.observers import violations

FOLDS: typing.Final = (ownership_folds, rule_folds, topology_folds)
STEPS: typing.Final = (
    intake.READ_CONTROL,
    recorder.APPEND_RECORD,
    snapshots.APPEND_CHUNK,
    snapshots.READ_SNAPSHOT,
    relay.RECORDS_ASKED,
    relay.RECORDS_GIVEN,
    relay.STATE_ASKED,
    relay.STATE_GIVEN,
)
ELSEWHERE: typing.Final = frozenset(
    ('freeze_and_return', 'target_cold', 'crashing_request'),
)
REASON: typing.Final = 'the step moves records and never touches a target'


def _log_case(
    seed: int,
    struck: frozenset[str],
    step: str,
) -> list[violations.Violation]:
    return log_fleet.LogFleet(seed, step, struck).run()


def _register(every: tuple[steps.Step, ...]) -> None:
    for step in every:
        striking = faults.striking(step)
        case = functools.partial(_log_case, step=step.name)
        functools.update_wrapper(case, _log_case)
        struck = [fault for fault in striking if fault not in ELSEWHERE]
        rows.sweep(step.name, *struck)(case)
        for fault in sorted(ELSEWHERE):
            rows.not_applicable(step.name, fault, REASON)


_register(STEPS)
