"""Rounds over the membership's voters, without I/O: a read hears a majority, a write is on a majority's disks."""

from __future__ import annotations

from collections.abc import Callable

from lugspur.control.messages import Ask, Entry, Membership, Put, Said
from lugspur.control.replica import majority


class Round:
    """One round; `over` is told once: "ok", "no" (too few), "conflict"."""

    __slots__ = ("entries", "need", "no", "over", "voters", "until", "yes")

    def __init__(
        self, membership: Membership, entries: list[Entry] | None, until: float, over: Callable[[str], None]
    ) -> None:
        self.voters = {voter.ip for voter in membership.voters}
        self.need = majority(len(self.voters))
        self.entries = entries
        self.until = until
        self.over = over
        self.yes: set[str] = set()
        self.no: set[str] = set()


class Rounds:
    """The rounds of one process that are open."""

    def __init__(self) -> None:
        self._open: dict[int, Round] = {}
        self._n = 0

    def begin(
        self, membership: Membership, entries: list[Entry] | None, until: float, over: Callable[[str], None]
    ) -> tuple[set[str], Ask | Put]:
        """Open one; returns whom to send what. `until`: when it ends as "no"."""
        self._n += 1
        found = Round(membership, entries, until, over)
        self._open[self._n] = found
        message = Ask(self._n, membership.epoch) if entries is None else Put(self._n, membership.epoch, entries)
        return found.voters, message

    def said(self, ip: str, message: Said) -> None:
        """A voter's answer."""
        found = self._open.get(message.n)
        if found is None or ip not in found.voters:
            return
        if message.conflict:
            self._end(message.n, "conflict")
            return
        (found.yes if message.ok else found.no).add(ip)
        if len(found.yes) >= found.need:
            self._end(message.n, "ok")
        elif len(found.voters) - len(found.no) < found.need:
            self._end(message.n, "no")

    def look(self, now: float) -> None:
        """End what has gone on for too long."""
        for n in [n for n, found in self._open.items() if found.until <= now]:
            self._end(n, "no")

    def _end(self, n: int, how: str) -> None:
        self._open.pop(n).over(how)
