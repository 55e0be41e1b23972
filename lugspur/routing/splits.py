"""Splits by weight: which pool gets a request, and which are next, by a key or by chance."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from math import log
from random import Random


def by_key(targets: Sequence[tuple[str, float]], key: bytes) -> list[str]:
    """The pools in the order in which this key goes to them; those of weight 0 are left out.

    Weighted rendezvous hashing (Thaler and Ravishankar 1998; the logarithm by Schindelhauer and Schomaker
    2005): each pool's score depends on its own weight alone, so a change of one weight moves only keys to or
    from that pool, whatever the order of the file and the number of pools. Weights are relative.
    """
    return _order(targets, [_chance(name, key) for name, _ in targets])


def by_chance(targets: Sequence[tuple[str, float]], rng: Random) -> list[str]:
    """The same with a key of its own for each request."""
    if len(targets) == 1:
        return [targets[0][0]] if targets[0][1] > 0.0 else []
    return _order(targets, [1.0 - rng.random() for _ in targets])


def _order(targets: Sequence[tuple[str, float]], chances: list[float]) -> list[str]:
    # -ln(chance) / weight is an exponential race: the first at the line wins in proportion to its weight.
    scored = [
        (-log(chance) / weight, name) for (name, weight), chance in zip(targets, chances, strict=True) if weight > 0.0
    ]
    return [name for _, name in sorted(scored)]


def _chance(name: str, key: bytes) -> float:
    """A number above 0 and up to 1, the same everywhere for a pool and a key."""
    hashed = blake2b(key, digest_size=8, key=name.encode()[:64]).digest()
    return (int.from_bytes(hashed, "big") + 1) / (1 << 64)
