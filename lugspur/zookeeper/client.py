"""Transport of a session: one connection at a time to a server of the ensemble, and the session's timer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from lugspur.zookeeper.session import (
    CLOSED_REASON,
    Connected,
    Disconnected,
    Event,
    Expired,
    Session,
    SessionOptions,
    SessionState,
)
from lugspur.zookeeper.session_multiplexer import SessionMultiplexer, SessionUser

Address = tuple[str, int]
#: Delays between two rounds of connection attempts to all servers; each one doubles, from the first to the maximum.
FIRST_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS = 0.05, 2.0
#: Seconds that a connection has to last for the next delay to be the first one again.
STABLE_CONNECTION_SECONDS = 2.0
#: Seconds that a server may take to confirm the end of the session.
CLOSE_TIMEOUT_SECONDS = 1.0


class Client:
    """Keeps a session with one of several servers until `close`.

    `on_events` is called each time that the session has processed data or a timer, with its events that resulted; the
    users of the session have processed them by then.
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
        self._random.shuffle(self._addresses)  # so that not all clients connect to the first server of the settings
        self.multiplexer = SessionMultiplexer(Session(options, len(addresses)))
        self._on_events = on_events
        self._loop = asyncio.get_running_loop()
        self._connection: _Connection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS
        self.server_address: Address | None = None  # address of the server that is connected, if any

    @property
    def session(self) -> Session:
        """The session that the users share."""
        return self.multiplexer.session

    def open(self) -> None:
        """Start to connect."""
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    async def close(self) -> None:
        """End the session if a server is connected, and close the connection."""
        session = self.session
        if session.state is SessionState.CONNECTED and self._connection is not None:
            ended = self._connection.ended
            session.close(self._loop.time())
            self.flush()
            await asyncio.wait([ended], timeout=CLOSE_TIMEOUT_SECONDS)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; the session ends after its timeout."""
        session = self.session
        self._handle_events(session.connection_lost("the client closed the connection"))
        session.state = SessionState.CLOSED
        if self._task is not None:
            self._task.cancel()
        self._drop_connection()

    def add(self, user: SessionUser) -> None:
        """Add a user of the session."""
        self.multiplexer.add(user, self._loop.time())
        self.flush()

    def remove(self, user: SessionUser) -> None:
        """Remove a user of the session."""
        self.multiplexer.remove(user)

    def send_requests(self) -> None:
        """Send the requests of users; has to be called if a user has new requests without an event of the session."""
        self.multiplexer.send_requests(self._loop.time())
        self.flush()

    # ---- connections -------------------------------------------------------------------------

    async def _run(self) -> None:
        index = 0
        while self.session.state is not SessionState.CLOSED:
            started_at = self._loop.time()
            await self._connect(self._addresses[index])
            index = (index + 1) % len(self._addresses)
            if self._loop.time() - started_at >= STABLE_CONNECTION_SECONDS:
                self._retry_delay = FIRST_RETRY_DELAY_SECONDS
            elif index == 0:
                # Spreads the connections to an ensemble that has just recovered, and makes them less frequent.
                await asyncio.sleep(self._retry_delay * (0.5 + self._random.random()))
                self._retry_delay = min(MAX_RETRY_DELAY_SECONDS, 2.0 * self._retry_delay)

    async def _connect(self, address: Address) -> None:
        """Run one connection until it ends."""
        self._connection = connection = _Connection(self)
        try:
            async with asyncio.timeout(self.session.connect_timeout):
                await self._loop.create_connection(lambda: connection, *address)
            self.server_address = address
            await connection.ended
        except OSError:
            pass  # the connection was refused or timed out; the next server is tried
        finally:
            self.server_address = None
            connection.abort()

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        if self._timer is not None:
            self._timer.cancel()

    # ---- callbacks of the connection ---------------------------------------------------------

    def connection_made(self) -> None:
        """The connection is established."""
        self.session.connection_made(self._loop.time())
        self.flush()

    def data_received(self, data: bytes) -> None:
        """The server has sent data."""
        self._handle_events(self.session.data_received(self._loop.time(), data))

    def connection_lost(self) -> None:
        """The connection has ended."""
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
        """Send the output of the session, and schedule its next tick."""
        data = self.session.take_output()
        if data and self._connection is not None:
            self._connection.write(data)
        if self._timer is not None:
            self._timer.cancel()
        next_tick_at = self.session.next_tick_at()
        if next_tick_at != float("inf"):
            self._timer = self._loop.call_at(next_tick_at, self._tick)


class _Connection(asyncio.Protocol):
    """The connection to one server."""

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
        """Send data if the connection is established."""
        if self._transport is not None:
            self._transport.write(data)

    def abort(self) -> None:
        """Close the connection at once; data that arrives on it is ignored from now on."""
        if not self.ended.done():
            self.ended.set_result(None)
        if self._transport is not None:
            self._transport.abort()
