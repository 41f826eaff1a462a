"""Orders that cannot be followed: counted, and told once each."""

import loguru

from bilberryglade._rollouts import orders


class Refusals:
    """Counts orders that cannot be followed as they stand."""

    def __init__(self) -> None:
        """Starts at zero."""
        #: Orders by cause.
        self.counts: dict[str, int] = {}
        self.told: set[tuple[str, int, str]] = set()

    def note(self, order: orders.Order, cause: str) -> None:
        """Writes a line for an order and a cause that are new together."""
        telling = (order.service, order.offset, cause)
        if telling in self.told:
            return
        self.told.add(telling)
        self.counts[cause] = self.counts.get(cause, 0) + 1
        loguru.logger.warning(
            'order to move {} to {!r}, offset {}: {}',
            order.service,
            order.version,
            order.offset,
            cause,
        )
