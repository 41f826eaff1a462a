"""Counters and histograms of the platform's requests, and their lines."""

import functools
import typing
from collections import abc

import loguru
import prometheus_client
from prometheus_client import metrics_core, registry

from bilberryglade._admission import gate
from bilberryglade._capacity import policies
from bilberryglade._delivery import router
from bilberryglade._era import keeper
from bilberryglade._knowledge import reading, topics
from bilberryglade._observability import (
    admission_counts,
    capacity_gauges,
    pace,
)
from bilberryglade._ownership import order_log, table_manager
from bilberryglade._peers import network
from bilberryglade._routing import admission
from bilberryglade._values import clock, outcomes, request_progress

BUCKETS: typing.Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    5.0,
)
MILLISECONDS: typing.Final = 1000


class PeerCounts(registry.Collector):
    """Messages to other instances by kind."""

    def __init__(self, peers: network.PeerNetwork) -> None:
        """Reads the counts of `peers`."""
        self.peers = peers

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        messages = metrics_core.CounterMetricFamily(
            'bilberryglade_peer_messages',
            'Messages sent to other instances.',
            labels=('kind',),
        )
        sizes = metrics_core.CounterMetricFamily(
            'bilberryglade_peer_bytes',
            'Bytes of these before encryption and framing.',
            labels=('kind',),
        )
        for kind, sent in self.peers.sent_kinds.items():
            messages.add_metric((kind,), sent.messages)
            sizes.add_metric((kind,), sent.size)
        return iter((messages, sizes))


class OrderCounts(registry.Collector):
    """Orders to targets by kind and by what became of them."""

    def __init__(self, log: order_log.OrderLog) -> None:
        """Reads the counts of `log`."""
        self.log = log

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        counted = metrics_core.CounterMetricFamily(
            'bilberryglade_orders',
            'Orders to targets by what became of them.',
            labels=('order', 'outcome'),
        )
        for labels, count in self.log.counts.items():
            counted.add_metric(labels, count)
        return iter((counted,))


class OddHeaderCounts(registry.Collector):
    """Headers of targets that were left out."""

    def __init__(self, counts: abc.Mapping[str, int]) -> None:
        """Reads `counts`, by name of the header."""
        self.counts = counts

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        counted = metrics_core.CounterMetricFamily(
            'bilberryglade_target_headers_left_out',
            'Headers of targets of which nothing could be made.',
            labels=('header',),
        )
        for name, count in self.counts.items():
            counted.add_metric((name,), count)
        return iter((counted,))


class EraCounts(registry.Collector):
    """The store's era, its rises, and what was wrong with it in answers."""

    def __init__(self, eras: keeper.EraKeeper) -> None:
        """Reads the counts of `eras`."""
        self.eras = eras

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        era = metrics_core.GaugeMetricFamily(
            'bilberryglade_store_era',
            'How often the store has come back from an older copy.',
            value=self.eras.era,
        )
        rises = metrics_core.CounterMetricFamily(
            'bilberryglade_store_era_rises',
            'Rises of the era, by what told of them.',
            labels=('reason',),
        )
        for reason, count in self.eras.rises.items():
            rises.add_metric((reason,), count)
        faults = metrics_core.CounterMetricFamily(
            'bilberryglade_store_era_faults',
            'Answers of the store with an era that cannot be.',
            labels=('fault',),
        )
        for fault, count in self.eras.faults.items():
            faults.add_metric((fault,), count)
        return iter((era, rises, faults))


class LeftOutCounts(registry.Collector):
    """Records of others that were left out."""

    def __init__(self, reader: reading.Reader) -> None:
        """Reads the counts of `reader`."""
        self.reader = reader

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        records = metrics_core.CounterMetricFamily(
            'bilberryglade_records_left_out',
            'Records of the store that were left out, repeats included.',
            labels=('topic',),
        )
        omitted = self.reader.known.omitted
        for topic, count in omitted.counts.items():
            records.add_metric((topic,), count)
        parts = metrics_core.CounterMetricFamily(
            'bilberryglade_record_parts_left_out',
            'Parts of records that were left out or read carefully.',
            labels=('topic',),
        )
        for topic, count in omitted.part_counts.items():
            parts.add_metric((topic,), count)
        return iter((records, parts))


class Exchanges:
    """Counts exchanges with callers and writes a line for each."""

    def __init__(
        self,
        reader: reading.Reader,
        keeper: table_manager.TableManager,
    ) -> None:
        """Starts at zero."""
        self.reader = reader
        self.keeper = keeper
        self.registry = prometheus_client.CollectorRegistry()
        self.seconds = prometheus_client.Histogram(
            'bilberryglade_request_seconds',
            'Time from the arrival of a request to its answer.',
            ('organisation', 'route'),
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.outcomes = prometheus_client.Counter(
            'bilberryglade_requests',
            'Requests by what became of them.',
            ('service', 'outcome', 'reason'),
            registry=self.registry,
        )
        # The library takes a lock and checks all labels at each look-up.
        self._seconds_of = functools.cache(self.seconds.labels)
        self._outcomes_of = functools.cache(self.outcomes.labels)
        self.registry.register(LeftOutCounts(reader))
        self.pace = pace.Pace(self.registry)

    def take(
        self,
        request: admission.Incoming,
        delivered: router.DeliveryResult,
        status: int,
        seconds: float,
    ) -> None:
        """Takes in an exchange that has ended."""
        outcome = delivered.outcome
        kind = type(outcome).__name__
        reason = ''
        if not isinstance(outcome, outcomes.Answered):
            reason = str(outcome.reason)
        self._seconds_of(delivered.organisation, delivered.route).observe(
            seconds
        )
        self._outcomes_of(delivered.service, kind, reason).inc()
        known = self.reader.known
        now = clock.now()
        loguru.logger.bind(
            request=request.request_id,
            route=delivered.route,
            organisation=delivered.organisation,
            service=delivered.service,
            key=request.routing_key,
            targets=delivered.targets,
            sends=[_described(send) for send in request.progress.sends],
            owner=delivered.owner,
            outcome=kind,
            reason=reason,
            cause=delivered.cause,
            status=status,
            ms=int(seconds * MILLISECONDS),
            sent_ms=_since(request.arrived_at, request.progress.sent_at),
            left_ms=_since(request.arrived_at, request.progress.left_at),
            loop_late_ms=int(self.pace.late_seconds * MILLISECONDS),
            waited_ms=int(delivered.waited_seconds * MILLISECONDS),
            retry_after_ms=delivered.retry_after_ms,
            configuration=known.catalogue and known.catalogue.version,
            tables=self.keeper.tables.version,
            targets_age_ms=int(known.age(topics.TARGETS, now) * MILLISECONDS)
            if topics.TARGETS in known.read_at
            else None,
            targets_from=known.source.get(topics.TARGETS),
        ).info('request')

    def watch_peers(self, peers: network.PeerNetwork) -> None:
        """Counts what is sent to other instances from now on."""
        self.registry.register(PeerCounts(peers))

    def watch_orders(self, log: order_log.OrderLog) -> None:
        """Counts orders to targets from now on."""
        self.registry.register(OrderCounts(log))

    def watch_headers(self, counts: abc.Mapping[str, int]) -> None:
        """Counts headers of targets that are left out from now on."""
        self.registry.register(OddHeaderCounts(counts))

    def watch_capacity(self, policy: policies.Policy) -> None:
        """Shows what is learnt of targets from now on."""
        self.registry.register(capacity_gauges.CapacityGauges(policy))

    def watch_admission(self, counted: gate.Gate) -> None:
        """Counts decisions on requests that compete from now on."""
        self.registry.register(admission_counts.Decisions(counted))

    def watch_store(self, eras: keeper.EraKeeper) -> None:
        """Tells of the store's era from now on."""
        self.registry.register(EraCounts(eras))

    def scrape(self) -> bytes:
        """Returns all counters as text."""
        return prometheus_client.generate_latest(self.registry)


def _described(send: request_progress.Send) -> dict[str, object]:
    """Returns a send as a line shows it; connection 0: no byte went out."""
    return {
        'target': send.target,
        'connection': send.carrier.connection,
        'earlier_uses': send.carrier.earlier_uses,
        'status': send.status,
        'outcome': send.outcome,
        'evidence': send.evidence,
        'ms': send.milliseconds,
    }


def _since(began: float, moment: float | None) -> int | None:
    """Returns the milliseconds from `began` to a moment, if there was one."""
    return None if moment is None else int((moment - began) * MILLISECONDS)
