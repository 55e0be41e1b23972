"""Records of failed requests: the latest ones are kept, and some of them are logged.

A record says by which configuration a request was judged, to which backends it was sent, what they answered and why it
failed. It is made only for requests that fail; what leads to it is a short list that every request keeps while it is
open. `GET /failures` and `GET /mesh/failures` answer with these classes as JSON: their field names are the JSON's.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypedDict, Unpack

MAX_KEPT_RECORDS = 256  # the latest ones
MAX_LOGGED_PER_SECOND = 2  # so that a failure of all requests does not become one of the log


@dataclass(slots=True, frozen=True)
class AttemptRecord:
    """One backend that a request was sent to. Times are in seconds."""

    backend: str
    sent_s: float  # after the request arrived
    took_s: float
    how: str  # how it ended
    cause: str  # the status that it answered with, or why it has none


@dataclass(slots=True, frozen=True)
class BreakerRejection:
    """A backend whose circuit breaker rejected a request."""

    backend: str
    chance: float  # probability of the rejection
    term: str  # the larger of the two terms of the probability: `errors` or `latency`


@dataclass(slots=True, frozen=True)
class SelectionSummary:
    """What the last selection of a backend saw where it found none."""

    known: int  # backends of the service that accept work
    tried: int  # ...of these, those that have had the request
    unreachable: int  # ...and those whose proxies cannot be reached
    resting: int  # of the rest, those that have rejected something a moment ago
    refusals: tuple[BreakerRejection, ...] = ()  # of the backends that were drawn; empty: none could be drawn

    def text(self) -> str:
        """Return all of it as one word for the log."""
        drawn = ",".join(f"{r.backend}:{r.term}:{r.chance:.2f}" for r in self.refusals)
        return f"{self.known}/{self.tried}/{self.unreachable}/{self.resting}/{drawn}"


@dataclass(slots=True, frozen=True)
class ConfigurationState:
    """The configuration by which a process judges requests at a moment."""

    index: int  # of the latest change that it knows
    epoch: int  # of the voter membership that it knows
    update_age_seconds: float  # since it last had an update of a majority


class FailureFacts(TypedDict, total=False):
    """What is known of a failed request beside its id and its end; fields as in `FailedRequest`."""

    route: str
    service: str
    keyed: bool
    claim: str
    took_s: float
    had_s: float
    sends: int
    turned_away: int
    waited_for: tuple[str, ...]
    edition: int
    steps: tuple[AttemptRecord, ...]
    pick: SelectionSummary | None


@dataclass(slots=True, frozen=True)
class FailedRequest:
    """One request that was not answered by a backend's success. Times are in seconds."""

    at: float  # since 1970
    attempt: str  # `Lugspur-Attempt-Id` or `X-Request-ID`; empty: it had none
    how: str  # how it ended: the final status, `gone` where its caller left, or the kind of the mesh's error
    route: str = ""
    service: str = ""
    keyed: bool = False  # whether it had an idempotency key
    claim: str = ""  # how the reservation of its key ended
    took_s: float = 0.0
    had_s: float = 0.0  # from its arrival to its deadline
    sends: int = 0  # backends that it was offered to, or may have been
    turned_away: int = 0  # concurrency limiters that rejected it
    waited_for: tuple[str, ...] = ()  # backends that had not answered yet
    edition: int = 0  # of its route
    index: int = 0
    epoch: int = 0
    news_age_s: float = 0.0
    steps: tuple[AttemptRecord, ...] = ()
    pick: SelectionSummary | None = None  # where the last selection found no backend


#: Logs a record, and how many before it were not logged.
FailureLogger = Callable[[FailedRequest, int], None]


def log_nothing(failed: FailedRequest, unlogged_count: int) -> None:
    """Log nothing: for a process that only keeps its records."""


class FailureLog:
    """The latest failed requests of a process."""

    def __init__(self, configuration_state: Callable[[], ConfigurationState], log: FailureLogger) -> None:
        """Keep records with what `configuration_state` returns, and pass at most a few a second to `log`."""
        self._configuration_state, self._log = configuration_state, log
        self._kept: deque[FailedRequest] = deque(maxlen=MAX_KEPT_RECORDS)
        self._second = 0  # the one that `_logged` counts in
        self._logged = 0
        self._unlogged = 0  # since the last one that was logged

    def add(self, attempt: bytes, how: str, **facts: Unpack[FailureFacts]) -> None:
        """Record a request that failed."""
        state = self._configuration_state()
        failed = FailedRequest(
            time.time(),
            attempt.decode("ascii", "replace"),
            how,
            index=state.index,
            epoch=state.epoch,
            news_age_s=state.update_age_seconds,
            **facts,
        )
        self._kept.append(failed)
        self._log_some(failed)

    def _log_some(self, failed: FailedRequest) -> None:
        if int(failed.at) != self._second:
            self._second, self._logged = int(failed.at), 0
        if self._logged < MAX_LOGGED_PER_SECOND:
            self._logged += 1
            unlogged, self._unlogged = self._unlogged, 0
            self._log(failed, unlogged)
        else:
            self._unlogged += 1

    def latest(self) -> list[FailedRequest]:
        """Return all records that are kept, the latest last."""
        return list(self._kept)
