"""Commands `keys issue`, `keys list` and `keys withdraw`."""

import typing

import cappa
import result

from bilberryglade._commands import (
    commands,
    connections,
    options,
    output,
    statuses,
)

Organisation: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(help='organisation that the key is for'),
]
NewKeyId: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(long='--key-id', default='', help='name of the key'),
]
KeyId: typing.TypeAlias = typing.Annotated[str, cappa.Arg(help='key id')]


@commands.commands.register('keys issue')
async def issue(  # noqa: WPS211
    organisation: Organisation,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    key_id: NewKeyId,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Issues an API key; its secret is printed once and kept nowhere."""
    request = {'organisation': organisation}
    if key_id:
        request['key_id'] = key_id
    api = connections.connect(admin, token_file)
    answer = await api.call('keys_issue', request, idempotency_key)
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    issued = answer.ok_value
    if as_json:
        output.write_json(issued)
        return statuses.ExitStatus.done
    output.write_line(f'key {issued["key_id"]} of {organisation}')
    output.write_line(f'secret, shown once: {issued["secret"]}')
    return statuses.ExitStatus.done


@commands.commands.register('keys list')
async def list_keys(
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
) -> int:
    """Lists all API keys without their secrets."""
    api = connections.connect(admin, token_file)
    answer = await api.call('keys_list', {})
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    if as_json:
        output.write_json(answer.ok_value)
    else:
        output.write_table('API keys', answer.ok_value['keys'])
    return statuses.ExitStatus.done


@commands.commands.register('keys withdraw')
async def withdraw(
    key_id: KeyId,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Withdraws an API key for good."""
    api = connections.connect(admin, token_file)
    answer = await api.call(
        'keys_withdraw',
        {'key_id': key_id},
        idempotency_key,
    )
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    return output.committed(
        answer.ok_value,
        f'key {key_id} is withdrawn',
        as_json=as_json,
    )
