"""Sessions with registries: one for each ensemble, shared by all endpoint sources and registrations that use it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lugspur.discovery.endpoints import Address
from lugspur.zookeeper.client import Client
from lugspur.zookeeper.session import Event, SessionOptions
from lugspur.zookeeper.session_multiplexer import SessionUser

#: Called each time that the session has processed data or a timer, with the events of the session that resulted.
SessionListener = Callable[[list[Event]], None]


@dataclass(frozen=True, slots=True)
class Ensemble:
    """The servers of a registry and the options of a session with them; equal ones share a session."""

    addresses: tuple[Address, ...]
    options: SessionOptions


class RegistrySession:
    """A session with a registry, and the state machines that use it."""

    def __init__(self, ensemble: Ensemble) -> None:
        self.client = Client(ensemble.addresses, ensemble.options, self._notify)
        self.users: dict[SessionUser, SessionListener] = {}

    def _notify(self, events: list[Event]) -> None:
        for listener in tuple(self.users.values()):
            listener(events)

    def add_user(self, user: SessionUser, listener: SessionListener) -> None:
        """Send requests of `user` in the session; call `listener` at once and as described for `SessionListener`."""
        self.users[user] = listener
        self.client.add(user)
        self.client.open()
        listener([])

    def remove_user(self, user: SessionUser) -> None:
        """Stop sending requests of `user`; raises KeyError unless it was added."""
        del self.users[user]
        self.client.remove(user)


class RegistrySessions:
    """All sessions of a process."""

    def __init__(self) -> None:
        self._sessions: dict[Ensemble, RegistrySession] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, ensemble: Ensemble) -> RegistrySession:
        """Return the session with these servers; it connects once it has a user."""
        return self._sessions.setdefault(ensemble, RegistrySession(ensemble))

    def close_unused(self) -> None:
        """Close the sessions that have no users anymore."""
        for ensemble, session in tuple(self._sessions.items()):
            if not session.users:
                del self._sessions[ensemble]
                task = asyncio.get_running_loop().create_task(session.client.close())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all sessions, and wait until the servers have confirmed it or the timeout for that has passed."""
        for session in self._sessions.values():
            session.users.clear()
        self.close_unused()
        await asyncio.gather(*self._closing)
