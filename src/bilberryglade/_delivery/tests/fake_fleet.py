"""Test doubles: two instances that lead a slot in turn, and a faulty log."""

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
#: How many copies of a record an append stores at once, by fault; 0 if absent.
COPIES_BY_FAULT: typing.Final = types.MappingProxyType(
    {'ok': 1, 'lost': 1, 'twice': 2}
)
SLOT: typing.Final = 1
DIGEST: typing.Final = 'a' * 32
UNCLEAR: typing.Final = result.Err(log_client.LogFailure.unclear)


class FakeLog:
    """A log of one stream whose appends and reads fail as a test demands."""

    def __init__(self) -> None:
        """Starts empty and without faults."""
        self.records: list[dict[str, typing.Any]] = []
        #: Records of appends with the fault `late`, not yet in the stream.
        self.delayed: list[dict[str, typing.Any]] = []
        #: Fault of the next append: `ok` for none; `twice` stores the record
        #: twice; `lost` stores it but answers unclear; `never` does not store
        #: it; `late` stores it in `apply_delayed`. These two answer unclear.
        #: `held` waits for `release_held`, then stores the record and answers.
        self.fault = 'ok'
        #: Whether the fault applies to marker records (without entries) instead
        #: of intents.
        self.is_fault_for_markers = False
        #: Newest records that the next read does not return.
        self.stale_count = 0
        #: Lets appends with the fault `held` go on while it is set.
        self.release_held = asyncio.Event()
        #: Appends are answered only while this is set.
        self.answer_gate = asyncio.Event()
        self.answer_gate.set()

    async def append(
        self,
        stream: str,
        record: dict[str, typing.Any],
        timeout_seconds: float,
    ) -> result.Result[int, log_client.LogFailure]:
        """Appends a record, with the present fault if it applies."""
        fault = 'ok'
        if self.is_fault_for_markers != bool(record['entries']):
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
        """Returns records from `start`, without the newest `stale_count`."""
        await asyncio.sleep(0)
        head = max(len(self.records) - self.stale_count, 0)
        self.stale_count = 0
        rows = [
            {'offset': offset, 'record': self.records[offset - 1]}
            for offset in range(start, head + 1)
        ]
        return result.Ok({'records': rows, 'head': head, 'oldest': 1})

    def apply_delayed(self) -> None:
        """Stores the records of delayed appends."""
        self.records.extend(self.delayed)
        self.delayed.clear()


class FakeFleet:
    """Two instances, of which one leads the slot at a time."""

    def __init__(self) -> None:
        """Starts with instance 0 as the leader."""
        self.log = FakeLog()
        self.leader = 0
        self.term = 1
        #: Digests of the requests that the target ran, in order.
        self.run_digests: list[str] = []
        #: Outcome of the next requests at the target.
        self.target_outcome: outcomes.Outcome = ANSWERED
        self.calls: set[asyncio.Task[outcomes.Outcome]] = set()
        self.instances = [self.new_process(number) for number in range(2)]

    def new_process(self, number: int) -> at_most_once.AtMostOnceExecutor:
        """Returns a new process of an instance, without any intents."""
        log = typing.cast(log_client.LogClient, self.log)
        return at_most_once.AtMostOnceExecutor(
            str(number), log, FakeTenures(self, number), 'single'
        )

    def take_over(self) -> None:
        """Makes the other instance the leader."""
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
        """Sends a request with an idempotency digest to an instance."""
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
        process: at_most_once.AtMostOnceExecutor,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs a request at the target.

        Returns a refusal if the sender no longer leads or was replaced.
        """
        if self.leader != number or self.instances[number] is not process:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if not isinstance(self.target_outcome, outcomes.NotRun):
            self.run_digests.append(request.idempotency_digest)
        await asyncio.sleep(0)
        return self.target_outcome


class FakeTenures:
    """Tenures of one instance of a `FakeFleet`."""

    def __init__(self, fleet: FakeFleet, number: int) -> None:
        """`number` is the instance whose tenures are returned."""
        self.fleet = fleet
        self.number = number

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the tenure of the slot, or None if the instance is not leader."""
        if self.fleet.leader != self.number:
            return None
        return intents.Tenure(1, self.fleet.term)

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the tenure of the one slot, if the instance leads it."""
        tenure = self.of_slot(service, SLOT)
        return {} if tenure is None else {SLOT: tenure}
