"""By which class a request is judged while settings change under it. Decided here, without I/O.

Callers change over at some moment after the signal, which nobody tells. Until it has surely passed, a request is judged
by the class that its method fits, and where the former and the new one both do, by what both allow.
"""

from __future__ import annotations

from copy import copy
from dataclasses import replace

from lugspur.load_balancing.model import DeduplicationScope, RequestClass, Settings

CHANGE_WITHIN = 1.5  # seconds after the signal in which callers change over: 1.2 by the page, and a late loop
STILL_COMING = 4.0  # seconds that a request may be on its way that began before: a head of 2 s, and a body
NARROW = (DeduplicationScope.CELL, DeduplicationScope.ZONE, DeduplicationScope.ALL)


def between(former: RequestClass, new: RequestClass) -> RequestClass:
    """What both classes allow; both may be repeated in the same way."""
    group = min(former.deduplication_scope, new.deduplication_scope, key=NARROW.index)
    return replace(
        new,
        deduplication_scope=group,
        deduplication_window=min(former.deduplication_window, new.deduplication_window),
        deadline=max(former.deadline, new.deadline),
    )


class Terms:
    """The settings in force, and for a moment the former ones."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._most = settings.limits.max_attempts  # while callers change over
        self._former: dict[str, RequestClass] = {}
        self._until = float("-inf")  # requests that began before then may name a former class
        self._now: dict[str, list[tuple[int, RequestClass]]] = {}
        self._changing = self._now
        self.placed(settings)

    def copy(self) -> Terms:
        """Another that may be changed."""
        return copy(self)

    def retune(self, settings: Settings, now: float) -> Settings:
        """Go on by other settings: what the module is to be given, with classes for the change-over."""
        before = {row.name: row for row in self._settings.classes}
        still = self._former if now < self._until else {}
        same = self._settings == settings
        before_most = self._most if now < self._until else self._settings.limits.max_attempts
        self._most = most = min(before_most, settings.limits.max_attempts)
        self._former = still if same else still | before
        self._until = self._until if same else now + CHANGE_WITHIN
        self._settings = settings
        rows = list(settings.classes)
        if self._former:
            for found in self._candidates(True).values():
                rows += [row for row in found if row not in rows]
        return replace(settings, classes=tuple(rows), limits=replace(settings.limits, max_attempts=most))

    def settle(self, now: float) -> Settings | None:
        """The settings without the former classes; None while requests that began by those may still come."""
        if now < self._until + STILL_COMING:
            return None
        self._former = {}
        return self._settings

    def placed(self, settings: Settings) -> None:
        """The module has taken up these classes, at these places."""
        known = {row: at for at, row in enumerate(settings.classes)}
        self._now, self._changing = (
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
                    found[name] = [between(former, new[0])]
                else:
                    found[name] = [new[0], former]
        return found

    def rows(self, name: str, began: float) -> list[tuple[int, RequestClass]]:
        """The classes of this name that a request may be judged by that began then, with their places."""
        return (self._changing if began < self._until else self._now).get(name, [])
