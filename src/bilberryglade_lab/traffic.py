"""Open-loop traffic over HTTP: arrivals do not wait for answers."""

import asyncio
import itertools
import time
import typing
import uuid
from collections import abc

import aiosonic
import numpy
from aiosonic import connectors, exceptions, pools, timeout

CONNECTIONS: typing.Final = 400
CONNECTION_IDLE_MS: typing.Final = 1000
REQUEST_SECONDS: typing.Final = 6.0
CONNECT_SECONDS: typing.Final = 0.5
UNREACHED_STATUS: typing.Final = 0
NANOSECONDS: typing.Final = 1e9


class Flow(typing.NamedTuple):
    """Requests of one organisation to one service."""

    organisation: str
    method: str
    #: Path with `{key}` where the key goes.
    path: str
    #: Arrivals a second.
    rate: float
    keys: int = 200
    #: Exponent of the popularity of keys; 0 is even.
    skew: float = 0
    #: Whether each request carries an `Idempotency-Key`.
    once: bool = False


class Call(typing.NamedTuple):
    """One request as its caller saw it."""

    organisation: str
    service: str
    key: str
    #: Monotonic nanoseconds at which the request was due.
    due_ns: int
    ended_ns: int
    #: HTTP status; 0 if no instance could be reached.
    status: int
    #: `not-run`, `unknown`, or '' if answered.
    run_state: str
    idempotency_key: str

    @property
    def seconds(self) -> float:
        """Latency from the moment the request was due."""
        return (self.ended_ns - self.due_ns) / NANOSECONDS


class Balancer:
    """Takes the place of the platform's balancer: skips silent instances."""

    def __init__(self, addresses: abc.Sequence[str]) -> None:
        """Spreads over `addresses` in turn."""
        self.addresses = list(addresses)
        self.turn = itertools.count()

    def next_address(self) -> str:
        """Returns the address for the next request."""
        return self.addresses[next(self.turn) % len(self.addresses)]

    def remove(self, address: str) -> None:
        """Leaves out an instance that does not answer."""
        if address in self.addresses and len(self.addresses) > 1:
            self.addresses.remove(address)


class Traffic:
    """Sends flows and keeps what became of each request."""

    def __init__(
        self,
        balancer: Balancer,
        secrets: abc.Mapping[str, str],
        seed: int,
    ) -> None:
        """Sends through `balancer` with the organisations' API keys."""
        self.balancer = balancer
        self.secrets = secrets
        self.random = numpy.random.default_rng(seed)
        pool = pools.PoolConfig(
            size=CONNECTIONS,
            max_conn_idle_ms=CONNECTION_IDLE_MS,
        )
        self.http = aiosonic.HTTPClient(
            connectors.TCPConnector(pool_configs={':default': pool}),
        )
        self.calls: list[Call] = []
        self.open: set[asyncio.Task[None]] = set()

    async def run(self, flows: abc.Sequence[Flow], seconds: float) -> None:
        """Sends all flows for `seconds`, then waits for the answers."""
        await asyncio.gather(
            *(self._send_flow(flow, seconds) for flow in flows)
        )
        if self.open:
            await asyncio.wait(self.open)

    async def _send_flow(self, flow: Flow, seconds: float) -> None:
        began = time.monotonic()
        due = began
        weights = _popularity(flow)
        while due - began < seconds:
            due += self.random.exponential(1 / flow.rate)
            await asyncio.sleep(max(due - time.monotonic(), 0))
            key = f'key-{self.random.choice(flow.keys, p=weights)}'
            task = asyncio.create_task(self._call(flow, key, due))
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def _call(self, flow: Flow, key: str, due: float) -> None:
        idempotency_key = uuid.uuid4().hex if flow.once else ''
        status, run_state = await self._exchange(flow, key, idempotency_key)
        self.calls.append(
            Call(
                organisation=flow.organisation,
                service=flow.path.split('/')[1],
                key=key,
                due_ns=int(due * NANOSECONDS),
                ended_ns=time.monotonic_ns(),
                status=status,
                run_state=run_state,
                idempotency_key=idempotency_key,
            ),
        )

    async def _exchange(
        self,
        flow: Flow,
        key: str,
        idempotency_key: str,
    ) -> tuple[int, str]:
        headers = {'x-api-key': self.secrets[flow.organisation]}
        if idempotency_key:
            headers['idempotency-key'] = idempotency_key
        address = self.balancer.next_address()
        limits = timeout.Timeouts(
            sock_connect=CONNECT_SECONDS,
            sock_read=REQUEST_SECONDS,
            request_timeout=REQUEST_SECONDS,
        )
        try:
            response = await self.http.request(
                f'http://{address}{flow.path.format(key=key)}',
                flow.method,
                headers=headers,
                data=b'{}' if flow.method == 'POST' else None,
                timeouts=limits,
            )
            body = await response.content()
        except (exceptions.ConnectTimeout, ConnectionRefusedError):
            self.balancer.remove(address)
            return UNREACHED_STATUS, 'not-run'
        except (exceptions.AiosonicError, exceptions.BaseTimeout, OSError):
            return UNREACHED_STATUS, 'unknown'
        return response.status_code, _run_state(body)


def _popularity(flow: Flow) -> typing.Any:
    ranks = numpy.arange(1, flow.keys + 1, dtype=float)
    weights = ranks**-flow.skew
    return weights / weights.sum()


def _run_state(body: bytes) -> str:
    if b'"run_state":"not-run"' in body:
        return 'not-run'
    if b'"run_state":"unknown"' in body:
        return 'unknown'
    return ''
