"""A request that crashes upstreams comes again while entries restart by plan."""

import asyncio
import pathlib
import signal
import time

import stand_in_deployment as deployment
import stand_in_upstream as upstream

ENTRIES = 4
PATH = '/look/poison/2f'
#: The rule's bound on retries that reach upstreams.
MOST_RETRIES = 3
BACK_SECONDS = 2.0


async def case(stage: deployment.Deployment) -> int:
    """Counts the upstreams that run the request after the third crash."""
    runs: list[float] = []
    names: dict[str, int] = {}
    back: set[asyncio.Task[None]] = set()

    def make(name: str, host: str) -> upstream.Upstream:
        return upstream.Upstream(
            name, host, crashes_on='poison',
            on_run=note, on_crash=crashed,
        )

    def note(one: upstream.Arrival) -> None:
        if 'poison' in one.path:
            runs.append(one.at)
            stage.record(f'upstream {one.upstream} runs the request, crash {len(runs)}')

    def crashed(one: upstream.Upstream, _: upstream.Arrival) -> None:
        back.add(asyncio.create_task(come_back(one)))

    async def come_back(one: upstream.Upstream) -> None:
        await asyncio.sleep(BACK_SECONDS)
        base = one.name.partition('.')[0]
        names[base] = names.get(base, 0) + 1
        stage.write('keyed.servers', one.name, None)
        zone = stage.zones[int(base[-1]) % 2]
        await stage.add_upstream(
            make(f'{base}.{names[base]}', one.host), 'look', zone
        )

    await stage.start_store(
        deployment.configuration(
            [['r-look', 'jepu9.example', '/look/', 'safe', '1s', '300ms', 2,
              'look', 2, False]],
            [['look', '/health', '3s', 6.6, None]],
            [['yefi830', ['xd9dnn2ctnfzs989anu6'], 0, 0, 0]],
        )
    )
    for number in range(6):
        await stage.add_upstream(
            make(f'i-l{number}', f'{stage.network}.{100 + number}'), 'look',
            stage.zones[number % 2],
        )
    await stage.add_entries(ENTRIES)
    await asyncio.sleep(deployment.CONTACT_SECONDS + 0.5)
    for _ in range(6):
        await stage.send(stage.entries[0], 'GET', PATH)
        await asyncio.sleep(1)
    if len(runs) < 3:
        return deployment.NOT_RUN
    third_at = sorted(runs)[2]
    stage.record(f'{len(runs)} crashes before the restarts')
    await asyncio.sleep(max(third_at + deployment.CONTACT_SECONDS - time.monotonic(), 0) + 0.2)
    counted = len(runs)
    for entry in stage.entries:
        if deployment.TROUBLE:
            entry.signal(signal.SIGTERM)
            await entry.wait(8)
            entry.start()
            if not await entry.until_ready():
                raise deployment.NotRunError(f'{entry.name} is not ready')
        # In touch: `contact` without a start or a signal.
        await asyncio.sleep(deployment.CONTACT_SECONDS + 0.5)
        for _ in range(4):
            await stage.send(entry, 'GET', PATH)
            await asyncio.sleep(1)
    retries = len(runs) - counted
    stage.record(
        f'{retries} retries reached upstreams later than `contact` after '
        f'the third crash, {MOST_RETRIES} allowed'
    )
    return deployment.BROKEN if retries > MOST_RETRIES else deployment.HELD


deployment.run(case, str(pathlib.Path(__file__).parent))
