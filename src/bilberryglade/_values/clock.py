"""The clock of all leases: it also counts the time of a suspension."""

import time


def now() -> float:
    """Returns seconds since the machine started.

    Other steady clocks stand still while a machine is suspended, and a lease
    would seem to last longer than it does.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
