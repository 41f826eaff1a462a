"""Two instances that lead in turn, over a log that fails as a test says."""

import asyncio
import time
import types
import typing

import result

from bilberryglade._delivery import intents, once
from bilberryglade._log import log_client
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes, requests

ANSWERED: typing.Final = outcomes.Answered(200, (), b'done')
#: How often an append takes effect at once under each fault.
COPIES_BY_FAULT: typing.Final = types.MappingProxyType(
    {'ok': 1, 'lost': 1, 'twice': 2}
)
SLOT: typing.Final = 1
DIGEST: typing.Final = 'a' * 32
UNCLEAR: typing.Final = result.Err(log_client.LogFailure.unclear)


class FakeLog:
    """A stream whose appends and reads go wrong on demand."""

    def __init__(self) -> None:
        """Starts empty and without faults."""
        self.records: list[dict[str, typing.Any]] = []
        self.delayed: list[dict[str, typing.Any]] = []
        #: What happens to the next append: `ok`, `twice`, `lost`, `never`,
        #: `late` or `held`, which takes effect and is answered when `held` is set.
        self.fault = 'ok'
        #: Kind of append that the fault strikes: a mark or an intent.
        self.is_fault_for_marks = False
        self.stale_count = 0
        self.release_held = asyncio.Event()
        self.answer_gate = asyncio.Event()
        self.answer_gate.set()

    async def append(
        self,
        stream: str,
        record: dict[str, typing.Any],
        timeout_seconds: float,
    ) -> result.Result[int, log_client.LogFailure]:
        """Appends as the fault in force has it."""
        fault = 'ok'
        if self.is_fault_for_marks != bool(record['entries']):
            fault = self.fault
            self.fault = 'ok'
        if fault == 'held':
            await self.release_held.wait()
            fault = 'ok'
        if fault == 'late':
            self.delayed.append(record)
        for _ in range(COPIES_BY_FAULT.get(fault, 0)):
            self.records.append(record)
        await self.answer_gate.wait()
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
        head = max(len(self.records) - self.stale_count, 0)
        self.stale_count = 0
        rows = [
            {'offset': offset, 'record': self.records[offset - 1]}
            for offset in range(start, head + 1)
        ]
        return result.Ok({'records': rows, 'head': head, 'oldest': 1})

    def apply_delayed(self) -> None:
        """Lets appends that were late take effect."""
        self.records.extend(self.delayed)
        self.delayed.clear()


class FakeFleet:
    """Instances, of which one leads the slot at a time."""

    def __init__(self) -> None:
        """Starts with instance 0 in the lead."""
        self.log = FakeLog()
        self.leader = 0
        self.term = 1
        #: Digests that a target ran, in order.
        self.run_digests: list[str] = []
        #: What the target does next.
        self.target_outcome: outcomes.Outcome = ANSWERED
        self.calls: set[asyncio.Task[outcomes.Outcome]] = set()
        self.instances = [self.new_process(number) for number in range(2)]

    def new_process(self, number: int) -> once.Once:
        """Returns a new process of an instance, which knows nothing."""
        log = typing.cast(log_client.LogClient, self.log)
        return once.Once(str(number), log, FakeTenures(self, number), 'single')

    def take_over(self) -> None:
        """Moves the lead to the other instance."""
        self.leader = 1 - self.leader
        self.term += 1

    def crash(self, number: int) -> None:
        """Replaces an instance's process by a new one."""
        self.instances[number] = self.new_process(number)
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
            process.run(
                request, lambda: self.run_at_target(number, process, request)
            ),
        )
        self.calls.add(task)
        return task

    async def run_at_target(
        self,
        number: int,
        process: once.Once,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs a request at the target, if its sender leads and lives."""
        if self.leader != number or self.instances[number] is not process:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if not isinstance(self.target_outcome, outcomes.NotRun):
            self.run_digests.append(request.idempotency_digest)
        await asyncio.sleep(0)
        return self.target_outcome


class FakeTenures:
    """Where an instance learns whether it leads."""

    def __init__(self, fleet: FakeFleet, number: int) -> None:
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
