"""How late the loop runs, as a timer of its own shows."""

import typing

import loguru
import prometheus_client

MILLISECONDS: typing.Final = 1000
#: Lateness from which a line is written, in seconds.
LATE_SECONDS: typing.Final = 0.25
#: Least time between two such lines, in seconds.
LINE_SECONDS: typing.Final = 1.0
BUCKETS: typing.Final = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Pace:
    """Lateness of a timer that is due again and again."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Counts in `registry`."""
        #: Seconds by which the timer ran late the last time.
        self.late_seconds: float = 0
        self.told_at = float('-inf')
        self.histogram = prometheus_client.Histogram(
            'bilberryglade_loop_late_seconds',
            'Time by which a timer of the loop ran late.',
            buckets=BUCKETS,
            registry=registry,
        )

    def take(self, late_seconds: float, now: float) -> None:
        """Takes in how late the timer ran, at `now` in seconds."""
        self.late_seconds = max(late_seconds, 0)
        self.histogram.observe(self.late_seconds)
        is_told = now - self.told_at < LINE_SECONDS
        if is_told or self.late_seconds < LATE_SECONDS:
            return
        self.told_at = now
        loguru.logger.bind(ms=int(self.late_seconds * MILLISECONDS)).warning(
            'loop late'
        )
