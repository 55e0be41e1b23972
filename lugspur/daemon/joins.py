"""Where joined reads meet callers, pools and timers: the desk's actions are carried out. It decides nothing."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lugspur.config.build import NOBODY
from lugspur.daemon.request_context import Ending, RequestContext
from lugspur.joining.desk import Action, Alone, Desk, Drop, Expire, Extend, Give, Start, Turn
from lugspur.joining.keys import key_of, told_of
from lugspur.joining.sharing import depends, worded_for
from lugspur.routing.model import Join
from lugspur.seams import Answerable, Form, Request

if TYPE_CHECKING:
    from lugspur.pipe import Pipe

AT_ONCE = 32  # answers written in one turn of the loop: others' reads and timers go between
COPIES_PART = 0.25  # of the memory limit that copies of one answer may take, where callers read slowly
COME_BACK = b"Retry-After: 1\r\n"  # where no place is left to wait: nothing tells when one will be

Submit = Callable[[RequestContext, Answerable], None]
Write = Callable[["Reader"], None]


@dataclass(slots=True)
class Reader:
    """One read that waits: who owes what to whom."""

    number: int
    context: RequestContext
    caller: Answerable

    def rid(self) -> bytes | None:
        """The id that its caller gave it."""
        return self.context.request.headers.get(b"x-request-id")


class Flight:
    """A call for several: a pool sees one caller, and its answer goes to all who wait.

    It is both that caller (seams.Answerable) and, where the reads came as gRPC, their form (seams.Form).
    """

    def __init__(self, joins: Joins, number: int, leader: Reader, deadline: float) -> None:
        self._joins, self.number = joins, number
        self.gone: Callable[[], None] | None = None
        self.peer = leader.caller.peer
        self.context = replace(
            leader.context, deadline=deadline, fallback_clusters=list(leader.context.fallback_clusters)
        )
        self._form = leader.context.request.form
        if self._form is not None:
            self.context.request = replace(self.context.request, form=self)
        self._alone: Reader | None = None  # to whom all that is still to come belongs

    def admit(self) -> None:
        """Its readers were admitted."""

    # ---- the request as gRPC (seams.Form) --------------------------------------------------------

    @property
    def pipe(self) -> None:
        """A stream is never joined."""

    @property
    def bound(self) -> bool:
        """A stream is never joined."""
        return False

    def plain(self, request: Request) -> Request:
        """The request for a box that speaks HTTP/1.1."""
        assert self._form is not None
        return self._form.plain(request)

    # ---- the answer ------------------------------------------------------------------------------

    def passing(self) -> None:
        """Several wait for one answer: it is whole before any of them gets it."""

    def answer(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Pass on the one final answer to all who wait for it."""

        def write(reader: Reader) -> None:
            reader.caller.answer(status, worded_for(head, reader.rid()), body, length)

        self._end(status, head, b"", len(body), write)

    def finish(self, head: bytes, body: bytes, trailers: bytes) -> None:
        """Pass on the answer of a gRPC box, or what of it has not been passed on."""

        def write(reader: Reader) -> None:
            reader.caller.gone = None
            _form(reader).finish(worded_for(head, reader.rid()), body, trailers)

        self._end(200, head, trailers, len(body), write)

    def _end(self, status: int, head: bytes, trailers: bytes, size: int, write: Write) -> None:
        self.gone = None
        if self._alone is not None:
            write(self._alone)
            return
        context, join = self.context, self.context.forward.join
        assert join is not None
        if context.ending is Ending.REJECTED:
            self._joins.refused(self.number, write)
            return
        # A failure is everybody's, unless the backend spoke of the caller.
        said = head if context.ending is Ending.SERVED else b""
        among = depends(context.backend_status, said, join, trailers)
        self._joins.ended(self.number, among, size, write)

    def begin_messages(self, head: bytes, body: Pipe) -> None:
        """An answer that comes as a stream goes to the read that it was made for, the others go alone."""
        left = self._joins.parted(self.number)
        if left is None:
            if self.gone is not None:
                self.gone()
            return
        self._alone = left
        left.caller.gone = self.gone
        if self.context.call is not None:
            self.context.cluster.pool.retime(self.context.call, left.context.deadline)
        _form(left).begin_messages(head, body)


def _form(reader: Reader) -> Form:
    form = reader.context.request.form
    assert form is not None
    return form


def _named(tenant: str) -> str:
    return "" if tenant == NOBODY else tenant


class Joins:
    """Reads of one daemon that wait for each other's calls."""

    def __init__(self, submit: Submit) -> None:
        self._submit = submit
        self._loop = asyncio.get_running_loop()
        self.desk = Desk(0)
        self._copies = 0  # bytes that copies of one answer may take
        self._readers: dict[int, Reader] = {}
        self._flights: dict[int, Flight] = {}
        self._count = 0
        self._todo: deque[Action] = deque()
        self._busy = False
        self._writes: deque[tuple[Reader, Write]] = deque()  # answers that are promised and not written
        self._writing = False
        self._timer: asyncio.TimerHandle | None = None

    def tune(self, most: int, memory: int) -> None:
        """So many reads may wait for others' calls; answers are copied within a part of so many bytes."""
        self.desk.most = most
        self._copies = int(COPIES_PART * memory)

    def take(self, came: Request, context: RequestContext, route: Hashable, join: Join, caller: Answerable) -> None:
        """A read that may share its call; `route` is what the file says of it, as it came it is `came`."""
        form = context.request.form
        bound = form is not None and form.bound
        tenant = _named(context.tenant)
        key = None if bound else key_of(came, context.request, route, tenant, join)
        self._count += 1
        if key is None:
            self._submit(context, caller)
            return
        reader = self._readers[self._count] = Reader(self._count, context, caller)
        caller.gone = lambda: self._gone(reader)
        self._perform(
            self.desk.ask(
                self._loop.time(),
                reader.number,
                key,
                join.within,
                tenant,
                context.deadline,
                told_of(came, tenant, join),
            )
        )

    def wrote(self, tenant: str) -> None:
        """A request that may have changed something has its answer."""
        self.desk.wrote(self._loop.time(), _named(tenant))

    def _gone(self, reader: Reader) -> None:
        if self._readers.pop(reader.number, None) is not None:
            self._perform(self.desk.gone(reader.number))

    # ---- what flights tell -----------------------------------------------------------------------

    def ended(self, number: int, among: frozenset[bytes] | None, size: int, write: Write) -> None:
        """A flight has its answer, of a body of so many bytes."""
        most = max(1, self._copies // max(1, size))
        self._perform(self.desk.ended(self._loop.time(), number, among, most), write)
        self._flights.pop(number, None)

    def refused(self, number: int, write: Write) -> None:
        """A flight was turned away before any attempt."""
        self._perform(self.desk.refused(self._loop.time(), number), write)
        self._flights.pop(number, None)

    def parted(self, number: int) -> Reader | None:
        """A flight's answer comes as a stream: whose it is, if that one still waits."""
        self._flights.pop(number, None)
        actions = self.desk.parted(self._loop.time(), number)
        kept = [action for action in actions if isinstance(action, Give)]
        self._perform([action for action in actions if not isinstance(action, Give)])
        return self._readers.pop(kept[0].member) if kept else None

    # ---- the desk's actions ----------------------------------------------------------------------

    def _perform(self, actions: list[Action], write: Write | None = None) -> None:
        """Carry them out, one after another: what follows from one comes after those before it."""
        for action in actions:
            if isinstance(action, Give):
                assert write is not None
                self._writes.append((self._readers[action.member], write))
            else:
                self._todo.append(action)
        if not self._writing:
            self._write_some()
        if self._busy:
            return
        self._busy = True
        try:
            while self._todo:
                self._act(self._todo.popleft())
        finally:
            self._busy = False
        self._wait()

    def _act(self, action: Action) -> None:
        if isinstance(action, Start):
            leader = self._readers[action.member]
            flight = self._flights[action.flight] = Flight(self, action.flight, leader, action.deadline)
            self._submit(flight.context, flight)
        elif isinstance(action, Extend):
            self._extend(self._flights.get(action.flight), action.deadline)
        elif isinstance(action, Drop):
            dropped = self._flights.pop(action.flight, None)
            if dropped is not None and dropped.gone is not None:
                dropped.gone()
        elif not isinstance(action, Give):
            self._part(self._readers.pop(action.member, None), action)

    def _extend(self, flight: Flight | None, deadline: float) -> None:
        if flight is not None:
            flight.context.deadline = deadline
            if flight.context.call is not None:
                flight.context.cluster.pool.retime(flight.context.call, deadline)

    def _part(self, reader: Reader | None, action: Action) -> None:
        """One leaves the others."""
        if reader is None:
            return
        if isinstance(action, Alone):
            self._submit(reader.context, reader.caller)
        elif isinstance(action, Expire):
            reader.caller.answer(504, b"", b"the time is up\n")
        elif isinstance(action, Turn):
            reader.caller.answer(503, COME_BACK, b"no place to wait\n")

    def _wait(self) -> None:
        """For the next member whose time is up before its flight's is."""
        due = self.desk.next_due()
        if self._timer is not None:
            if due is not None and self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = None if due is None else self._loop.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self._perform(self.desk.due(self._loop.time()))

    # ---- answers -----------------------------------------------------------------------------------

    def _write_some(self) -> None:
        """Write promised answers, a few in each turn of the loop."""
        self._writing = True
        try:
            for _ in range(min(AT_ONCE, len(self._writes))):
                reader, write = self._writes.popleft()
                if self._readers.pop(reader.number, None) is not None:  # else its caller has left meanwhile
                    self._write(reader, write)
        finally:
            self._writing = bool(self._writes)
            if self._writing:
                self._loop.call_soon(self._write_some)

    def _write(self, reader: Reader, write: Write) -> None:
        if self._loop.time() > reader.context.deadline:  # Guards its deadline against a loop that is late.
            reader.caller.answer(504, b"", b"the time is up\n")
        else:
            write(reader)
