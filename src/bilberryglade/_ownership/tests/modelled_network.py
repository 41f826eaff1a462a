"""Who reaches whom in the world of leases, and what is wrong with calls."""

import asyncio
import random
import typing

#: Seconds after a heal or a thaw in which what arrives late is excused.
THAW_SECONDS: typing.Final = 0.3
#: Seconds on the way between two processes.
TRANSIT: typing.Final = (0.0004, 0.004)


class Network:
    """Which processes reach which, and how slowly."""

    def __init__(self, chance: random.Random, loop: asyncio.BaseEventLoop):
        """Everybody reaches everybody."""
        self.chance = chance
        self.loop = loop
        #: Ends that do not reach one another, in either direction.
        self.cuts: set[frozenset[str]] = set()
        self.healed_at: dict[frozenset[str], float] = {}
        #: Longest additional seconds on the way to a target.
        self.order_delay: float = 0

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether nothing passes between two ends."""
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Cuts two ends off from each other."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Lets two ends reach each other again."""
        pair = frozenset((one, other))
        if pair in self.cuts:
            self.cuts.discard(pair)
            self.healed_at[pair] = self.loop.time()

    def is_fresh(self, one: str, other: str, moment: float) -> bool:
        """Tells whether a link had healed just before a moment."""
        healed = self.healed_at.get(frozenset((one, other)), -1)
        return 0 <= moment - healed < THAW_SECONDS

    def transit(self) -> float:
        """Returns the seconds of one way."""
        return self.chance.uniform(*TRANSIT)


class StoreTroubles:
    """What is wrong with the store."""

    def __init__(self) -> None:
        """Nothing is."""
        self.is_away = False
        #: Longest additional seconds of an answer.
        self.delay: float = 0
        #: Part of appends that are not answered.
        self.lost_part: float = 0
        #: Longest seconds after which such an append is carried out.
        self.late: float = 0
        #: Instances that are refused.
        self.refused: set[str] = set()


class OrderTroubles:
    """What is wrong with orders to targets."""

    def __init__(self) -> None:
        """Nothing is."""
        #: Part of orders that are not answered, and seconds after which
        #: they are carried out; none if they are carried out at once.
        self.lost_part: float = 0
        self.late: tuple[float, float] | None = None
        #: Part of orders on kept connections that meet an extra answer.
        self.extra_part: float = 0
