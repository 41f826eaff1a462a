"""Lines of HTTP/1.1 answers (RFC 9112), read strictly.

What is damaged is no answer: the library reads much of it as something else.
"""

import re
import typing

from aiosonic import exceptions

#: A size of at most 8 bytes, and extensions that are left out.
CHUNK_SIZE: typing.Final = re.compile(rb'([0-9A-Fa-f]{1,16})[ \t]*(;.*)?\r?\n')


def whole(line: bytes) -> bytes:
    """Returns a line, or raises if the stream ended within or before it."""
    if not line.endswith(b'\n'):
        raise exceptions.ConnectionDisconnected
    return line


def chunk_size(line: bytes) -> bytes:
    """Returns the digits of the line before a chunk, or raises."""
    found = CHUNK_SIZE.fullmatch(line)
    if found is None:
        raise exceptions.HttpParsingError('malformed size of a chunk')
    return found.group(1)
