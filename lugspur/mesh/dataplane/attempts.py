"""The attempts of one request: backends tried, attempts in flight, and whether the request may have run."""

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
    """One attempt that is in flight to one backend; `sent_at` is in event loop time."""

    endpoint: Endpoint
    sent_at: float
    handle: SentRequest


@dataclass(slots=True)
class Attempts:
    """All attempts of one request."""

    sent_count: int = 0  # attempts in which a backend received the request, or may have
    rejections: int = 0  # attempts that provably did not run
    backend_ids: set[str] = field(default_factory=set)  # ids of the backends of all attempts
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by attempt number
    may_have_run: bool = False  # an attempt ended with an unknown outcome
    has_run: bool = False  # a backend has responded
    records: list[AttemptRecord] = field(default_factory=list)  # of ended attempts, for the failure log
    _latest_number: int = field(default=0, init=False)

    @property
    def can_have_run(self) -> bool:
        """Whether a backend may have run the request or may still run it."""
        return bool(self.in_flight) or self.may_have_run or self.has_run

    def begin(self, endpoint: Endpoint, now: float) -> int:
        """Record an attempt that is about to be sent; return its number."""
        self.backend_ids.add(endpoint.id)
        self._latest_number += 1
        self.sent_count += 1
        endpoint.in_flight += 1
        self.in_flight[self._latest_number] = Attempt(endpoint, now, NOT_SENT)
        return self._latest_number

    def end(self, number: int) -> Attempt | None:
        """Remove and return an attempt whose result has arrived, or return None if it had already ended."""
        attempt = self.in_flight.pop(number, None)
        if attempt is not None:
            attempt.endpoint.in_flight -= 1
        return attempt

    def record(self, attempt: Attempt, now: float, arrived: float, result: ForwardResponse) -> None:
        """Add an ended attempt to `records`; `arrived` is the time at which the request arrived."""
        cause = FailureCause(result.cause).label if result.cause else ""
        outcome = RequestOutcome(result.outcome).label
        sent_at = attempt.sent_at
        self.records.append(AttemptRecord(attempt.endpoint.id, sent_at - arrived, now - sent_at, outcome, cause))


class _NotSent:
    """The handle of an attempt that the carrier has not accepted yet."""

    def cancel(self) -> None:
        """Do nothing: the request has not been sent."""

    def withdraw(self) -> None:
        """Do nothing: the request has not been sent."""


NOT_SENT = _NotSent()
