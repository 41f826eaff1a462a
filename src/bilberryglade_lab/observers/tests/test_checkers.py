"""Each checker finds its fault in a bad history and none in a good one."""

import types
import typing
import unittest
from collections import abc

from bilberryglade_lab.observers import all_checkers, history
from bilberryglade_schema import platform

SECOND_NS = 1_000_000_000
ONE = 'a'
OTHER = 'b'
FIRST = 'r1'
SECOND = 'r2'
KEY_WITHDRAWN = 'key_withdrawn'


def _ran(
    request_id: str, target: str, start: float, **changes: typing.Any
) -> typing.Any:
    entry: platform.JournalEntry = {
        'target': target,
        'request_id': request_id,
        'organisation': 'office',
        'service': 'ledger',
        'key': 'child-1',
        'slot': 4,
        'fence': 10,
        'started_ns': int(start * SECOND_NS),
        'ended_ns': int((start + 0.5) * SECOND_NS),
        'state': 'done',
        'headers': {},
    }
    return {**entry, **changes}


def _sent(request_id: str, **changes: typing.Any) -> history.CallerRecord:
    record = history.CallerRecord(
        request_id=request_id,
        organisation='office',
        key='child-1',
        sent_at=0,
        ended_at=9,
        outcome='answered',
        status=200,
        idempotency_key='',
        api_key_id='key-1',
        answered_request_id=request_id,
    )
    return record._replace(**changes)


def _history(*journal: typing.Any, **parts: typing.Any) -> history.History:
    return history.History(
        journal=journal,
        failure_domains={ONE: 'north', OTHER: 'south'},
        **parts,
    )


def _after(kind: str, subject: str, seconds: float) -> history.History:
    return _history(
        _ran(FIRST, ONE, 1 + seconds),
        callers=(_sent(FIRST),),
        acts=(history.OperatorAct(kind, subject, at=1, until=20),),
    )


def _burst(*starts: float) -> history.History:
    return _history(
        *(
            _ran(f'r{number}', ONE, start)
            for number, start in enumerate(starts)
        ),
        limits=(history.Limit('office', 'ledger', rate=2, burst=2),),
    )


def _repeated(state: str) -> history.History:
    return _history(
        _ran(FIRST, ONE, 1),
        _ran(SECOND, ONE, 2, state=state),
        callers=(
            _sent(FIRST, idempotency_key='claim-1'),
            _sent(SECOND, idempotency_key='claim-1', outcome='not_run'),
        ),
    )


class Histories(typing.NamedTuple):
    """A bad and a good history for one checker."""

    bad: tuple[history.History, ...]
    good: tuple[history.History, ...]


CASES: abc.Mapping[str, Histories] = types.MappingProxyType(
    {
        'one_owner': Histories(
            bad=(
                _history(_ran(FIRST, ONE, 1), _ran(SECOND, OTHER, 1.2)),
                _history(
                    _ran(FIRST, ONE, 1, state='running', ended_ns=0),
                    _ran(SECOND, ONE, 2),
                    _ran('r3', OTHER, 30),
                ),
            ),
            good=(
                _history(_ran(FIRST, ONE, 1), _ran(SECOND, OTHER, 1.6)),
                _history(
                    _ran(FIRST, ONE, 1), _ran(SECOND, OTHER, 1.2, key='child-2')
                ),
                _history(
                    _ran(FIRST, ONE, 1),
                    _ran(SECOND, OTHER, 1.2, state='refused'),
                ),
            ),
        ),
        'fences_rise': Histories(
            bad=(
                _history(_ran(FIRST, OTHER, 1, fence=11), _ran(SECOND, ONE, 3)),
            ),
            good=(
                _history(_ran(FIRST, ONE, 1), _ran(SECOND, OTHER, 3, fence=11)),
            ),
        ),
        'within_rate': Histories(
            bad=(_burst(1, 1, 1.1), _burst(1, 1, 1.5, 2, 2.2)),
            good=(_burst(1, 1, 1.5, 2, 2.5), _burst(1, 9, 9)),
        ),
        'not_run_is_true': Histories(
            bad=(
                _history(
                    _ran(FIRST, ONE, 1, state='crashed'),
                    callers=(_sent(FIRST, outcome='not_run'),),
                ),
            ),
            good=(
                _history(
                    _ran(FIRST, ONE, 1, state='refused'),
                    callers=(_sent(FIRST, outcome='not_run'),),
                ),
            ),
        ),
        'at_most_once': Histories(
            bad=(
                _repeated('done'),
                _history(
                    _ran(FIRST, ONE, 1, headers={'idempotency-key': 'claim-1'}),
                    _ran(
                        FIRST, OTHER, 4, headers={'idempotency-key': 'claim-1'}
                    ),
                ),
            ),
            good=(_repeated('refused'),),
        ),
        'own_answer': Histories(
            bad=(
                _history(callers=(_sent(FIRST, answered_request_id=SECOND),)),
            ),
            good=(
                _history(callers=(_sent(FIRST),)),
                _history(callers=(_sent(FIRST, answered_request_id=''),)),
            ),
        ),
        'whole_answer': Histories(
            bad=(_history(callers=(_sent(FIRST, is_whole=False),)),),
            good=(
                _history(callers=(_sent(FIRST),)),
                _history(
                    callers=(_sent(FIRST, is_whole=False, outcome='unknown'),),
                ),
            ),
        ),
        'own_organisation': Histories(
            bad=(
                _history(
                    _ran(FIRST, ONE, 1),
                    callers=(_sent(FIRST, organisation='minders'),),
                ),
            ),
            good=(_history(_ran(FIRST, ONE, 1), callers=(_sent(FIRST),)),),
        ),
        'withdrawn_key': Histories(
            bad=(_after(KEY_WITHDRAWN, 'key-1', 3.1),),
            good=(
                _after(KEY_WITHDRAWN, 'key-1', 2.9),
                _after(KEY_WITHDRAWN, 'key-2', 3.1),
            ),
        ),
        'failure_domain_out': Histories(
            bad=(_after('failure_domain_out', 'north', 3.1),),
            good=(
                _after('failure_domain_out', 'north', 2.9),
                _after('failure_domain_out', 'north', 25),
                _after('failure_domain_out', 'south', 3.1),
            ),
        ),
        'leaving_target': Histories(
            bad=(_after('target_leaving', ONE, 3.1),),
            good=(
                _after('target_leaving', ONE, 2.9),
                _after('target_leaving', OTHER, 3.1),
            ),
        ),
    }
)


class CheckerTest(unittest.TestCase):
    """Checkers on made-up histories."""

    def test_every_checker_has_cases(self) -> None:
        """No checker goes without a bad and a good history."""
        self.assertEqual(len(all_checkers.MODULES), 4)
        self.assertEqual(sorted(CASES), history.checkers.names())

    def test_bad_histories_are_found(self) -> None:
        """A checker finds its own fault under its own name."""
        for name, cases in CASES.items():
            for number, bad in enumerate(cases.bad):
                with self.subTest(checker=name, history=number):
                    found = history.checkers.entries[name](bad)
                    self.assertEqual({row.promise for row in found}, {name})

    def test_good_histories_pass(self) -> None:
        """A checker finds nothing where its promise is kept."""
        for name, cases in CASES.items():
            for number, good in enumerate(cases.good):
                with self.subTest(checker=name, history=number):
                    found = history.checkers.entries[name](good)
                    self.assertEqual(found, [])
