"""Which version one instance's next request goes to; no chance is involved."""

import typing

#: Requests for the new version that may be made up for, after it took none. Less
#: than two would take from shares close to one.
MOST_CREDIT: typing.Final = 2.0


class Turn(typing.NamedTuple):
    """Whether a request is for the new version, and the credit left."""

    is_new: bool
    credit: float


def next_turn(credit: float, share: float) -> Turn:
    """Returns the turn of one request with `share` for the new version.

    The credit grows by the share with each request. Instances begin at
    different credits, so that few requests at each are a share of all.
    """
    grown = min(credit + share, MOST_CREDIT)
    if grown >= 1:
        return Turn(is_new=True, credit=grown - 1)
    return Turn(is_new=False, credit=grown)
