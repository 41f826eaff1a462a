"""Operations on API keys: issue, list, withdraw."""

import hashlib
import secrets
import typing

import result

from bilberryglade._operations import commits, failures, operations
from bilberryglade._state import state
from bilberryglade_schema import admin

SECRET_BYTES: typing.Final = 32
KEY_ID_DIGITS: typing.Final = 12


@operations.operation_for(
    'keys_issue',
    'POST /keys',
    admin.IssueKey,
    admin.KeyIssue,
    changes=True,
)
async def issue_key(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Issues an API key; its secret is in this answer and nowhere else."""
    organisation = call.request['organisation']
    digits = call.record_id[:KEY_ID_DIGITS]
    key_id = call.request.get('key_id', f'key-{digits}')
    secret = secrets.token_urlsafe(SECRET_BYTES)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    committed = await commits.commit(
        context,
        {
            'id': call.record_id,
            'kind': 'key_issued',
            'organisation': organisation,
            'key_id': key_id,
            'digest': digest,
        },
    )
    if isinstance(committed, result.Err):
        return committed
    if digest not in context.reader.view.api_keys:
        return result.Err(_issued_before(call.record_id, key_id))
    answer: admin.KeyIssue = {
        **committed.ok_value,
        'organisation': organisation,
        'key_id': key_id,
        'secret': secret,
    }
    return result.Ok(answer)


@operations.operation_for(
    'keys_list',
    'GET /keys',
    admin.NoParameters,
    admin.KeyList,
)
async def list_keys(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Lists all API keys without their secrets."""
    keys = sorted(
        context.reader.view.api_keys.values(),
        key=lambda key: (key.organisation, key.key_id),
    )
    return result.Ok({'keys': [_row(key) for key in keys]})


@operations.operation_for(
    'keys_withdraw',
    'POST /keys/{key_id}/withdraw',
    admin.WithdrawKey,
    admin.Committed,
    changes=True,
)
async def withdraw_key(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Withdraws an API key for good."""
    key_id = call.request['key_id']
    known = [key.key_id for key in context.reader.view.api_keys.values()]
    if key_id not in known:
        return result.Err(failures.not_found('API key', key_id, known))
    return await commits.commit(
        context,
        {'id': call.record_id, 'kind': 'key_withdrawn', 'key_id': key_id},
    )


def _issued_before(record_id: str, key_id: str) -> failures.Failure:
    return failures.Failure(
        failures.FailureKind.rejected,
        f'{key_id} was issued by an earlier call, which had its secret; '
        'withdraw it and issue another',
        record_id=record_id,
    )


def _row(key: state.ApiKey) -> admin.KeyRow:
    return {
        'key_id': key.key_id,
        'organisation': key.organisation,
        'withdrawn': key.withdrawn,
    }
