"""The request policy: which class applies to a request while the settings change. No I/O.

Callers switch to the new settings at some unknown moment after the signal. Until all have surely switched, the class
that fits a request's method applies to it; if both the former and the new class fit, only what both allow is allowed.
"""

from __future__ import annotations

from copy import copy
from dataclasses import replace

from lugspur.load_balancing.model import DeduplicationScope, RequestClass, Settings

# After the signal, for callers to change over: 1.2 s by the operators' page, the rest for a late event loop.
CHANGEOVER_SECONDS = 1.5
# A request of a former class may take this long to arrive: 2 s for its head, the rest for its body.
LATE_REQUEST_SECONDS = 4.0
SCOPES_NARROWEST_FIRST = (DeduplicationScope.CELL, DeduplicationScope.ZONE, DeduplicationScope.ALL)


def intersect_classes(former: RequestClass, new: RequestClass) -> RequestClass:
    """Return a class that allows only what both allow; their retry safety must be the same."""
    scope = min(former.deduplication_scope, new.deduplication_scope, key=SCOPES_NARROWEST_FIRST.index)
    return replace(
        new,
        deduplication_scope=scope,
        deduplication_window=min(former.deduplication_window, new.deduplication_window),
        deadline=max(former.deadline, new.deadline),
    )


class RequestPolicy:
    """The settings in force and, during a change-over, the former ones."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._max_attempts = settings.limits.max_attempts  # the lower of both limits during a change-over
        self._former: dict[str, RequestClass] = {}
        self._changeover_ends_at = float("-inf")  # requests that began earlier may name a former class
        self._current: dict[str, list[tuple[int, RequestClass]]] = {}
        self._during_changeover = self._current
        self.record_indexes(settings)

    def copy(self) -> RequestPolicy:
        """Return a copy, so that a change that fails leaves this one as it is."""
        return copy(self)

    def change_settings(self, settings: Settings, now: float) -> Settings:
        """Put other settings into force; return those for the balancer, with the classes for the change-over."""
        former_classes = {row.name: row for row in self._settings.classes}
        older_classes = self._former if now < self._changeover_ends_at else {}
        is_unchanged = self._settings == settings
        former_max_attempts = (
            self._max_attempts if now < self._changeover_ends_at else self._settings.limits.max_attempts
        )
        self._max_attempts = max_attempts = min(former_max_attempts, settings.limits.max_attempts)
        self._former = older_classes if is_unchanged else older_classes | former_classes
        self._changeover_ends_at = self._changeover_ends_at if is_unchanged else now + CHANGEOVER_SECONDS
        self._settings = settings
        rows = list(settings.classes)
        if self._former:
            for found in self._candidates(True).values():
                rows += [row for row in found if row not in rows]
        return replace(settings, classes=tuple(rows), limits=replace(settings.limits, max_attempts=max_attempts))

    def end_changeover(self, now: float) -> Settings | None:
        """Return the settings without the former classes; None while requests of those may still arrive."""
        if now < self._changeover_ends_at + LATE_REQUEST_SECONDS:
            return None
        self._former = {}
        return self._settings

    def record_indexes(self, settings: Settings) -> None:
        """Record the indexes at which the balancer has these classes."""
        known = {row: at for at, row in enumerate(settings.classes)}
        self._current, self._during_changeover = (
            {
                name: [(known[row], row) for row in rows if row in known]
                for name, rows in self._candidates(change).items()
            }
            for change in (False, True)
        )

    def _candidates(self, changing: bool) -> dict[str, list[RequestClass]]:
        found = {row.name: [row] for row in self._settings.classes}
        if changing:
            for name, former in self._former.items():
                new = found.get(name)
                if new is None:
                    found[name] = [former]
                elif new[0].retry_safety is former.retry_safety:
                    found[name] = [intersect_classes(former, new[0])]
                else:
                    found[name] = [new[0], former]
        return found

    def classes_for(self, name: str, began: float) -> list[tuple[int, RequestClass]]:
        """Return the classes of this name, with their indexes, that may apply to a request that began then."""
        return (self._during_changeover if began < self._changeover_ends_at else self._current).get(name, [])
