"""One HTTP/2 connection of a client or server, without I/O: it takes received bytes and returns events and bytes.

h2 handles frames, HPACK and stream states. The session adds protection against floods and GOAWAY handling (frames.py),
a queue for data that waits for the peer's flow control windows, and a connection window so wide that one stream that
nobody reads can't block the others.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from h2 import events as h2_events
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes, Settings
from hpack import NeverIndexedHeaderTuple

from lugspur.http2.frames import (
    MAX_STREAM_ID,
    NO_ERROR,
    PROTOCOL_ERROR,
    FrameFilter,
    GoAway,
    Http2ConnectionError,
    encode_goaway,
)

HeaderFields = list[tuple[bytes, bytes]]
# Headers whose values don't occur again; they are kept out of HPACK's dynamic table.
NEVER_INDEXED_HEADERS = frozenset(
    {b"x-request-id", b"grpc-timeout", b"idempotency-key", b"traceparent", b"content-length"}
)

MAX_STREAMS = 100  # concurrent streams of a connection; RFC 9113 6.5.2 recommends at least 100
# Bytes that a peer may send on a stream before they are acknowledged: the protocol's default.
STREAM_WINDOW_BYTES = 65_535
# Bytes of DATA frames that are encoded before the transport takes them; all windows together allow many MB.
MAX_ENCODED_DATA_BYTES = 256 << 10
# Bytes of an uncompressed header list as RFC 9113 6.5.2 counts them, with 32 more for each field.
MAX_HEADER_LIST_BYTES = 16 << 10


@dataclass(slots=True, frozen=True)
class HeadersReceived:
    """The header list of a request or a response; with `end_stream` neither a body nor trailers follow."""

    stream_id: int
    fields: HeaderFields
    end_stream: bool


@dataclass(slots=True, frozen=True)
class DataReceived:
    """A part of a body. `size` includes padding; pass it to `acknowledge_data` once the data is processed."""

    stream_id: int
    data: bytes
    size: int


@dataclass(slots=True, frozen=True)
class TrailersReceived:
    """Trailers."""

    stream_id: int
    fields: HeaderFields


@dataclass(slots=True, frozen=True)
class StreamEnded:
    """The peer has ended its side of the stream."""

    stream_id: int


@dataclass(slots=True, frozen=True)
class StreamReset:
    """The stream was reset by the peer, or by this side after an error of the peer (`is_local`)."""

    stream_id: int
    code: int
    is_local: bool


@dataclass(slots=True, frozen=True)
class PingAcknowledged:
    """The peer has acknowledged a PING."""


@dataclass(slots=True, frozen=True)
class SettingsReceived:
    """The peer has sent SETTINGS, so it speaks HTTP/2."""


@dataclass(slots=True, frozen=True)
class ConnectionEnded:
    """The connection has failed; write the remaining output of `take_output` before closing the transport."""

    code: int
    reason: str


Event = (
    HeadersReceived
    | DataReceived
    | TrailersReceived
    | StreamEnded
    | StreamReset
    | PingAcknowledged
    | SettingsReceived
    | ConnectionEnded
    | GoAway
)


class _OutgoingStream:
    """Data and trailers that wait to be sent on one stream."""

    __slots__ = ("chunks", "ends_stream", "size", "trailers")

    def __init__(self) -> None:
        self.chunks: deque[memoryview] = deque()
        self.size = 0
        self.ends_stream = False
        self.trailers: HeaderFields | None = None


def _mark_never_indexed(fields: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Mark headers that must not enter HPACK's dynamic table: a value used once would evict one that is used again."""
    return [NeverIndexedHeaderTuple(*field) if field[0] in NEVER_INDEXED_HEADERS else field for field in fields]


class Http2Session:
    """The protocol state of one connection.

    `on_bytes_sent` is called with a stream's id and a number of body bytes when these were sent or discarded.
    """

    def __init__(
        self,
        is_client: bool,
        on_bytes_sent: Callable[[int, int], None],
        max_header_list_bytes: int = MAX_HEADER_LIST_BYTES,
        max_streams: int = MAX_STREAMS,
    ) -> None:
        self._on_bytes_sent = on_bytes_sent
        self._frame_filter = FrameFilter(preface=not is_client)
        self._h2 = H2Connection(
            H2Configuration(
                client_side=is_client,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        # Settings changed one by one would apply only after an acknowledgement, and h2 would never send them.
        self._h2.local_settings = Settings(
            client=is_client,
            initial_values={
                SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES,
                SettingCodes.MAX_HEADER_LIST_SIZE: max_header_list_bytes,
                **({SettingCodes.ENABLE_PUSH: 0} if is_client else {SettingCodes.MAX_CONCURRENT_STREAMS: max_streams}),
            },
        )
        self._h2.decoder.max_header_list_size = max_header_list_bytes
        self._h2.initiate_connection()
        # Guards streams against each other: the connection's window is as large as all stream windows together.
        self._h2.increment_flow_control_window((max_streams - 1) * STREAM_WINDOW_BYTES)
        self._outgoing: dict[int, _OutgoingStream] = {}
        self._goaway_frames = bytearray()  # GOAWAY frames of the session's own, written after the output of h2
        self.is_paused = False  # the transport's buffer is full: no DATA is encoded
        self._encoded_data_bytes = 0  # bytes of DATA encoded since the last `take_output`
        self._has_more_data = False  # whether MAX_ENCODED_DATA_BYTES holds back DATA that still waits
        self.is_closed = False
        self.open_streams: set[int] = set()  # streams that were neither reset nor ended by both sides
        self._ended_streams: set[int] = set()  # open streams whose local side has ended
        self._unacknowledged_bytes: dict[int, int] = {}  # received bytes of each stream that were not acknowledged

    # ---- receiving -----------------------------------------------------------------------------

    def receive_data(self, now: float, data: bytes) -> list[Event]:
        """Return the events in received data; an error of the peer yields ConnectionEnded instead of an exception."""
        if self.is_closed:
            return []
        events: list[Event] = []
        try:
            for piece in self._frame_filter.feed(now, data):
                if isinstance(piece, GoAway):
                    events.append(piece)
                    continue
                for event in self._h2.receive_data(piece):
                    self._append_events(event, events)
        except Http2ConnectionError as fault:
            self.is_closed = True
            self._goaway_frames += encode_goaway(self._h2.highest_inbound_stream_id, fault.code, str(fault).encode())
            events.append(ConnectionEnded(fault.code, str(fault)))
        except ProtocolError as fault:  # h2 has queued the GOAWAY itself
            self.is_closed = True
            events.append(ConnectionEnded(int(fault.error_code), str(fault) or type(fault).__name__))
        except (ValueError, IndexError, KeyError) as fault:  # guards against errors that h2 doesn't handle
            self.is_closed = True
            self._goaway_frames += encode_goaway(self._h2.highest_inbound_stream_id, PROTOCOL_ERROR)
            events.append(ConnectionEnded(PROTOCOL_ERROR, f"{type(fault).__name__}: {fault}"))
        return events

    def _append_events(self, event: h2_events.Event, events: list[Event]) -> None:
        if isinstance(event, h2_events.DataReceived):
            size = event.flow_controlled_length
            if event.stream_id in self.open_streams:
                self._unacknowledged_bytes[event.stream_id] = self._unacknowledged_bytes.get(event.stream_id, 0) + size
            if event.data:
                events.append(DataReceived(event.stream_id, event.data, size))
            elif size:
                self.acknowledge_data(event.stream_id, size)
        elif isinstance(event, h2_events.RequestReceived | h2_events.ResponseReceived):
            self.open_streams.add(event.stream_id)
            events.append(HeadersReceived(event.stream_id, list(event.headers), event.stream_ended is not None))
        elif isinstance(event, h2_events.TrailersReceived):
            events.append(TrailersReceived(event.stream_id, list(event.headers)))
        elif isinstance(event, h2_events.StreamEnded):
            events.append(StreamEnded(event.stream_id))
            if event.stream_id in self._ended_streams:
                self._close_stream(event.stream_id)
        elif isinstance(event, h2_events.StreamReset):
            was_open = event.stream_id in self.open_streams
            self._close_stream(event.stream_id)
            if was_open:
                events.append(StreamReset(event.stream_id, int(event.error_code or 0), not event.remote_reset))
        elif isinstance(event, h2_events.WindowUpdated):
            self._resume_streams(event.stream_id or 0)
        elif isinstance(event, h2_events.RemoteSettingsChanged):
            events.append(SettingsReceived())
            self._resume_streams(0)
        elif isinstance(event, h2_events.PingAckReceived):
            events.append(PingAcknowledged())

    def _close_stream(self, stream_id: int) -> None:
        """Discard a stream; report its unsent bytes to `on_bytes_sent` as if they had been sent."""
        # Guards the connection's window: bytes of a closed stream would reduce it for good.
        self.acknowledge_data(stream_id, self._unacknowledged_bytes.get(stream_id, 0))
        self.open_streams.discard(stream_id)
        self._ended_streams.discard(stream_id)
        outgoing = self._outgoing.pop(stream_id, None)
        if outgoing is not None and outgoing.size:
            self._on_bytes_sent(stream_id, outgoing.size)

    # ---- sending -------------------------------------------------------------------------------

    def available_streams(self) -> int:
        """Return how many further streams may be opened now."""
        allowed = self._h2.remote_settings.max_concurrent_streams
        return min(allowed, MAX_STREAMS) - len(self.open_streams)

    def is_connection_window_exhausted(self) -> bool:
        """Return whether the peer's connection window is used up, so that no stream can send a body."""
        return int(self._h2.outbound_flow_control_window) <= 0

    def open_stream(self, fields: Iterable[tuple[bytes, bytes]]) -> int:
        """Open a stream as the client by sending the request's headers; return its id."""
        stream_id = self._h2.get_next_available_stream_id()
        self._h2.send_headers(stream_id, _mark_never_indexed(fields))
        self.open_streams.add(stream_id)
        return stream_id

    def are_stream_ids_exhausted(self) -> bool:
        """Return whether the connection can open no further stream because all stream ids are used up."""
        return self._h2.highest_outbound_stream_id >= MAX_STREAM_ID - 2

    def send_headers(self, stream_id: int, fields: HeaderFields, end: bool = False) -> None:
        """Send the headers of a response; with `end` they end the stream."""
        if stream_id in self.open_streams:
            self._h2.send_headers(stream_id, _mark_never_indexed(fields), end_stream=end)
            if end:
                self._record_end(stream_id)

    def send_data(self, stream_id: int, data: bytes, end: bool = False) -> None:
        """Send a part of a body as the peer's windows allow; with `end` it ends the stream."""
        if stream_id not in self.open_streams:
            self._on_bytes_sent(stream_id, len(data))
        elif data or end:
            outgoing = self._outgoing.setdefault(stream_id, _OutgoingStream())
            if data:
                outgoing.chunks.append(memoryview(data))
                outgoing.size += len(data)
            outgoing.ends_stream = end
            self._send_waiting(stream_id, outgoing)

    def end_stream(self, stream_id: int, trailers: HeaderFields | None = None) -> None:
        """End the stream after the written data, with trailers if any are given."""
        if stream_id in self.open_streams:
            outgoing = self._outgoing.setdefault(stream_id, _OutgoingStream())
            outgoing.ends_stream, outgoing.trailers = True, trailers
            self._send_waiting(stream_id, outgoing)

    def _send_waiting(self, stream_id: int, outgoing: _OutgoingStream) -> None:
        """Send as much of the waiting data as the windows and MAX_ENCODED_DATA_BYTES allow."""
        sent_bytes = 0
        while outgoing.chunks and not self.is_paused:
            if self._encoded_data_bytes >= MAX_ENCODED_DATA_BYTES:
                self._has_more_data = True
                break
            # Chunks are never empty, so each of them needs a window.
            max_chunk_bytes = min(self._h2.local_flow_control_window(stream_id), self._h2.max_outbound_frame_size)
            if max_chunk_bytes <= 0:
                break
            chunk = outgoing.chunks[0]
            part = chunk[:max_chunk_bytes]
            is_last = (
                outgoing.ends_stream
                and outgoing.trailers is None
                and len(outgoing.chunks) == 1
                and len(part) == len(chunk)
            )
            self._h2.send_data(stream_id, bytes(part), end_stream=is_last)
            # For the WINDOW_UPDATE frames and a PING that the peer sends in response.
            self._frame_filter.add_budget(3.0)
            if len(part) == len(chunk):
                outgoing.chunks.popleft()
            else:
                outgoing.chunks[0] = chunk[max_chunk_bytes:]
            sent_bytes += len(part)
            self._encoded_data_bytes += len(part)
            outgoing.size -= len(part)
            if is_last:
                outgoing.ends_stream = False
                self._record_end(stream_id)
        if outgoing.ends_stream and not outgoing.chunks:
            outgoing.ends_stream = False
            if outgoing.trailers is not None:
                self._h2.send_headers(stream_id, _mark_never_indexed(outgoing.trailers), end_stream=True)
            else:
                self._h2.send_data(stream_id, b"", end_stream=True)
            self._record_end(stream_id)
        if sent_bytes:
            self._on_bytes_sent(stream_id, sent_bytes)

    def _record_end(self, stream_id: int) -> None:
        """Record that the local side of the stream has ended."""
        self._frame_filter.add_budget(2.0)
        self._outgoing.pop(stream_id, None)
        if self._h2.streams[stream_id].closed:
            self._close_stream(stream_id)
        else:
            self._ended_streams.add(stream_id)

    def _resume_streams(self, stream_id: int) -> None:
        if stream_id:
            outgoing = self._outgoing.get(stream_id)
            if outgoing is not None:
                self._send_waiting(stream_id, outgoing)
            return
        for each_id, outgoing in tuple(self._outgoing.items()):
            self._send_waiting(each_id, outgoing)

    def resume_sending(self) -> None:
        """Send DATA again: the transport has room."""
        self.is_paused = False
        self._resume_streams(0)

    def unsent_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream wait for the peer's windows."""
        outgoing = self._outgoing.get(stream_id)
        return 0 if outgoing is None else outgoing.size

    def has_ended_stream(self, stream_id: int) -> bool:
        """Return whether the local side of the stream has ended, or the stream is closed."""
        return stream_id in self._ended_streams or stream_id not in self.open_streams

    def reset_stream(self, stream_id: int, code: int) -> None:
        """Reset a stream with an error code."""
        if stream_id in self.open_streams and not self.is_closed:
            self._h2.reset_stream(stream_id, code)
            self._close_stream(stream_id)

    def acknowledge_data(self, stream_id: int, size: int) -> None:
        """Acknowledge processed bytes of a stream's body, so that the peer may send as many more."""
        size = min(size, self._unacknowledged_bytes.get(stream_id, 0))
        if not size:
            return
        self._unacknowledged_bytes[stream_id] -= size
        if not self._unacknowledged_bytes[stream_id]:
            del self._unacknowledged_bytes[stream_id]
        if not self.is_closed:
            self._h2.acknowledge_received_data(size, stream_id)

    def send_ping(self) -> None:
        """Send a PING."""
        if not self.is_closed:
            self._h2.ping(b"lugspur.")

    def send_goaway(self, last_stream_id: int, code: int = NO_ERROR, debug_data: bytes = b"") -> None:
        """Send a GOAWAY: streams above `last_stream_id` will not be served, and lower ones continue.

        h2 would close the connection with a GOAWAY of its own, so this one bypasses h2.
        """
        if not self.is_closed:
            self._goaway_frames += encode_goaway(last_stream_id, code, debug_data)

    def highest_peer_stream_id(self) -> int:
        """Return the highest id of a stream that the peer has opened."""
        return int(self._h2.highest_inbound_stream_id)

    def take_output(self) -> bytes:
        """Return bytes to write to the transport; call it until it returns nothing or the transport is full."""
        data = self._h2.data_to_send()
        self._encoded_data_bytes = 0
        if self._has_more_data:
            self._has_more_data = False
            self._resume_streams(0)
        if self._goaway_frames:
            data += bytes(self._goaway_frames)
            self._goaway_frames.clear()
        return data
