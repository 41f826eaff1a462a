"""Quarantines requests that crash the targets which run them.

Callers repeat such a request with another id, at any instance, so a request is
identified by its fingerprint, and crashes are reported to all instances. A
request that has crashed several target incarnations is refused for a while. A
target counts as crashed if its connection broke and it then refuses a new one.
A harmless request that ran at the same target gets that crash on its record
too, but one crash does not quarantine it.
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

#: Crashed target incarnations from which on a request is refused.
QUARANTINE_CRASHES: typing.Final = 3
#: Time for which a crash counts, and so for which a request is refused.
RETENTION_SECONDS: typing.Final = 60.0
#: Timeout of the connection that tests whether a target has crashed.
PROBE_TIMEOUT_SECONDS: typing.Final = 0.3


class CrashRecords:
    """Crashes of targets, recorded by the requests that they ran."""

    def __init__(self, members: fleet.Fleet) -> None:
        """Starts without records; `members` receive crashes detected here."""
        self.members = members
        #: By fingerprint: crashed target incarnations (`name/start`), each with
        #: the monotonic seconds at which its crash was recorded.
        self.crashes: dict[str, dict[str, float]] = {}
        #: Checks of targets that are running.
        self.probes: set[asyncio.Task[None]] = set()
        #: Called with each crashed target incarnation (`name/start`).
        self.on_crash: abc.Callable[[str], None] = lambda _: None

    def is_quarantined(self, request: admission.Incoming) -> bool:
        """Returns whether a request is refused because it crashed targets."""
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
        """Starts a check whether a target has crashed.

        Called when the answer to `request` was lost, as by a broken connection.
        """
        task = asyncio.create_task(self._check_target(request, target))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)

    def handle_crash(self, crash: messages.Crash) -> None:
        """Records a crash that this or another instance has detected."""
        self.on_crash(crash['target'])
        crashes = self.crashes.setdefault(crash['fingerprint'], {})
        crashes.setdefault(crash['target'], clock.now())
        if len(crashes) == QUARANTINE_CRASHES:
            loguru.logger.warning(
                'request with fingerprint {} refused: it crashed {} targets',
                crash['fingerprint'],
                len(crashes),
            )

    def drop_expired(self) -> None:
        """Drops the records of requests whose crashes have all expired."""
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
    """Returns a digest that a request shares with its repeats.

    It covers method, host, path, query, API key and body, but no request id.
    """
    line = f'{request.method} {request.host} {request.path}?{request.query}'
    digest = xxhash.xxh64(f'{line}\n{request.api_key}\n'.encode())
    digest.update(request.body)
    return str(digest.hexdigest())


async def refuses_connections(address: str) -> bool:
    """Returns whether an address (`host:port`) refuses connections."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # No answer proves no crash: the target may be cut off by the network.
        return False
    writer.transport.abort()
    return False
