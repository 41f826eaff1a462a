"""Reads the request of an operation from path, query and body."""

import typing

import fastjsonschema
import result
from starlette import requests

from bilberryglade._codec import codec
from bilberryglade._operations import failures, operations
from bilberryglade_schema import admin, admin_checks

MAX_BODY_BYTES: typing.Final = 2_097_152
#: Digits of a number in a query: so many always fit into 64 bits.
MAX_DIGITS: typing.Final = 18

Decoded: typing.TypeAlias = result.Result[typing.Any, failures.Failure]


async def read_request(
    operation: operations.Operation,
    request: requests.Request,
) -> Decoded:
    """Returns the checked request of `operation`, or what is wrong with it."""
    body = await _body(request)
    if body is None:
        return result.Err(
            failures.Failure(
                failures.FailureKind.too_large,
                f'the body has more than {MAX_BODY_BYTES} bytes',
            ),
        )
    plain = _object(body)
    if isinstance(plain, result.Err):
        return plain
    fields = {
        **plain.ok_value,
        **_numbers(request.query_params),
        **request.path_params,
    }
    return check(operation, fields)


def check(
    operation: operations.Operation,
    fields: dict[str, typing.Any],
) -> Decoded:
    """Checks names, types, ranges and patterns of a request."""
    try:
        admin_checks.validate(  # type: ignore[no-untyped-call]
            {operation.request.__name__: fields},
        )
    except fastjsonschema.JsonSchemaValueException as error:
        path = '.'.join(str(part) for part in error.path[2:])
        _, _, problem = error.message.partition(' ')
        return result.Err(_invalid(path, problem))
    return result.Ok(fields)


def _invalid(path: str, problem: str) -> failures.Failure:
    entry: admin.ErrorEntry = {
        'path': path,
        'line': 0,
        'column': 0,
        'problem': problem,
        'allowed': 'see /v1/openapi.json',
    }
    detail = f'{path}: {problem}' if path else problem
    return failures.Failure(
        failures.FailureKind.invalid,
        detail,
        errors=(entry,),
    )


def _object(body: bytes) -> Decoded:
    if not body:
        return result.Ok({})
    return codec.decode_open_json(body).map_err(
        lambda error: _invalid('', error.detail),
    )


def _numbers(
    query: typing.Mapping[str, str],
) -> dict[str, str | int]:
    return {
        name: int(text) if _is_number(text) else text
        for name, text in query.items()
    }


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_DIGITS


async def _body(request: requests.Request) -> bytes | None:
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            return None
        parts.append(part)
    return b''.join(parts)
