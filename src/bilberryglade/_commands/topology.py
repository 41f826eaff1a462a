"""Commands on failure domains and targets."""

import typing

import cappa
import result

from bilberryglade._commands import commands, connections, options, output

DomainName: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(help='failure domain'),
]
TargetName: typing.TypeAlias = typing.Annotated[str, cappa.Arg(help='target')]


class Change(typing.NamedTuple):
    """A change of a failure domain or target, and its words when done."""

    operation: str
    request: dict[str, str]
    done: str
    idempotency_key: str


@commands.commands.register('failure-domain take-out')
async def take_out(  # noqa: WPS211
    name: DomainName,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    by: options.Author,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Takes a failure domain out: it gets no new work."""
    change = Change(
        'failure_domain_take_out',
        {'failure_domain': name, 'by': by},
        f'failure domain {name} is out',
        idempotency_key,
    )
    api = connections.connect(admin, token_file)
    return await _perform(api, change, as_json=as_json)


@commands.commands.register('failure-domain restore')
async def restore(  # noqa: WPS211
    name: DomainName,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    by: options.Author,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Takes a failure domain back into service."""
    change = Change(
        'failure_domain_restore',
        {'failure_domain': name, 'by': by},
        f'failure domain {name} is in service',
        idempotency_key,
    )
    api = connections.connect(admin, token_file)
    return await _perform(api, change, as_json=as_json)


@commands.commands.register('target drain')
async def drain(
    name: TargetName,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Drains a target: it gets no new work until it is undrained."""
    change = Change(
        'target_drain',
        {'target': name},
        f'target {name} drains',
        idempotency_key,
    )
    api = connections.connect(admin, token_file)
    return await _perform(api, change, as_json=as_json)


@commands.commands.register('target undrain')
async def undrain(
    name: TargetName,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Takes a drained target back into service."""
    change = Change(
        'target_undrain',
        {'target': name},
        f'target {name} is in service',
        idempotency_key,
    )
    api = connections.connect(admin, token_file)
    return await _perform(api, change, as_json=as_json)


async def _perform(
    api: connections.ApiConnection,
    change: Change,
    *,
    as_json: bool,
) -> int:
    answer = await api.call(
        change.operation,
        change.request,
        change.idempotency_key,
    )
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    return output.committed(answer.ok_value, change.done, as_json=as_json)
