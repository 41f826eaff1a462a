"""Serves ASGI applications on this process's one loop until it is ended."""

import asyncio
import contextlib
import signal
from collections import abc

import uvicorn
from starlette import applications


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Leaves signals to the caller."""
        yield


def server_for(
    application: applications.Starlette, port: int
) -> uvicorn.Server:
    """Returns a server for `application` on 127.0.0.1 at `port`."""
    config = uvicorn.Config(
        application,
        host='127.0.0.1',
        port=port,
        log_level='error',
        access_log=False,
        lifespan='off',
    )
    return _Server(config)


async def serve_until_ended(servers: abc.Sequence[uvicorn.Server]) -> None:
    """Serves until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()

    def stop() -> None:  # noqa: WPS430
        for server in servers:
            server.should_exit = True

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    await asyncio.gather(*(server.serve() for server in servers))
