"""Reads the line and the framing of a request into one canonical form.

Rules are matched against the very path that a target gets. Two spellings of a
path that a target may take for the same have one form, or are refused.
"""

import re
import string
import typing
from urllib import parse as urls

import result

from bilberryglade._routing import matching
from bilberryglade._values import outcomes

UNRESERVED: typing.Final = frozenset(
    f'{string.ascii_letters}{string.digits}-._~'
)
CONTROL: typing.Final = re.compile('[\x00-\x1f\x7f]')
ESCAPE: typing.Final = re.compile('%([0-9A-Fa-f]{2})')
LOOSE_PERCENT: typing.Final = re.compile('%(?![0-9A-Fa-f]{2})')
HEXADECIMAL: typing.Final = 16
#: A backslash, an escaped one, or an escaped slash.
HIDDEN_SLASH: typing.Final = re.compile(r'\\|%2[fF]|%5[cC]')


def read_line(
    method: str,
    path: str,
    query: str,
    headers: tuple[outcomes.Header, ...],
) -> result.Result[matching.RequestLine, outcomes.Reason]:
    """Returns the request's line, its path in canonical form."""
    canonical = ESCAPE.sub(_plain_escape, path)
    if _is_ambiguous(canonical) or _has_control(query):
        return result.Err(outcomes.Reason.bad_request)
    if not _is_framed_once(headers) or _has_control_headers(headers):
        return result.Err(outcomes.Reason.bad_request)
    return result.Ok(matching.RequestLine(method, canonical, query, headers))


def is_key_safe(key: str) -> bool:
    """Tells whether a routing key may stand in a header."""
    return not CONTROL.search(key) and key.isascii()


def _plain_escape(escape: re.Match[str]) -> str:
    letter = chr(int(escape.group(1), base=HEXADECIMAL))
    return letter if letter in UNRESERVED else escape.group(0).upper()


def _is_ambiguous(path: str) -> bool:
    if not path.startswith('/') or not path.isascii():
        return True
    if LOOSE_PERCENT.search(path) or HIDDEN_SLASH.search(path):
        return True
    segments = path.split('/')
    if '.' in segments or '..' in segments or '' in segments[1:-1]:
        return True
    return _has_control(path)


def _has_control(escaped: str) -> bool:
    return bool(CONTROL.search(urls.unquote(escaped)))


def _has_control_headers(headers: tuple[outcomes.Header, ...]) -> bool:
    return any(
        CONTROL.search(header.text.replace('\t', ' ')) for header in headers
    )


def _is_framed_once(headers: tuple[outcomes.Header, ...]) -> bool:
    framing = [
        header.name
        for header in headers
        if header.name in {'content-length', 'transfer-encoding'}
    ]
    return len(framing) <= 1
