"""Metrics with bounded labels, and log lines without secrets."""

import asyncio
import json
import types
import typing
import unittest

import loguru

from bilberryglade._log import intake
from bilberryglade._observability import (
    changes,
    exchanges,
    lines,
    measurements,
    readings,
)
from bilberryglade._operations import catalogue
from bilberryglade._operations.tests import fakes
from bilberryglade._state import state
from bilberryglade._values import exchanges as exchange_values

REGISTERED = (catalogue, exchanges, readings)


def parts_of(view: state.ClusterState) -> readings.Parts:
    """Returns parts that stand still."""
    reader: typing.Any = types.SimpleNamespace(
        view=view,
        age_seconds=float('inf'),
        failed_reads=3,
        known=intake.ignore(intake.Intake(), 'stale_read'),
    )
    waiting: typing.Any = types.SimpleNamespace(waiting_count=lambda: 2)
    peers: typing.Any = types.SimpleNamespace(
        senders={}, sent_messages=5, sent_bytes=90
    )
    delivery: typing.Any = types.SimpleNamespace(retries=4)
    return readings.Parts(
        'entry-0',
        reader,
        waiting,
        delivery,
        peers,
        lambda: True,
        lambda: 'fresh',
    )


def exchange(organisation: str) -> exchange_values.Exchange:
    """Returns an answered exchange."""
    return exchange_values.Exchange(
        'answered', '', organisation, 'ledger', True, 0.003
    )


class MetricsTest(unittest.TestCase):
    """One instance's measurements."""

    def setUp(self) -> None:
        """Makes the measurements of an instance that stands still."""
        self.metrics = measurements.Metrics(parts_of(state.ClusterState()))
        self.meter = exchanges.ExchangeMeter(self.metrics)

    def test_scrape_has_every_declared_measurement(self) -> None:
        """Everything declared is in the text that Prometheus reads."""
        text = self.metrics.scrape().decode()
        names = {
            *measurements.measurements.entries,
            *measurements.readings.entries,
        }
        for name in names:
            self.assertIn(f'{measurements.NAMESPACE}_{name}', text)
        self.assertIn('bilberryglade_failed_log_reads_total 3.0', text)
        self.assertIn('bilberryglade_stale_log_reads_total 1.0', text)
        self.assertIn('bilberryglade_retries_total 4.0', text)
        self.assertIn('bilberryglade_knowledge_age_seconds 3600.0', text)

    def test_labels_are_bounded(self) -> None:
        """Organisations beyond the limit share one label."""
        for number in range(measurements.MAX_LABEL_VALUES + 10):
            self.meter.take(exchange(f'organisation-{number}'))
        text = self.metrics.scrape().decode()
        counts = [
            line
            for line in text.splitlines()
            if line.startswith('bilberryglade_organisation_seconds_count')
        ]
        self.assertEqual(len(counts), measurements.MAX_LABEL_VALUES + 1)
        self.assertIn(
            'bilberryglade_organisation_seconds_count{organisation="other"} 10',
            text,
        )

    def test_strangers_have_no_labels(self) -> None:
        """A request without a valid key is counted by its reason alone."""
        self.meter.take(
            exchange_values.Exchange(
                'not_run', 'no_credentials', '', '', True, 0.001
            )
        )
        text = self.metrics.scrape().decode()
        self.assertIn('reason="no_credentials"} 1.0', text)
        self.assertNotIn('organisation=""', text)

    def test_instances_share_nothing(self) -> None:
        """Two instances in one process count apart."""
        other = measurements.Metrics(parts_of(state.ClusterState()))
        self.meter.take(exchange('minders'))
        self.assertIn(b'minders', self.metrics.scrape())
        self.assertNotIn(b'minders', other.scrape())


class LinesTest(unittest.IsolatedAsyncioTestCase):
    """Lines for changes of state, and nothing else."""

    async def asyncSetUp(self) -> None:
        """Keeps the lines of an instance over a log in memory."""
        self.written: list[str] = []
        lines.configure(
            {'format': 'json', 'level': 'INFO'}, self.written.append
        )
        self.addCleanup(loguru.logger.remove)
        self.context = fakes.context_over(fakes.FakeLog())
        self.log = lines.ChangeLog('entry-0')
        self.context.reader.listeners.append(self.log.take_view)
        following = asyncio.create_task(self.context.reader.follow())
        self.addCleanup(following.cancel)

    async def perform(self, name: str, **request: typing.Any) -> typing.Any:
        """Performs an operation; returns its answer."""
        outcome = await fakes.perform(self.context, name, **request)
        return outcome.unwrap()

    def events(self) -> list[str]:
        """Returns the events written so far."""
        return [json.loads(line)['event'] for line in self.written]

    async def test_changes_are_told_without_secrets(self) -> None:
        """Rules and withdrawals are told; secret and digest are not."""
        await self.perform(
            'rules_publish', text=fakes.RULES, by='anna', based_on=0
        )
        issued = await self.perform('keys_issue', organisation='minders')
        await self.perform('keys_withdraw', key_id=issued['key_id'])
        self.assertEqual(
            self.events(),
            ['rules revision in force', 'API key withdrawn'],
        )
        digests = list(self.context.reader.view.api_keys)
        whole = ''.join(self.written)
        for secret in (issued['secret'], *digests):
            self.assertNotIn(secret, whole)

    async def test_log_case_is_told_once(self) -> None:
        """A case that lasts gives one line."""
        for case in ('fresh', 'fresh', 'isolated', 'isolated', 'fresh'):
            self.log.take_log_case(case)
        self.assertEqual(self.events(), ['log case', 'log case', 'log case'])

    async def test_exceptions_show_no_values(self) -> None:
        """A line about an exception does not print variables."""
        secret = 'hidden-value'
        try:
            self.fail_with(secret)
        except ValueError:
            loguru.logger.exception('a fault')
        self.assertNotIn(secret, ''.join(self.written))

    def fail_with(self, secret: str) -> None:
        """Raises with a secret in a local variable."""
        if secret:
            raise ValueError('fault')


class ChangesTest(unittest.TestCase):
    """Each kind of change between two views."""

    def test_topology(self) -> None:
        """Members, failure domains, targets and leaders are told."""
        empty = state.ClusterState()
        member = state.Member('entry-0', 'b' * 8, 'north', 'a', 'a', 1)
        target = state.TargetState(
            'ledger-0', 'ledger', 'north', 'a', 2, True, 'live', 2
        )
        domain = state.FailureDomain('north', in_service=False, changed_at=3)
        full = empty._replace(
            members=empty.members.set('entry-0', member),
            targets=empty.targets.set('ledger-0', target),
            failure_domains=empty.failure_domains.set('north', domain),
            topology_changed_at=3,
        )
        cases = (
            (
                empty,
                full,
                'instance joined, failure domain, target state, leader gained',
            ),
            (full, empty, 'instance left, leader lost'),
            (full, full, ''),
        )
        for before, after, words in cases:
            with self.subTest(words=words):
                views = changes.Views('entry-0', before, after)
                found = [change.event for change in changes.find(views)]
                self.assertEqual(', '.join(found), words)
