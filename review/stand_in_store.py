"""The platform's store: the project's own model, with outages of single topics."""

import asyncio
import typing

import uvicorn
from starlette import requests, responses

from bilberryglade_stand_ins import store_service, store_model

UNAVAILABLE: typing.Final = 503


class Store(store_service.StoreService):
    """Serves the project's model of the store.

    A whole outage or an outage of the partitions of some topics answers 503:
    nothing was done.
    """

    def __init__(self) -> None:
        """Starts empty and sound."""
        super().__init__(store_model.StoreModel())
        self.is_down = False
        self.topics_down: set[str] = set()
        #: Topics that were used, for the share of them that is down.
        self.topics: set[str] = set()

    async def append(self, request: requests.Request) -> responses.Response:
        """Appends records unless their partition is down."""
        return self._outage(request) or await super().append(request)

    async def read(self, request: requests.Request) -> responses.Response:
        """Reads records unless their partition is down."""
        return self._outage(request) or await super().read(request)

    async def newest(self, request: requests.Request) -> responses.Response:
        """Returns the newest records unless their partition is down."""
        return self._outage(request) or await super().newest(request)

    def _outage(self, request: requests.Request) -> responses.Response | None:
        topic = request.query_params['topic']
        self.topics.add(topic)
        if self.is_down or topic in self.topics_down:
            return responses.Response(status_code=UNAVAILABLE)
        return None


class Server(uvicorn.Server):
    """A server on the script's own loop that leaves signals alone."""

    def install_signal_handlers(self) -> None:
        """Installs none."""

    async def serve_in_background(self) -> asyncio.Task[None]:
        """Starts to serve; returns its task."""
        task = asyncio.create_task(self._serve())
        while not self.started:
            await asyncio.sleep(0.01)
        return task


def server_for(store: Store, host: str, port: int) -> Server:
    """Returns a server for the store."""
    config = uvicorn.Config(
        store.application(),
        host=host,
        port=port,
        log_level='critical',
        access_log=False,
        lifespan='off',
        timeout_graceful_shutdown=1,
    )
    return Server(config)
