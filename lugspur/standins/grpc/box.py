"""The box: h2 alone, none of the daemon's own machinery, so that the two check each other."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from h2 import events as h2e
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes, Settings

from lugspur.standins.grpc.script import Script, Wrong, read

REFUSED_STREAM = 7
PREFIX = 5  # bytes ahead of each message


class Ended(Exception):
    """The call is over, by its script or its caller."""


class Call:
    """One call as the box sees it."""

    def __init__(self, connection: Connection, stream: int, fields: list[tuple[str, str]]) -> None:
        self.connection, self.stream = connection, stream
        self.fields = fields
        self.headers = dict(fields)
        self.path = self.headers[":path"]
        self.rid = self.headers.get("x-request-id", "")
        self.cancelled = asyncio.Event()  # the caller has reset it, or is gone
        self.code = -1  # with which it was reset
        self.received = 0  # bytes of messages that have come
        self.ended = False  # the caller has said all
        self._bytes = bytearray()
        self._more = asyncio.Event()
        self._headed = False

    # ---- the request ---------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """More has come."""
        self._bytes += data
        self.received += len(data)
        self._more.set()

    def end(self) -> None:
        """The caller has said all."""
        self.ended = True
        self._more.set()

    async def message(self) -> bytes | None:
        """The next message; None after the last. Raises Ended."""
        while True:
            if len(self._bytes) >= PREFIX:
                size = PREFIX + int.from_bytes(self._bytes[1:PREFIX], "big")
                if len(self._bytes) >= size:
                    message = bytes(self._bytes[PREFIX:size])
                    del self._bytes[:size]
                    return message
            if self.ended:
                return None
            self._more.clear()
            await self._more.wait()

    # ---- the answer ----------------------------------------------------------------------------

    def head(self, *more: tuple[str, str]) -> None:
        """The answer's head, once."""
        if not self._headed:
            self._headed = True
            kind = self.headers.get("content-type", "application/grpc")
            self.connection.head(self.stream, [(":status", "200"), ("content-type", kind), *more])

    async def send(self, message: bytes) -> None:
        """One message, as the windows allow."""
        self.head()
        await self.connection.send(self, b"\0" + len(message).to_bytes(4, "big") + message)

    def finish(self, status: int = 0, message: str = "", *more: tuple[str, str]) -> None:
        """The trailers, or a trailers-only answer."""
        tail = [("grpc-status", str(status)), *([("grpc-message", message)] if message else []), *more]
        if not self._headed:
            tail = [(":status", "200"), ("content-type", "application/grpc"), *tail]
        self.connection.tail(self.stream, tail)

    def reset(self, code: int) -> None:
        """Give it up."""
        self.connection.reset(self.stream, code)

    def happen(self, script: Script, point: str) -> None:
        """What the script says of this point; raises Ended where the call goes no further."""
        what = script.at(point)
        if what == "reset":
            self.reset(script.code)
        elif what == "cut":
            self.connection.kill()
        if what:
            raise Ended


async def scripted(call: Call, script: Script) -> None:
    """Echo what comes, but for what the script says."""
    call.happen(script, "head")
    messages = []
    while (message := await call.message()) is not None:
        messages.append(message)
        if len(messages) == 1:
            call.happen(script, "message")
            if script.sleep:
                await asyncio.sleep(script.sleep)
        if script.messages is None and not script.size:
            await _answer(call, script, message, len(messages) == 1)
    if script.messages is not None or script.size is not None:
        first = messages[0] if messages else b""
        for at in range(1 if script.messages is None else script.messages):
            await _answer(call, script, first if script.size is None else b"x" * script.size, at == 0)
    call.happen(script, "trailers")
    if script.spoil == "nothing":
        call.connection.tail(call.stream, None)
    else:
        call.finish(script.status, "as asked" if script.status else "")


async def _answer(call: Call, script: Script, message: bytes, first: bool) -> None:
    if first:
        call.happen(script, "answer")
        if script.spoil in ("flag", "early"):
            call.head()
            await call.connection.send(call, (b"\7" if script.spoil == "flag" else b"\0") + b"\0\0\0\x09cut")
            call.finish(0)
            raise Ended
        if script.spoil == "frame":
            call.connection.raw(b"\xff" * 64)
            raise Ended
        if script.at("body"):
            call.head()
            await call.connection.send(call, b"\0" + (len(message) + 1).to_bytes(4, "big") + message)
            await asyncio.sleep(0.01)  # it goes out by itself
            call.happen(script, "body")
    await call.send(message)


class Box:
    """Listens on one address; `work` does each call, the script is read from its metadata."""

    def __init__(
        self, work: Callable[[Call, Script], Awaitable[None]] = scripted, streams: int = 100, window: int = 65_535
    ) -> None:
        self.work = work
        self.streams, self.window = streams, window
        self.ran: Counter[str] = Counter()  # by X-Request-ID, from the moment in which the headers have come
        self.calls: list[Call] = []
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.pings = 0
        self.begun = asyncio.Event()  # a call has come
        self.deaf = False  # reads nothing
        self.address = ""
        self.scripts = True  # does what scripts say; else it serves all
        self.credit = True  # opens its callers' windows as it reads
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begin to serve."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), host, port, backlog=1024)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stall(self, deaf: bool = True) -> None:
        """Read nothing from now on, or go on."""
        self.deaf = deaf
        for connection in self.connections:
            connection.listen()

    def goaway(self, last: int | None = None, code: int = 0) -> None:
        """Leave all callers; by default with what has come so far."""
        for connection in self.connections:
            connection.goaway(last, code)

    def refuse(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    def kill(self) -> None:
        """Die as a process does."""
        self.refuse()
        for connection in tuple(self.connections):
            connection.kill()


class Connection(asyncio.Protocol):
    """One connection."""

    def __init__(self, box: Box) -> None:
        self._box = box
        self._h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self._calls: dict[int, Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._room = asyncio.Event()
        self._last: int | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._box.connections.add(self)
        self._box.accepted += 1
        self._h2.local_settings = Settings(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: self._box.streams,
                SettingCodes.INITIAL_WINDOW_SIZE: self._box.window,
            },
        )
        self._h2.initiate_connection()
        self.listen()

    def connection_lost(self, exc: Exception | None) -> None:
        self._box.connections.discard(self)
        for call in self._calls.values():
            call.cancelled.set()
        for task in self._tasks:
            task.cancel()

    def kill(self) -> None:
        """Close it at once."""
        self._transport.abort()

    def listen(self) -> None:
        """Read, or not."""
        if self._box.deaf:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
            self.flush()

    def flush(self) -> None:
        """Write what there is."""
        self._transport.write(self._h2.data_to_send())

    def raw(self, data: bytes) -> None:
        """Write these bytes, whatever they are."""
        self.flush()
        self._transport.write(data)

    def goaway(self, last: int | None, code: int = 0) -> None:
        """GOAWAY; streams that come later than its last id are not looked at."""
        self._last = self._h2.highest_inbound_stream_id if last is None else last
        payload = self._last.to_bytes(4, "big") + code.to_bytes(4, "big")
        self.raw(b"\0\0\x08\x07\0\0\0\0\0" + payload)

    def data_received(self, data: bytes) -> None:
        try:
            events = self._h2.receive_data(data)
        except ProtocolError:
            self.flush()
            self._transport.close()
            return
        for event in events:
            self._event(event)
        self.flush()

    def _event(self, event: h2e.Event) -> None:
        if isinstance(event, h2e.RequestReceived):
            self._begin(event.stream_id, [(str(name), str(value)) for name, value in event.headers])
        elif isinstance(event, h2e.DataReceived):
            call = self._calls.get(event.stream_id)
            if self._box.credit and event.flow_controlled_length:
                self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if call is not None:
                call.feed(event.data)
        elif isinstance(event, h2e.StreamEnded):
            call = self._calls.get(event.stream_id)
            if call is not None:
                call.end()
        elif isinstance(event, h2e.StreamReset):
            call = self._calls.pop(event.stream_id, None)
            if call is not None:
                call.code = int(event.error_code)
                call.cancelled.set()
                self._room.set()
        elif isinstance(event, h2e.WindowUpdated | h2e.RemoteSettingsChanged):
            self._room.set()
        elif isinstance(event, h2e.PingReceived):
            self._box.pings += 1

    def _begin(self, stream: int, fields: list[tuple[str, str]]) -> None:
        if self._last is not None and stream > self._last:
            return
        call = Call(self, stream, fields)
        try:
            script = read(call.headers.get("x-script", "") if self._box.scripts else "")
        except Wrong as fault:
            call.finish(3, str(fault).replace("%", ""))
            return
        if script.never_runs == "refuse":
            self.reset(stream, REFUSED_STREAM)
            return
        if script.never_runs == "above":
            self.goaway(max(0, stream - 2))
            return
        if script.never_runs == "unseen":
            call.finish(14, "no room", ("x-not-processed", "1"))
            return
        self._calls[stream] = call
        self._box.ran[call.rid] += 1
        self._box.calls.append(call)
        self._box.begun.set()
        if script.goaway:
            self.goaway(stream)
        task = asyncio.get_running_loop().create_task(self._work(call, script))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self, call: Call, script: Script) -> None:
        try:
            await self._box.work(call, script)
        except Ended:
            if not script.stall:
                self._calls.pop(call.stream, None)
        else:
            self._calls.pop(call.stream, None)

    # ---- what calls write ----------------------------------------------------------------------

    def head(self, stream: int, fields: list[tuple[str, str]]) -> None:
        """The head of an answer."""
        try:
            self._h2.send_headers(stream, fields)
        except ProtocolError as fault:
            raise Ended from fault
        self.flush()

    async def send(self, call: Call, data: bytes) -> None:
        """A part of an answer, as the windows allow; raises Ended."""
        try:
            while data:
                most = min(self._h2.local_flow_control_window(call.stream), self._h2.max_outbound_frame_size)
                if most <= 0:
                    self._room.clear()
                    await self._room.wait()
                    continue
                self._h2.send_data(call.stream, data[:most])
                data = data[most:]
                self.flush()
        except ProtocolError as fault:
            raise Ended from fault

    def tail(self, stream: int, fields: list[tuple[str, str]] | None) -> None:
        """The trailers; None: an end without them."""
        try:
            if fields is None:
                self._h2.end_stream(stream)
            else:
                self._h2.send_headers(stream, fields, end_stream=True)
        except ProtocolError as fault:
            raise Ended from fault
        self.flush()

    def reset(self, stream: int, code: int) -> None:
        """RST_STREAM."""
        try:
            self._h2.reset_stream(stream, code)
        except ProtocolError as fault:
            raise Ended from fault
        self.flush()
