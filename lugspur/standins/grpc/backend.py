"""The backend. It uses h2 and none of the daemon's own HTTP/2 code, so that each checks the other."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from h2 import events as h2e
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes, Settings

from lugspur.standins.grpc.script import Script, ScriptError, parse_script

REFUSED_STREAM = 7  # HTTP/2 error code
PREFIX = 5  # bytes before each message: the compression flag and the length


class CallEnded(Exception):
    """The call ended, by its script or by its caller."""


class Call:
    """One call, as the backend receives it."""

    def __init__(self, connection: Connection, stream: int, fields: list[tuple[str, str]]) -> None:
        self.connection, self.stream = connection, stream
        self.fields = fields
        self.headers = dict(fields)
        self.path = self.headers[":path"]
        self.rid = self.headers.get("x-request-id", "")
        self.cancelled = asyncio.Event()  # the caller reset the stream or closed the connection
        self.code = -1  # the error code with which the caller reset the stream; -1 if it did not
        self.received = 0  # bytes of messages received so far, with their prefixes
        self.ended = False  # the caller has ended its side of the stream
        self._bytes = bytearray()
        self._changed = asyncio.Event()
        self._head_sent = False

    # ---- the request ---------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Receive bytes of the request's messages."""
        self._bytes += data
        self.received += len(data)
        self._changed.set()

    def end(self) -> None:
        """Receive the end of the request."""
        self.ended = True
        self._changed.set()

    async def message(self) -> bytes | None:
        """Return the next message of the request, or None after the last one."""
        while True:
            if len(self._bytes) >= PREFIX:
                size = PREFIX + int.from_bytes(self._bytes[1:PREFIX], "big")
                if len(self._bytes) >= size:
                    message = bytes(self._bytes[PREFIX:size])
                    del self._bytes[:size]
                    return message
            if self.ended:
                return None
            self._changed.clear()
            await self._changed.wait()

    # ---- the response --------------------------------------------------------------------------

    def head(self, *more: tuple[str, str]) -> None:
        """Send the headers of the response, unless they are sent already."""
        if not self._head_sent:
            self._head_sent = True
            content_type = self.headers.get("content-type", "application/grpc")
            self.connection.head(self.stream, [(":status", "200"), ("content-type", content_type), *more])

    async def send(self, message: bytes) -> None:
        """Send one message as the flow control windows allow; raises CallEnded."""
        self.head()
        await self.connection.send(self, b"\0" + len(message).to_bytes(4, "big") + message)

    def finish(self, status: int = 0, message: str = "", *more: tuple[str, str]) -> None:
        """Send the trailers, or a trailers-only response if no headers are sent yet."""
        tail = [("grpc-status", str(status)), *([("grpc-message", message)] if message else []), *more]
        if not self._head_sent:
            tail = [(":status", "200"), ("content-type", "application/grpc"), *tail]
        self.connection.tail(self.stream, tail)

    def reset(self, code: int) -> None:
        """Reset the stream."""
        self.connection.reset(self.stream, code)

    def inject(self, script: Script, point: str) -> None:
        """Inject the script's fault at this point, if any; raises CallEnded if there is one."""
        fault = script.at(point)
        if fault == "reset":
            self.reset(script.code)
        elif fault == "cut":
            self.connection.kill()
        if fault:
            raise CallEnded


async def run_script(call: Call, script: Script) -> None:
    """Echo the messages of the request, with the faults of the script."""
    call.inject(script, "head")
    messages = []
    while (message := await call.message()) is not None:
        messages.append(message)
        if len(messages) == 1:
            call.inject(script, "message")
            if script.sleep:
                await asyncio.sleep(script.sleep)
        if script.messages is None and not script.size:
            await _respond(call, script, message, len(messages) == 1)
    if script.messages is not None or script.size is not None:
        first = messages[0] if messages else b""
        for at in range(1 if script.messages is None else script.messages):
            await _respond(call, script, first if script.size is None else b"x" * script.size, at == 0)
    call.inject(script, "trailers")
    if script.spoil == "nothing":
        call.connection.tail(call.stream, None)
    else:
        call.finish(script.status, "as asked" if script.status else "")


async def _respond(call: Call, script: Script, message: bytes, first: bool) -> None:
    if first:
        call.inject(script, "answer")
        if script.spoil in ("flag", "early"):
            call.head()
            await call.connection.send(call, (b"\7" if script.spoil == "flag" else b"\0") + b"\0\0\0\x09cut")
            call.finish(0)
            raise CallEnded
        if script.spoil == "frame":
            call.connection.raw(b"\xff" * 64)
            raise CallEnded
        if script.at("body"):
            call.head()
            await call.connection.send(call, b"\0" + (len(message) + 1).to_bytes(4, "big") + message)
            await asyncio.sleep(0.01)  # makes it likely that this part is sent on its own, before the fault
            call.inject(script, "body")
    await call.send(message)


class GrpcBackend:
    """Listens on one address; `work` serves each call, with the script from the call's metadata."""

    def __init__(
        self, work: Callable[[Call, Script], Awaitable[None]] = run_script, streams: int = 100, window: int = 65_535
    ) -> None:
        self.work = work
        self.streams, self.window = streams, window
        self.ran: Counter[str] = Counter()  # calls by X-Request-ID, counted when their headers arrive
        self.calls: list[Call] = []
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.pings = 0
        self.call_started = asyncio.Event()  # set by the first call
        self.reading_paused = False  # whether connections are not read
        self.address = ""
        self.follows_scripts = True  # whether scripts are followed; if not, each call is served without faults
        self.extends_windows = True  # whether the callers' flow control windows are extended as data is read
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), host, port, backlog=1024)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stall(self, paused: bool = True) -> None:
        """Stop reading from all connections or, with `paused` False, resume."""
        self.reading_paused = paused
        for connection in self.connections:
            connection.update_reading()

    def goaway(self, last: int | None = None, code: int = 0) -> None:
        """Send GOAWAY to all callers; the last stream id is by default the highest one received."""
        for connection in self.connections:
            connection.goaway(last, code)

    def refuse(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def kill(self) -> None:
        """Stop listening and abort all connections, as when a process dies."""
        self.refuse()
        for connection in tuple(self.connections):
            connection.kill()


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, backend: GrpcBackend) -> None:
        self._backend = backend
        self._h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self._calls: dict[int, Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._window_opened = asyncio.Event()
        self._last_stream: int | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backend.connections.add(self)
        self._backend.accepted += 1
        self._h2.local_settings = Settings(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: self._backend.streams,
                SettingCodes.INITIAL_WINDOW_SIZE: self._backend.window,
            },
        )
        self._h2.initiate_connection()
        self.update_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._backend.connections.discard(self)
        for call in self._calls.values():
            call.cancelled.set()
        for task in self._tasks:
            task.cancel()

    def kill(self) -> None:
        """Abort the connection."""
        self._transport.abort()

    def update_reading(self) -> None:
        """Pause or resume reading, as the backend is set."""
        if self._backend.reading_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
            self.flush()

    def flush(self) -> None:
        """Write the pending output of h2."""
        self._transport.write(self._h2.data_to_send())

    def raw(self, data: bytes) -> None:
        """Write bytes that bypass h2."""
        self.flush()
        self._transport.write(data)

    def goaway(self, last: int | None, code: int = 0) -> None:
        """Send GOAWAY; later streams with an id above `last` are ignored."""
        self._last_stream = self._h2.highest_inbound_stream_id if last is None else last
        payload = self._last_stream.to_bytes(4, "big") + code.to_bytes(4, "big")
        self.raw(b"\0\0\x08\x07\0\0\0\0\0" + payload)

    def data_received(self, data: bytes) -> None:
        try:
            events = self._h2.receive_data(data)
        except ProtocolError:
            self.flush()
            self._transport.close()
            return
        for event in events:
            self._on_event(event)
        self.flush()

    def _on_event(self, event: h2e.Event) -> None:
        if isinstance(event, h2e.RequestReceived):
            self._start_call(event.stream_id, [(str(name), str(value)) for name, value in event.headers])
        elif isinstance(event, h2e.DataReceived):
            call = self._calls.get(event.stream_id)
            if self._backend.extends_windows and event.flow_controlled_length:
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
                self._window_opened.set()
        elif isinstance(event, h2e.WindowUpdated | h2e.RemoteSettingsChanged):
            self._window_opened.set()
        elif isinstance(event, h2e.PingReceived):
            self._backend.pings += 1

    def _start_call(self, stream: int, fields: list[tuple[str, str]]) -> None:
        if self._last_stream is not None and stream > self._last_stream:
            return
        call = Call(self, stream, fields)
        try:
            script = parse_script(call.headers.get("x-script", "") if self._backend.follows_scripts else "")
        except ScriptError as fault:
            call.finish(3, str(fault).replace("%", ""))
            return
        if script.rejection == "refuse":
            self.reset(stream, REFUSED_STREAM)
            return
        if script.rejection == "above":
            self.goaway(max(0, stream - 2))
            return
        if script.rejection == "unseen":
            call.finish(14, "no room", ("x-not-processed", "1"))
            return
        self._calls[stream] = call
        self._backend.ran[call.rid] += 1
        self._backend.calls.append(call)
        self._backend.call_started.set()
        if script.goaway:
            self.goaway(stream)
        task = asyncio.get_running_loop().create_task(self._run(call, script))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, call: Call, script: Script) -> None:
        try:
            await self._backend.work(call, script)
        except CallEnded:
            if not script.stall:
                self._calls.pop(call.stream, None)
        else:
            self._calls.pop(call.stream, None)

    # ---- output of the calls -------------------------------------------------------------------

    def head(self, stream: int, fields: list[tuple[str, str]]) -> None:
        """Send the headers of a response; raises CallEnded."""
        try:
            self._h2.send_headers(stream, fields)
        except ProtocolError as fault:
            raise CallEnded from fault
        self.flush()

    async def send(self, call: Call, data: bytes) -> None:
        """Send a part of a response as the flow control windows allow; raises CallEnded."""
        try:
            while data:
                limit = min(self._h2.local_flow_control_window(call.stream), self._h2.max_outbound_frame_size)
                if limit <= 0:
                    self._window_opened.clear()
                    await self._window_opened.wait()
                    continue
                self._h2.send_data(call.stream, data[:limit])
                data = data[limit:]
                self.flush()
        except ProtocolError as fault:
            raise CallEnded from fault

    def tail(self, stream: int, fields: list[tuple[str, str]] | None) -> None:
        """Send the trailers, or with None end the stream without trailers; raises CallEnded."""
        try:
            if fields is None:
                self._h2.end_stream(stream)
            else:
                self._h2.send_headers(stream, fields, end_stream=True)
        except ProtocolError as fault:
            raise CallEnded from fault
        self.flush()

    def reset(self, stream: int, code: int) -> None:
        """Send RST_STREAM; raises CallEnded."""
        try:
            self._h2.reset_stream(stream, code)
        except ProtocolError as fault:
            raise CallEnded from fault
        self.flush()
