"""One session that several machines share (views, registrations), still without I/O."""

from __future__ import annotations

from typing import Any, Protocol

from lugspur.zookeeper.records import EventType
from lugspur.zookeeper.session import Connected, Disconnected, Event, Reply, Session, State, WatchTriggered


class Ask(Protocol):
    """A request that a machine wants sent, with whatever it likes to know it again by."""

    @property
    def op(self) -> int: ...

    @property
    def row(self) -> Any: ...


class Machine(Protocol):
    """What uses the session. It is told of everything, and asked what it wants after each turn."""

    def up(self, event: Connected) -> None:
        """Requests can be asked for from now on."""

    def down(self) -> None:
        """Nothing can be asked for, and missing replies will not come: a request may have been done or not."""

    def told(self, kind: EventType, path: str) -> None:
        """A watch of anybody's in this session has told."""

    def reply(self, ask: Any, error: int, result: Any) -> None:
        """What became of a request of this machine."""

    def asks(self) -> list[Any]:
        """What is to be asked now."""


class Link:
    """Passes events to the machines and their requests to the session."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.machines: list[Machine] = []
        self._owners: dict[int, tuple[Machine, Any]] = {}
        self._up: Connected | None = None

    def add(self, machine: Machine, now: float) -> None:
        """One more; it is told at once where the session is up."""
        self.machines.append(machine)
        if self._up is not None:
            machine.up(self._up)
            self.turn(now)

    def remove(self, machine: Machine) -> None:
        """One less; replies to it are dropped."""
        self.machines.remove(machine)
        self._owners = {token: owner for token, owner in self._owners.items() if owner[0] is not machine}

    def handle(self, now: float, events: list[Event]) -> None:
        """What the session says, to whom it concerns."""
        for event in events:
            if isinstance(event, Reply):
                owner = self._owners.pop(event.token, None)
                if owner is not None:
                    owner[0].reply(owner[1], event.error, event.result)
                continue
            if isinstance(event, Connected | Disconnected):
                self._up = event if isinstance(event, Connected) else None
                self._owners.clear()
            for machine in tuple(self.machines):
                _tell(machine, event)
        self.turn(now)

    def turn(self, now: float) -> None:
        """Send what the machines want asked."""
        for machine in self.machines:
            asks = machine.asks()
            if self.session.state is State.CONNECTED:
                for ask in asks:
                    self._owners[self.session.ask(now, ask.op, ask.row)] = machine, ask


def _tell(machine: Machine, event: Event) -> None:
    if isinstance(event, Connected):
        machine.up(event)
    elif isinstance(event, Disconnected):
        machine.down()
    elif isinstance(event, WatchTriggered):
        machine.told(event.kind, event.path)
