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
FIRST_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS = (
    0.05,
    2.0,
)  # seconds between two rounds through all servers, doubling
STABLE_CONNECTION_SECONDS = 2.0  # seconds that a connection has to last for the next wait to be the first again
CLOSE_TIMEOUT_SECONDS = 1.0  # seconds that a server_address may take to confirm the session's end


class Client:
    """Keeps a session with one of several servers until `close`.

    `heard` is called after each turn, with what happened to the session in it: the machines have been told by then.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        options: SessionOptions,
        on_events: Callable[[list[Event]], None],
        random_source: random.Random | None = None,
    ) -> None:
        self._random = random_source or random.Random()
        self._addresses = list(addresses)
        self._random.shuffle(self._addresses)  # Guards the first server_address of everybody's file against everybody
        self.multiplexer = SessionMultiplexer(Session(options, len(addresses)))
        self._on_events = on_events
        self._loop = asyncio.get_running_loop()
        self._connection: _Connection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS
        self.server_address: Address | None = None  # the one that has taken the session

    @property
    def session(self) -> Session:
        """The session as it stands."""
        return self.multiplexer.session

    def open(self) -> None:
        """Begin to connect."""
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    async def close(self) -> None:
        """End the session, where a server_address can be told, and the connection."""
        session = self.session
        if session.state is State.CONNECTED and self._connection is not None:
            ended = self._connection.ended
            session.close(self._loop.time())
            self.flush()
            await asyncio.wait([ended], timeout=CLOSE_TIMEOUT_SECONDS)
        self.abort()

    def abort(self) -> None:
        """Let go of the connection at once; the session ends when its time-out is over."""
        session = self.session
        self._handle_events(session.connection_lost("it is given up"))
        session.state = State.CLOSED
        if self._task is not None:
            self._task.cancel()
        self._drop_connection()

    def add(self, user: SessionUser) -> None:
        """One more user of the session."""
        self.multiplexer.add(user, self._loop.time())
        self.flush()

    def remove(self, user: SessionUser) -> None:
        """One less."""
        self.multiplexer.remove(user)

    def send_requests(self) -> None:
        """A user may want something that no event has made it want."""
        self.multiplexer.send_requests(self._loop.time())
        self.flush()

    # ---- connections -------------------------------------------------------------------------

    async def _run(self) -> None:
        index = 0
        while self.session.state is not State.CLOSED:
            started_at = self._loop.time()
            await self._connect(self._addresses[index])
            index = (index + 1) % len(self._addresses)
            if self._loop.time() - started_at >= STABLE_CONNECTION_SECONDS:
                self._retry_delay = FIRST_RETRY_DELAY_SECONDS
            elif index == 0:
                # Guards an ensemble that has just come back: not all clients at once, and ever more slowly.
                await asyncio.sleep(self._retry_delay * (0.5 + self._random.random()))
                self._retry_delay = min(MAX_RETRY_DELAY_SECONDS, 2.0 * self._retry_delay)

    async def _connect(self, address: Address) -> None:
        """One connection, until it ends."""
        self._connection = connection = _Connection(self)
        try:
            async with asyncio.timeout(self.session.connect_timeout):
                await self._loop.create_connection(lambda: connection, *address)
            self.server_address = address
            await connection.ended
        except OSError:
            pass  # refused, or not there in time: the next one
        finally:
            self.server_address = None
            connection.abort()

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        if self._timer is not None:
            self._timer.cancel()

    # ---- what happens on the connection --------------------------------------------------------------

    def connection_made(self) -> None:
        """The connection is up."""
        self.session.connection_made(self._loop.time())
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Bytes of the server_address."""
        self._handle_events(self.session.data_received(self._loop.time(), data))

    def connection_lost(self) -> None:
        """The connection is over."""
        self._handle_events(self.session.connection_lost(CLOSED_REASON))

    def _tick(self) -> None:
        self._handle_events(self.session.tick(self._loop.time()))

    def _handle_events(self, events: list[Event]) -> None:
        if events:
            self.multiplexer.handle(self._loop.time(), events)
        self.flush()
        self._on_events([event for event in events if isinstance(event, Connected | Disconnected | Expired)])
        if any(isinstance(event, Disconnected) for event in events):
            self._drop_connection()

    def flush(self) -> None:
        """Send what is to be sent, and wake up when the session wants it."""
        data = self.session.take_output()
        if data and self._connection is not None:
            self._connection.write(data)
        if self._timer is not None:
            self._timer.cancel()
        due = self.session.next_tick_at()
        if due != float("inf"):
            self._timer = self._loop.call_at(due, self._tick)


class _Connection(asyncio.Protocol):
    """The connection to one server_address."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self._transport: asyncio.Transport | None = None
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._client.connection_made()

    def data_received(self, data: bytes) -> None:
        if not self.ended.done():
            self._client.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)
            self._client.connection_lost()

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
