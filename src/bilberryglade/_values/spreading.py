"""Rendezvous hashing: who takes a duty, without anybody being asked."""

import functools

import xxhash


@functools.lru_cache(maxsize=65_536)
def score(name: str, duty: str) -> int:
    """Returns the weight of `name` for `duty`; the highest takes it."""
    return int(xxhash.xxh64_intdigest(f'{name}/{duty}'.encode()))
