"""The attempts of one request: what was sent where, what is in flight, and whether anything may have run."""

from __future__ import annotations

from dataclasses import dataclass, field

from lugspur.mesh.control.messages import ForwardResponse
from lugspur.mesh.dataplane.endpoints import Endpoint
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.interfaces import SentRequest
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.observability.failures import AttemptRecord


@dataclass(slots=True)
class Attempt:
    """A request on its way to one backend; `sent_at` is the loop's time."""

    endpoint: Endpoint
    sent_at: float
    handle: SentRequest


@dataclass(slots=True)
class Attempts:
    """All attempts of one request."""

    offered: int = 0  # backends that the request was offered to, or may have been
    rejections: int = 0  # results that prove that a backend did not run it
    tried: set[str] = field(default_factory=set)  # ids of backends
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by number
    may_have_run: bool = False  # an attempt ended, and its outcome is not known
    has_run: bool = False  # a backend has answered
    records: list[AttemptRecord] = field(default_factory=list)  # of ended attempts, for an account of a failure
    _latest: int = field(default=0, init=False)

    @property
    def can_have_run(self) -> bool:
        """Whether it is not proven that no backend has run the request and none will."""
        return bool(self.in_flight) or self.may_have_run or self.has_run

    def begin(self, endpoint: Endpoint, now: float) -> int:
        """Count an attempt that is about to be sent; return its number."""
        self.tried.add(endpoint.id)
        self._latest += 1
        self.offered += 1
        endpoint.in_flight += 1
        self.in_flight[self._latest] = Attempt(endpoint, now, NOT_SENT)
        return self._latest

    def end(self, number: int) -> Attempt | None:
        """Take an attempt whose result has come; None where it ended before."""
        attempt = self.in_flight.pop(number, None)
        if attempt is not None:
            attempt.endpoint.in_flight -= 1
        return attempt

    def record(self, attempt: Attempt, now: float, arrived: float, result: ForwardResponse) -> None:
        """Keep what became of an attempt; `arrived`: when the request came."""
        cause = FailureCause(result.cause).label if result.cause else ""
        outcome = RequestOutcome(result.outcome).label
        sent_at = attempt.sent_at
        self.records.append(AttemptRecord(attempt.endpoint.id, sent_at - arrived, now - sent_at, outcome, cause))


class _NotSent:
    """Stands for an attempt that the carrier has not taken yet."""

    def cancel(self) -> None:
        """Do nothing: there is nothing to end."""

    def withdraw(self) -> None:
        """Do nothing: there is nothing to keep from being started."""


NOT_SENT = _NotSent()
