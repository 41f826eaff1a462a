"""Starts and ends the processes of a deployment."""

import asyncio
import os
import socket
import sys
import typing
from collections import abc

STOP_SECONDS: typing.Final = 5.0


class Process(typing.NamedTuple):
    """A started process and its name."""

    name: str
    handle: asyncio.subprocess.Process


def free_ports(count: int) -> list[int]:
    """Returns `count` TCP ports on 127.0.0.1 that were free just now."""
    sockets = [socket.socket() for _ in range(count)]
    for unbound in sockets:
        unbound.bind(('127.0.0.1', 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for listener in sockets:
        listener.close()
    return ports


async def start(name: str, arguments: abc.Sequence[str]) -> Process:
    """Starts `python -m` with `arguments`."""
    handle = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        *arguments,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    return Process(name, handle)


async def stop(process: Process) -> None:
    """Ends a process by SIGTERM, after a while by SIGKILL."""
    if process.handle.returncode is not None:
        return
    process.handle.terminate()
    try:
        await asyncio.wait_for(process.handle.wait(), STOP_SECONDS)
    except TimeoutError:
        process.handle.kill()
        await process.handle.wait()
