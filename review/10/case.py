"""A server becomes cold again while the platform's store is down."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import stand_in_world as worlds  # noqa: E402

#: As in the site file: `warmup_per_s`, and the bounds that the pages give.
RATE_COLD, OVERSHOOT, SLACK = 6.6, 1.5, 5
BOUND = RATE_COLD * OVERSHOOT + SLACK
WARMUP = 3.0
#: Longest outage of the whole store in the site file.
OUTAGE_SECONDS = 4.5
#: As many as on the site's smallest service; one of them becomes cold.
SERVERS = 6
#: Seconds of work at that server, and at the others: speeds of the
#: site's services are 0.7 and 1.6.
FAST, SLOW = 0.04, 0.09
#: Requests a second, for servers with 2 slots.
RATE = 125
ZONES = ('north', 'south', 'west', 'north', 'south', 'west')


async def case(world):
    world.store.write('keyed.op', 'config', worlds.configuration(
        [['r-claims', 'host.example', '/claims/', 'unsafe', '1200ms', '400ms', 1,
          'claims', 2, False, None]],
        [['claims', '/health', 130, 'h1', False, '3s', RATE_COLD, None, None, None]],
        [['office', ['key-1'], 0, 0, 0]],
    ))
    servers = [
        worlds.Server(
            world, f'i-{number}', 'claims', ZONES[number], work=SLOW if number else FAST
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    for number, zone in enumerate(ZONES, 1):
        await world.start_process(number, zone)
    for number in range(1, len(ZONES) + 1):
        if not await world.ready(number):
            return 2
    await asyncio.sleep(5)
    traffic = asyncio.create_task(clients(world))
    await asyncio.sleep(5)
    if worlds.TROUBLE:
        world.store.down = 'busy'
        world.note('store down')
    asyncio.get_running_loop().call_later(OUTAGE_SECONDS, back, world)
    await asyncio.sleep(0.5)
    cold = servers[0]
    world.note('becomes cold', cold.name)
    cold.become_cold(WARMUP)
    await asyncio.sleep(WARMUP + 1)
    traffic.cancel()
    await asyncio.sleep(1.5)
    moments = [moment for moment, is_cold, _ in cold.arrivals if is_cold]
    worst, when = worlds.most_in(moments, 1.0)
    found = [
        f'{cold.name}: most requests in one second while cold {worst} (bound'
        f' {BOUND:.1f}), second ends at {when - world.began:.3f}'
    ]
    served = world.count(200)
    found.append(f'sent {world.sent}, served {served}')
    world.record(*found)
    print('\n'.join(found))
    if served < world.sent / 3:
        return 2
    return int(worst > BOUND)


def back(world):
    world.store.down = ''
    world.note('store back')


async def clients(world):
    """Sends requests to the instances in turn."""
    tasks = set()
    while True:
        number = 1 + world.sent % len(ZONES)
        task = asyncio.create_task(world.ask(number, '/claims/x', 'POST', b'claim'))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


worlds.main(case, 60)
