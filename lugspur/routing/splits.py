"""Weighted splits: the order in which pools are preferred for a request, by a key or at random."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from math import log
from random import Random


def order_by_key(targets: Sequence[tuple[str, float]], key: bytes) -> list[str]:
    """Return the pools in the order of preference for this key, without those of weight 0.

    Weighted rendezvous hashing (Thaler and Ravishankar 1998; the logarithm by Schindelhauer and Schomaker
    2005): each pool's score depends on its own weight alone, so a change of one weight moves only keys to or
    from that pool, whatever the order of the file and the number of pools. Weights are relative.
    """
    return _order(targets, [_hash_fraction(name, key) for name, _ in targets])


def order_at_random(targets: Sequence[tuple[str, float]], rng: Random) -> list[str]:
    """Return the pools in a random order by weight, as if each request had a key of its own."""
    if len(targets) == 1:
        return [targets[0][0]] if targets[0][1] > 0.0 else []
    return _order(targets, [1.0 - rng.random() for _ in targets])


def _order(targets: Sequence[tuple[str, float]], fractions: list[float]) -> list[str]:
    # -ln(fraction) / weight is exponentially distributed: each pool has the least one in proportion to its weight.
    scored = [
        (-log(fraction) / weight, name)
        for (name, weight), fraction in zip(targets, fractions, strict=True)
        if weight > 0.0
    ]
    return [name for _, name in sorted(scored)]


def _hash_fraction(name: str, key: bytes) -> float:
    """Return a number above 0 and up to 1, the same in every process for a pool and a key."""
    hashed = blake2b(key, digest_size=8, key=name.encode()[:64]).digest()
    return (int.from_bytes(hashed, "big") + 1) / (1 << 64)
