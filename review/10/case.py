"""Requests whose paths hold a semicolon, as the syntax of URIs allows."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'world'))
import world as worlds  # noqa: E402

ZONES = ('north', 'south', 'west')
REQUESTS = 60
MARK = ';' if worlds.TROUBLE else '-'


class Server(worlds.Server):
    """A server that keeps the paths of the requests that it runs."""

    async def run(self, message, path, request_id):
        RUN[request_id] = message.start.split(' ')[:2]
        return await super().run(message, path, request_id)


#: Method and path that a server ran, by the id of the request.
RUN = {}


async def case(world):
    world.store.write('keyed.op', 'config', worlds.configuration(
        [['r-claims', 'host.example', '/claims/', 'unsafe', '1200ms', '400ms', 1,
          'claims', 2, False, None]],
        [['claims', '/health', 130, 'h1', False, '3s', 6.6, None, None, None]],
        [['office', ['key-1'], 0, 0, 0]],
    ))
    for number, zone in enumerate(ZONES):
        await Server(world, f'i-{number}', 'claims', zone, work=0.02).start()
    for number, zone in enumerate(ZONES, 1):
        await world.start_process(number, zone)
    for number in range(1, len(ZONES) + 1):
        if not await world.ready(number):
            return 2
    await asyncio.sleep(5)
    changed, served = [], 0
    for number in range(REQUESTS):
        path = f'/claims/{number}{MARK}fortnight={number}'
        request_id, status = await world.ask(1 + number % 3, path, 'POST', b'claim')
        served += status == 200
        ran = RUN.get(request_id)
        if ran is not None and ran != ['POST', path]:
            world.note('changed', request_id, path, '->', *ran)
            changed.append(ran)
    found = (
        f'{REQUESTS} requests, {len(RUN)} run, {served} answered 200; run with another'
        f' path than was sent: {len(changed)}'
    )
    world.record(found)
    print(found)
    if len(RUN) < REQUESTS / 2:
        return 2
    return int(bool(changed))


worlds.main(case, 60)
