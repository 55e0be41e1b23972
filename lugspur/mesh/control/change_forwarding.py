"""Orders that are handed to the control node that proposes for all, without I/O.

Any control node may propose, and agreement does not depend on who does. But proposers that compete keep each other
from deciding, so that in calm times all orders go to one of them: the first voter that is heard from. Whoever hears
nothing back in time proposes the order itself. That is safe, since an order that is decided twice has no effect the
second time; but from then on a refusal proves nothing, because the other one may still propose it.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.change_requests import ChangeRequest, Confirmed, NoQuorum, Outcome, Refused, Unclear
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import ChangeResult, ForwardChange

RESULT_TIMEOUT_SECONDS = 0.3  # seconds until an order that was handed over is proposed here


@dataclass(slots=True, frozen=True)
class _ForwardedChange:
    request: ChangeRequest
    ip: str
    sent_at: float


def result_of(number: int, outcome: Outcome) -> ChangeResult:
    """What whoever handed an order over is told."""
    if isinstance(outcome, Confirmed):
        return ChangeResult(number, is_confirmed=True)
    if isinstance(outcome, Refused):
        return ChangeResult(number, error_kind=outcome.error.kind.value, detail=outcome.error.detail)
    return ChangeResult(number, may_be_decided=isinstance(outcome, Unclear))


def outcome_of(result: ChangeResult) -> Outcome:
    """How the order ended at the other control node."""
    if result.is_confirmed:
        return Confirmed()
    if result.error_kind:
        return Refused(MeshError(ErrorKind(result.error_kind), result.detail))
    return Unclear() if result.may_be_decided else NoQuorum()


class ChangeForwarder:
    """The orders of one control node that others have in hand."""

    def __init__(self) -> None:
        self._forwarded: dict[int, _ForwardedChange] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._forwarded)

    def forward(self, now: float, ip: str, request: ChangeRequest) -> ForwardChange:
        """The message that hands an order to another control node."""
        self._number += 1
        self._forwarded[self._number] = _ForwardedChange(request, ip, now)
        return ForwardChange(self._number, max(0.0, request.deadline - now), request.entries)

    def receive(self, ip: str, result: ChangeResult) -> None:
        """Another control node's answer; a late one says nothing any more."""
        forwarded = self._forwarded.get(result.number)
        if forwarded is not None and forwarded.ip == ip:
            del self._forwarded[result.number]
            forwarded.request.on_outcome(outcome_of(result))

    def withdraw(self, request: ChangeRequest) -> None:
        """Nobody waits for an order any more."""
        for number, forwarded in list(self._forwarded.items()):
            if forwarded.request is request:
                del self._forwarded[number]

    def disconnected(self, ip: str) -> list[ChangeRequest]:
        """The connection to a control node has ended; returns the orders to be proposed here."""
        return self._take_back([n for n, forwarded in self._forwarded.items() if forwarded.ip == ip])

    def overdue(self, now: float) -> list[ChangeRequest]:
        """Orders without an answer in time, to be proposed here."""
        return self._take_back(
            [n for n, forwarded in self._forwarded.items() if now - forwarded.sent_at >= RESULT_TIMEOUT_SECONDS]
        )

    def _take_back(self, numbers: list[int]) -> list[ChangeRequest]:
        return [self._to_propose_here(self._forwarded.pop(number).request) for number in numbers]

    @staticmethod
    def _to_propose_here(request: ChangeRequest) -> ChangeRequest:
        """The order as it is proposed here: only a confirmation is clear, whatever the other one does with it."""

        told = request.on_outcome

        def over(outcome: Outcome) -> None:
            told(outcome if isinstance(outcome, Confirmed) else Unclear())

        request.on_outcome = over
        return request
