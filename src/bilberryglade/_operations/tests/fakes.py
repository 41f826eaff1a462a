"""A log in memory, and the context of operations over it."""

import asyncio
import typing

import result

from bilberryglade._instance import samples
from bilberryglade._log import follower, log_client, recorder
from bilberryglade._operations import operations
from bilberryglade._state import folding, rule_folds, topology_folds
from bilberryglade_schema import platform, settings

REGISTERED: typing.Final = (rule_folds, topology_folds)
RULES: typing.Final = (
    'service ledger path /ledger key path 2 # asked for by operations\n'
    'allow minders to ledger rate 5/s burst 5 # asked for by accounts\n'
)


class FakeLog:
    """Keeps records in memory; can be down or lose an answer."""

    def __init__(self) -> None:
        """Starts empty and reachable."""
        self.records: list[folding.Record] = []
        self.is_down = False
        self.lose_answers = 0
        self.changed = asyncio.Event()

    async def append(
        self,
        stream: str,
        record: folding.Record,
        timeout_seconds: float,
    ) -> result.Result[int, log_client.LogFailure]:
        """Appends unless the log is down."""
        if self.is_down:
            return result.Err(log_client.LogFailure.unclear)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        if self.lose_answers:
            self.lose_answers -= 1
            return result.Err(log_client.LogFailure.unclear)
        return result.Ok(len(self.records))

    async def read(
        self,
        stream: str,
        start: int,
        wait_ms: int,
        timeout_seconds: float,
    ) -> result.Result[platform.ReadAnswer, log_client.LogFailure]:
        """Reads from `start`, waiting for news as the log does."""
        if len(self.records) < start and wait_ms:
            await self._wait(wait_ms / 1000)
        if self.is_down:
            return result.Err(log_client.LogFailure.unclear)
        rows: list[platform.StoredRecord] = [
            {'offset': offset, 'record': record}
            for offset, record in enumerate(self.records, 1)
            if offset >= start
        ]
        return result.Ok(
            {'records': rows, 'head': len(self.records), 'oldest': 1},
        )

    async def _wait(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self.changed.wait(), seconds)
        except TimeoutError:
            return


class FakeHeartbeats:
    """No peer was heard."""

    def __init__(self) -> None:
        """Starts without signs."""
        self.signs: dict[str, typing.Any] = {}


def context_over(
    log: FakeLog,
    token_digest: str = '',
) -> operations.Context:
    """Returns the context of an instance that follows `log`."""
    client = typing.cast(log_client.LogClient, log)
    reader = follower.Follower(client, 50)
    config: settings.InstanceSettings = {
        **samples.SETTINGS,
        'admin': {'token_digest': token_digest},
    }
    return operations.Context(
        config=config,
        reader=reader,
        writer=recorder.Recorder(client, reader),
        log=client,
        heartbeats=typing.cast(typing.Any, FakeHeartbeats()),
        is_ready=lambda: True,
        log_case=lambda: 'fresh',
    )


async def perform(
    context: operations.Context,
    name: str,
    record_id: str = '',
    /,
    **request: typing.Any,
) -> operations.Outcome:
    """Performs an operation as both front ends do."""
    call = operations.Call(request, record_id or recorder.new_record_id())
    return await operations.operations.entries[name].function(context, call)
