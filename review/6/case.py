"""Servers become cold again while they are still cold from their last start."""

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
#: The dispatchers of the two are different instances: at most one coordinates.
SERVICES = ('claims', 'invoices')
#: Requests a second for each service of two servers with 2 slots and 40 ms.
RATE = 70
ZONES = ('north', 'south', 'west', 'north', 'south', 'west')
#: A cold server crashes at three times what it tolerates.
CRASH_RATE = 3 * RATE_COLD


class Server(worlds.Server):
    """A server that crashes when it gets far too much while it is cold."""

    async def run(self, message, path, request_id):
        latest = [at for at, is_cold, _ in self.arrivals if is_cold]
        if latest and latest[-1] - 1.0 < latest[max(-int(CRASH_RATE) - 1, -len(latest))]:
            if len(latest) > CRASH_RATE and not self.crashes:
                asyncio.create_task(self.crash(60))
        return await super().run(message, path, request_id)


async def case(world):
    world.store.write('keyed.op', 'config', worlds.configuration(
        [[f'r-{name}', 'host.example', f'/{name}/', 'unsafe', '1200ms', '400ms', 1,
          name, 2, False, None] for name in SERVICES],
        [[name, '/health', 130, 'h1', False, '3s', RATE_COLD, None, None, None]
         for name in SERVICES],
        [['office', ['key-1'], 0, 0, 0]],
    ))
    servers = [
        Server(world, f'i-{service}-{zone}', service, zone, work=0.04)
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
    cold = servers[::2]
    traffic = asyncio.create_task(clients(world))
    await asyncio.sleep(5)
    for server in cold:
        world.note('becomes cold', server.name)
        server.become_cold(WARMUP)
    await asyncio.sleep(2.5)
    for server in cold:
        if worlds.TROUBLE:
            world.note('becomes cold again', server.name)
            server.become_cold(WARMUP)
    await asyncio.sleep(5)
    traffic.cancel()
    await asyncio.sleep(1.5)
    broken = False
    found = []
    for server in cold:
        moments = [moment for moment, is_cold, _ in server.arrivals if is_cold]
        worst, when = worlds.most_in(moments, 1.0)
        broken = broken or worst > BOUND
        found.append(
            f'{server.name}: most requests in one second while cold {worst} (bound'
            f' {BOUND:.1f}), second ends at {when - world.began:.3f},'
            f' crashed {server.crashes} times'
        )
    served, lost = world.count(200), world.count(502) + world.count(504) + world.count(0)
    found.append(f'sent {world.sent}, served {served}, run or lost without an answer {lost}')
    world.record(*found)
    print('\n'.join(found))
    if served < world.sent / 2:
        return 2
    return int(broken)


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
