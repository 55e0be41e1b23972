"""Operators' calls at a control node that need a majority: change the configuration, and read it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from lugspur.mesh import events
from lugspur.mesh.control import items
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome, error_from_outcome
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.read_index import Read, Reader
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS, ChangeRouter
from lugspur.mesh.http_api import fail, reply
from lugspur.seams import Answerable, Request


class OperatorCalls:
    """Answers operators once a majority has confirmed a change, or that what is read is the latest."""

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
        self.waiting: set[Answerable] = set()  # callers without an answer
        self.changes: Counter[str] = Counter()  # since the start of the process, by how they ended
        self.reads: Counter[str] = Counter()

    def amend(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Change the configuration; the caller is answered once a majority has decided it, or with the fault.

        Raises MeshError where the call is invalid, or can't be taken now.
        """
        now = self._loop.time()
        entries = items.read_changes(request.body)
        self._router.check_admission(now)
        change = ChangeRequest(
            entries,
            now + DECISION_TIMEOUT_SECONDS,
            lambda outcome: self._amended(caller, len(request.body), outcome),
        )
        caller.gone = lambda: self._amend_abandoned(caller, change)
        self.waiting.add(caller)
        self._router.submit(now, change)

    def _amended(self, caller: Answerable, body_bytes: int, outcome: Outcome) -> None:
        is_waiting = caller in self.waiting
        self.waiting.discard(caller)
        fault = error_from_outcome(outcome)
        self.changes["confirmed" if fault is None else fault.code] += 1
        events.info("amend", bytes=body_bytes, fault=fault or "none", index=self._replica.index)
        if not is_waiting:
            return
        if fault is None:
            reply(caller)
        else:
            fail(caller, fault)

    def _amend_abandoned(self, caller: Answerable, change: ChangeRequest) -> None:
        """The caller has left, and may have been refused elsewhere meanwhile: the change is not proposed any more."""
        self.waiting.discard(caller)
        self._router.withdraw(change)

    def read(self, _request: Request, caller: Answerable, _: list[str]) -> None:
        """Read the configuration; the caller is answered once a majority has confirmed that it is the latest."""
        now = self._loop.time()
        caller.gone = lambda: self.waiting.discard(caller)
        self.waiting.add(caller)
        read = Read(now + DECISION_TIMEOUT_SECONDS, lambda is_latest: self._read_checked(caller, is_latest))
        self._run_effects(self._reader.submit(now, read))

    def _read_checked(self, caller: Answerable, is_latest: bool) -> None:
        is_waiting = caller in self.waiting
        self.waiting.discard(caller)
        self.reads["answered" if is_latest else ErrorKind.NO_QUORUM.value] += 1
        if not is_waiting:
            return
        if is_latest:
            entries = [item.entry for item in self._replica.register.items.values()]
            reply(caller, items.encode_items(entries))
        else:
            fail(caller, MeshError(ErrorKind.NO_QUORUM, "too few voters answered"))
