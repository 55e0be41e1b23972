"""Multiplexer for a session that several users share, such as views and registrations. No I/O."""

from __future__ import annotations

from typing import Any, Protocol

from lugspur.zookeeper.records import EventType
from lugspur.zookeeper.session import Connected, Disconnected, Event, Reply, Session, SessionState, WatchTriggered


class Request(Protocol):
    """A request of a user. The same object is passed back with the reply, so it may carry further fields."""

    @property
    def op(self) -> int: ...

    @property
    def body(self) -> Any: ...


class SessionUser(Protocol):
    """A state machine that uses the session; it receives all events, and is asked for requests after them."""

    def on_connected(self, event: Connected) -> None:
        """The session is connected: requests may be sent."""

    def on_disconnected(self) -> None:
        """The session is disconnected: pending replies will not arrive, and their requests may have been executed."""

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """A watch of any user of this session was triggered."""

    def on_reply(self, request: Any, error: int, result: Any) -> None:
        """The reply to a request of this user has arrived."""

    def take_requests(self) -> list[Any]:
        """Return the requests to be sent now."""


class SessionMultiplexer:
    """Passes the events of a session to its users, and the requests of the users to the session."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.users: list[SessionUser] = []
        self._owners: dict[int, tuple[SessionUser, Any]] = {}
        self._connected: Connected | None = None

    def add(self, user: SessionUser, now: float) -> None:
        """Add a user; its `on_connected` is called at once if the session is connected."""
        self.users.append(user)
        if self._connected is not None:
            user.on_connected(self._connected)
            self.send_requests(now)

    def remove(self, user: SessionUser) -> None:
        """Remove a user; replies to its requests are dropped."""
        self.users.remove(user)
        self._owners = {token: owner for token, owner in self._owners.items() if owner[0] is not user}

    def handle(self, now: float, events: list[Event]) -> None:
        """Pass events of the session to the users concerned."""
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
        """Send the requests that the users have now."""
        for user in self.users:
            requests = user.take_requests()
            if self.session.state is SessionState.CONNECTED:
                for request in requests:
                    self._owners[self.session.send_request(now, request.op, request.body)] = user, request


def _notify(user: SessionUser, event: Event) -> None:
    if isinstance(event, Connected):
        user.on_connected(event)
    elif isinstance(event, Disconnected):
        user.on_disconnected()
    elif isinstance(event, WatchTriggered):
        user.on_watch_triggered(event.kind, event.path)
