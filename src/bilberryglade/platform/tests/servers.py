"""The store's stand-in on loopback, and a client for it."""

import asyncio
import typing

from starlette import applications

from bilberryglade._targets import sender
from bilberryglade.platform import store
from bilberryglade_stand_ins import (
    serving,
    store_model,
    store_service,
)

START_SECONDS: typing.Final = 5.0
ANSWER_BYTES: typing.Final = 1_000_000


class Running(typing.NamedTuple):
    """A server on loopback."""

    address: str
    server: typing.Any
    task: asyncio.Task[None]

    async def stop(self) -> None:
        """Ends the server at once, with whatever it has open."""
        self.server.should_exit = True
        self.server.force_exit = True
        await asyncio.wait((self.task,), timeout=1)
        self.task.cancel()


async def start(application: applications.Starlette) -> Running:
    """Serves an application on a free port."""
    server = serving.server_for(application, 0)
    task = asyncio.create_task(server.serve())
    async with asyncio.timeout(START_SECONDS):
        while not server.started:
            await asyncio.sleep(0.01)
    listener = server.servers[0]
    port = listener.sockets[0].getsockname()[1]
    return Running(f'127.0.0.1:{port}', server, task)


class Store(typing.NamedTuple):
    """A running store with its client."""

    service: store_service.StoreService
    running: Running
    http: sender.Sender
    client: store.StoreClient

    async def stop(self) -> None:
        """Ends both."""
        self.service.is_ending = True
        await self.http.close()
        await asyncio.sleep(0.05)
        await self.running.stop()


async def start_store() -> Store:
    """Starts an empty store."""
    service = store_service.StoreService(store_model.StoreModel())
    running = await start(service.application())
    http = sender.Sender(8, ANSWER_BYTES)
    client = store.StoreClient(running.address, http)
    return Store(service, running, http, client)
