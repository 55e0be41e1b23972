"""Where orders are proposed: here, or by the control node that proposes for all in calm times."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.change_forwarding import ChangeForwarder, result_of
from lugspur.mesh.control.change_requests import ChangeRequest, NoQuorum, Outcome
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import ForwardChange, Message
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.process_pause import PauseDetector
from lugspur.mesh.transport.link import Link

DECISION_TIMEOUT_SECONDS = 0.8  # seconds for a call of an operator: callers move on after a second
MAX_PENDING_CALLS = 64  # calls of operators in hand at once


class ChangeRouter:
    """Takes up orders, or turns them away.

    `preferred` names the control node that proposes for all, `do` carries out effects, `to` sends to a control node.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ip: str,
        proposer: Proposer,
        pause_detector: PauseDetector,
        preferred: Callable[[float], str],
        do: Callable[[Effects], None],
        to: Callable[[str, Message], None],
    ) -> None:
        self._loop, self._ip, self._proposer, self._pause_detector = loop, ip, proposer, pause_detector
        self._preferred, self._do, self._to = preferred, do, to
        self.forwarder = ChangeForwarder()

    def turn_away(self, now: float) -> None:
        """Raises MeshError where an order may not be taken up."""
        in_hand = len(self._proposer) + len(self.forwarder)
        if in_hand >= MAX_PENDING_CALLS:  # Guards memory and disks against a flood of calls.
            raise MeshError(ErrorKind.NO_QUORUM, "too many calls in hand")
        if self._pause_detector.is_stale(now):
            raise MeshError(ErrorKind.NO_QUORUM, "this process has stood still")

    def submit(self, now: float, order: ChangeRequest) -> None:
        """Propose an order, or have it proposed by the preferred control node."""
        proposer = self._preferred(now)
        if proposer == self._ip:
            self._do(self._proposer.submit(now, order))
        else:
            self._to(proposer, self.forwarder.forward(now, proposer, order))

    def withdraw(self, order: ChangeRequest) -> None:
        """Nobody waits for an order any more."""
        self._proposer.withdraw(order)
        self.forwarder.withdraw(order)

    def submitted(self, link: Link, message: ForwardChange) -> None:
        """Another control node hands over an order."""

        def over(outcome: Outcome) -> None:
            link.send(result_of(message.number, outcome))

        now = self._loop.time()
        try:
            self.turn_away(now)
        except MeshError:
            over(NoQuorum())
            return
        order = ChangeRequest(message.entries, now + min(DECISION_TIMEOUT_SECONDS, message.seconds_left), over)
        self._do(self._proposer.submit(now, order))

    def lost(self, now: float, ip: str) -> None:
        """The connection to a control node has ended: propose here what it has not answered."""
        self._propose_here(now, self.forwarder.disconnected(ip))

    def look(self, now: float) -> None:
        """Propose here what other control nodes have not answered in time."""
        self._propose_here(now, self.forwarder.overdue(now))

    def _propose_here(self, now: float, orders: list[ChangeRequest]) -> None:
        for order in orders:
            self._do(self._proposer.submit(now, order))
