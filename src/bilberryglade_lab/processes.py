"""Starts and ends the processes of a deployment."""

import asyncio
import itertools
import os
import pathlib
import random
import socket
import sys
import typing
from collections import abc

STOP_SECONDS: typing.Final = 5.0
#: Lowest port for listeners; those below belong to usual services.
FIRST_PORT: typing.Final = 12_000
#: Where the system names the ports of outgoing connections.
OUTGOING_PORTS: typing.Final = pathlib.Path(
    '/proc/sys/net/ipv4/ip_local_port_range',
)


class Process(typing.NamedTuple):
    """A started process and its name."""

    name: str
    handle: asyncio.subprocess.Process


def free_ports(count: int) -> list[int]:
    """Returns `count` TCP ports on 127.0.0.1 that were free just now.

    They lie below the ports that outgoing connections are given, any of which
    may be taken again before a process listens on it, and none is returned
    twice by one process until all were.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidates)
        if _is_free(port):
            ports.append(port)
    return ports


def outgoing_ports() -> range:
    """Returns the ports from which the system serves outgoing connections."""
    first, last = map(int, OUTGOING_PORTS.read_text().split())
    return range(first, last + 1)


def _below_outgoing() -> abc.Iterator[int]:
    """Yields ports in turn, from one that other processes hardly begin at."""
    ports = range(FIRST_PORT, outgoing_ports().start)
    begin = random.SystemRandom().randrange(len(ports))
    return itertools.cycle((*ports[begin:], *ports[:begin]))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            # Somebody listens there; the next port is as good.
            return False
    return True


_candidates: typing.Final = _below_outgoing()


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
