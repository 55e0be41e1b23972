"""Health of whole pools, which decides between a pool and its fallback."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

UNREACHABLE_SECONDS = 1.0  # seconds for which a backend counts as unusable after a failed connection attempt


class PoolHealth:
    """The backends of one pool that are in service, and those of them that recently could not be reached.

    Only failed connections, after which nothing can have run, count against a backend here: a pool that is slow,
    full or returns errors still has backends, and its load would take down the fallback as well.
    """

    __slots__ = ("_failed_at", "_in_service")

    def __init__(self) -> None:
        self._in_service: frozenset[int] = frozenset()
        self._failed_at: dict[int, float] = {}  # times of the latest failed connection attempts

    def set_backends(self, up: Iterable[int]) -> None:
        """Set the backends that are in service now."""
        self._in_service = frozenset(up)
        self._failed_at = {server: at for server, at in self._failed_at.items() if server in self._in_service}

    def mark_reachable(self, server: int) -> None:
        """Record that an attempt reached the backend."""
        self._failed_at.pop(server, None)

    def mark_unreachable(self, now: float, server: int) -> None:
        """Record that no connection to the backend could be established."""
        if server in self._in_service:
            self._failed_at[server] = now

    def is_empty(self) -> bool:
        """Return whether no backend is in service."""
        return not self._in_service

    def is_usable(self, now: float) -> bool:
        """Return whether a backend is in service that was not unreachable in the last second."""
        if len(self._failed_at) < len(self._in_service):
            return True
        return any(now - at >= UNREACHABLE_SECONDS for at in self._failed_at.values())


def pools_to_attempt(
    splits: Sequence[str], fallback: Sequence[str], pool_health: Mapping[str, PoolHealth], now: float
) -> list[str]:
    """Return the pools to attempt, in order: the usable ones, or else the first that has backends in service.

    `splits` are in order of preference for the request. The result is empty if no pool has a backend in service.
    """
    if len(splits) == 1 and not fallback:  # the common case
        return [] if pool_health[splits[0]].is_empty() else list(splits)
    order = list(dict.fromkeys((*splits, *fallback)))
    usable = [name for name in order if name in pool_health and pool_health[name].is_usable(now)]
    # An attempt at a pool that may have recovered is better than a rejection; the first such pool is enough.
    unusable = [name for name in order if name in pool_health and name not in usable]
    return usable or [name for name in unusable if not pool_health[name].is_empty()][:1]
