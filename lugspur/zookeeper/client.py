"""The thin transport: one connection at a time to an ensemble, and the session's timers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from lugspur.zookeeper.link import SessionMultiplexer, SessionUser
from lugspur.zookeeper.session import (
    CLOSED_REASON,
    Connected,
    Disconnected,
    Event,
    Expired,
    Session,
    SessionOptions,
    State,
)

Address = tuple[str, int]
RETRY_FIRST, RETRY_MOST = 0.05, 2.0  # seconds between two rounds through all servers, doubling
STEADY = 2.0  # seconds that a connection has to last for the next wait to be the first again
CLOSE_WITHIN = 1.0  # seconds that a server may take to confirm the session's end


class Client:
    """Keeps a session with one of several servers until `close`.

    `heard` is called after each turn, with what happened to the session in it: the machines have been told by then.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        options: SessionOptions,
        heard: Callable[[list[Event]], None],
        chance: random.Random | None = None,
    ) -> None:
        self._chance = chance or random.Random()
        self._addresses = list(addresses)
        self._chance.shuffle(self._addresses)  # Guards the first server of everybody's file against everybody
        self.multiplexer = SessionMultiplexer(Session(options, len(addresses)))
        self._heard = heard
        self._loop = asyncio.get_running_loop()
        self._wire: _Wire | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._wait = RETRY_FIRST
        self.server: Address | None = None  # the one that has taken the session

    @property
    def session(self) -> Session:
        """The session as it stands."""
        return self.multiplexer.session

    def open(self) -> None:
        """Begin to connect."""
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    async def close(self) -> None:
        """End the session, where a server can be told, and the connection."""
        session = self.session
        if session.state is State.CONNECTED and self._wire is not None:
            ended = self._wire.ended
            session.close(self._loop.time())
            self.flush()
            await asyncio.wait([ended], timeout=CLOSE_WITHIN)
        self.abort()

    def abort(self) -> None:
        """Let go of the connection at once; the session ends when its time-out is over."""
        session = self.session
        self._after(session.connection_lost("it is given up"))
        session.state = State.CLOSED
        if self._task is not None:
            self._task.cancel()
        self._drop()

    def add(self, user: SessionUser) -> None:
        """One more user of the session."""
        self.multiplexer.add(user, self._loop.time())
        self.flush()

    def remove(self, user: SessionUser) -> None:
        """One less."""
        self.multiplexer.remove(user)

    def turn(self) -> None:
        """A user may want something that no event has made it want."""
        self.multiplexer.turn(self._loop.time())
        self.flush()

    # ---- connections -------------------------------------------------------------------------

    async def _run(self) -> None:
        at = 0
        while self.session.state is not State.CLOSED:
            begun = self._loop.time()
            await self._connect(self._addresses[at])
            at = (at + 1) % len(self._addresses)
            if self._loop.time() - begun >= STEADY:
                self._wait = RETRY_FIRST
            elif at == 0:
                # Guards an ensemble that has just come back: not all clients at once, and ever more slowly.
                await asyncio.sleep(self._wait * (0.5 + self._chance.random()))
                self._wait = min(RETRY_MOST, 2.0 * self._wait)

    async def _connect(self, address: Address) -> None:
        """One connection, until it ends."""
        self._wire = wire = _Wire(self)
        try:
            async with asyncio.timeout(self.session.connect_timeout):
                await self._loop.create_connection(lambda: wire, *address)
            self.server = address
            await wire.ended
        except OSError:
            pass  # refused, or not there in time: the next one
        finally:
            self.server = None
            wire.abort()

    def _drop(self) -> None:
        if self._wire is not None:
            self._wire.abort()
        if self._timer is not None:
            self._timer.cancel()

    # ---- what happens on the wire --------------------------------------------------------------

    def opened(self) -> None:
        """The connection is up."""
        self.session.connection_made(self._loop.time())
        self.flush()

    def received(self, data: bytes) -> None:
        """Bytes of the server."""
        self._after(self.session.data_received(self._loop.time(), data))

    def lost(self) -> None:
        """The connection is over."""
        self._after(self.session.connection_lost(CLOSED_REASON))

    def _tick(self) -> None:
        self._after(self.session.tick(self._loop.time()))

    def _after(self, events: list[Event]) -> None:
        if events:
            self.multiplexer.handle(self._loop.time(), events)
        self.flush()
        self._heard([event for event in events if isinstance(event, Connected | Disconnected | Expired)])
        if any(isinstance(event, Disconnected) for event in events):
            self._drop()

    def flush(self) -> None:
        """Send what is to be sent, and wake up when the session wants it."""
        data = self.session.take_output()
        if data and self._wire is not None:
            self._wire.write(data)
        if self._timer is not None:
            self._timer.cancel()
        due = self.session.next_tick_at()
        if due != float("inf"):
            self._timer = self._loop.call_at(due, self._tick)


class _Wire(asyncio.Protocol):
    """The connection to one server."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self._transport: asyncio.Transport | None = None
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._client.opened()

    def data_received(self, data: bytes) -> None:
        if not self.ended.done():
            self._client.received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)
            self._client.lost()

    def write(self, data: bytes) -> None:
        """Send, while there is a connection."""
        if self._transport is not None:
            self._transport.write(data)

    def abort(self) -> None:
        """Let go of it at once; nothing that comes from it counts any more."""
        if not self.ended.done():
            self.ended.set_result(None)
        if self._transport is not None:
            self._transport.abort()
