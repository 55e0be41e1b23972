"""The decision module before emulated boxes: its actions are carried out in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.emulator.backends import Box, Kind, Work
from lugspur.emulator.clock import Clock
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    Action,
    Cancel,
    Fail,
    ListUpdateKind,
    Outcome,
    Reject,
    Send,
    ServerRow,
    Settings,
    StartTimer,
    Subscribe,
)

Done = Callable[[str], None]
SERVED, TURNED, FAILED, LATE = "served", "turned away", "failed", "late"


class _Call:
    """One request in hand."""

    def __init__(self, deadline: float, done: Done) -> None:
        self.deadline, self.done = deadline, done
        self.works: list[Work] = []
        self.sent: list[float] = []
        self.over = False


class World:
    """So many boxes of one kind behind one instance of the decision module; or boxes that others send to as well."""

    def __init__(
        self, clock: Clock, settings: Settings, count: int, kind: Kind, seed: int, boxes: list[Box] | None = None
    ) -> None:
        self.clock = clock
        rng = Random(seed)
        self.boxes = boxes or [Box(clock, kind, Random(rng.random())) for _ in range(count)]
        self.balancer = Balancer(settings, rng.randrange(1 << 32))
        self._calls: dict[str, _Call] = {}
        self._count = 0
        rows = [ServerRow(n) for n in range(len(self.boxes))]
        self._perform(self.balancer.update_servers(0.0, ListUpdateKind.COMPLETE, rows) + self.balancer.start(0.0))

    def ran(self) -> int:
        """Works that boxes have begun."""
        return sum(box.ran for box in self.boxes)

    def call(self, kind: int, tenant: int, deadline: float, done: Done) -> str:
        """Ask for something; `done` is told once how it ended, by the deadline at the latest."""
        self._count += 1
        rid = str(self._count)
        call = self._calls[rid] = _Call(deadline, done)
        self.clock.call_at(deadline, lambda: self._overdue(rid))
        self._perform(self.balancer.request(self.clock.now, rid, kind, tenant, deadline))
        if call.over:
            self._calls.pop(rid, None)
        return rid

    def extend(self, rid: str, deadline: float) -> None:
        """Its answer is waited for until then."""
        call = self._calls.get(rid)
        if call is not None and not call.over:
            call.deadline = deadline
            self.clock.call_at(deadline, lambda: self._overdue(rid))
            self._perform(self.balancer.extend_deadline(self.clock.now, rid, deadline))

    def gone(self, rid: str) -> None:
        """Nobody waits for it any more."""
        call = self._calls.get(rid)
        if call is not None and not call.over:
            call.over = True
            self._perform(self.balancer.cancel_request(self.clock.now, rid))

    def _overdue(self, rid: str) -> None:
        call = self._calls.get(rid)
        if call is None or call.over or self.clock.now < call.deadline:
            return
        for number, work in enumerate(tuple(call.works)):
            self._give_up(rid, call, number, work)
        self._end(call, LATE)

    def _give_up(self, rid: str, call: _Call, number: int, work: Work) -> None:
        if not work.over:
            work.over = True
            self._outcome(rid, call, number, Outcome.TIMEOUT)

    def _outcome(self, rid: str, call: _Call, number: int, how: Outcome) -> None:
        if how is Outcome.OK:
            self._end(call, SERVED)
        latency = self.clock.now - call.sent[number]
        self._perform(self.balancer.finish_attempt(self.clock.now, rid, number, how, latency, call.over))
        if call.over and all(work.over for work in call.works):
            self._calls.pop(rid, None)

    def _end(self, call: _Call, how: str) -> None:
        if not call.over:
            call.over = True
            call.done(how)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartTimer):
                token = action.token
                self.clock.call_at(action.at, lambda token=token: self._timer(token))  # type: ignore[misc]
            elif not isinstance(action, Subscribe):
                self._act(action)

    def _timer(self, token: int) -> None:
        self._perform(self.balancer.fire_timer(self.clock.now, token))

    def _act(self, action: Send | Reject | Fail | Cancel) -> None:
        rid = action.request
        call = self._calls.get(rid)
        if call is None:
            return
        if isinstance(action, Send):
            self._send(rid, call, action)
        elif isinstance(action, Cancel):
            self._cancel(rid, call, action.attempt)
        else:
            refused = isinstance(action, Reject) and not call.works
            self._end(call, TURNED if refused else FAILED)

    def _send(self, rid: str, call: _Call, send: Send) -> None:
        number = len(call.works)
        work = Work(lambda how: self._outcome(rid, call, number, how))
        call.works.append(work)
        call.sent.append(self.clock.now)
        if send.timeout > 0.0:
            self.clock.call_at(self.clock.now + send.timeout, lambda: self._give_up(rid, call, number, work))
        self.boxes[send.server].take(work)

    def _cancel(self, rid: str, call: _Call, number: int) -> None:
        work = call.works[number]
        if not work.over:
            work.over = True
            self._outcome(rid, call, number, Outcome.CANCELLED)
