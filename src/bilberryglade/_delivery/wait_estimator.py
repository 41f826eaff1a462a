"""Estimates how long callers had waited before their current request.

A refused caller retries with another request id and a shorter timeout. The
difference from the route's usual timeout (the patience) is the time that the
caller has waited already, and that counts against the route's latency aim.
"""

import collections
import typing

#: Newest requests of a route from which the usual patience is taken.
RECENT_REQUESTS: typing.Final = 64
#: Patiences are rounded to multiples of this before they are compared.
PATIENCE_STEP_SECONDS: typing.Final = 0.01


class WaitEstimator:
    """Estimates callers' earlier waits from the recent requests of each route.

    First requests of a route mostly have the same patience, while those of
    retries differ. So the most frequent patience is that of a first request.
    """

    def __init__(self) -> None:
        """Starts without recorded requests."""
        #: By route: patiences of recent requests, in `PATIENCE_STEP_SECONDS`.
        self.recent_steps: dict[str, collections.deque[int]] = {}

    def record_and_estimate(self, route: str, patience: float) -> float:
        """Records a request; returns the seconds that its caller had waited.

        `patience` is the caller's timeout for this request in seconds.
        """
        steps = round(patience / PATIENCE_STEP_SECONDS)
        route_steps = self.recent_steps.setdefault(
            route, collections.deque(maxlen=RECENT_REQUESTS)
        )
        route_steps.append(steps)
        usual_steps = collections.Counter(route_steps).most_common(1)[0][0]
        return max(usual_steps - steps, 0) * PATIENCE_STEP_SECONDS
