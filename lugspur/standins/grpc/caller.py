"""A gRPC caller on h2. Its user decides what it sends and when it reads."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import unquote

from h2 import events as h2e
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes, Settings

PREFIX = 5  # bytes before each message: the compression flag and the length
Fields = list[tuple[str, str]]


@dataclass(slots=True)
class Response:
    """The part of a call's response received so far. `ended` is set when the call ends, in whichever way."""

    head: dict[str, str] = field(default_factory=dict)
    trailers: dict[str, str] = field(default_factory=dict)
    data: bytearray = field(default_factory=bytearray)
    ends: int = 0  # how often the stream was ended; more than once is an error
    reset: int | None = None  # the error code with which the stream was reset
    lost: bool = False  # the connection was lost before the call ended
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    more: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def status(self) -> int | None:
        """The response's grpc-status, or None if it has none."""
        found = self.trailers.get("grpc-status", self.head.get("grpc-status"))
        return None if found is None else int(found)

    @property
    def status_message(self) -> str:
        """The response's grpc-message."""
        return unquote(self.trailers.get("grpc-message", self.head.get("grpc-message", "")))

    @property
    def details(self) -> bytes:
        """The response's grpc-status-details-bin, decoded."""
        text = self.trailers.get("grpc-status-details-bin", self.head.get("grpc-status-details-bin", ""))
        return base64.b64decode(text + "=" * (-len(text) % 4))

    @property
    def messages(self) -> list[bytes]:
        """The messages received completely so far."""
        found, at = [], 0
        while at + PREFIX <= len(self.data):
            size = int.from_bytes(self.data[at + 1 : at + PREFIX], "big")
            if at + PREFIX + size > len(self.data):
                break
            found.append(bytes(self.data[at + PREFIX : at + PREFIX + size]))
            at += PREFIX + size
        return found


class Caller(asyncio.Protocol):
    """One connection to a server, with its calls."""

    def __init__(self, window: int | None = None) -> None:
        self.h2 = H2Connection(
            H2Configuration(
                client_side=True,
                header_encoding="utf-8",
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        if window is not None:
            self.h2.local_settings = Settings(client=True, initial_values={SettingCodes.INITIAL_WINDOW_SIZE: window})
        self.responses: dict[int, Response] = {}
        self.sent: Counter[int] = Counter()  # bytes of messages sent, with their prefixes, by stream
        self.extends_windows = True  # whether the flow control windows are extended as data is read
        self.goaways: list[tuple[int, int]] = []  # last stream id and error code of each GOAWAY
        self.closed = asyncio.Event()
        self.room = asyncio.Event()
        self.acked = 0  # acknowledged PINGs
        self.transport: asyncio.Transport

    async def connect(self, host: str, port: int) -> Caller:
        """Open the connection."""
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)
        return self

    def close(self) -> None:
        """Abort the connection."""
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.h2.initiate_connection()
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed.set()
        self.room.set()
        for response in self.responses.values():
            if not response.ended.is_set():
                response.lost = True
                response.ended.set()

    def flush(self) -> None:
        """Write the pending output of h2."""
        self.transport.write(self.h2.data_to_send())

    def raw(self, data: bytes) -> None:
        """Write bytes that bypass h2."""
        self.flush()
        self.transport.write(data)

    # ---- calls ---------------------------------------------------------------------------------

    def begin(self, path: str, *metadata: tuple[str, str], end: bool = False, method: str = "POST") -> int:
        """Start a call by sending its headers; return its stream id."""
        stream = int(self.h2.get_next_available_stream_id())
        fields = [
            (":method", method),
            (":scheme", "http"),
            (":path", path),
            (":authority", "h.example"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            *metadata,
        ]
        self.h2.send_headers(stream, fields, end_stream=end)
        self.responses[stream] = Response()
        self.flush()
        return stream

    async def send(self, stream: int, message: bytes, end: bool = False) -> None:
        """Send one message as the flow control windows allow."""
        await self.write(stream, b"\0" + len(message).to_bytes(4, "big") + message, end)

    async def write(self, stream: int, data: bytes, end: bool = False) -> None:
        """Send bytes of messages as the flow control windows allow; stop if the call ends."""
        try:
            while data and not self.responses[stream].ended.is_set():
                limit = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
                if limit <= 0:
                    self.room.clear()
                    await self.room.wait()
                    continue
                self.h2.send_data(stream, data[:limit], end_stream=end and limit >= len(data))
                self.sent[stream] += min(limit, len(data))
                data = data[limit:]
                self.flush()
        except ProtocolError:
            return

    def end(self, stream: int) -> None:
        """End the request."""
        self.h2.end_stream(stream)
        self.flush()

    def cancel(self, stream: int, code: int = 8) -> None:
        """Cancel a call by resetting its stream."""
        self.h2.reset_stream(stream, code)
        self.flush()

    async def call(self, path: str, *messages: bytes, metadata: Fields | None = None, within: float = 30.0) -> Response:
        """Make a whole call and return its response; raises TimeoutError."""
        stream = self.begin(path, *(metadata or []), end=not messages)
        # A single write, as in gRPC's own libraries: a call with one message arrives as a whole.
        data = b"".join(b"\0" + len(each).to_bytes(4, "big") + each for each in messages)
        async with asyncio.timeout(within):
            await self.write(stream, data, end=True)
            return await self.response(stream, within)

    async def response(self, stream: int, within: float = 30.0) -> Response:
        """Wait for the end of a call and return its response; raises TimeoutError."""
        response = self.responses[stream]
        async with asyncio.timeout(within):
            await response.ended.wait()
        return response

    # ---- input ---------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        for frame in self._without_goaways(data):
            try:
                events = self.h2.receive_data(frame)
            except ProtocolError:
                self.transport.abort()
                return
            for event in events:
                self._on_event(event)
        if not self.transport.is_closing():
            self.flush()

    _incomplete = b""

    def _without_goaways(self, data: bytes) -> list[bytes]:
        """Split the input into frames and record GOAWAYs here, since h2 ends the whole connection at a GOAWAY."""
        data, frames = self._incomplete + data, []
        while len(data) >= 9:
            size = 9 + int.from_bytes(data[:3], "big")
            if len(data) < size:
                break
            if data[3] == 7:
                self.goaways.append((int.from_bytes(data[9:13], "big"), int.from_bytes(data[13:17], "big")))
            else:
                frames.append(data[:size])
            data = data[size:]
        self._incomplete = data
        return frames

    def _on_event(self, event: h2e.Event) -> None:
        if isinstance(event, h2e.WindowUpdated | h2e.RemoteSettingsChanged):
            self.room.set()
        elif isinstance(event, h2e.PingAckReceived):
            self.acked += 1
        response = self.responses.get(getattr(event, "stream_id", None) or 0)
        if response is None:
            return
        if isinstance(event, h2e.ResponseReceived):
            response.head = {str(name): str(value) for name, value in event.headers}
        elif isinstance(event, h2e.TrailersReceived):
            response.trailers = {str(name): str(value) for name, value in event.headers}
        elif isinstance(event, h2e.DataReceived):
            response.data += event.data
            response.more.set()
            if self.extends_windows and event.flow_controlled_length:
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        elif isinstance(event, h2e.StreamEnded):
            response.ends += 1
            response.ended.set()
            response.more.set()
            self.room.set()
        elif isinstance(event, h2e.StreamReset):
            if not response.ended.is_set():
                response.reset = int(event.error_code)
            response.ended.set()
            self.room.set()
