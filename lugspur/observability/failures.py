"""An account of each request that failed, so that it can be explained afterwards: the latest ones, and some in the log.

A record says by what configuration a request was judged, to whom it was sent, what came back and why. It is made only
for requests that fail; what leads to it is a short list that every request keeps while it is open.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

KEPT = 256  # records that are kept, the latest
TOLD_EACH_SECOND = 2  # records that go to the log: a failure of all requests must not become one of the log


@dataclass(slots=True, frozen=True)
class Step:
    """One backend that a request was sent to: when, for how long, and how that ended."""

    backend: str
    sent_s: float  # seconds after the request came
    took_s: float
    how: str
    cause: str


@dataclass(slots=True, frozen=True)
class Refusal:
    """A backend whose breaker refused a request: its chance of doing so, and which of its terms was the larger."""

    backend: str
    chance: float
    term: str  # `errors` or `latency`


@dataclass(slots=True, frozen=True)
class PickView:
    """What a request's last pick saw where it found no backend."""

    known: int  # backends of the service that accept work
    tried: int  # ...of these, those that have had the request
    unreachable: int  # ...and those whose proxies can't be reached
    resting: int  # of the rest, those that have turned something away a moment ago
    refusals: tuple[Refusal, ...] = ()  # those that were drawn; empty: nothing could be drawn

    def text(self) -> str:
        """In one word, for the log."""
        drawn = ",".join(f"{r.backend}:{r.term}:{r.chance:.2f}" for r in self.refusals)
        return f"{self.known}/{self.tried}/{self.unreachable}/{self.resting}/{drawn}"


class Standing(NamedTuple):
    """What a process goes by at a moment."""

    change: int  # the latest of the configuration that it knows
    epoch: int  # of the membership
    news_age_s: float  # since word of a majority


@dataclass(slots=True, frozen=True)
class FailedRequest:
    """One request that was not answered by a backend's success."""

    at: float  # seconds since 1970
    attempt: str  # `Lugspur-Attempt-Id`; empty: it had none
    how: str  # the kind of its end, as `lugspur.mesh.control.errors.Kind` has it
    route: str = ""
    service: str = ""
    keyed: bool = False
    claim: str = ""  # how its claim of an operation key was settled
    took_s: float = 0.0
    had_s: float = 0.0  # seconds that it had
    sends: int = 0  # backends that it was offered to, or may have been
    turned_away: int = 0  # gates that turned it away
    waited_for: tuple[str, ...] = ()  # backends whose word was still out
    edition: int = 0  # of its route
    index: int = 0
    epoch: int = 0
    news_age_s: float = 0.0
    steps: tuple[Step, ...] = ()
    pick: PickView | None = None  # where the last pick found no backend


def keep_only(failed: FailedRequest, untold: int) -> None:
    """Where failures are kept and go to no log."""


class FailureLog:
    """The latest failed requests; `tell` writes one into the log, `standing` says what the process goes by."""

    def __init__(self, standing: Callable[[], Standing], tell: Callable[[FailedRequest, int], None]) -> None:
        self._standing, self._tell = standing, tell
        self._kept: deque[FailedRequest] = deque(maxlen=KEPT)
        self._second, self._told, self._untold = 0, 0, 0

    def add(self, attempt: bytes, how: str, **facts: Any) -> None:
        """Keep an account of one; `facts` are further fields of the record."""
        standing = self._standing()
        at = time.time()
        name = attempt.decode("ascii", "replace")
        failed = FailedRequest(
            at, name, how, index=standing.change, epoch=standing.epoch, news_age_s=standing.news_age_s, **facts
        )
        self._kept.append(failed)
        if int(at) != self._second:
            self._second, self._told = int(at), 0
        if self._told < TOLD_EACH_SECOND:
            self._told += 1
            untold, self._untold = self._untold, 0
            self._tell(failed, untold)
        else:
            self._untold += 1

    def latest(self) -> list[FailedRequest]:
        """All that are kept, the latest last."""
        return list(self._kept)
