"""The network of the lease simulation, and faults of its store and orders."""

import asyncio
import random
import typing

#: Seconds after a link heals or a process resumes, in which a grant that
#: arrives is not counted as a lease because it was delayed.
LATE_GRACE_SECONDS: typing.Final = 0.3
#: Shortest and longest time of a message between two processes.
TRANSIT_SECONDS: typing.Final = (0.0004, 0.004)


class Network:
    """The links between processes: which are cut, and how slow they are."""

    def __init__(self, rng: random.Random, loop: asyncio.BaseEventLoop):
        """Starts with all links up; `rng` draws transit times."""
        self.rng = rng
        self.loop = loop
        #: Pairs of processes whose link is cut in both directions.
        self.cuts: set[frozenset[str]] = set()
        #: Virtual seconds at which each link healed last.
        self.healed_at: dict[frozenset[str], float] = {}
        #: Longest additional delay of an order on the way to a target.
        self.max_order_delay_seconds: float = 0

    def is_cut(self, first: str, second: str) -> bool:
        """Returns whether the link between two processes is cut."""
        return frozenset((first, second)) in self.cuts

    def cut(self, first: str, second: str) -> None:
        """Cuts the link between two processes in both directions."""
        self.cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Restores the link between two processes."""
        pair = frozenset((first, second))
        if pair in self.cuts:
            self.cuts.discard(pair)
            self.healed_at[pair] = self.loop.time()

    def has_just_healed(self, first: str, second: str, at: float) -> bool:
        """Returns whether a link healed shortly before the time `at`."""
        healed_at = self.healed_at.get(frozenset((first, second)), -1)
        return 0 <= at - healed_at < LATE_GRACE_SECONDS

    def transit(self) -> float:
        """Returns a random time in seconds for a message in one direction."""
        return self.rng.uniform(*TRANSIT_SECONDS)


class StoreFaults:
    """Faults of the modelled store that are active now."""

    def __init__(self) -> None:
        """Starts without faults."""
        self.is_unavailable = False
        #: Longest additional delay of a call to the store.
        self.max_delay_seconds: float = 0
        #: Fraction of appends that are not answered.
        self.lost_fraction: float = 0
        #: Longest delay after which an unanswered append is carried out.
        self.max_late_seconds: float = 0
        #: Instances whose calls the store refuses.
        self.refused_instances: set[str] = set()
        #: Topics whose partitions are down; their calls are refused.
        self.refused_topics: set[str] = set()


class OrderFaults:
    """Faults of orders to targets that are active now."""

    def __init__(self) -> None:
        """Starts without faults."""
        #: Fraction of orders that are not answered.
        self.lost_fraction: float = 0
        #: Shortest and longest delay after which an unanswered order is
        #: carried out; None if it is carried out at once.
        self.late_seconds: tuple[float, float] | None = None
        #: Fraction of orders on kept connections that get an answer which
        #: belongs to another request.
        self.extra_answer_fraction: float = 0
