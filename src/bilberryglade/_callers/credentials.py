"""API keys in requests: found, checked, and kept from targets."""

import hashlib
import typing

from bilberryglade._state import state
from bilberryglade._values import outcomes

KEY_HEADERS: typing.Final = frozenset(('authorization', 'x-api-key'))
BEARER: typing.Final = 'bearer '


def digest_of(secret: str) -> str:
    """Returns the digest under which an API key is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


def find_secret(headers: tuple[outcomes.Header, ...]) -> str:
    """Returns the API key in `headers`, or ''."""
    for header in headers:
        if header.name == 'x-api-key':
            return header.text
        if header.name != 'authorization':
            continue
        if header.text.lower().startswith(BEARER):
            return header.text[len(BEARER) :].strip()
    return ''


def find_key(view: state.ClusterState, secret: str) -> state.ApiKey | None:
    """Returns the API key with this secret unless it was withdrawn."""
    api_key = view.api_keys.get(digest_of(secret))
    if api_key is None or api_key.withdrawn:
        return None
    return api_key


def without_key(
    headers: tuple[outcomes.Header, ...],
    secret: str,
) -> tuple[outcomes.Header, ...]:
    """Returns the headers without the API key, wherever it stands."""
    return tuple(
        header
        for header in headers
        if header.name not in KEY_HEADERS and secret not in header.text
    )
