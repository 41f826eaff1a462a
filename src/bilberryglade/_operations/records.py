"""Operations on records: what became of one, and following them."""

import asyncio
import typing
from collections import abc

import result

from bilberryglade._log import follower
from bilberryglade._operations import operations
from bilberryglade._state import folding, state
from bilberryglade_schema import admin

WAIT_MS: typing.Final = 5000
READ_SECONDS: typing.Final = 6.0
RETRY_SECONDS: typing.Final = 0.5
SUBJECTS: typing.Final = (
    'instance',
    'target',
    'failure_domain',
    'key_id',
    'service',
    'by',
)

Events: typing.TypeAlias = abc.AsyncIterator[admin.Event]


@operations.operation_for(
    'record_show',
    'GET /records/{record_id}',
    admin.AskRecord,
    admin.RecordVerdict,
)
async def show_record(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Returns what the fold decided about a record, if it has folded it."""
    record_id = call.request['record_id']
    verdict = context.reader.view.verdicts.get(record_id)
    return result.Ok(_verdict_of(record_id, verdict))


@operations.operation_for(
    'events_follow',
    'GET /events',
    admin.FollowEvents,
    admin.Event,
)
async def follow_events(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Streams records as they are folded, one JSON document a line."""
    after = call.request.get('after', context.reader.view.offset)
    return result.Ok(_events(context, after))


def event_of(
    view: state.ClusterState,
    offset: int,
    record: folding.Record,
) -> admin.Event:
    """Returns what is told about a folded record."""
    record_id = str(record.get('id', ''))
    verdict = _verdict_of(record_id, view.verdicts.get(record_id))
    subjects = [str(record[name]) for name in SUBJECTS if name in record]
    return {
        'offset': offset,
        'kind': str(record.get('kind', '')),
        'record_id': record_id,
        'outcome': verdict['outcome'],
        'reason': verdict['reason'],
        'subject': subjects[0] if subjects else '',
    }


async def _events(context: operations.Context, after: int) -> Events:
    reached = after
    while True:
        answer = await context.log.read(
            follower.CONTROL_STREAM,
            reached + 1,
            WAIT_MS,
            READ_SECONDS,
        )
        if isinstance(answer, result.Err):
            await asyncio.sleep(RETRY_SECONDS)
            continue
        for stored in answer.ok_value['records']:
            await _folded(context.reader, stored['record'])
            reached = stored['offset']
            yield event_of(context.reader.view, reached, stored['record'])


async def _folded(
    reader: follower.Follower,
    record: folding.Record,
) -> None:
    await reader.wait_for_verdict(str(record.get('id', '')), READ_SECONDS)


def _verdict_of(
    record_id: str,
    verdict: state.Verdict | None,
) -> admin.RecordVerdict:
    if verdict is None:
        return {
            'outcome': 'absent',
            'record_id': record_id,
            'offset': 0,
            'reason': '',
            'winner': 0,
        }
    return {
        'outcome': 'accepted' if verdict.accepted else 'rejected',
        'record_id': record_id,
        'offset': verdict.offset,
        'reason': verdict.reason,
        'winner': verdict.winner,
    }
