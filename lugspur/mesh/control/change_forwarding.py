"""Forwarding of change requests to the control node that proposes on behalf of all, without I/O.

Any control node may propose, and agreement does not depend on which one does. But competing proposers block each other,
so that all requests are normally forwarded to one of them: the first voter that can be reached. A node that gets no
result in time proposes the request itself. That is safe, since a change that is decided twice has no effect the second
time; but from then on a rejection proves nothing, because the other node may still propose the request.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.change_requests import ChangeRequest, Confirmed, NoQuorum, Outcome, Refused, Unclear
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import ChangeResult, ForwardChange

RESULT_TIMEOUT_SECONDS = 0.3  # time without a result after which a node proposes a forwarded request itself


@dataclass(slots=True, frozen=True)
class _ForwardedChange:
    request: ChangeRequest
    ip: str
    sent_at: float


def result_from_outcome(number: int, outcome: Outcome) -> ChangeResult:
    """Return the message that reports an outcome to the forwarding node."""
    if isinstance(outcome, Confirmed):
        return ChangeResult(number, is_confirmed=True)
    if isinstance(outcome, Refused):
        return ChangeResult(number, error_kind=outcome.error.kind.value, detail=outcome.error.detail)
    return ChangeResult(number, may_be_decided=isinstance(outcome, Unclear))


def outcome_from_result(result: ChangeResult) -> Outcome:
    """Return the outcome that another control node reports."""
    if result.is_confirmed:
        return Confirmed()
    if result.error_kind:
        return Refused(MeshError(ErrorKind(result.error_kind), result.detail))
    return Unclear() if result.may_be_decided else NoQuorum()


class ChangeForwarder:
    """The requests that one control node has forwarded and that have no result yet."""

    def __init__(self) -> None:
        self._forwarded: dict[int, _ForwardedChange] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._forwarded)

    def forward(self, now: float, ip: str, request: ChangeRequest) -> ForwardChange:
        """Register a request as forwarded, and return the message that forwards it to another control node."""
        self._number += 1
        self._forwarded[self._number] = _ForwardedChange(request, ip, now)
        return ForwardChange(self._number, max(0.0, request.deadline - now), request.entries)

    def receive(self, ip: str, result: ChangeResult) -> None:
        """Process another control node's result; a late one is ignored."""
        forwarded = self._forwarded.get(result.number)
        if forwarded is not None and forwarded.ip == ip:
            del self._forwarded[result.number]
            forwarded.request.on_outcome(outcome_from_result(result))

    def withdraw(self, request: ChangeRequest) -> None:
        """Drop a request whose caller has left."""
        for number, forwarded in list(self._forwarded.items()):
            if forwarded.request is request:
                del self._forwarded[number]

    def disconnected(self, ip: str) -> list[ChangeRequest]:
        """Handle the end of the connection to a control node; returns the requests to propose locally."""
        return self._take_back([n for n, forwarded in self._forwarded.items() if forwarded.ip == ip])

    def pop_overdue(self, now: float) -> list[ChangeRequest]:
        """Remove and return the requests whose result is overdue, to be proposed locally."""
        return self._take_back(
            [n for n, forwarded in self._forwarded.items() if now - forwarded.sent_at >= RESULT_TIMEOUT_SECONDS]
        )

    def _take_back(self, numbers: list[int]) -> list[ChangeRequest]:
        return [self._weaken_outcome(self._forwarded.pop(number).request) for number in numbers]

    @staticmethod
    def _weaken_outcome(request: ChangeRequest) -> ChangeRequest:
        """Make any outcome but a confirmation unclear, since both nodes may propose the request."""

        on_outcome = request.on_outcome

        def on_weakened_outcome(outcome: Outcome) -> None:
            on_outcome(outcome if isinstance(outcome, Confirmed) else Unclear())

        request.on_outcome = on_weakened_outcome
        return request
