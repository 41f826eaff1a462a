"""Names of headers between callers, instances and targets."""

import typing
from collections import abc

from bilberryglade._values import outcomes

#: Each attempt of a caller has its own.
REQUEST_ID: typing.Final = 'x-request-id'
#: Milliseconds that the sender will wait.
DEADLINE: typing.Final = 'x-request-deadline'
#: The caller's API key.
API_KEY: typing.Final = 'x-credential'
#: Name of the organisation that holds the API key.
ORGANISATION: typing.Final = 'x-tenant-id'
#: The key of a service that is divided by key: 0 to 65535.
ROUTING_KEY: typing.Final = 'x-shard-key'
#: The one target that may run the request.
EXPECTED_TARGET: typing.Final = 'x-target-instance'
#: The target that tells of itself.
ANSWERING_TARGET: typing.Final = 'x-instance-id'
#: A target's mark on its own answer.
SIGNATURE: typing.Final = 'x-response-signature'
#: A target did not run the request, and will not.
NOT_RUN: typing.Final = 'x-not-executed'
#: Running, waiting, places, and the relative time that work takes.
LOAD: typing.Final = 'x-server-load'
HANDOVER: typing.Final = 'x-handover'
#: On all answers of the store: how often it has come back from an older copy.
STORE_ERA: typing.Final = 'store-era'
RETRY_AFTER: typing.Final = 'retry-after'
#: A target that leaves says so in all its answers.
LEAVING: typing.Final = 'server-leaving'
CONTENT_ENCODING: typing.Final = 'content-encoding'


def find(headers: abc.Iterable[outcomes.Header], name: str) -> str:
    """Returns the text of the first header called `name`, or ''."""
    return next(
        (header.text for header in headers if header.name == name),
        '',
    )


def all_of(
    headers: abc.Iterable[outcomes.Header],
    name: str,
) -> tuple[str, ...]:
    """Returns the texts of all headers called `name`."""
    return tuple(header.text for header in headers if header.name == name)
