"""The requests at a target, counted exactly by its dispatcher.

From the count follows when each request left the target's queue, and how many
were at work on average while it was. A target serves its queue in order.
"""

import typing

from bilberryglade._capacity import curve

#: Bounds of a reported pace; what is beyond them is taken for an error.
MIN_PACE: typing.Final = 0.05
MAX_PACE: typing.Final = 20.0
#: Time for which a reported pace says how fast a new request starts, in seconds.
PACE_SECONDS: typing.Final = 0.3
#: Ratio of the paces at both ends of a request above which its time tells
#: nothing: it is not known when the pace changed.
MAX_PACE_RATIO: typing.Final = 1.5
#: Shortest time of work, in seconds; shorter ones are taken for errors.
MIN_SECONDS: typing.Final = 0.0001


class Started(typing.NamedTuple):
    """A request at work."""

    #: Monotonic seconds.
    started_at: float
    #: `Occupancy.area` at that time.
    area: float
    #: The pace of the machine at that time; None if it is not known.
    pace: float | None


class Occupancy:
    """The requests at one life of a target that have permits."""

    def __init__(self, places: int, now: float) -> None:
        """Starts without requests, at `now` (monotonic seconds)."""
        self.places = places
        self.running: dict[typing.Hashable, Started] = {}
        #: Requests in the target's queue, in order.
        self.waiting: dict[typing.Hashable, None] = {}
        #: Integral of the number of requests at work over time, in seconds.
        self.area: float = 0
        self.counted_at = now
        #: The pace that was reported last, and when.
        self.pace: float = 1
        self.paced_at: float | None = None

    def __len__(self) -> int:
        """Returns the number of requests at the target."""
        return len(self.running) + len(self.waiting)

    def begin(self, key: typing.Hashable, now: float) -> None:
        """Counts a request that got a permit."""
        self._advance(now)
        if len(self.running) < self.places:
            self._start(key, now)
        else:
            self.waiting[key] = None

    def end(
        self,
        key: typing.Hashable,
        seconds: float,
        pace: float | None,
        now: float,
    ) -> curve.Sample | None:
        """Ends a request; returns what its work tells, if it tells anything.

        `seconds` is the time that its sender measured, the wait in the target's
        queue included. `pace` is the one that the answer reported. Without one
        nothing is learnt: a slow machine would look like a target that slows
        down.
        """
        self._advance(now)
        self.waiting.pop(key, None)
        started = self.running.pop(key, None)
        while self.waiting and len(self.running) < self.places:
            first = next(iter(self.waiting))
            self.waiting.pop(first)
            self._start(first, now)
        if pace is None or not MIN_PACE <= pace <= MAX_PACE:
            return None
        self.pace = pace
        self.paced_at = now
        return self._sample(started, seconds, pace, now)

    def _sample(
        self,
        started: Started | None,
        seconds: float,
        pace: float,
        now: float,
    ) -> curve.Sample | None:
        if started is None or now <= started.started_at:
            return None
        # Without a wait the sender's time is the nearer one: the dispatcher's
        # includes two messages between instances.
        counted = now - started.started_at
        seconds = min(seconds, counted)
        if seconds < MIN_SECONDS:
            return None
        before = pace if started.pace is None else started.pace
        if max(before / pace, pace / before) > MAX_PACE_RATIO:
            return None
        mean = (self.area - started.area) / counted
        return curve.Sample(mean, seconds * 2 / (before + pace))

    def _start(self, key: typing.Hashable, now: float) -> None:
        is_recent = self.paced_at is not None and (
            now - self.paced_at < PACE_SECONDS
        )
        pace = self.pace if is_recent else None
        self.running[key] = Started(now, self.area, pace)

    def _advance(self, now: float) -> None:
        elapsed = max(now - self.counted_at, 0)
        self.area += len(self.running) * elapsed
        self.counted_at += elapsed
