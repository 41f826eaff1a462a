"""A target of the platform: leases on keys with fences, requests, faults."""

import asyncio
import time
import typing

from starlette import applications, requests, responses, routing

LAST_KEY: typing.Final = 65_535
CONFLICT: typing.Final = 409
MISDIRECTED: typing.Final = 421
UNAVAILABLE: typing.Final = 503
MILLISECONDS: typing.Final = 1000


class Held(typing.NamedTuple):
    """A lease that was taken in."""

    first: int
    last: int
    fence: int
    #: Monotonic seconds.
    until: float


class Run(typing.NamedTuple):
    """A request that this target has begun."""

    request_id: str
    key: int | None
    organisation: str
    at: float


class OwningTarget:
    """One life of a target."""

    def __init__(self, name: str, *, is_partitioned: bool) -> None:
        """Holds no keys."""
        self.name = name
        self.is_partitioned = is_partitioned
        self.held: list[Held] = []
        #: Highest fence seen by key range, as pairs of range and fence.
        self.fences: list[Held] = []
        self.runs: list[Run] = []
        #: Requests for another target, or on keys that it does not hold.
        self.misdirected = 0
        #: Whether it denies to hold any key, whatever it was granted.
        self.denies = False
        self.work_seconds = 0.01
        #: Seconds of work on requests with these paths.
        self.work_by_path: dict[str, float] = {}
        #: Status of answers to requests.
        self.status = 200
        #: Header that is left out of answers; none if empty.
        self.without_header = ''
        #: Texts of the header that says that it leaves, on all answers.
        self.leaving_texts: tuple[str, ...] = ()
        #: While there are any, requests are turned away with these `Retry-After`.
        self.hold_texts: tuple[str, ...] = ()
        #: Monotonic seconds at which requests arrived, refused ones included.
        self.arrivals: list[float] = []
        #: Orders to come that are left unanswered and carried out later.
        self.late_orders: float = 0

    def holds(self, key: int) -> bool:
        """Tells whether a lease on `key` runs."""
        now = time.monotonic()
        return not self.denies and any(
            held.first <= key <= held.last and held.until > now
            for held in self.held
        )

    async def grant(self, request: requests.Request) -> responses.Response:
        """Takes in a lease unless a higher fence was seen."""
        order = await request.json()
        first, last, fence = order['from'], order['to'], order['fence']
        seen = [one for one in self.fences if _overlaps(one, first, last)]
        if any(one.fence > fence for one in seen):
            return responses.Response(status_code=CONFLICT)
        seconds = float(order['hold_time'].removesuffix('ms')) / MILLISECONDS
        held = Held(first, last, fence, time.monotonic() + seconds)
        self.fences.append(held)
        self.held = _without(self.held, first, last)
        self.held.append(held)
        return responses.Response()

    async def release(self, request: requests.Request) -> responses.Response:
        """Gives keys back."""
        order = await request.json()
        first, last = order['from'], order['to']
        self.held = _without(self.held, first, last)
        self.fences.append(Held(first, last, order['fence'], 0))
        word = f'{self.name}-{first}'
        return responses.Response(headers={'x-handover': word})

    async def tell(self, _: requests.Request) -> responses.Response:
        """Tells that this target is there."""
        return responses.Response(headers={'x-instance-id': self.name})

    async def run(self, request: requests.Request) -> responses.Response:
        """Runs a request, or says that it does not."""
        self.arrivals.append(time.monotonic())
        named = request.headers.get('x-target-instance', self.name)
        text = request.headers.get('x-shard-key')
        key = int(text) if text else None
        lacks = self.is_partitioned and (key is None or not self.holds(key))
        request_id = request.headers['x-request-id']
        if named != self.name or lacks:
            self.misdirected += 1
            return responses.Response(
                status_code=MISDIRECTED,
                headers={'x-request-id': request_id, 'x-not-executed': '1'},
            )
        if self.hold_texts:
            return self._turned_away(request_id)
        organisation = request.headers.get('x-tenant-id', '')
        self.runs.append(Run(request_id, key, organisation, time.monotonic()))
        await asyncio.sleep(
            self.work_by_path.get(request.url.path, self.work_seconds)
        )
        headers = {
            'x-request-id': request_id,
            'x-response-signature': f'{self.name}.1',
            'x-server-load': '1,0,2,100',
        }
        headers.pop(self.without_header, None)
        response = responses.Response(
            f'{self.name} ran it', self.status, headers=headers
        )
        for text in self.leaving_texts:
            response.headers.append('Server-Leaving', text)
        return response

    def application(self) -> applications.Starlette:
        """Returns the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/bilberryglade/grant', self.grant, methods=['POST']
                ),
                routing.Route(
                    '/bilberryglade/release', self.release, methods=['POST']
                ),
                routing.Route('/health', self.tell),
                routing.Route(
                    '/{path:path}', self.run, methods=['GET', 'POST', 'PUT']
                ),
            ],
        )

    def _turned_away(self, request_id: str) -> responses.Response:
        response = responses.Response(
            status_code=UNAVAILABLE,
            headers={'x-request-id': request_id, 'x-not-executed': '1'},
        )
        for text in self.hold_texts:
            response.headers.append('Retry-After', text)
        return response


def _overlaps(held: Held, first: int, last: int) -> bool:
    return held.first <= last and held.last >= first


def _without(known: list[Held], first: int, last: int) -> list[Held]:
    """Cuts the keys from `first` to `last` out of leases."""
    left: list[Held] = []
    for held in known:
        if not _overlaps(held, first, last):
            left.append(held)
            continue
        if held.first < first:
            left.append(held._replace(last=first - 1))
        if held.last > last:
            left.append(held._replace(first=last + 1))
    return left
