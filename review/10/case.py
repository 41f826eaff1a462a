"""SIGHUP reaches processes that start while the platform's store is down."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'world'))
import world as worlds  # noqa: E402

ZONES = ('north', 'south', 'west')
#: Machines whose processes are killed; a tenth of three is two at least.
KILLED = (1, 2)
#: Longest outage of the whole store in the site file.
OUTAGE_SECONDS = 4.5
RESTART_SECONDS = 0.1
#: From the start of a process to its SIGHUP, if it does not get ready before.
STARTED_SECONDS = 1.15 if worlds.TROUBLE else 15.0
ENDS = 3


async def case(world):
    world.store.write('keyed.op', 'config', worlds.configuration(
        [['r-claims', 'host.example', '/claims/', 'unsafe', '1200ms', '400ms', 1,
          'claims', 2, False, None]],
        [['claims', '/health', 130, 'h1', False, '3s', 6.6, None, None, None]],
        [['office', ['key-1'], 0, 0, 0]],
    ))
    await worlds.Server(world, 'i-1', 'claims', 'north').start()
    for number, zone in enumerate(ZONES, 1):
        await world.start_process(number, zone)
    for number in range(1, len(ZONES) + 1):
        if not await world.ready(number):
            return 2
    await asyncio.sleep(2)
    if worlds.TROUBLE:
        world.store.down = 'busy'
        world.note('store down')
        asyncio.get_running_loop().call_later(OUTAGE_SECONDS, back, world)
    for number in KILLED:
        world.processes[number].kill()
        world.note('killed', f'edge-{number}')
    ends = dict.fromkeys(KILLED, 0)
    for _ in range(ENDS):
        await asyncio.sleep(RESTART_SECONDS)
        for number in KILLED:
            if world.processes[number].returncode is not None:
                await world.start_process(number, ZONES[number - 1])
                world.note('started', f'edge-{number}')
        await asyncio.gather(*(
            world.ready(number, STARTED_SECONDS) for number in KILLED
        ))
        for number in KILLED:
            world.processes[number].send_signal(signal.SIGHUP)
            world.note('SIGHUP', f'edge-{number}')
        await asyncio.sleep(0.05)
        for number in KILLED:
            status = world.processes[number].returncode
            if status is not None:
                ends[number] += 1
                world.note('ended by itself', f'edge-{number}', 'status', status)
    await asyncio.sleep(1)
    told = ', '.join(f'edge-{number} {count} times' for number, count in ends.items())
    world.record(f'ended by themselves: {told}')
    print(f'ended by themselves: {told}')
    return int(all(count >= ENDS for count in ends.values()))


def back(world):
    world.store.down = ''
    world.note('store back')


worlds.main(case, 60)
