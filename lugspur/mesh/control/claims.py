"""The claimant's side of operation keys, without I/O: who may run an operation, by a majority of the voters.

A claim is won when a majority of one membership's voters has it on disk, each granting a key to one claimant at a
time. Two claimants can't both win: majorities meet. One who can't win any more gives back what it
was granted, which is safe: it never ran.

`by` names one claim, of one life of one process, and is never used again (see `Proxy.claim_id`). So what is heard of
a claim that is not known here, because it was made by a former process at this address or is too long ago, is never
answered: only a claim that is known to have come to nothing is given back. In doubt a claim stays until its window
ends, which costs a repeat its answer and never runs anything twice.

Why a claim that was won under epoch e excludes others under e + 1 and later, also when its run begins after e + 1
came into force or a verdict was late:

- Each verdict that counts names e, and its voter wrote the claim down before it sent the verdict. A voter that goes
  by e + 1 grants nothing under e. So the whole majority M had the claim on disk while each of them still went by e,
  whenever the verdicts arrive here.
- A newcomer of e + 1 counts only once a majority F of the voters of e has told it all, each having written down that
  it goes by e + 1. M and F share a voter, which had granted before it went on, and so tells of the claim.
- A voter that stays keeps its claims. One voter changes at a time, so that the members of M that stay, and the
  newcomer, are a majority under e + 1, and another claimant's majority there meets them.
- A claim that is open while the membership changes begins anew: grants of e and e + 1 are never added up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

from lugspur.mesh.control.messages import BackendResponse, Membership, ReleaseKey, ReserveKey, ReserveKeyReply
from lugspur.mesh.control.quorum import majority

FAILED_MOST = 10_000  # claims that came to nothing, the latest: a grant of an older one is not given back


@dataclass(slots=True)
class Won:
    """It may run."""


@dataclass(slots=True)
class Known:
    """It has run, and this was its answer."""

    answer: BackendResponse


@dataclass(slots=True)
class Taken:
    """Another has it; `busy`: and is at work."""

    busy: bool


@dataclass(slots=True)
class Unsettled:
    """Too few voters answered."""


Settled = Won | Known | Taken | Unsettled


class _Open:
    __slots__ = ("by", "ends", "granted", "key", "left", "others", "over", "membership", "busy", "until")

    def __init__(
        self, key: bytes, by: bytes, left: float, ends: float, until: float, over: Callable[[Settled], None]
    ) -> None:
        self.key, self.by, self.left, self.ends, self.until, self.over = key, by, left, ends, until, over
        self.granted: set[str] = set()
        self.others: set[str] = set()
        self.busy = False
        self.membership: Membership | None = None


class Claims:
    """The claims of one process that are not settled. `send` gives a message to a voter by its IP number."""

    def __init__(self, send: Callable[[str, ReserveKey | ReleaseKey], None]) -> None:
        self._send = send
        self._open: dict[tuple[bytes, bytes], _Open] = {}
        # Late grants are given back for these alone. What falls out of it is given back by nobody, and ends by its
        # window: to forget that a claim was won, and give it back, would let its operation run twice.
        self._failed: LRUCache[tuple[bytes, bytes], None] = LRUCache(FAILED_MOST)

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self,
        now: float,
        membership: Membership,
        key: bytes,
        by: bytes,
        left: float,
        within: float,
        over: Callable[[Settled], None],
    ) -> None:
        """Claim a key for `by`, a name that was never used before; `left`: seconds until its request ends.

        It is settled in `within` seconds.
        """
        found = _Open(key, by, left, now + left, now + within, over)
        self._open[key, by] = found
        self._ask(now, found, membership)

    def _ask(self, now: float, found: _Open, membership: Membership) -> None:
        found.membership = membership
        found.granted.clear()
        found.others.clear()
        for voter in membership.voters:
            self._send(voter.ip, ReserveKey(found.key, found.by, membership.epoch, max(0.0, found.ends - now)))

    def again(self, now: float, membership: Membership) -> None:
        """The membership has changed: what was granted under another one counts no more, and is asked for anew."""
        for found in list(self._open.values()):
            self._ask(now, found, membership)

    def reach(self, now: float, ip: str) -> None:
        """A voter can be reached anew: what it may not have heard is said again."""
        for found in self._open.values():
            membership = found.membership
            if (
                membership is not None
                and ip in {s.ip for s in membership.voters}
                and ip not in found.granted | found.others
            ):
                self._send(ip, ReserveKey(found.key, found.by, membership.epoch, max(0.0, found.ends - now)))

    def verdict(self, now: float, ip: str, message: ReserveKeyReply) -> None:
        """A voter's answer."""
        found = self._open.get((message.key, message.owner))
        if found is None:
            if message.is_granted and (message.key, message.owner) in self._failed:
                # It came too late, and nothing ran or will: nobody else shall wait for it.
                self._send(ip, ReleaseKey(message.key, message.owner))
            return
        membership = found.membership
        assert membership is not None
        if message.response is not None:
            self._settle(found, Known(message.response))
            return
        if message.epoch != membership.epoch or ip not in {voter.ip for voter in membership.voters}:
            return
        if message.is_granted:
            found.granted.add(ip)
            if len(found.granted) >= majority(len(membership.voters)) and now < found.until:
                self._settle(found, Won())
        elif message.is_taken:
            found.others.add(ip)
            found.busy = found.busy or message.is_running
            if len(membership.voters) - len(found.others) < majority(len(membership.voters)):
                self._settle(found, Taken(found.busy))

    def look(self, now: float) -> None:
        """End what has gone on for too long."""
        for found in [found for found in self._open.values() if found.until <= now]:
            self._settle(found, Taken(found.busy) if found.others else Unsettled())

    def drop(self, key: bytes, by: bytes) -> None:
        """Nobody waits for it any more."""
        found = self._open.get((key, by))
        if found is not None:
            found.over = _nobody
            self._settle(found, Unsettled())

    def _settle(self, found: _Open, how: Settled) -> None:
        del self._open[found.key, found.by]
        if not isinstance(how, Won):
            self._failed[found.key, found.by] = None
            for voter in found.membership.voters if found.membership is not None else ():
                if voter.ip not in found.others:
                    self._send(voter.ip, ReleaseKey(found.key, found.by))
        found.over(how)


def _nobody(how: Settled) -> None:
    """Told of what nobody waits for."""
