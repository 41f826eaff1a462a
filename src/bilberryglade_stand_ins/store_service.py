"""Serves the store's model over the published protocol, with faults."""

import asyncio
import typing

from starlette import applications, requests, responses, routing

from bilberryglade_stand_ins import store_model

POLL_SECONDS: typing.Final = 0.01
PREFIX: typing.Final = '/bilberryglade'
REFUSED_STATUS: typing.Final = 503


class Faults:
    """What goes wrong; tests set it while the store runs."""

    def __init__(self) -> None:
        """Nothing goes wrong."""
        #: Every call is refused with this status; 0 for none.
        self.refuses_with = 0
        #: Topics whose partitions are down.
        self.refused_topics: set[str] = set()
        #: Appends to come that are carried out and not answered.
        self.unanswered_appends = 0
        #: Seconds by which every answer is late.
        self.delay: float = 0
        #: What answers name as the era, if it is not the store's; '' for no header.
        self.era: str | None = None


class StoreService:
    """The store as a process of its own would be."""

    def __init__(self, model: store_model.StoreModel) -> None:
        """Serves `model`."""
        self.model = model
        self.faults = Faults()
        #: Set before the end, so that long polls do not outlive the server.
        self.is_ending = False
        #: Calls by name.
        self.calls: dict[str, int] = {}

    async def append(self, request: requests.Request) -> responses.Response:
        """Appends records."""
        return self._with_era(await self._append(request))

    async def read(self, request: requests.Request) -> responses.Response:
        """Reads records, waiting for the first one."""
        return self._with_era(await self._read(request))

    async def newest(self, request: requests.Request) -> responses.Response:
        """Returns the newest record of each key."""
        return self._with_era(await self._newest(request))

    def application(self) -> applications.Starlette:
        """Returns the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    f'{PREFIX}/log-append', self.append, methods=['POST']
                ),
                routing.Route(f'{PREFIX}/log-read', self.read),
                routing.Route(f'{PREFIX}/log-newest', self.newest),
            ],
        )

    async def _append(self, request: requests.Request) -> responses.Response:
        refusal = await self._refusal('append', request)
        if refusal is not None:
            return refusal
        query = dict(request.query_params)
        body = await request.body()
        if query['topic'] in store_model.RESERVED:
            return responses.Response(status_code=store_model.FORBIDDEN)
        status, answer = self.model.partition(query).append(query, body)
        if self.faults.unanswered_appends and body:
            self.faults.unanswered_appends -= 1
            await _left(request)
        return responses.JSONResponse(answer, status)

    async def _read(self, request: requests.Request) -> responses.Response:
        refusal = await self._refusal('read', request)
        if refusal is not None:
            return refusal
        query = dict(request.query_params)
        start = int(query['from'])
        partition = self.model.partition(query)
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('wait_ms', '0')) / 1000
        while self._is_waiting(partition, start) and loop.time() < until:
            await asyncio.sleep(POLL_SECONDS)
        raw = partition.read(start)
        if raw is None:
            return responses.JSONResponse(
                {'first': partition.first}, store_model.GONE
            )
        return responses.Response(raw)

    async def _newest(self, request: requests.Request) -> responses.Response:
        refusal = await self._refusal('newest', request)
        if refusal is not None:
            return refusal
        query = dict(request.query_params)
        partition = self.model.partition(query)
        return responses.JSONResponse(partition.newest(query.get('after', '')))

    def _with_era(self, answer: responses.Response) -> responses.Response:
        """Returns an answer with the header that names the era, if any does."""
        named = self.model.headers()
        if self.faults.era is not None:
            named = {store_model.ERA_HEADER: self.faults.era}
        for name, text in named.items():
            if text:
                answer.headers[name] = text
        return answer

    def _is_waiting(
        self,
        partition: store_model.Partition,
        start: int,
    ) -> bool:
        return partition.end == start and not self.is_ending

    async def _refusal(
        self, name: str, request: requests.Request
    ) -> responses.Response | None:
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.refuses_with:
            return responses.Response(status_code=self.faults.refuses_with)
        if request.query_params['topic'] in self.faults.refused_topics:
            return responses.Response(status_code=REFUSED_STATUS)
        return None


async def _left(request: requests.Request) -> None:
    """Waits until the caller has given up."""
    message = await request.receive()
    while message['type'] != 'http.disconnect':
        message = await request.receive()
