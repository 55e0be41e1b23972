"""Records of failed requests: the latest ones are kept in memory, and some of them are logged.

A record states the configuration that was in force, the backends that the request was sent to, their responses and why
it failed. It is made only for requests that fail; until then a request keeps a short list of its attempts. `GET
/failures` and `GET /mesh/failures` return these classes as JSON: their field names are the keys of the JSON.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypedDict, Unpack

MAX_KEPT_RECORDS = 256  # the latest records
MAX_LOGGED_PER_SECOND = 2  # so that the log is not flooded while all requests fail


@dataclass(slots=True, frozen=True)
class AttemptRecord:
    """One attempt: a backend that a request was sent to. Times are in seconds."""

    backend: str
    sent_s: float  # after the request arrived
    took_s: float
    how: str  # how the attempt ended
    cause: str  # the status of the response, or why there is none


@dataclass(slots=True, frozen=True)
class BreakerRejection:
    """A backend whose circuit breaker rejected a request."""

    backend: str
    chance: float  # probability of the rejection
    term: str  # the larger of the two terms of the probability: `errors` or `latency`


@dataclass(slots=True, frozen=True)
class SelectionSummary:
    """The state of the backends when the last selection for a request found none."""

    known: int  # backends of the service that accept work
    tried: int  # of the known backends, those to which the request was already sent
    unreachable: int  # of the known backends, those whose proxies cannot be reached
    resting: int  # of the remaining backends, those that rejected a request a moment ago
    refusals: tuple[BreakerRejection, ...] = ()  # by the backends that were selected; empty: none could be selected

    def text(self) -> str:
        """Return the summary as one word for the log."""
        rejections = ",".join(f"{r.backend}:{r.term}:{r.chance:.2f}" for r in self.refusals)
        return f"{self.known}/{self.tried}/{self.unreachable}/{self.resting}/{rejections}"


@dataclass(slots=True, frozen=True)
class ConfigurationState:
    """The configuration that a process applies at a moment."""

    index: int  # of the latest change that the process knows
    epoch: int  # of the voter membership that the process knows
    update_age_seconds: float  # since the process last received an update confirmed by a majority


class FailureFacts(TypedDict, total=False):
    """Details of a failed request beside its id and outcome; the fields are those of `FailedRequest`."""

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
    """One request that did not get a successful response of a backend. Times are in seconds."""

    at: float  # Unix time
    attempt: str  # `Lugspur-Attempt-Id` or `X-Request-ID`; empty if the request had none
    how: str  # the final status, `gone` if the caller closed the connection, or the kind of the mesh's error
    route: str = ""
    service: str = ""
    keyed: bool = False  # whether the request had an idempotency key
    claim: str = ""  # outcome of the reservation of its idempotency key
    took_s: float = 0.0
    had_s: float = 0.0  # from the request's arrival to its deadline
    sends: int = 0  # backends that the request was sent to, or may have been sent to
    turned_away: int = 0  # concurrency limiters that rejected the request
    waited_for: tuple[str, ...] = ()  # backends that had not responded yet
    edition: int = 0  # of the request's route
    index: int = 0
    epoch: int = 0
    news_age_s: float = 0.0
    steps: tuple[AttemptRecord, ...] = ()
    pick: SelectionSummary | None = None  # if the last selection found no backend


#: Logs a record and the number of records before it that were not logged.
FailureLogger = Callable[[FailedRequest, int], None]


def log_nothing(failed: FailedRequest, unlogged_count: int) -> None:
    """Log nothing, for a process that only keeps its records."""


class FailureLog:
    """The latest failed requests of a process."""

    def __init__(self, configuration_state: Callable[[], ConfigurationState], log: FailureLogger) -> None:
        """Add the result of `configuration_state` to each record; pass at most MAX_LOGGED_PER_SECOND to `log`."""
        self._configuration_state, self._log = configuration_state, log
        self._kept: deque[FailedRequest] = deque(maxlen=MAX_KEPT_RECORDS)
        self._second = 0  # Unix time of the second that `_logged` belongs to
        self._logged = 0
        self._unlogged = 0  # records since the last one that was logged

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
        """Return the kept records, the latest last."""
        return list(self._kept)
