"""Restarted entries while the partition of the list of members is down."""

import asyncio
import pathlib
import signal
import time

import stand_in_deployment as deployment
import stand_in_upstream as upstream

ENTRIES = 6
RATE, BURST = 20, 20
#: `quota_window`, `quota_overshoot` and `quota_slack` of the settings.
WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20
LIMIT = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK
#: The site's limit for an outage of the store.
OUTAGE_SECONDS = 4.5
#: A tenant's usual is its rate / 1.6 (`quota_x`); `hot_tenant` is 7.5 times that.
OFFERED_PER_SECOND = RATE / 1.6 * 7.5
MEMBERS = 'keyed.members'


async def case(stage: deployment.Deployment) -> int:
    """Counts what runs of one tenant's requests in any window."""
    runs: list[float] = []
    await stage.start_store(
        deployment.configuration(
            [['r-look', 'jepu9.example', '/look/', 'safe', '1s', '300ms', 2,
              'look', 2, False]],
            [['look', '/health', '3s', 6.6, None]],
            [['yefi830', ['xd9dnn2ctnfzs989anu6'], 0, RATE, BURST]],
        )
    )
    for number in range(4):
        zone = stage.zones[number % 2]
        await stage.add_upstream(
            upstream.Upstream(
                f'i-l{number}',
                f'{stage.network}.{100 + number}',
                slots=8,
                on_run=lambda one: runs.append(one.at),
            ),
            'look',
            zone,
        )
    await stage.add_entries(ENTRIES)
    await asyncio.sleep(deployment.CONTACT_SECONDS + 1)
    sending = asyncio.create_task(offer(stage))
    await asyncio.sleep(8)
    before = len(runs)
    stage.record(f'{before} ran before the kill, most in a window {most(runs)}')
    for entry in stage.entries:
        entry.signal(signal.SIGKILL)
    if deployment.TROUBLE:
        stage.store.topics_down = {MEMBERS}
        stage.record(
            f'the store answers 503 for {MEMBERS}, one of '
            f'{len(stage.store.topics)} partitions in use'
        )
    down_at = time.monotonic()
    for entry in stage.entries:
        await entry.wait(2)
        entry.start()
    await asyncio.sleep(max(down_at + OUTAGE_SECONDS - time.monotonic(), 0))
    stage.store.topics_down = set()
    stage.record('the store serves all partitions')
    await asyncio.sleep(7)
    sending.cancel()
    stage.record(f'{len(runs)} ran, most in a window {most(runs)}, limit {LIMIT}')
    if not before or len(runs) == before:
        return deployment.NOT_RUN
    return deployment.BROKEN if most(runs) > LIMIT else deployment.HELD


async def offer(stage: deployment.Deployment) -> None:
    """Sends the tenant's requests evenly to all entries."""
    tasks: set[asyncio.Task[deployment.Answer]] = set()
    number = 0
    began = time.monotonic()
    while True:
        entry = stage.entries[number % len(stage.entries)]
        task = asyncio.create_task(
            stage.send(entry, 'GET', f'/look/{number}', seconds=2)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(
            max(began + number / OFFERED_PER_SECOND - time.monotonic(), 0)
        )


def most(runs: list[float]) -> int:
    """Returns the most runs in any window."""
    ordered = sorted(runs)
    first = best = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= WINDOW:
            first += 1
        best = max(best, last - first + 1)
    return best


deployment.run(case, str(pathlib.Path(__file__).parent))
