"""HTTP face of a stand-in target.

Requests name their grant in `grant-slot` and `grant-fence`. Control is under
`/-/`: grants, health, load, drain, faults and the journal for observers.
"""

import asyncio
import time
import typing

import msgspec
from starlette import applications, requests, responses, routing

from bilberryglade_schema import platform
from bilberryglade_stand_ins import target_model

RESTART_SECONDS: typing.Final = 1.0
FROZEN_POLL_SECONDS: typing.Final = 0.05
NOT_STARTED: typing.Final = {'run-state': 'not-started'}


class TargetService:
    """The HTTP handlers over one target's model."""

    def __init__(self, model: target_model.TargetModel) -> None:
        """Serves `model`."""
        self.model = model

    async def run(self, request: requests.Request) -> responses.Response:
        """Runs a request under its grant, or refuses before it starts."""
        await self._thaw()
        body = await request.body()
        refusal = self._refusal(request)
        if refusal:
            self._note(request, 'refused', time.monotonic_ns())
            return _refused(*refusal)
        return await self._run_started(request, body)

    async def put_grants(self, request: requests.Request) -> responses.Response:
        """Takes grants; a lower fence than one seen is refused as a whole."""
        await self._thaw()
        if self.model.is_down:
            return _refused(503, 'down')
        batch = msgspec.json.decode(
            await request.body(),
            type=platform.GrantBatch,
        )
        stale = [
            grant['slot']
            for grant in batch['grants']
            if not self.model.take_grant(
                grant['slot'],
                grant['fence'],
                grant['lease_ms'] / 1000,
            )
        ]
        status = 409 if stale else 200
        return _json({'stale_slots': stale}, status)

    async def health(self, request: requests.Request) -> responses.Response:
        """Says that the target is up; it may mislead while it is slow."""
        await self._thaw()
        status = 503 if self.model.is_down else 200
        return _json({'ok': status == 200}, status)

    async def load(self, request: requests.Request) -> responses.Response:
        """Reports the load, late if so set."""
        await self._thaw()
        answer: platform.TargetLoad = {
            'running': self.model.reported_running(),
            'concurrency': self.model.shape.concurrency,
            'cold': self.model.is_cold,
            'draining': self.model.draining,
        }
        return _json(answer)

    async def drain(self, request: requests.Request) -> responses.Response:
        """Starts to refuse new work."""
        self.model.draining = True
        return _json({'draining': True})

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the faults in force; `cold` turns the target cold."""
        raw = await request.body()
        changes = msgspec.json.decode(raw, type=dict[str, typing.Any])
        if changes.pop('cold', False):
            self.model.completed = 0
        if changes.pop('fall', False):
            self.model.fall_over(RESTART_SECONDS)
        self.model.faults = target_model.TargetFaults(**changes)
        return _json({'falls': self.model.falls})

    async def journal(self, request: requests.Request) -> responses.Response:
        """Returns what the target ran, for observers."""
        return _json(self.model.journal)

    async def report(self, request: requests.Request) -> responses.Response:
        """Returns falls and the most requests run at once while cold."""
        return _json(
            {
                'falls': self.model.falls,
                'most_running_cold': self.model.most_running_cold,
                'completed': self.model.completed,
            },
        )

    async def _thaw(self) -> None:
        while self.model.faults.frozen:
            await asyncio.sleep(FROZEN_POLL_SECONDS)

    def _refusal(self, request: requests.Request) -> tuple[int, str] | None:
        model = self.model
        if model.is_down:
            return 503, 'down'
        if model.draining:
            return 503, 'draining'
        if model.shape.fenced and not self._granted(request):
            return 409, 'no valid grant'
        if model.running >= model.shape.concurrency:
            return 503, 'overloaded'
        return None

    def _granted(self, request: requests.Request) -> bool:
        slot = int(request.headers.get('grant-slot', '-1'))
        fence = int(request.headers.get('grant-fence', '0'))
        return self.model.holds(slot, fence)

    async def _run_started(
        self,
        request: requests.Request,
        body: bytes,
    ) -> responses.Response:
        model = self.model
        started = time.monotonic_ns()
        entry = self._note(request, 'running', started)
        model.running += 1
        model.note_load()
        try:
            return await self._finish(request, entry, body)
        except asyncio.CancelledError:
            entry['state'] = 'cancelled'
            raise
        finally:
            self._end(entry)

    def _end(self, entry: platform.JournalEntry) -> None:
        entry['ended_ns'] = time.monotonic_ns()
        self.model.running -= 1
        self.model.note_load()

    async def _finish(
        self,
        request: requests.Request,
        entry: platform.JournalEntry,
        body: bytes,
    ) -> responses.Response:
        model = self.model
        if model.is_cold:
            model.most_running_cold = max(
                model.most_running_cold,
                model.running,
            )
        overloaded = model.is_cold and model.running > model.shape.cold_limit
        if overloaded or entry['key'] in model.faults.poison_keys:
            model.fall_over(RESTART_SECONDS)
            entry['state'] = 'crashed'
            return responses.Response('fell over', status_code=500)
        await model.work()
        await self._thaw()
        if model.shape.fenced and not self._granted(request):
            entry['state'] = 'cancelled'
            return responses.Response('grant lapsed', status_code=500)
        entry['state'] = 'done'
        model.completed += 1
        return responses.Response(
            body or entry['key'].encode(),
            headers={'target': model.shape.name},
        )

    def _note(
        self,
        request: requests.Request,
        state: typing.Literal['running', 'refused'],
        started: int,
    ) -> platform.JournalEntry:
        headers = request.headers
        entry: platform.JournalEntry = {
            'target': self.model.shape.name,
            'request_id': headers.get('request-id', ''),
            'organisation': headers.get('organisation', ''),
            'service': self.model.shape.service,
            'key': headers.get('routing-key', ''),
            'slot': int(headers.get('grant-slot', '-1')),
            'fence': int(headers.get('grant-fence', '0')),
            'started_ns': started,
            'ended_ns': 0,
            'state': state,
            'headers': dict(headers),
        }
        self.model.journal.append(entry)
        return entry


def _refused(status: int, reason: str) -> responses.Response:
    return responses.Response(reason, status_code=status, headers=NOT_STARTED)


def _json(message: object, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(message),
        status_code=status,
        media_type='application/json',
    )


def application(service: TargetService) -> applications.Starlette:
    """Returns the HTTP application of `service`."""
    methods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD']
    return applications.Starlette(
        routes=[
            routing.Route('/-/grants', service.put_grants, methods=['PUT']),
            routing.Route('/-/health', service.health),
            routing.Route('/-/load', service.load),
            routing.Route('/-/drain', service.drain, methods=['POST']),
            routing.Route('/-/faults', service.set_faults, methods=['PUT']),
            routing.Route('/-/journal', service.journal),
            routing.Route('/-/report', service.report),
            routing.Route('/{path:path}', service.run, methods=methods),
        ],
    )
