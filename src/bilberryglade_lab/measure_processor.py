"""Program `measure-processor`: processor time of one entry instance.

The instance is a process of its own. The store, the targets, the other
instances of the fleet and the callers share the process of the command. The
time that the instance takes idle is subtracted from what it takes under load.
"""

import asyncio
import copy
import gc
import itertools
import json
import os
import pathlib
import random
import sys
import tempfile
import time
import typing

import cappa
import loguru
import psutil
from rich import console as consoles

from bilberryglade._targets import sender
from bilberryglade._values import outcomes
from bilberryglade.platform import headers, node_file
from bilberryglade.platform.tests import deployment, samples
from bilberryglade_lab import programs

#: Seconds for tables and connections to settle before the first figure.
SETTLE_SECONDS: typing.Final = 6.0
MILLISECONDS: typing.Final = 1000
PERCENT: typing.Final = 100
KEYS: typing.Final = 65_536
#: Seconds of the callers' patience, as in the first deployment.
PATIENCE_MS: typing.Final = 2434
PLACES: typing.Final = 8
#: Share of look-ups, which have a key; the others may run once.
LOOK_SHARE: typing.Final = 0.7
SEED: typing.Final = 20_261_207
WORK_SECONDS: typing.Final = 0.02
#: Time between two entries of a target in the store.
HEARTBEAT_SECONDS: typing.Final = 0.87

Seconds: typing.TypeAlias = typing.Annotated[
    float, cappa.Arg(long=True, help='Length of each measurement.')
]


class Cost(typing.NamedTuple):
    """What the measured instance used in one period."""

    core_seconds: float
    #: The part of it in the thread of the event loop.
    loop_seconds: float
    seconds: float
    #: Requests that callers sent to it, by outcome.
    answered: int
    refused: int


class Fleet(deployment.Deployment):
    """A deployment whose first instance is a process."""

    def __init__(self, targets: int, profile: str) -> None:
        """Has so many targets in all; the profile is written if it has a name."""
        super().__init__()
        self.target_count = targets
        self.profile = profile
        self.random = random.Random(SEED)
        self.folder = tempfile.TemporaryDirectory()
        self.folder_path = pathlib.Path(self.folder.name)
        self.callers = sender.Sender(256, 1_000_000)
        self.process: asyncio.subprocess.Process | None = None

    async def begin(self, instances: int) -> None:
        """Starts everything and waits until it has settled."""
        await self.start(0, _configuration())
        for number in range(self.target_count):
            service = 'claims' if number % 4 == 3 else 'ledger'
            await self.add_target(f't{number}', service)
        await self._start_measured()
        for number in range(1, instances):
            await self.add_instance(number)
        await self.until(self._is_up)
        await asyncio.sleep(SETTLE_SECONDS)

    async def end(self) -> None:
        """Ends everything, the measured instance first."""
        if self.process is not None:
            self.process.terminate()
            await self.process.wait()
        await self.callers.close()
        await self.stop()
        # Streams that are collected after the loop has ended raise errors.
        self.entries.clear()
        self.tasks.clear()
        gc.collect()
        await asyncio.sleep(0)
        self.folder.cleanup()

    async def cost(self, rate: float, seconds: float) -> Cost:
        """Sends `rate` requests a second to each instance for a while."""
        assert self.process is not None
        before = _used(self.process.pid)
        began = time.monotonic()
        statuses = await self._load(rate, began, seconds)
        now = time.monotonic()
        after = _used(self.process.pid)
        return Cost(
            after[0] - before[0],
            after[1] - before[1],
            now - began,
            statuses.count(200),
            len(statuses) - statuses.count(200),
        )

    def write_entry(self, name: str, **changes: typing.Any) -> None:
        """Writes a target's entry."""
        super().write_entry(name, slots=PLACES, **changes)

    async def _load(
        self, rate: float, began: float, seconds: float
    ) -> list[int]:
        """Returns the statuses of the measured instance's answers."""
        instances = 1 + len(self.entries)
        calls: list[asyncio.Task[int]] = []
        for number in itertools.count():
            due_at = began + number / (rate or 1)
            if due_at >= began + seconds:
                break
            await asyncio.sleep(max(due_at - time.monotonic(), 0))
            if rate:
                calls.extend(
                    asyncio.create_task(self._call(instance))
                    for instance in range(instances)
                )
        statuses = await asyncio.gather(*calls)
        return statuses[::instances]

    async def _call(self, instance: int) -> int:
        self.requests += 1
        is_look = self.random.random() < LOOK_SHARE
        given = {
            'host': 'host.example',
            'user-agent': 'measurement/1.0',
            'accept': '*/*',
            headers.REQUEST_ID: f'r-{self.requests}',
            headers.DEADLINE: str(PATIENCE_MS),
            headers.API_KEY: 'key-1',
        }
        if is_look:
            given[headers.ROUTING_KEY] = str(self.random.randrange(KEYS))
        call = sender.Call(
            f'{self.address(instance)}:{deployment.CALLERS_PORT}',
            'GET' if is_look else 'POST',
            '/look/a' if is_look else '/claims/a',
            given,
            b'' if is_look else b'order' * 20,
            seconds=PATIENCE_MS / MILLISECONDS,
        )
        outcome = await self.callers.send(call, on_fresh=False)
        if isinstance(outcome, outcomes.Answered):
            return outcome.status
        return 0

    async def _start_measured(self) -> None:
        ip = self.address(0)
        node: dict[str, typing.Any] = copy.deepcopy(samples.NODE_FILE)
        node['self'].update(node='edge-0', ip=ip)
        node['network']['listen'] = {
            'front': f'{ip}:{deployment.CALLERS_PORT}',
            'ready': f'{ip}:{deployment.CALLERS_PORT + 1}',
        }
        node['provider']['provider']['address'] = self.store.running.address
        node_path = self.folder_path / 'node.json'
        node_path.write_text(json.dumps(node))
        arguments = ['-m', 'bilberryglade.platform']
        if self.profile:
            arguments = ['-m', 'cProfile', '-o', self.profile, *arguments]
        with open(self.folder_path / 'lines', 'wb') as lines:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                env={
                    **os.environ,
                    'PYTHONPATH': os.pathsep.join(sys.path),
                    node_file.PATH_VARIABLE: str(node_path),
                },
                stdout=lines,
                stderr=lines,
            )

    def _is_up(self) -> bool:
        return all(one.parts.is_ready() for one in self.entries)

    async def _beat(self) -> None:
        while self.listed:
            for name in list(self.listed):
                await asyncio.sleep(HEARTBEAT_SECONDS / len(self.listed))
                self.write_entry(name)


def _used(pid: int) -> tuple[float, float]:
    """Returns the seconds of all threads, and of the event loop's alone."""
    threads = psutil.Process(pid).threads()
    seconds = {one.id: one.user_time + one.system_time for one in threads}
    return sum(seconds.values()), seconds[pid]


def _configuration() -> bytes:
    """Returns a configuration with a look-up route and one for orders."""
    columns = list(samples.ROUTE_COLUMNS)
    return samples.configuration(
        routes={
            'columns': columns,
            'rows': [
                [
                    'r-claims',
                    'host.example',
                    '/claims/',
                    'unsafe',
                    '2500ms',
                    '900ms',
                    1,
                    'claims',
                    2,
                    False,
                    None,
                ],
                [
                    'r-look',
                    'host.example',
                    '/look/',
                    'safe',
                    '2500ms',
                    '600ms',
                    0,
                    'ledger',
                    2,
                    False,
                    None,
                ],
            ],
        },
        services={
            'columns': ['name', 'warmup', 'warmup_per_s', 'sharded'],
            'rows': [
                ['ledger', '1s', None, True],
                ['claims', '1s', None, None],
            ],
        },
        tenants={
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [['office', ['key-1'], 0, 100_000, 100_000]],
        },
    )


@programs.programs.register('measure-processor')
async def run(
    instances: typing.Annotated[int, cappa.Arg(long=True)] = 4,
    targets: typing.Annotated[int, cappa.Arg(long=True)] = 24,
    rate: typing.Annotated[
        float, cappa.Arg(long=True, help='Requests a second and instance.')
    ] = 25,
    seconds: Seconds = 12,
    profile: typing.Annotated[
        str, cappa.Arg(long=True, help='File for a profile of the instance.')
    ] = '',
) -> None:
    """Measures the processor time of an instance, idle and for a request."""
    loguru.logger.remove()
    fleet = Fleet(targets, profile)
    loguru.logger.add(fleet.folder_path / 'other-lines')
    try:
        await fleet.begin(instances)
        idle = await fleet.cost(0, seconds)
        loaded = await fleet.cost(rate, seconds)
    finally:
        await fleet.end()
    share = idle.core_seconds / idle.seconds
    loop_share = idle.loop_seconds / idle.seconds
    extra = loaded.core_seconds - share * loaded.seconds
    loop_extra = loaded.loop_seconds - loop_share * loaded.seconds
    count = loaded.answered + loaded.refused
    consoles.Console().print(
        f'{instances} instances, {targets} targets: '
        f'idle {share * PERCENT:.2f} % of a core '
        f'({loop_share * PERCENT:.2f} % in the loop); '
        f'{count} requests ({loaded.refused} not answered by targets), '
        f'{extra / count * MILLISECONDS:.2f} ms each '
        f'({loop_extra / count * MILLISECONDS:.2f} ms in the loop)',
        soft_wrap=True,
    )
