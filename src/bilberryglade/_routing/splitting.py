"""Spreads a route's requests over its services by their weights."""

import typing

from bilberryglade._routing import catalogue


class Turns(typing.NamedTuple):
    """How far each service is behind its share; the sum is zero."""

    parts: tuple[catalogue.Part, ...]
    credits: tuple[float, ...]


def start(route: catalogue.Route, offset: float) -> Turns:
    """Returns turns whose first choice depends on `offset`, 0 to 1.

    Instances begin at different places, so that few requests each still add
    up to the weights.
    """
    total = sum(part.weight for part in route.parts)
    marks: list[float] = []
    passed: float = 0
    for part in route.parts:
        share = part.weight / total
        begins = passed <= offset < passed + share
        lead = 0.5 if begins else 0
        marks.append(lead - share / 2)
        passed += share
    return Turns(route.parts, tuple(marks))


class Chosen(typing.NamedTuple):
    """The service of one request, and the turns after it."""

    turns: Turns
    service: str


def choose(turns: Turns) -> Chosen:
    """Returns the turns after one more request, and its service."""
    total = sum(part.weight for part in turns.parts)
    grown = [
        credit + part.weight / total
        for credit, part in zip(turns.credits, turns.parts, strict=True)
    ]
    place = max(range(len(grown)), key=grown.__getitem__)
    grown[place] -= 1
    return Chosen(
        turns._replace(credits=tuple(grown)),
        turns.parts[place].service,
    )
