"""Loads of the two deployments, cut down to single owners and small pools."""

import math
import typing

from bilberryglade._admission.tests import load_model

LOOK_UPS: typing.Final = load_model.Kind(
    'look-ups', 7.0, 0.121, 0.611, 2.434, 1.3, 0.15, 0, 1, 1.0
)
ORDERS: typing.Final = load_model.Kind(
    'orders', 5.4, 0.16, 0.921, 3.453, 1.3, 0.4, 1
)
DOWNLOADS: typing.Final = load_model.Kind(
    'downloads', 8.9, 0.096, 2.324, 4.648, 0.34, 0.15, 2
)
#: Priorities of the second deployment are not told for two kinds.
SECOND: typing.Final = (
    load_model.Kind('look-ups', 7.4, 0.2, 0.912, 5.698, 1.0, 0.5, 2, 2, 2.5),
    load_model.Kind('orders', 5.7, 0.26, 1.121, 6.727, 2.0, 1.0, 0, 2),
    load_model.Kind('downloads', 8.8, 0.166, 1.348, 7.898, 1.0, 0.5, 0, 2),
)


def traffic(seconds: float) -> float:
    """Returns the factor of ordinary variation: 15% with a period of 11 s."""
    return 1 + 0.15 * math.sin(seconds * 2 * math.pi / 11)


def bursts(seconds: float) -> float:
    """Returns the factor with bursts of 1.7 for 3 s, every 10 s."""
    factor = 1.7 if 4 <= seconds % 10 < 7 else 1
    return traffic(seconds) * factor


def hot_spells(seconds: float) -> float:
    """Returns the share of one thing: 40% for 5 s, every 12 s."""
    return 0.4 if 4 <= seconds % 12 < 9 else 0


def scaled(kind: load_model.Kind, factor: float) -> load_model.Kind:
    """Returns a kind with its rate multiplied."""
    return kind._replace(rate=kind.rate * factor)


CALM_OWNER: typing.Final = load_model.Case(
    'calm owner', (scaled(LOOK_UPS, 0.8),), seconds=60, factor=traffic
)
CALM_OWNERS: typing.Final = load_model.Case(
    'calm, 20 owners', (scaled(LOOK_UPS, 20),), targets=20, factor=traffic
)
CALM_POOL: typing.Final = load_model.Case(
    'calm pool',
    (scaled(ORDERS, 10), scaled(DOWNLOADS, 1)),
    targets=10,
    is_partitioned=False,
    factor=traffic,
)
SATURATED: typing.Final = load_model.Case(
    'saturated owner, three kinds',
    (scaled(LOOK_UPS, 1.4), scaled(ORDERS, 1), scaled(DOWNLOADS, 0.8)),
    seconds=60,
)
SATURATED_STEADY: typing.Final = SATURATED._replace(
    name='saturated owner, no slow spells', has_spells=False
)
HOT_KEY: typing.Final = load_model.Case(
    'hot key among 30 owners',
    (scaled(LOOK_UPS, 30), scaled(ORDERS, 6), scaled(DOWNLOADS, 3)),
    targets=30,
    seconds=36,
    hot_share=hot_spells,
)
HOT_ALONE: typing.Final = load_model.Case(
    'owner of a hot key alone', (scaled(LOOK_UPS, 36),), seconds=20
)
BURST_POOL: typing.Final = load_model.Case(
    'bursts at a pool',
    (scaled(ORDERS, 10), scaled(DOWNLOADS, 4)),
    targets=10,
    seconds=42,
    is_partitioned=False,
    factor=bursts,
)
BURST_OWNERS: typing.Final = load_model.Case(
    'bursts at 20 owners',
    (scaled(LOOK_UPS, 20), scaled(DOWNLOADS, 4)),
    targets=20,
    seconds=42,
    factor=bursts,
)
SECOND_OWNER: typing.Final = load_model.Case(
    'second: saturated owner of 4 places',
    tuple(scaled(kind, 1.6) for kind in SECOND),
    places=4,
    seconds=60,
)
CALM: typing.Final = (CALM_OWNER, CALM_OWNERS, CALM_POOL)
PRESSED: typing.Final = (
    SATURATED,
    SATURATED_STEADY,
    HOT_KEY,
    HOT_ALONE,
    BURST_POOL,
    BURST_OWNERS,
    SECOND_OWNER,
)
ALL: typing.Final = (*CALM, *PRESSED)
