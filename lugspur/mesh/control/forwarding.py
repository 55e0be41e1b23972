"""Orders that are handed to the control node that proposes for all, without I/O.

Any control node may propose, and agreement does not depend on who does. But proposers that compete keep each other
from deciding, so that in calm times all orders go to one of them: the first voter that is heard from. Whoever hears
nothing back in time proposes the order itself. That is safe, since an order that is decided twice has no effect the
second time; but from then on a refusal proves nothing, because the other one may still propose it.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.errors import Kind, MeshError
from lugspur.mesh.control.messages import ChangeResult, ForwardChange
from lugspur.mesh.control.orders import Confirmed, NoQuorum, Order, Outcome, Refused, Unclear

ANSWER_WITHIN = 0.3  # seconds until an order that was handed over is proposed here


@dataclass(slots=True, frozen=True)
class _Handed:
    order: Order
    to: str
    at: float


def answer_of(number: int, outcome: Outcome) -> ChangeResult:
    """What whoever handed an order over is told."""
    if isinstance(outcome, Confirmed):
        return ChangeResult(number, is_confirmed=True)
    if isinstance(outcome, Refused):
        return ChangeResult(number, error_kind=outcome.fault.kind.value, detail=outcome.fault.detail)
    return ChangeResult(number, may_be_decided=isinstance(outcome, Unclear))


def outcome_of(answer: ChangeResult) -> Outcome:
    """How the order ended at the other control node."""
    if answer.is_confirmed:
        return Confirmed()
    if answer.error_kind:
        return Refused(MeshError(Kind(answer.error_kind), answer.detail))
    return Unclear() if answer.may_be_decided else NoQuorum()


class Forwarder:
    """The orders of one control node that others have in hand."""

    def __init__(self) -> None:
        self._handed: dict[int, _Handed] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._handed)

    def hand_over(self, now: float, to: str, order: Order) -> ForwardChange:
        """The message that hands an order to another control node."""
        self._number += 1
        self._handed[self._number] = _Handed(order, to, now)
        return ForwardChange(self._number, max(0.0, order.until - now), order.entries)

    def heard(self, ip: str, answer: ChangeResult) -> None:
        """Another control node's answer; a late one says nothing any more."""
        handed = self._handed.get(answer.number)
        if handed is not None and handed.to == ip:
            del self._handed[answer.number]
            handed.order.over(outcome_of(answer))

    def withdraw(self, order: Order) -> None:
        """Nobody waits for an order any more."""
        for number, handed in list(self._handed.items()):
            if handed.order is order:
                del self._handed[number]

    def lost(self, ip: str) -> list[Order]:
        """The connection to a control node has ended; returns the orders to be proposed here."""
        return self._take_back([n for n, handed in self._handed.items() if handed.to == ip])

    def overdue(self, now: float) -> list[Order]:
        """Orders without an answer in time, to be proposed here."""
        return self._take_back([n for n, handed in self._handed.items() if now - handed.at >= ANSWER_WITHIN])

    def _take_back(self, numbers: list[int]) -> list[Order]:
        return [self._own(self._handed.pop(number).order) for number in numbers]

    @staticmethod
    def _own(order: Order) -> Order:
        """The order as it is proposed here: only a confirmation is clear, whatever the other one does with it."""

        told = order.over

        def over(outcome: Outcome) -> None:
            told(outcome if isinstance(outcome, Confirmed) else Unclear())

        order.over = over
        return order
