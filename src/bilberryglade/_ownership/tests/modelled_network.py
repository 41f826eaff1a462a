"""Who reaches whom in the world of leases, and what is wrong with calls."""

import asyncio
import random
import typing

#: Seconds after a heal or a thaw in which what arrives late is excused.
LATE_GRACE_SECONDS: typing.Final = 0.3
#: Seconds on the way between two processes.
TRANSIT_SECONDS: typing.Final = (0.0004, 0.004)


class Network:
    """Which processes reach which, and how slowly."""

    def __init__(self, rng: random.Random, loop: asyncio.BaseEventLoop):
        """Everybody reaches everybody."""
        self.rng = rng
        self.loop = loop
        #: Ends that do not reach one another, in either direction.
        self.cuts: set[frozenset[str]] = set()
        self.healed_at: dict[frozenset[str], float] = {}
        #: Longest additional seconds on the way to a target.
        self.max_order_delay_seconds: float = 0

    def is_cut(self, first: str, second: str) -> bool:
        """Tells whether nothing passes between two ends."""
        return frozenset((first, second)) in self.cuts

    def cut(self, first: str, second: str) -> None:
        """Cuts two ends off from each other."""
        self.cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Lets two ends reach each other again."""
        pair = frozenset((first, second))
        if pair in self.cuts:
            self.cuts.discard(pair)
            self.healed_at[pair] = self.loop.time()

    def has_just_healed(self, first: str, second: str, at: float) -> bool:
        """Tells whether a link had healed just before a moment."""
        healed_at = self.healed_at.get(frozenset((first, second)), -1)
        return 0 <= at - healed_at < LATE_GRACE_SECONDS

    def transit(self) -> float:
        """Returns the seconds of one way."""
        return self.rng.uniform(*TRANSIT_SECONDS)


class StoreFaults:
    """What is wrong with the store."""

    def __init__(self) -> None:
        """Nothing is."""
        self.is_unavailable = False
        #: Longest additional seconds of an answer.
        self.max_delay_seconds: float = 0
        #: Part of appends that are not answered.
        self.lost_fraction: float = 0
        #: Longest seconds after which such an append is carried out.
        self.max_late_seconds: float = 0
        #: Instances that are refused.
        self.refused_instances: set[str] = set()


class OrderFaults:
    """What is wrong with orders to targets."""

    def __init__(self) -> None:
        """Nothing is."""
        #: Part of orders that are not answered, and seconds after which
        #: they are carried out; none if they are carried out at once.
        self.lost_fraction: float = 0
        self.late_seconds: tuple[float, float] | None = None
        #: Part of orders on kept connections that meet an extra answer.
        self.extra_answer_fraction: float = 0
