"""A configuration in force: routes, services, organisations, API keys."""

import typing


class Part(typing.NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Requests of one host under one path; times are in seconds."""

    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: Whether a request may run more than once.
    repeatable: bool
    #: Whether it needs no API key.
    is_public: bool
    #: Longest time that a caller is kept waiting.
    timeout: float
    #: Time within which an answer has its full value.
    aim: float
    #: 0 is the most urgent.
    priority: int
    #: Targets to which one request may be sent.
    attempts: int
    #: Empty if the operator's route was not understood: its requests are refused.
    parts: tuple[Part, ...]
    #: Whether its answers take a link's time beside the target's.
    has_large_answers: bool = False


class Service(typing.NamedTuple):
    """A set of targets that run the same requests."""

    name: str
    #: Whether each key has one owner among the targets.
    is_partitioned: bool
    #: Requests a second that a cold target bears; 0 if any number.
    cold_rate: float
    #: Seconds for which a target is cold after its start.
    warmup: float
    #: Where a target tells that it is there.
    health_path: str = '/'


class Organisation(typing.NamedTuple):
    """An organisation and its quota over all instances together."""

    name: str
    #: Goes before the priority of a route; None if it has none.
    priority: int | None
    #: Requests a second; 0 if there is no limit.
    rate: float
    burst: float
    #: Whether all of it that limits it was understood; else it is refused.
    is_understood: bool = True


class CallerBounds(typing.NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Catalogue(typing.NamedTuple):
    """Everything that one version of the configuration says."""

    version: int
    #: By host, then by prefix.
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    #: Names of organisations by API key.
    api_keys: dict[str, str]
    caller_bounds: CallerBounds = CallerBounds()


def match(catalogue: Catalogue, host: str, path: str) -> Route | None:
    """Returns the route of `host` with the longest prefix of `path`."""
    prefixes = catalogue.routes.get(host)
    if prefixes is None:
        return None
    end = path.rfind('/')
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None
