"""The registry of measurements, and one instance's set of them.

A measurement is declared once, by name, help and labels. Each instance makes
its own set in a `CollectorRegistry` of its own, so nothing is global.
"""

import typing
from collections import abc

import prometheus_client
from prometheus_client import core, metrics, registry as collectors

from bilberryglade._values import registry

NAMESPACE: typing.Final = 'bilberryglade'
#: Upper bounds in seconds, dense around the latencies that are promised.
LATENCY_BUCKETS: typing.Final = (
    0.001,
    0.002,
    0.004,
    0.007,
    0.01,
    0.014,
    0.02,
    0.03,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
#: Distinct values of a label that outsiders can choose.
MAX_LABEL_VALUES: typing.Final = 64
OTHER: typing.Final = 'other'


class Measurement(typing.NamedTuple):
    """A declared counter or histogram."""

    name: str
    kind: type[prometheus_client.Counter | prometheus_client.Histogram]
    help_text: str
    labels: tuple[str, ...]


class Reading(typing.NamedTuple):
    """A value that is read from the instance at each scrape."""

    help_text: str
    #: Whether the value only grows.
    is_counter: bool
    read: abc.Callable[[typing.Any], float]


measurements: typing.Final = registry.Registry[Measurement]('measurement')
readings: typing.Final = registry.Registry[Reading]('reading')

ReadFunction: typing.TypeAlias = abc.Callable[[typing.Any], float]


def declare_counter(name: str, help_text: str, *labels: str) -> str:
    """Declares a counter and returns its name."""
    kind = prometheus_client.Counter
    measurements.register(name)(Measurement(name, kind, help_text, labels))
    return name


def declare_latency(name: str, help_text: str, *labels: str) -> str:
    """Declares a histogram of seconds and returns its name."""
    kind = prometheus_client.Histogram
    measurements.register(name)(Measurement(name, kind, help_text, labels))
    return name


def reading_of(
    name: str,
    *,
    is_counter: bool = False,
) -> abc.Callable[[ReadFunction], ReadFunction]:
    """Returns a decorator that registers a value read at each scrape.

    The function takes the instance; its docstring is the help text.
    """

    def decorator(read: ReadFunction) -> ReadFunction:  # noqa: WPS430
        help_text = (read.__doc__ or name).strip()
        readings.register(name)(Reading(help_text, is_counter, read))
        return read

    return decorator


class BoundedLabel:
    """Keeps the first values of a label; later ones become `other`."""

    def __init__(self, limit: int = MAX_LABEL_VALUES) -> None:
        """Keeps up to `limit` values."""
        self.limit = limit
        self.known: set[str] = set()

    def bound(self, text: str) -> str:
        """Returns `text`, or `other` once there are too many values."""
        if text in self.known:
            return text
        if len(self.known) >= self.limit:
            return OTHER
        self.known.add(text)
        return text


class Metrics:
    """One instance's measurements."""

    def __init__(self, node: object) -> None:
        """Makes every declared measurement; readings are taken of `node`."""
        self.collector = collectors.CollectorRegistry(auto_describe=False)
        self.organisations = BoundedLabel()
        self.services = BoundedLabel()
        self.made: dict[str, metrics.MetricWrapperBase] = {
            name: _make(measurement, self.collector)
            for name, measurement in measurements.entries.items()
        }
        self.collector.register(_Readings(node))

    def count(self, name: str, *labels: str) -> None:
        """Adds one to a counter."""
        counter = typing.cast(prometheus_client.Counter, self.made[name])
        (counter.labels(*labels) if labels else counter).inc()

    def observe(self, name: str, seconds: float, *labels: str) -> None:
        """Adds a duration to a histogram."""
        histogram = typing.cast(prometheus_client.Histogram, self.made[name])
        (histogram.labels(*labels) if labels else histogram).observe(seconds)

    def scrape(self) -> bytes:
        """Returns all measurements in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.collector)


class _Readings(collectors.Collector):
    """Takes the readings of an instance at each scrape."""

    def __init__(self, node: object) -> None:
        """Reads from `node`."""
        self.node = node

    def collect(self) -> abc.Iterator[core.Metric]:
        """Yields one metric for each registered reading."""
        for name, reading in readings.entries.items():
            full_name = f'{NAMESPACE}_{name}'
            kind: type[typing.Any] = core.GaugeMetricFamily
            if reading.is_counter:
                kind = core.CounterMetricFamily
            yield kind(
                full_name,
                reading.help_text,
                value=reading.read(self.node),
            )


def _make(
    measurement: Measurement,
    collector: collectors.CollectorRegistry,
) -> metrics.MetricWrapperBase:
    if measurement.kind is prometheus_client.Counter:
        return prometheus_client.Counter(
            measurement.name,
            measurement.help_text,
            measurement.labels,
            namespace=NAMESPACE,
            registry=collector,
        )
    return prometheus_client.Histogram(
        measurement.name,
        measurement.help_text,
        measurement.labels,
        namespace=NAMESPACE,
        registry=collector,
        buckets=LATENCY_BUCKETS,
    )
