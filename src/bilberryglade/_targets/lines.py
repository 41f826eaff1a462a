"""Lines of HTTP/1.1 answers (RFC 9112), read strictly.

What is damaged is no answer: the library reads much of it as something else.
"""

import re
import typing

from aiosonic import exceptions

STATUS: typing.Final = re.compile(
    rb'HTTP/1\.[01] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n'
)
HEADER: typing.Final = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
)
#: Where the head of another answer begins.
OTHER_HEAD: typing.Final = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}')
ENDS: typing.Final = frozenset((b'\r\n', b'\n'))
#: A size of at most 8 bytes, and extensions that are left out.
CHUNK_SIZE: typing.Final = re.compile(rb'([0-9A-Fa-f]{1,16})[ \t]*(;.*)?\r?\n')


def whole(line: bytes) -> bytes:
    """Returns a line, or raises if the stream ended within or before it."""
    if not line.endswith(b'\n'):
        raise exceptions.ConnectionDisconnected
    return line


def status(line: bytes) -> bytes:
    """Returns the first line of an answer, or raises."""
    if not STATUS.fullmatch(line) or OTHER_HEAD.search(line, 1):
        raise exceptions.HttpParsingError('malformed status line')
    return line


def is_end(line: bytes) -> bool:
    """Tells whether a line ends a head; raises if it is no header either.

    A head that was cut runs into the next answer over its connection.
    """
    if line in ENDS:
        return True
    if not HEADER.fullmatch(line) or OTHER_HEAD.search(line):
        raise exceptions.HttpParsingError('malformed header line')
    return False


def chunk_size(line: bytes) -> bytes:
    """Returns the digits of the line before a chunk, or raises."""
    found = CHUNK_SIZE.fullmatch(line)
    if found is None:
        raise exceptions.HttpParsingError('malformed size of a chunk')
    return found.group(1)
