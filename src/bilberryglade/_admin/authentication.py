"""Bearer tokens of operators; settings hold only the digest."""

import hashlib
import hmac
import typing

SCHEME: typing.Final = 'bearer '


def is_authorized(authorization: str, token_digest: str) -> bool:
    """Tells whether an `Authorization` header carries the token.

    The digests are compared in constant time.
    """
    if not authorization.lower().startswith(SCHEME):
        return False
    token = authorization[len(SCHEME) :].strip()
    digest = hashlib.sha256(token.encode()).hexdigest()
    return hmac.compare_digest(digest, token_digest)
