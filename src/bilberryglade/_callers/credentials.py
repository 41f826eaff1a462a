"""API keys in requests: found, checked, and kept from targets."""

import base64
import binascii
import hashlib
import typing
from urllib import parse as urls

import result

from bilberryglade._state import state
from bilberryglade._values import outcomes

KEY_HEADERS: typing.Final = frozenset(('authorization', 'x-api-key'))
#: Headers that no target sees, whatever they carry.
PRIVATE_HEADERS: typing.Final = KEY_HEADERS | {'proxy-authorization'}
KEY_PARAMETERS: typing.Final = frozenset(
    ('access-token', 'api-key', 'apikey', 'authorization', 'x-api-key'),
)
BEARER: typing.Final = 'bearer '


def plain_name(name: str) -> str:
    """Returns a name as servers that ignore case and underscores read it."""
    return name.strip().lower().replace('_', '-')


def digest_of(secret: str) -> str:
    """Returns the digest under which an API key is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


def find_secret(
    headers: tuple[outcomes.Header, ...],
) -> result.Result[str, outcomes.Reason]:
    """Returns the one API key in `headers`, or why there is none."""
    secrets = {secret for secret in map(_secret_in, headers) if secret}
    if len(secrets) > 1:
        return result.Err(outcomes.Reason.bad_request)
    if not secrets:
        return result.Err(outcomes.Reason.no_credentials)
    return result.Ok(secrets.pop())


def find_key(view: state.ClusterState, secret: str) -> state.ApiKey | None:
    """Returns the API key with this secret unless it was withdrawn.

    Keys are found by digest: the time it takes tells nothing of a secret.
    """
    api_key = view.api_keys.get(digest_of(secret))
    if api_key is None or api_key.withdrawn:
        return None
    return api_key


def is_valid(view: state.ClusterState, api_key: state.ApiKey) -> bool:
    """Tells whether a key that was valid before is valid still."""
    known = view.api_keys.get(api_key.digest)
    return known is not None and not known.withdrawn


def is_in_line(
    view: state.ClusterState,
    secret: str,
    path: str,
    query: str,
) -> bool:
    """Tells whether the path or the query string carries an API key."""
    if secret and secret in urls.unquote_plus(f'{path}?{query}'):
        return True
    for name, text in urls.parse_qsl(query, keep_blank_values=True):
        if plain_name(name) in KEY_PARAMETERS:
            return True
        if digest_of(text) in view.api_keys:
            return True
    segments = urls.unquote(path).split('/')
    return any(digest_of(segment) in view.api_keys for segment in segments)


def without_key(
    headers: tuple[outcomes.Header, ...],
    secret: str,
) -> tuple[outcomes.Header, ...]:
    """Returns the headers without the API key, wherever it stands."""
    return tuple(
        header
        for header in headers
        if plain_name(header.name) not in PRIVATE_HEADERS
        and not _carries(header, secret)
    )


def _secret_in(header: outcomes.Header) -> str:
    name = plain_name(header.name)
    if name == 'x-api-key':
        return header.text.strip()
    if name != 'authorization':
        return ''
    if header.text.lower().startswith(BEARER):
        return header.text[len(BEARER) :].strip()
    return ''


def _carries(header: outcomes.Header, secret: str) -> bool:
    wanted = secret.lower()
    spellings = (
        header.name,
        header.text,
        urls.unquote_plus(header.text),
        *map(_decoded, header.text.split()),
    )
    return any(wanted in spelling.lower() for spelling in spellings)


def _decoded(word: str) -> str:
    """Returns what a word of Base64 stands for, or ''."""
    padded = f'{word}{"=" * (-len(word) % 4)}'
    try:
        return base64.b64decode(padded, altchars=b'-_').decode('latin-1')
    except (binascii.Error, ValueError):
        return ''
