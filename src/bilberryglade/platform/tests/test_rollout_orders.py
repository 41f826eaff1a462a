"""Orders of operators: what is followed, what is left out, what is told."""

import copy
import json
import typing
import unittest

import loguru

from bilberryglade._knowledge import knowledge, topics
from bilberryglade._rollouts import orders, phases, refusals
from bilberryglade._targets.tests import samples as targets
from bilberryglade._values import site, stored
from bilberryglade.platform import entries, folds, node_file, rollouts
from bilberryglade.platform.tests import samples

KEY: typing.Final = 'rollout/claims'


def order(offset: int, **changes: typing.Any) -> stored.Record:
    """Returns an operator's record with fields changed."""
    fields = {'service': 'claims', 'to': 'v2', 'duration': '12s', **changes}
    return stored.Record(KEY, offset, json.dumps(fields).encode())


def learn(
    known: knowledge.Knowledge, *records: stored.Record, at: float = 1
) -> knowledge.Knowledge:
    """Returns the knowledge after a reading."""
    batch = stored.Batch(records, 99, is_whole=False)
    return folds.fold_operator(known, topics.Reading(batch, at, 0))


class OrderTests(unittest.TestCase):
    """Orders as they are read."""

    def test_order(self) -> None:
        """Its time counts from its reading."""
        known = learn(knowledge.Knowledge(), order(3), at=5)
        read = known.orders['claims']
        self.assertEqual(read, orders.Order('claims', 'v2', 12, 3, 5))

    def test_written_again(self) -> None:
        """A store that came back older has an order begin anew."""
        known = learn(knowledge.Knowledge(), order(3), at=5)
        again = learn(known, order(8), at=7).orders['claims']
        self.assertEqual((again.read_at, again.offset), (5, 8))

    def test_bad_input(self) -> None:
        """It is carried out, or takes what was in force away."""
        known = learn(knowledge.Knowledge(), order(3))
        cases: tuple[dict[str, typing.Any], ...] = (
            {'duration': '0s'},
            {'duration': '0ms'},
            {'duration': 'soon'},
            {'duration': None},
            {'to': ''},
            {'to': 3},
            {'service': 'other'},
        )
        for number, changes in enumerate(cases):
            with self.subTest(changes=changes):
                after = learn(known, order(number + 4, **changes))
                self.assertEqual(after.orders, known.orders)
                self.assertEqual(after.omitted.counts[topics.OPERATOR], 1)

    def test_withdrawn(self) -> None:
        """Only a dropped key takes an order back."""
        known = learn(knowledge.Knowledge(), order(3))
        whole = stored.Batch((), 99, is_whole=True)
        unnamed = folds.fold_operator(known, topics.Reading(whole, 2, 0))
        self.assertEqual(unnamed.orders, known.orders)
        dropped = learn(known, stored.Record(KEY, 9, payload=None))
        self.assertEqual(dict(dropped.orders), {})

    def test_refused_order_is_told_once(self) -> None:
        """Each look at an order that cannot be followed writes a line."""
        lines: list[str] = []
        sink = loguru.logger.add(lines.append, format='{message}')
        self.addCleanup(loguru.logger.remove, sink)
        noted = refusals.Refusals()
        for _ in range(3):
            noted.note(orders.Order('x', 'v2', 12, 3, 0), 'no service')
        self.assertEqual(len(lines), 1)
        self.assertEqual(noted.counts, {'no service': 1})

    def test_status(self) -> None:
        """Operators are told other words than they know."""
        told = {
            phase: json.loads(rollouts.encode_status('s', phase, 'v2'))['state']
            for phase in phases.Phase
        }
        finals = {'completed': 'completed', 'rolled_back': 'rolled_back'}
        for phase, state in told.items():
            self.assertEqual(state, finals.get(phase.value, 'active'))


class VersionTests(unittest.TestCase):
    """Versions of targets, and the bounds on them."""

    def test_bounds(self) -> None:
        """Settings without bounds end the start, or those given are lost."""
        node = copy.deepcopy(samples.NODE_FILE)
        usual = node_file.read(json.dumps(node).encode()).unwrap().bounds
        self.assertEqual(usual.exposure_share, site.EXPOSURE_SHARE)
        self.assertEqual(usual.rollback, site.ROLLBACK_SECONDS)
        node['terms']['bounds'].update(
            exposure_share=0.2, exposure_slack=7, rollback='3000ms'
        )
        given = node_file.read(json.dumps(node).encode()).unwrap().bounds
        self.assertEqual(
            (given.exposure_share, given.exposure_slack, given.rollback),
            (0.2, 7, 3),
        )

    def test_decoded(self) -> None:
        """An entry's version is lost, or one without it is left out."""
        record = stored.Record('t', 1, samples.entry(config_version='v7'))
        self.assertEqual(entries.decode(record, 0).unwrap().version, 'v7')
        fields = json.loads(samples.entry())
        fields.pop('config_version')
        record = stored.Record('t', 1, json.dumps(fields).encode())
        self.assertEqual(entries.decode(record, 0).unwrap().version, '')

    def test_not_looked_at(self) -> None:
        """Deployments that ask for no rollouts serve as before."""
        known = knowledge.Knowledge()
        target = targets.target(version='v2')
        self.assertTrue(known.allows(target))
        self.assertFalse(known._replace(is_versioned=True).allows(target))
