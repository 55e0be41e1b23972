"""Whether a pool could serve: what decides between a pool and the one that takes over for it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

DEAD_FOR = 1.0  # seconds for which a backend that could not be connected to counts as unusable


class Standing:
    """What is known of one pool's backends: which are in service, and which could not be reached of late.

    Only what proves that nothing ran counts against a backend here: a pool that is slow, full or wrong is not
    a pool without backends, and its load on a fallback would take that down as well.
    """

    __slots__ = ("_failed", "_up")

    def __init__(self) -> None:
        self._up: frozenset[int] = frozenset()
        self._failed: dict[int, float] = {}

    def listed(self, up: Iterable[int]) -> None:
        """The backends that are in service now."""
        self._up = frozenset(up)
        self._failed = {server: at for server, at in self._failed.items() if server in self._up}

    def reached(self, server: int) -> None:
        """An attempt got through to it."""
        self._failed.pop(server, None)

    def unreachable(self, now: float, server: int) -> None:
        """No connection to it came up."""
        if server in self._up:
            self._failed[server] = now

    def empty(self) -> bool:
        """Whether no backend is in service."""
        return not self._up

    def usable(self, now: float) -> bool:
        """Whether a backend is in service that was not found dead in the last second."""
        if len(self._failed) < len(self._up):
            return True
        return any(now - at >= DEAD_FOR for at in self._failed.values())


def candidates(
    splits: Sequence[str], fallback: Sequence[str], standings: Mapping[str, Standing], now: float
) -> list[str]:
    """The pools to try, in order: usable ones first, then those that have backends at all.

    `splits` are in the order of the key or the draw. Empty: nobody could take it.
    """
    if len(splits) == 1 and not fallback:  # most routes
        return [] if standings[splits[0]].empty() else list(splits)
    order = list(dict.fromkeys((*splits, *fallback)))
    usable = [name for name in order if name in standings and standings[name].usable(now)]
    # Better a try at what may be back by now than a refusal; the first of them is enough.
    dead = [name for name in order if name in standings and name not in usable]
    return usable or [name for name in dead if not standings[name].empty()][:1]
