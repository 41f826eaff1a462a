"""Measures how long keys go unserved after a loss, over real processes.

`python -m bilberryglade_lab.takeover --loss instance --runs 5` starts a small
deployment for each run, calls a set of keys all the time, brings about the
loss, and prints the longest time from the loss to the next answer of any key.
"""

import asyncio
import sys
import typing
from collections import abc

import aiosonic
import cappa
import msgspec
from aiosonic import exceptions

from bilberryglade._values import registry
from bilberryglade_lab import deployment, shapes
from bilberryglade_lab.observers import history, ownership

KEYS: typing.Final = 32
CALL_SECONDS: typing.Final = 0.4
PAUSE_SECONDS: typing.Final = 0.1
#: Time in which the first assignments are settled; see docs/design/ownership.md.
START_SECONDS: typing.Final = 9.0
SETTLE_SECONDS: typing.Final = 2.0
WATCH_SECONDS: typing.Final = 8.0
OK_STATUS: typing.Final = 200
SERVICE: typing.Final = 'ledger'
ORGANISATION: typing.Final = 'load'

RULES: typing.Final = """
service ledger path /ledger key path 2 isolation yield # asked for by operations
allow load to ledger rate 100000/s burst 100000        # asked for by accounts
"""

SHAPE: typing.Final = shapes.DeploymentShape(
    name='takeover',
    failure_domains=('north', 'south'),
    instances=6,
    services=(
        shapes.ServiceShape(
            SERVICE,
            targets=4,
            concurrency=4,
            work_seconds=0.002,
            cold_limit=4,
        ),
    ),
    rules=RULES,
    organisations=(ORGANISATION,),
)

Loss: typing.TypeAlias = abc.Callable[
    [deployment.Deployment],
    abc.Awaitable[None],
]

losses: typing.Final = registry.Registry[Loss]('loss')


class Run(typing.NamedTuple):
    """What one run showed."""

    #: Seconds from the loss to the next answer of the key served last.
    longest: float
    #: Keys that went unserved for more than a tenth of a second.
    affected: int
    #: Runs of one key at two targets at once.
    overlaps: int
    #: Such runs beside one that its target cancelled for want of a lease.
    cancelled: int


@losses.register('instance')
async def lose_instance(deployed: deployment.Deployment) -> None:
    """Kills an entry instance."""
    deployed.running['entry-1'].handle.kill()


@losses.register('target')
async def freeze_target(deployed: deployment.Deployment) -> None:
    """Freezes a target without closing its connections."""
    await set_faults(deployed, 'ledger-0', frozen=True)


@losses.register('both')
async def lose_both(deployed: deployment.Deployment) -> None:
    """Kills an entry instance and freezes a target at the same moment."""
    await freeze_target(deployed)
    deployed.running['entry-0'].handle.kill()
    deployed.running['entry-2'].handle.kill()


async def set_faults(
    deployed: deployment.Deployment,
    target: str,
    **faults: object,
) -> None:
    """Replaces the faults in force at a stand-in target."""
    port = deployed.targets[target].port
    response = await deployed.http.put(
        f'http://127.0.0.1:{port}/-/faults',
        data=msgspec.json.encode(faults),
    )
    await response.content()


class Caller:
    """Calls one key again and again and notes each answer."""

    def __init__(self, port: int, secret: str, key: str) -> None:
        """Calls the instance that listens on `port`."""
        self.url = f'http://127.0.0.1:{port}/{SERVICE}/{key}'
        self.headers = {'authorization': f'Bearer {secret}'}
        self.http = aiosonic.HTTPClient()
        self.answered_at: list[float] = []

    async def call(self) -> None:
        """Calls until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            if await self._call_once():
                self.answered_at.append(began)
            await asyncio.sleep(PAUSE_SECONDS)

    def served_after(self, moment: float) -> float:
        """Returns seconds from `moment` to the next call that was answered."""
        later = [at for at in self.answered_at if at >= moment]
        return min(later, default=float('inf')) - moment

    async def _call_once(self) -> bool:
        try:
            return await asyncio.wait_for(self._get(), CALL_SECONDS)
        except (exceptions.AiosonicError, TimeoutError, OSError):
            self.http = aiosonic.HTTPClient()
            return False

    async def _get(self) -> bool:
        response = await self.http.get(self.url, headers=self.headers)
        await response.content()
        return bool(response.status_code == OK_STATUS)


async def run_once(loss: str) -> Run:
    """Starts a deployment, brings about the loss, and returns what it did."""
    deployed = deployment.Deployment(SHAPE)
    try:
        await deployed.start()
        return await _watch(deployed, loss)
    finally:
        await deployed.stop()


async def _watch(deployed: deployment.Deployment, loss: str) -> Run:
    port = deployed.instances['entry-5'].caller_port
    secret = deployed.secrets[ORGANISATION]
    callers = [Caller(port, secret, f'key-{row}') for row in range(KEYS)]
    calling = [asyncio.create_task(caller.call()) for caller in callers]
    await asyncio.sleep(START_SECONDS)
    struck_at = asyncio.get_running_loop().time()
    await losses.entries[loss](deployed)
    await asyncio.sleep(WATCH_SECONDS)
    for task in calling:
        task.cancel()
    waits = [caller.served_after(struck_at) for caller in callers]
    await set_faults(deployed, 'ledger-0')
    await asyncio.sleep(SETTLE_SECONDS)
    seen = await _history(deployed)
    overlaps = len(ownership.check_one_owner(_uncancelled(seen)))
    return Run(
        longest=max(waits),
        affected=sum(wait > CALL_SECONDS / 2 for wait in waits),
        overlaps=overlaps,
        cancelled=len(ownership.check_one_owner(seen)) - overlaps,
    )


async def _history(deployed: deployment.Deployment) -> history.History:
    journals = [await deployed.journal(name) for name in deployed.targets]
    return history.History(
        journal=tuple(entry for rows in journals for entry in rows),
    )


def _uncancelled(seen: history.History) -> history.History:
    kept = [row for row in seen.journal if row['state'] != 'cancelled']
    return history.History(journal=tuple(kept))


@cappa.command(name='takeover')
def takeover(
    loss: typing.Annotated[
        str,
        cappa.Arg(long=True, help='what is lost: instance, target or both'),
    ] = 'instance',
    runs: typing.Annotated[
        int,
        cappa.Arg(long=True, help='how many deployments to start'),
    ] = 3,
) -> None:
    """Prints one line for each run."""
    for number in range(runs):
        seen = asyncio.run(run_once(loss))
        sys.stdout.write(
            f'{loss} run {number}: longest {seen.longest:.2f} s, '
            f'{seen.affected} of {KEYS} keys affected, '
            f'{seen.overlaps} overlaps, '
            f'{seen.cancelled} beside a run that its target cancelled\n',
        )


if __name__ == '__main__':
    cappa.invoke(takeover)
