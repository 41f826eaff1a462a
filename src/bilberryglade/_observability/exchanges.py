"""Measures what became of callers' requests."""

import typing

from bilberryglade._observability import measurements
from bilberryglade._values import exchanges

REQUESTS: typing.Final = measurements.declare_counter(
    'requests',
    "Callers' requests by what became of them.",
    'outcome',
    'reason',
)
BY_ORGANISATION: typing.Final = measurements.declare_counter(
    'organisation_requests',
    'Requests of each organisation by what became of them.',
    'organisation',
    'outcome',
    'reason',
)
LATENCY: typing.Final = measurements.declare_latency(
    'organisation_seconds',
    'Seconds from the arrival of a request to its answer, by organisation.',
    'organisation',
)
CLASS_LATENCY: typing.Final = measurements.declare_latency(
    'class_seconds',
    'Seconds from arrival to answer, by service and whether it may repeat.',
    'service',
    'repeatable',
)


class ExchangeMeter:
    """Counts and times exchanges with callers."""

    def __init__(self, metrics: measurements.Metrics) -> None:
        """Adds to `metrics`."""
        self.metrics = metrics

    def take(self, exchange: exchanges.Exchange) -> None:
        """Measures one exchange."""
        outcome = exchange.outcome
        reason = exchange.reason
        self.metrics.count(REQUESTS, outcome, reason)
        if not exchange.organisation:
            return
        organisation = self.metrics.organisations.bound(exchange.organisation)
        self.metrics.count(BY_ORGANISATION, organisation, outcome, reason)
        self.metrics.observe(LATENCY, exchange.seconds, organisation)
        if not exchange.service:
            return
        service = self.metrics.services.bound(exchange.service)
        repeatable = 'yes' if exchange.repeatable else 'no'
        self.metrics.observe(
            CLASS_LATENCY,
            exchange.seconds,
            service,
            repeatable,
        )
