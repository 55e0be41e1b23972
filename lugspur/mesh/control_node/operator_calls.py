"""Operators' calls at a control node: amend the configuration, and read it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from lugspur.mesh import events
from lugspur.mesh.control import items
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome, error_of
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.read_index import Read, Reader
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS, ChangeRouter
from lugspur.mesh.http_api import fail, reply
from lugspur.seams import Answerable, Request


class OperatorCalls:
    """Answers operators from the replica's register; `do` carries out effects."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        replica: Replica,
        router: ChangeRouter,
        reader: Reader,
        do: Callable[[Effects], None],
    ) -> None:
        self._loop, self._replica, self._router, self._reader, self._do = loop, replica, router, reader, do
        self.waiting: set[Answerable] = set()  # who has no answer yet
        self.orders: Counter[str] = Counter()  # since the start, by how they ended
        self.reads: Counter[str] = Counter()

    def amend(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Change the configuration; answered once a majority has decided it, or with the fault."""
        waits = True

        def over(outcome: Outcome) -> None:
            self.waiting.discard(caller)
            fault = error_of(outcome)
            self.orders["confirmed" if fault is None else fault.code] += 1
            events.info("amend", bytes=len(request.body), fault=fault or "none", index=self._replica.index)
            if not waits:
                return
            if fault is None:
                reply(caller)
            else:
                fail(caller, fault)

        def gone() -> None:
            """Nobody waits for it any more, and it may have been refused elsewhere meanwhile: it is not proposed."""
            nonlocal waits
            waits = False
            self.waiting.discard(caller)
            self._router.withdraw(order)

        now = self._loop.time()
        entries = items.read_changes(request.body)
        self._router.turn_away(now)
        order = ChangeRequest(entries, now + DECISION_TIMEOUT_SECONDS, over)
        caller.gone = gone
        self.waiting.add(caller)
        self._router.submit(now, order)

    def read(self, _request: Request, caller: Answerable, _: list[str]) -> None:
        """Read the configuration back; answered once a majority has confirmed that it is the latest."""
        waits = True

        def over(latest: bool) -> None:
            self.waiting.discard(caller)
            self.reads["answered" if latest else ErrorKind.NO_QUORUM.value] += 1
            if not waits:
                return
            if latest:
                entries = [item.entry for item in self._replica.register.items.values()]
                reply(caller, items.encode_items(entries))
            else:
                fail(caller, MeshError(ErrorKind.NO_QUORUM, "too few voters answered"))

        def gone() -> None:
            nonlocal waits
            waits = False
            self.waiting.discard(caller)

        caller.gone = gone
        now = self._loop.time()
        self.waiting.add(caller)
        self._do(self._reader.submit(now, Read(now + DECISION_TIMEOUT_SECONDS, over)))
