"""Answers of targets: whole and framed, or not taken as answers."""

import contextlib
import re
import typing

import aiosonic

from bilberryglade._values import outcomes

NO_BODY_STATUSES: typing.Final = frozenset((204, 304))
FINAL_STATUS: typing.Final = 200
#: What a length consists of; `int` takes signs, underscores and more.
LENGTH: typing.Final = re.compile('[0-9]+')
#: The transfer codings, in lower case, of an answer in chunks.
CHUNKED: typing.Final = ('chunked',)
RUN_STATE: typing.Final = outcomes.Header('run-state', 'not-started')
HOP_HEADERS: typing.Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'host',
        'date',
        'server',
        'proxy-connection',
        'proxy-authorization',
    ),
)


#: Headers of an answer: names in lower case with their texts, in order.
RawHeaders: typing.TypeAlias = list[tuple[str, str]]


def is_framed(method: str, status: int, headers: RawHeaders) -> bool:
    """Tells whether the end of a final answer can be told from a cut.

    An answer that ends when its connection closes looks whole wherever the
    target died, and an interim answer (1xx) is not the request's own. No
    coding but chunks is undone, and chunks with a length are contradictory.
    """
    if status < FINAL_STATUS:
        return False
    if method == 'HEAD' or status in NO_BODY_STATUSES:
        return True
    codings = tuple(map(str.lower, texts_of(headers, 'transfer-encoding')))
    lengths = set(texts_of(headers, 'content-length'))
    if codings:
        return codings == CHUNKED and not lengths
    return len(lengths) == 1 and bool(LENGTH.fullmatch(lengths.pop()))


async def read_body(
    response: aiosonic.HttpResponse,
    most_bytes: int,
) -> bytes | None:
    """Returns the body as sent, or None if it is longer than `most_bytes`."""
    if not response._has_pending_body():  # noqa: WPS437
        return b''
    parts: list[bytes] = []
    size = 0
    async with contextlib.aclosing(response.read_chunks()) as chunks:
        async for chunk in chunks:
            size += len(chunk)
            if size > most_bytes:
                return None
            parts.append(chunk)
    return b''.join(parts)


def headers_of(headers: RawHeaders) -> tuple[outcomes.Header, ...]:
    """Returns every header that is not of the connection, copies included."""
    return tuple(
        outcomes.Header(name, text)
        for name, text in headers
        if name not in HOP_HEADERS
    )


def says_not_started(headers: tuple[outcomes.Header, ...]) -> bool:
    """Tells whether the target refused before it started."""
    return RUN_STATE in headers


def texts_of(headers: RawHeaders, wanted: str) -> list[str]:
    """Returns the texts of a header's copies, in order."""
    return [text for name, text in headers if name == wanted]


def raw_headers(response: aiosonic.HttpResponse) -> RawHeaders:
    """Returns the headers of an answer.

    A character stands for a byte, as in all headers here; the library reads
    UTF-8.
    """
    return [
        (_as_bytes(name).lower(), _as_bytes(text))
        for name, text in response.raw_headers
    ]


def _as_bytes(text: str) -> str:
    return text if text.isascii() else text.encode().decode('latin-1')
