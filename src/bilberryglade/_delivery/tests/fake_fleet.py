"""Two instances that lead in turn, over a log that fails as a test says."""

import asyncio
import time
import types
import typing

import result

from bilberryglade._delivery import at_most_once, intents
from bilberryglade._log import log_client
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes, requests

ANSWERED: typing.Final = outcomes.Answered(200, (), b'done')
#: How often an append takes effect at once under each fault.
COPIES: typing.Final = types.MappingProxyType({'ok': 1, 'lost': 1, 'twice': 2})
SLOT: typing.Final = 1
DIGEST: typing.Final = 'a' * 32
UNCLEAR: typing.Final = result.Err(log_client.LogFailure.unclear)


class FakeLog:
    """A stream whose appends and reads go wrong on demand."""

    def __init__(self) -> None:
        """Starts empty and without faults."""
        self.records: list[dict[str, typing.Any]] = []
        self.late: list[dict[str, typing.Any]] = []
        #: What happens to the next append: `ok`, `twice`, `lost`, `never`,
        #: `late` or `held`, which takes effect and is answered when `held` is set.
        self.fault = 'ok'
        #: Kind of append that the fault strikes: a mark or an intent.
        self.strikes_marks = False
        self.stale = 0
        self.held = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()

    async def append(
        self,
        stream: str,
        record: dict[str, typing.Any],
        timeout_seconds: float,
    ) -> result.Result[int, log_client.LogFailure]:
        """Appends as the fault in force has it."""
        fault = 'ok'
        if self.strikes_marks != bool(record['entries']):
            fault = self.fault
            self.fault = 'ok'
        if fault == 'held':
            await self.held.wait()
            fault = 'ok'
        if fault == 'late':
            self.late.append(record)
        for _ in range(COPIES.get(fault, 0)):
            self.records.append(record)
        await self.gate.wait()
        if fault in {'ok', 'twice'}:
            return result.Ok(len(self.records))
        return UNCLEAR

    async def read(
        self,
        stream: str,
        start: int,
        wait_ms: int,
        timeout_seconds: float,
    ) -> result.Result[dict[str, typing.Any], log_client.LogFailure]:
        """Reads from a replica that may lag once."""
        await asyncio.sleep(0)
        head = max(len(self.records) - self.stale, 0)
        self.stale = 0
        rows = [
            {'offset': offset, 'record': self.records[offset - 1]}
            for offset in range(start, head + 1)
        ]
        return result.Ok({'records': rows, 'head': head, 'oldest': 1})

    def arrive(self) -> None:
        """Lets appends that were late take effect."""
        self.records.extend(self.late)
        self.late.clear()


class Fleet:
    """Instances, of which one leads the slot at a time."""

    def __init__(self) -> None:
        """Starts with instance 0 in the lead."""
        self.log = FakeLog()
        self.leader = 0
        self.term = 1
        #: Digests that a target ran, in order.
        self.ran: list[str] = []
        #: What the target does next.
        self.result: outcomes.Outcome = ANSWERED
        self.calls: set[asyncio.Task[outcomes.Outcome]] = set()
        self.instances = [self.instance(number) for number in range(2)]

    def instance(self, number: int) -> at_most_once.AtMostOnceExecutor:
        """Returns a new process of an instance, which knows nothing."""
        log = typing.cast(log_client.LogClient, self.log)
        return at_most_once.AtMostOnceExecutor(
            str(number), log, Seat(self, number), 'single'
        )

    def take_over(self) -> None:
        """Moves the lead to the other instance."""
        self.leader = 1 - self.leader
        self.term += 1

    def crash(self, number: int) -> None:
        """Replaces an instance's process by a new one."""
        self.instances[number] = self.instance(number)
        self.term += 1

    def call(
        self,
        number: int,
        digest: str = DIGEST,
        body: bytes = b'{}',
    ) -> asyncio.Task[outcomes.Outcome]:
        """Sends a named request to an instance."""
        request = raw_target.request(body=body)._replace(
            idempotency_digest=digest,
            deadline=time.monotonic() + 1,
        )
        process = self.instances[number]
        task = asyncio.create_task(
            process.run(request, lambda: self.work(number, process, request)),
        )
        self.calls.add(task)
        return task

    async def work(
        self,
        number: int,
        process: at_most_once.AtMostOnceExecutor,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs a request at the target, if its sender leads and lives."""
        if self.leader != number or self.instances[number] is not process:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if not isinstance(self.result, outcomes.NotRun):
            self.ran.append(request.idempotency_digest)
        await asyncio.sleep(0)
        return self.result


class Seat:
    """Where an instance learns whether it leads."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        """Looks at the fleet as instance `number`."""
        self.fleet = fleet
        self.number = number

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the tenure of the slot, if the instance leads."""
        if self.fleet.leader != self.number:
            return None
        return intents.Tenure(1, self.fleet.term)

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the tenure of the one slot."""
        tenure = self.of_slot(service, SLOT)
        return {} if tenure is None else {SLOT: tenure}
