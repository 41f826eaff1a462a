"""The calls of an instance to the store, as a metric and as lines."""

import typing
from collections import abc

import loguru
from prometheus_client import metrics_core, registry

#: Seconds between two lines.
LINE_SECONDS: typing.Final = 5.0

#: Calls by name and topic since the start.
Counts: typing.TypeAlias = abc.Mapping[tuple[str, str], int]


class StoreCalls(registry.Collector):
    """Tells how often the store was called, by name of the call and topic."""

    def __init__(self, counts: Counts) -> None:
        """Reads `counts`, which others increase."""
        self.counts = counts
        self.told: dict[tuple[str, str], int] = {}
        self.told_at = float('-inf')

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts at the moment of the scrape."""
        family = metrics_core.CounterMetricFamily(
            'bilberryglade_store_calls',
            'Calls to the store, refused ones included.',
            labels=('call', 'topic'),
        )
        for (call, topic), count in self.counts.items():
            family.add_metric((call, topic), count)
        yield family

    def tell(self, now: float) -> None:
        """Writes a line of the calls since the last one at `now`, if due."""
        if now - self.told_at < LINE_SECONDS:
            return
        self.told_at = now
        counts = dict(self.counts)
        since = {
            f'{call} {topic}': count - self.told.get((call, topic), 0)
            for (call, topic), count in counts.items()
        }
        self.told = counts
        loguru.logger.bind(
            calls={name: count for name, count in since.items() if count},
        ).info('calls to the store')
