"""Rendezvous hashing: who takes a duty, without anybody being asked."""

import functools

import xxhash

#: Enough for every instance with every target of a large fleet.
KEPT_SCORES = 65_536


@functools.lru_cache(maxsize=KEPT_SCORES)
def score(name: str, duty: str) -> int:
    """Returns the weight of `name` for `duty`; the highest takes it."""
    return int(xxhash.xxh64_intdigest(f'{name}/{duty}'.encode()))
