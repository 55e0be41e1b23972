"""One session that several users share (views, registrations), still without I/O."""

from __future__ import annotations

from typing import Any, Protocol

from lugspur.zookeeper.records import EventType
from lugspur.zookeeper.session import Connected, Disconnected, Event, Reply, Session, State, WatchTriggered


class Request(Protocol):
    """A request that a user wants sent, with whatever it likes to know it again by."""

    @property
    def op(self) -> int: ...

    @property
    def body(self) -> Any: ...


class SessionUser(Protocol):
    """What uses the session. It is told of everything, and asked what it wants after each turn."""

    def on_connected(self, event: Connected) -> None:
        """Requests can be asked for from now on."""

    def on_disconnected(self) -> None:
        """Nothing can be asked for, and missing replies will not come: a request may have been done or not."""

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """A watch of anybody's in this session has told."""

    def on_reply(self, request: Any, error: int, result: Any) -> None:
        """What became of a request of this user."""

    def take_requests(self) -> list[Any]:
        """What is to be asked now."""


class SessionMultiplexer:
    """Passes events to the users and their requests to the session."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.users: list[SessionUser] = []
        self._owners: dict[int, tuple[SessionUser, Any]] = {}
        self._connected: Connected | None = None

    def add(self, user: SessionUser, now: float) -> None:
        """One more; it is told at once where the session is up."""
        self.users.append(user)
        if self._connected is not None:
            user.on_connected(self._connected)
            self.send_requests(now)

    def remove(self, user: SessionUser) -> None:
        """One less; replies to it are dropped."""
        self.users.remove(user)
        self._owners = {token: owner for token, owner in self._owners.items() if owner[0] is not user}

    def handle(self, now: float, events: list[Event]) -> None:
        """What the session says, to whom it concerns."""
        for event in events:
            if isinstance(event, Reply):
                owner = self._owners.pop(event.token, None)
                if owner is not None:
                    owner[0].on_reply(owner[1], event.error, event.result)
                continue
            if isinstance(event, Connected | Disconnected):
                self._connected = event if isinstance(event, Connected) else None
                self._owners.clear()
            for user in tuple(self.users):
                _notify(user, event)
        self.send_requests(now)

    def send_requests(self, now: float) -> None:
        """Send what the users want asked."""
        for user in self.users:
            requests = user.take_requests()
            if self.session.state is State.CONNECTED:
                for request in requests:
                    self._owners[self.session.send_request(now, request.op, request.body)] = user, request


def _notify(user: SessionUser, event: Event) -> None:
    if isinstance(event, Connected):
        user.on_connected(event)
    elif isinstance(event, Disconnected):
        user.on_disconnected()
    elif isinstance(event, WatchTriggered):
        user.on_watch_triggered(event.kind, event.path)
