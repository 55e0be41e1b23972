"""Operators' calls that need a majority: changing the configuration, and reading it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from lugspur.interfaces import Request, Responder
from lugspur.mesh import events
from lugspur.mesh.control import items
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome, error_from_outcome
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.read_index import Read, Reader
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS, ChangeRouter
from lugspur.mesh.http_api import fail, reply


class OperatorCalls:
    """Responds to operators once a majority has decided a change, or confirmed that a read is up to date."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        replica: Replica,
        router: ChangeRouter,
        reader: Reader,
        run_effects: Callable[[Effects], None],
    ) -> None:
        self._loop, self._replica, self._router, self._reader = loop, replica, router, reader
        self._run_effects = run_effects
        self.waiting: set[Responder] = set()  # callers that have no response yet
        self.change_outcomes: Counter[str] = Counter()  # since the start of the process, by outcome
        self.read_outcomes: Counter[str] = Counter()  # since the start of the process, by outcome

    def amend(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Change the configuration; the response follows once a majority has decided the change, or it has failed.

        Raises MeshError if the call is invalid, or can't be accepted now.
        """
        now = self._loop.time()
        entries = items.read_changes(request.body)
        self._router.check_admission(now)
        change = ChangeRequest(
            entries,
            now + DECISION_TIMEOUT_SECONDS,
            lambda outcome: self._on_outcome(caller, len(request.body), outcome),
        )
        caller.on_disconnect = lambda: self._on_caller_gone(caller, change)
        self.waiting.add(caller)
        self._router.submit(now, change)

    def _on_outcome(self, caller: Responder, body_bytes: int, outcome: Outcome) -> None:
        is_waiting = caller in self.waiting
        self.waiting.discard(caller)
        error = error_from_outcome(outcome)
        self.change_outcomes["confirmed" if error is None else error.code] += 1
        events.info("amend", bytes=body_bytes, fault=error or "none", index=self._replica.index)
        if not is_waiting:
            return
        if error is None:
            reply(caller)
        else:
            fail(caller, error)

    def _on_caller_gone(self, caller: Responder, change: ChangeRequest) -> None:
        """Withdraw the change of a caller that has left, as another node may have rejected its call in the meantime."""
        self.waiting.discard(caller)
        self._router.withdraw(change)

    def read(self, _request: Request, caller: Responder, _: list[str]) -> None:
        """Read the configuration; the response follows once a majority has confirmed that it is up to date."""
        now = self._loop.time()
        caller.on_disconnect = lambda: self.waiting.discard(caller)
        self.waiting.add(caller)
        read = Read(now + DECISION_TIMEOUT_SECONDS, lambda is_latest: self._on_read_checked(caller, is_latest))
        self._run_effects(self._reader.submit(now, read))

    def _on_read_checked(self, caller: Responder, is_latest: bool) -> None:
        is_waiting = caller in self.waiting
        self.waiting.discard(caller)
        self.read_outcomes["answered" if is_latest else ErrorKind.NO_QUORUM.value] += 1
        if not is_waiting:
            return
        if is_latest:
            entries = [item.entry for item in self._replica.register.items.values()]
            reply(caller, items.encode_items(entries))
        else:
            fail(caller, MeshError(ErrorKind.NO_QUORUM, "too few voters answered"))
