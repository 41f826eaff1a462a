"""Settings files change while entries that start wait for the store."""

import asyncio
import pathlib
import signal
import time

from stand_ins import deployment, upstream

ENTRIES = 4
#: The site's limit for an outage of the store.
OUTAGE_SECONDS = 4.5
ROUNDS = 3
#: Between two planned stops.
GAP_SECONDS = 1.3
#: The Fault rule: two machines at least, three ends on each.
MACHINES, ENDS = 2, 3


async def case(stage: deployment.Deployment) -> int:
    """Counts the processes that end by themselves."""
    await stage.start_store(
        deployment.configuration(
            [['r-claims', 'jepu9.example', '/claims/', 'unsafe', '1200ms',
              '400ms', 1, 'claims', 2, False]],
            [['claims', '/health', '3s', 6.6, None]],
            [['yefi830', ['xd9dnn2ctnfzs989anu6'], 0, 0, 0]],
        )
    )
    await stage.add_upstream(
        upstream.Upstream('i-c1', f'{stage.network}.100'), 'claims',
        stage.zones[0],
    )
    await stage.add_entries(ENTRIES)
    own_ends = {entry.name: 0 for entry in stage.entries}
    for number in range(ROUNDS):
        await one_round(stage, own_ends, number)
    answer = await stage.send(stage.entries[0], 'POST', '/claims/1', body=b'a')
    stage.record(f'ends by themselves: {own_ends}')
    if answer.status != 200:
        return deployment.NOT_RUN
    often = sum(ends >= ENDS for ends in own_ends.values())
    return deployment.BROKEN if often >= MACHINES else deployment.HELD


async def one_round(
    stage: deployment.Deployment, own_ends: dict[str, int], number: int
) -> None:
    """Restarts two entries by plan in an outage of the store, then SIGHUP."""
    restarted = stage.entries[:MACHINES]
    for entry in restarted:
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(GAP_SECONDS)
    for entry in restarted:
        await entry.wait(8)
    stage.store.is_down = deployment.TROUBLE
    stage.record(f'round {number}: store down: {stage.store.is_down}')
    down_at = time.monotonic()
    for entry in restarted:
        entry.start()
    await asyncio.sleep(3.0)
    for entry in restarted:
        entry.signal(signal.SIGHUP)
    for entry in restarted:
        if await entry.wait(0.3) is not None:
            own_ends[entry.name] += 1
            stage.record(f'{entry.name} ended by itself')
            entry.start()
    await asyncio.sleep(max(down_at + OUTAGE_SECONDS - time.monotonic(), 0))
    stage.store.is_down = False
    stage.record('the store answers')
    for entry in restarted:
        if not await entry.until_ready():
            raise deployment.NotRunError(f'{entry.name} is not ready')


deployment.run(case, str(pathlib.Path(__file__).parent))
