"""How long a caller had waited before this request of its.

A caller that was refused comes back with another id and less time. What it has
left tells how much of the time in which an answer has its full value is gone.
"""

import collections
import typing

#: Requests of a route from which its callers' usual patience is told.
RECENT_REQUESTS: typing.Final = 64
#: Patience is compared in steps of so many seconds.
PATIENCE_STEP_SECONDS: typing.Final = 0.01


class WaitEstimator:
    """The patience of recent requests, by route.

    First requests of a route mostly have the same patience, and those of who
    came back differ, so the most frequent one is that of a first request.
    """

    def __init__(self) -> None:
        """Has seen no request."""
        self.recent_steps: dict[str, collections.deque[int]] = {}

    def record_and_estimate(self, route: str, patience: float) -> float:
        """Returns the seconds that a caller had waited, and counts it."""
        steps = round(patience / PATIENCE_STEP_SECONDS)
        route_steps = self.recent_steps.setdefault(
            route, collections.deque(maxlen=RECENT_REQUESTS)
        )
        route_steps.append(steps)
        usual_steps = collections.Counter(route_steps).most_common(1)[0][0]
        return max(usual_steps - steps, 0) * PATIENCE_STEP_SECONDS
