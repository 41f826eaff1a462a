"""Requests that crash the targets which run them, known to all instances.

Such a request comes again with another id, at any instance. It is known by
its fingerprint; one that has felled several lives of targets is refused for a
while. A target counts as fallen if its connection broke and it then refuses a
new one; a request that merely shared it is blamed once, not several times.
"""

import asyncio
import typing
from collections import abc

import loguru
import xxhash

from bilberryglade._membership import fleet
from bilberryglade._routing import admission
from bilberryglade._targets import directory
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Lives of targets that a request may fell before it is refused.
QUARANTINE_CRASHES: typing.Final = 3
#: Seconds for which a fall counts, and a request is refused.
RETENTION_SECONDS: typing.Final = 60.0
#: Seconds for the connection that tells whether a target has fallen.
PROBE_TIMEOUT_SECONDS: typing.Final = 0.3


class CrashRecords:
    """Falls of targets by the requests that they ran."""

    def __init__(self, members: fleet.Fleet) -> None:
        """Has no record."""
        self.members = members
        #: By fingerprint: the lives that fell, with the seconds of the fall.
        self.crashes: dict[str, dict[str, float]] = {}
        self.probes: set[asyncio.Task[None]] = set()
        #: Called with the name of each life of a target that fell.
        self.on_crash: abc.Callable[[str], None] = lambda _: None

    def is_quarantined(self, request: admission.Incoming) -> bool:
        """Tells whether a request is refused because of what it did."""
        if not self.crashes:
            return False
        since = clock.now() - RETENTION_SECONDS
        crashes = self.crashes.get(fingerprint(request), {})
        return sum(at > since for at in crashes.values()) >= QUARANTINE_CRASHES

    def check_target(
        self,
        request: admission.Incoming,
        target: directory.Target,
    ) -> None:
        """Finds out whether a target fell; its connection has broken."""
        task = asyncio.create_task(self._check_target(request, target))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)

    def handle_crash(self, crash: messages.Crash) -> None:
        """Takes in a fall that this or another instance saw."""
        self.on_crash(crash['target'])
        crashes = self.crashes.setdefault(crash['fingerprint'], {})
        crashes.setdefault(crash['target'], clock.now())
        if len(crashes) == QUARANTINE_CRASHES:
            loguru.logger.warning(
                'request with fingerprint {} refused: {} targets fell',
                crash['fingerprint'],
                len(crashes),
            )

    def drop_expired(self) -> None:
        """Drops records that do not count any more."""
        since = clock.now() - RETENTION_SECONDS
        self.crashes = {
            digest: crashes
            for digest, crashes in self.crashes.items()
            if any(at > since for at in crashes.values())
        }

    async def _check_target(
        self,
        request: admission.Incoming,
        target: directory.Target,
    ) -> None:
        if not await refuses_connections(target.address):
            return
        crash: messages.Crash = {
            'kind': 'crash',
            'sender': self.members.own.name,
            'fingerprint': fingerprint(request),
            'target': str(directory.life_of(target)),
        }
        self.handle_crash(crash)
        self.members.send_all(crash)


def fingerprint(request: admission.Incoming) -> str:
    """Returns what a request has in common with its repeats."""
    line = f'{request.method} {request.host} {request.path}?{request.query}'
    digest = xxhash.xxh64(f'{line}\n{request.api_key}\n'.encode())
    digest.update(request.body)
    return str(digest.hexdigest())


async def refuses_connections(address: str) -> bool:
    """Tells whether nothing listens at an address."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # Silence is no refusal: the target may be cut off.
        return False
    writer.transport.abort()
    return False
