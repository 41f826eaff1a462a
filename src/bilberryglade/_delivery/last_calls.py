"""Which requests a stopping instance still takes.

A request that is cut at the end of a planned stop may have run. One that is refused
before it is sent costs its caller a try at another instance, so a stopping
instance takes only what surely ends before it does.
"""

import typing

#: Seconds after which a refused caller may come back: other instances take it.
RETRY_SECONDS: typing.Final = 0.01
#: Seconds by which a request must end before the instance does, for its answer
#: to reach the caller.
ANSWER_MARGIN_SECONDS: typing.Final = 0.1


def can_finish(longest: float, seconds_left: float) -> bool:
    """Tells whether a request ends before the instance, whatever it meets.

    `longest` is the time in seconds after which it is given up.
    """
    return longest + ANSWER_MARGIN_SECONDS <= seconds_left
