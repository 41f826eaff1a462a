"""A server crashes and starts again while the platform's store is down."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'world'))
import world as worlds  # noqa: E402

#: As in the site file: `warmup_per_s`, and the bounds that the pages give.
RATE_COLD, OVERSHOOT, SLACK = 6.6, 1.5, 5
BOUND = RATE_COLD * OVERSHOOT + SLACK
WARMUP = 3.0
#: Longest outage of the whole store in the site file.
OUTAGE_SECONDS = 4.5
#: The server is back so long after its crash.
DOWN_SECONDS = 2.0
SERVICES = ('claims', 'settlement')
#: Requests a second for each service of two servers with 2 slots and 40 ms.
RATE = 70
ZONES = ('north', 'south', 'west', 'north', 'south', 'west')


async def case(world):
    world.store.write('keyed.op', 'config', worlds.configuration(
        [[f'r-{name}', 'host.example', f'/{name}/', 'unsafe', '1200ms', '400ms', 1,
          name, 2, False, None] for name in SERVICES],
        [[name, '/health', 130, 'h1', False, '3s', RATE_COLD, None, None, None]
         for name in SERVICES],
        [['office', ['key-1'], 0, 0, 0]],
    ))
    servers = [
        worlds.Server(world, f'i-{service}-{zone}', service, zone, work=0.04)
        for service in SERVICES
        for zone in ('north', 'south')
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
    await asyncio.sleep(0.1)
    falling = servers[::2]
    await asyncio.gather(*(server.crash(DOWN_SECONDS) for server in falling))
    again = []
    for server in falling:
        life = worlds.Server(world, server.name, server.service, server.zone, work=0.04)
        life.port = server.port
        life.cold_until = time.monotonic() + WARMUP
        again.append(life)
        await life.start()
        world.note('is back, cold', life.name)
    await asyncio.sleep(WARMUP + 1)
    traffic.cancel()
    await asyncio.sleep(1.5)
    broken, found = False, []
    for life in again:
        moments = [moment for moment, is_cold, _ in life.arrivals if is_cold]
        worst, when = worlds.most_in(moments, 1.0)
        broken = broken or worst > BOUND
        found.append(
            f'{life.name}: most requests in one second while cold {worst} (bound'
            f' {BOUND:.1f}), second ends at {when - world.began:.3f}'
        )
    served = world.count(200)
    found.append(f'sent {world.sent}, served {served}')
    world.record(*found)
    print('\n'.join(found))
    if served < world.sent / 3:
        return 2
    return int(broken)


def back(world):
    world.store.down = ''
    world.note('store back')


async def clients(world):
    """Sends requests to the instances in turn."""
    tasks = set()
    while True:
        for service in SERVICES:
            number = 1 + world.sent % len(ZONES)
            task = asyncio.create_task(
                world.ask(number, f'/{service}/x', 'POST', b'claim')
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


worlds.main(case, 60)
