"""Routes changes to a proposer: this node's own, or that of the preferred proposer.

While voters hear each other one node proposes for all, as competing proposers keep each other from deciding.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.change_forwarding import ChangeForwarder, result_from_outcome
from lugspur.mesh.control.change_requests import ChangeRequest, NoQuorum, Outcome
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import ForwardChange, Message
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.process_pause import PauseDetector
from lugspur.mesh.transport.link import Link

DECISION_TIMEOUT_SECONDS = 0.8  # maximum time for an operator's call, as callers retry at another node after a second
MAX_PENDING_CALLS = 64  # undecided calls of operators; further ones are rejected


class ChangeRouter:
    """Admits changes, and proposes them here or forwards them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ip: str,
        *,
        proposer: Proposer,
        pause_detector: PauseDetector,
        preferred_proposer: Callable[[float], str],
        run_effects: Callable[[Effects], None],
        send_to: Callable[[str, Message], None],
    ) -> None:
        """`preferred_proposer` returns the IP address of the control node that proposes for all at a given time."""
        self._loop, self._ip, self._proposer, self._pause_detector = loop, ip, proposer, pause_detector
        self._preferred_proposer, self._run_effects, self._send_to = preferred_proposer, run_effects, send_to
        self.forwarder = ChangeForwarder()

    def check_admission(self, now: float) -> None:
        """Raise MeshError (NO_QUORUM) if no change can be accepted now."""
        pending = len(self._proposer) + len(self.forwarder)
        if pending >= MAX_PENDING_CALLS:  # Guards memory and disks against a flood of calls.
            raise MeshError(ErrorKind.NO_QUORUM, "too many calls in hand")
        if self._pause_detector.is_stale(now):
            raise MeshError(ErrorKind.NO_QUORUM, "this process has stood still")

    def submit(self, now: float, request: ChangeRequest) -> None:
        """Propose a change, or forward it to the preferred proposer."""
        proposer_ip = self._preferred_proposer(now)
        if proposer_ip == self._ip:
            self._propose(now, request)
        else:
            self._send_to(proposer_ip, self.forwarder.forward(now, proposer_ip, request))

    def withdraw(self, request: ChangeRequest) -> None:
        """Withdraw a change that no caller waits for any more: it is not proposed unless it already was."""
        self._proposer.withdraw(request)
        self.forwarder.withdraw(request)

    def handle_forwarded(self, link: Link, message: ForwardChange) -> None:
        """Propose a change that another control node has forwarded, and return the result to that node."""

        def send_result(outcome: Outcome) -> None:
            link.send(result_from_outcome(message.number, outcome))

        now = self._loop.time()
        try:
            self.check_admission(now)
        except MeshError:
            send_result(NoQuorum())
            return
        timeout = min(DECISION_TIMEOUT_SECONDS, message.seconds_left)
        self._propose(now, ChangeRequest(message.entries, now + timeout, send_result))

    def disconnected(self, now: float, ip: str) -> None:
        """Propose here the changes that a control node whose connection has ended has not replied to."""
        self._propose_all(now, self.forwarder.disconnected(ip))

    def tick(self, now: float) -> None:
        """Propose here the changes that other control nodes have not replied to in time."""
        self._propose_all(now, self.forwarder.pop_overdue(now))

    def _propose_all(self, now: float, requests: list[ChangeRequest]) -> None:
        for request in requests:
            self._propose(now, request)

    def _propose(self, now: float, request: ChangeRequest) -> None:
        self._run_effects(self._proposer.submit(now, request))
