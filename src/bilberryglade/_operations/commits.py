"""Appends the record of an operation and words its verdict."""

import typing

import result

from bilberryglade._log import log_client
from bilberryglade._operations import failures, operations
from bilberryglade._state import folding, state
from bilberryglade_schema import admin

COMMIT_SECONDS: typing.Final = 5.0

Committed: typing.TypeAlias = result.Result[admin.Committed, failures.Failure]


async def commit(
    context: operations.Context,
    record: folding.Record,
) -> Committed:
    """Appends `record` unless it was folded before; returns what became of it.

    The answer is given only once the fold has decided.
    """
    known = context.reader.view.verdicts.get(record['id'])
    if known is not None:
        return outcome_of(record['id'], known)
    verdict = await context.writer.commit(record, COMMIT_SECONDS)
    if isinstance(verdict, result.Err):
        return result.Err(_undecided(record['id'], verdict.err_value))
    return outcome_of(record['id'], verdict.ok_value)


def outcome_of(record_id: str, verdict: state.Verdict) -> Committed:
    """Returns the answer or failure that `verdict` amounts to."""
    if verdict.accepted:
        return result.Ok(
            {
                'outcome': 'accepted',
                'record_id': record_id,
                'offset': verdict.offset,
            },
        )
    return result.Err(
        failures.Failure(
            failures.FailureKind.rejected,
            verdict.reason,
            record_id=record_id,
            winner=verdict.winner,
        ),
    )


def _undecided(
    record_id: str,
    failure: log_client.LogFailure,
) -> failures.Failure:
    if failure is log_client.LogFailure.too_large:
        return failures.Failure(
            failures.FailureKind.too_large,
            'the log does not take a record of this size',
            record_id=record_id,
        )
    return failures.Failure(
        failures.FailureKind.unclear,
        'the log gave no clear answer; the change may still take effect',
        record_id=record_id,
    )
