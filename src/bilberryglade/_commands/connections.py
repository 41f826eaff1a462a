"""The command line's connection to the administration API."""

import os
import typing
import uuid
from collections import abc

import aiosonic
import result
from aiosonic import exceptions, timeout

from bilberryglade._admin import (
    application,
    decoding,
    description,
    problems,
)
from bilberryglade._codec import codec
from bilberryglade._operations import operations
from bilberryglade._targets import sender
from bilberryglade_schema import admin

ADDRESS_VARIABLE: typing.Final = 'BILBERRYGLADE_ADMIN'
TOKEN_VARIABLE: typing.Final = 'BILBERRYGLADE_TOKEN'
TOKEN_FILE_VARIABLE: typing.Final = 'BILBERRYGLADE_TOKEN_FILE'
CONNECT_SECONDS: typing.Final = 2.0
#: Longer than an instance waits for the log.
REQUEST_SECONDS: typing.Final = 15.0
OK_STATUS: typing.Final = 200


class Unreachable(typing.NamedTuple):
    """No instance answered; nothing was changed."""

    detail: str


class NoAnswer(typing.NamedTuple):
    """The operation was sent and no whole answer came back."""

    detail: str
    #: The same key and request cannot take effect twice.
    idempotency_key: str


CallFailure: typing.TypeAlias = admin.Problem | Unreachable | NoAnswer


class ApiConnection:
    """Calls the operations of one instance."""

    def __init__(self, address: str, token: str) -> None:
        """Calls the instance whose admin listener is at `address`."""
        self.address = address
        self.token = token

    async def call(
        self,
        name: str,
        request: abc.Mapping[str, typing.Any],
        idempotency_key: str = '',
    ) -> result.Result[typing.Any, CallFailure]:
        """Calls the operation `name`; returns its answer or what went wrong."""
        operation = operations.operations.entries[name]
        checked = decoding.check(operation, dict(request))
        if isinstance(checked, result.Err):
            return result.Err(problems.document(checked.err_value))
        key = idempotency_key or uuid.uuid4().hex
        async with aiosonic.HTTPClient() as http:
            try:
                response = await self._send(http, operation, request, key)
                raw = await response.content()
            except (
                exceptions.ConnectTimeout,
                ConnectionRefusedError,
            ) as refused:
                return result.Err(Unreachable(_words(refused)))
            except sender.BROKEN_EXCHANGE as lost:
                return result.Err(_lost(operation, _words(lost), key))
        return _decoded(operation, response.status_code, raw, key)

    async def follow(
        self,
        request: abc.Mapping[str, typing.Any],
    ) -> abc.AsyncIterator[result.Result[str, CallFailure]]:
        """Yields the lines of the event stream until it ends."""
        operation = operations.operations.entries['events_follow']
        async with aiosonic.HTTPClient() as http:
            try:
                response = await self._send(http, operation, request, '')
                if response.status_code != OK_STATUS:
                    yield _decoded(
                        operation,
                        response.status_code,
                        await response.content(),
                        '',
                    )
                    return
                async for line in response.iter_lines():
                    yield result.Ok(line)
            except sender.BROKEN_EXCHANGE as error:
                yield result.Err(Unreachable(_words(error)))

    async def _send(
        self,
        http: aiosonic.HTTPClient,
        operation: operations.Operation,
        request: abc.Mapping[str, typing.Any],
        key: str,
    ) -> aiosonic.HttpResponse:
        path = operation.path.format_map(request)
        left = {
            name: field
            for name, field in request.items()
            if f'{{{name}}}' not in operation.path
        }
        is_read = operation.method == 'GET'
        return await http.request(
            f'http://{self.address}{description.PREFIX}{path}',
            operation.method,
            headers={
                'authorization': f'Bearer {self.token}',
                application.IDEMPOTENCY_HEADER: key,
            },
            params=left if is_read and left else None,
            data=None if is_read else codec.encode_json(left),
            timeouts=timeout.Timeouts(
                sock_connect=CONNECT_SECONDS,
                sock_read=REQUEST_SECONDS,
                request_timeout=None,
            ),
        )


def connect(address: str, token: str) -> ApiConnection:
    """Returns a connection; without a token the environment's is taken."""
    chosen = token or os.environ.get(TOKEN_VARIABLE, '')
    return ApiConnection(address, chosen)


def _decoded(
    operation: operations.Operation,
    status: int,
    raw: bytes,
    key: str,
) -> result.Result[typing.Any, CallFailure]:
    kind = operation.answer if status == OK_STATUS else admin.Problem
    decoded: result.Result[typing.Any, codec.DecodeError]
    decoded = codec.decode_json(raw, kind)
    if isinstance(decoded, result.Err):
        return result.Err(_lost(operation, decoded.err_value.detail, key))
    if status == OK_STATUS:
        return result.Ok(decoded.ok_value)
    return result.Err(decoded.ok_value)


def _lost(
    operation: operations.Operation,
    detail: str,
    key: str,
) -> Unreachable | NoAnswer:
    """Tells a lost answer; an operation that changes nothing was not done."""
    return NoAnswer(detail, key) if operation.changes else Unreachable(detail)


def _words(error: Exception) -> str:
    return str(error) or type(error).__name__
