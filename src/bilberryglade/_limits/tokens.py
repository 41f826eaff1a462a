"""What entries and quota homes say to one another, as plain values.

One token admits one request. A grant is named by the entry's process and the
number of the ask that it answers, so neither copies nor late arrivals of a
message can add tokens.
"""

import typing


class QuotaName(typing.NamedTuple):
    """Names a quota: one limit of the rules for one organisation."""

    organisation: str
    limit: str


class Limit(typing.NamedTuple):
    """Rate and burst over all instances together."""

    #: Requests a second.
    rate: float
    #: Requests that may come at once.
    burst: int


class Settled(typing.NamedTuple):
    """What became of a grant's tokens up to now."""

    #: Number of the ask that the grant answered.
    sequence: int
    #: Tokens spent, counted from the first.
    used: int
    #: Tokens given back, after which none of the grant is left.
    returned: int = 0


class Ask(typing.NamedTuple):
    """An entry asks for tokens and tells what became of earlier ones."""

    #: Process that asks; a restart has another.
    entry: str
    sequence: int
    #: Tokens for callers that wait.
    needed: int
    #: Tokens ahead of need.
    extra: int
    settled: tuple[Settled, ...] = ()


class Grant(typing.NamedTuple):
    """The answer to an ask."""

    sequence: int
    amount: int
    #: Seconds until the next token, if fewer were granted than needed.
    retry_seconds: float = 0
    #: Whether the giver spoke as the quota's home; else it knows of no token.
    confirmed: bool = True


class Handover(typing.NamedTuple):
    """An old home's last word on a quota, for the home that follows it."""

    name: QuotaName
    #: Offset of the change of the topology by which the home moved.
    term: int
    level: float
    #: Tokens in the hands of entries.
    given: int
