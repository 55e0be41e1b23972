"""One HTTP/2 connection of either side, without I/O: bytes and the time go in, events and bytes come out.

Frames, HPACK and stream states are h2's. Added here: floods and GOAWAY (frames.py), data that waits for the peer's
windows, and a connection window so wide that one stream that nobody reads can't hold up the others.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from h2 import events as h2e
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

Fields = list[tuple[bytes, bytes]]
ONCE = frozenset({b"x-request-id", b"grpc-timeout", b"idempotency-key", b"traceparent", b"content-length"})

STREAMS_MOST = 100  # streams that a peer may have open: RFC 9113 6.5.2 recommends no less
WINDOW = 65_535  # bytes of a stream that may be on their way to us and not yet passed on: the protocol's default
AHEAD_MOST = 256 << 10  # bytes of DATA that are made before they are written: all windows together allow many MB
HEAD_LIST_MOST = 16 << 10  # bytes of a header list, unpacked, as RFC 9113 6.5.2 counts: 32 more for each field


@dataclass(slots=True, frozen=True)
class Head:
    """A request's or an answer's header list; `ended`: nothing follows it."""

    stream: int
    fields: Fields
    ended: bool


@dataclass(slots=True, frozen=True)
class Data:
    """A part of a body. `size` counts its padding too, and is owed to `credit` as it passes on."""

    stream: int
    data: bytes
    size: int


@dataclass(slots=True, frozen=True)
class Tail:
    """Trailers."""

    stream: int
    fields: Fields


@dataclass(slots=True, frozen=True)
class Ended:
    """The peer has said all."""

    stream: int


@dataclass(slots=True, frozen=True)
class Reset:
    """The peer, or this side at its fault, has given a stream up."""

    stream: int
    code: int
    ours: bool


@dataclass(slots=True, frozen=True)
class Acked:
    """A PING of ours has come back."""


@dataclass(slots=True, frozen=True)
class Settled:
    """The peer's SETTINGS have come: it speaks HTTP/2."""


@dataclass(slots=True, frozen=True)
class Over:
    """The connection is of no more use; what `take` still gives is to be written before it is closed."""

    code: int
    reason: str


Event = Head | Data | Tail | Ended | Reset | Acked | Settled | Over | GoAway


class _Out:
    """What waits to go out on one stream."""

    __slots__ = ("chunks", "end", "size", "tail")

    def __init__(self) -> None:
        self.chunks: deque[memoryview] = deque()
        self.size = 0
        self.end = False
        self.tail: Fields | None = None


def _packed(fields: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Guards HPACK's table against values that never come again: each would drive out one that does."""
    return [NeverIndexedHeaderTuple(*field) if field[0] in ONCE else field for field in fields]


class Machine:
    """`sent` is told of bytes of a stream that have gone out: (stream, bytes)."""

    def __init__(
        self,
        client: bool,
        sent: Callable[[int, int], None],
        head_most: int = HEAD_LIST_MOST,
        streams: int = STREAMS_MOST,
    ) -> None:
        self._sent = sent
        self._frame_filter = FrameFilter(preface=not client)
        self._h2 = H2Connection(
            H2Configuration(
                client_side=client,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        # Set one by one they would count only once acknowledged, and never be sent.
        self._h2.local_settings = Settings(
            client=client,
            initial_values={
                SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
                SettingCodes.MAX_HEADER_LIST_SIZE: head_most,
                **({SettingCodes.ENABLE_PUSH: 0} if client else {SettingCodes.MAX_CONCURRENT_STREAMS: streams}),
            },
        )
        self._h2.decoder.max_header_list_size = head_most
        self._h2.initiate_connection()
        # Guards the streams against each other: all their windows together fit into the connection's.
        self._h2.increment_flow_control_window((streams - 1) * WINDOW)
        self._out: dict[int, _Out] = {}
        self._extra = bytearray()  # frames that h2 knows nothing of, after what it has to send
        self.corked = False  # the transport takes no more DATA
        self._ahead = 0  # bytes of DATA since `take`...
        self._stopped = False  # ...and whether they were enough, and more waits
        self.over = False
        self.open: set[int] = set()  # streams that neither side has given up, and one may still write on
        self._done: set[int] = set()  # those on which we have said all
        self._owed: dict[int, int] = {}  # bytes that have come on a stream and were not credited

    # ---- in ------------------------------------------------------------------------------------

    def received(self, now: float, data: bytes) -> list[Event]:
        """What has come; nothing is raised: what can't be read ends as Over."""
        if self.over:
            return []
        found: list[Event] = []
        try:
            for piece in self._frame_filter.feed(now, data):
                if isinstance(piece, GoAway):
                    found.append(piece)
                    continue
                for event in self._h2.receive_data(piece):
                    self._read(event, found)
        except Http2ConnectionError as fault:
            self.over = True
            self._extra += encode_goaway(self._h2.highest_inbound_stream_id, fault.code, str(fault).encode())
            found.append(Over(fault.code, str(fault)))
        except ProtocolError as fault:  # h2 has its GOAWAY ready
            self.over = True
            found.append(Over(int(fault.error_code), str(fault) or type(fault).__name__))
        except (ValueError, IndexError, KeyError) as fault:  # Guards against what h2 may not have thought of.
            self.over = True
            self._extra += encode_goaway(self._h2.highest_inbound_stream_id, PROTOCOL_ERROR)
            found.append(Over(PROTOCOL_ERROR, f"{type(fault).__name__}: {fault}"))
        return found

    def _read(self, event: h2e.Event, found: list[Event]) -> None:
        if isinstance(event, h2e.DataReceived):
            size = event.flow_controlled_length
            if event.stream_id in self.open:
                self._owed[event.stream_id] = self._owed.get(event.stream_id, 0) + size
            if event.data:
                found.append(Data(event.stream_id, event.data, size))
            elif size:
                self.credit(event.stream_id, size)
        elif isinstance(event, h2e.RequestReceived | h2e.ResponseReceived):
            self.open.add(event.stream_id)
            found.append(Head(event.stream_id, list(event.headers), event.stream_ended is not None))
        elif isinstance(event, h2e.TrailersReceived):
            found.append(Tail(event.stream_id, list(event.headers)))
        elif isinstance(event, h2e.StreamEnded):
            found.append(Ended(event.stream_id))
            if event.stream_id in self._done:
                self._close(event.stream_id)
        elif isinstance(event, h2e.StreamReset):
            known = event.stream_id in self.open
            self._close(event.stream_id)
            if known:
                found.append(Reset(event.stream_id, int(event.error_code or 0), not event.remote_reset))
        elif isinstance(event, h2e.WindowUpdated):
            self._widened(event.stream_id or 0)
        elif isinstance(event, h2e.RemoteSettingsChanged):
            found.append(Settled())
            self._widened(0)
        elif isinstance(event, h2e.PingAckReceived):
            found.append(Acked())

    def _close(self, stream: int) -> None:
        """Nothing goes out on it any more; what waits is told to its sender as gone."""
        self.credit(stream, self._owed.get(stream, 0))  # Guards the connection's window, which it would take along.
        self.open.discard(stream)
        self._done.discard(stream)
        out = self._out.pop(stream, None)
        if out is not None and out.size:
            self._sent(stream, out.size)

    # ---- out -----------------------------------------------------------------------------------

    def room(self) -> int:
        """How many further streams the peer allows."""
        allowed = self._h2.remote_settings.max_concurrent_streams
        return min(allowed, STREAMS_MOST) - len(self.open)

    def shut(self) -> bool:
        """Whether the peer's window for the whole connection is used up: no body of any stream can go out."""
        return int(self._h2.outbound_flow_control_window) <= 0

    def begin(self, fields: Iterable[tuple[bytes, bytes]]) -> int:
        """A client's new stream, with its request's head."""
        stream = self._h2.get_next_available_stream_id()
        self._h2.send_headers(stream, _packed(fields))
        self.open.add(stream)
        return stream

    def spent(self) -> bool:
        """Whether no further stream can be begun: their ids are used up."""
        return self._h2.highest_outbound_stream_id >= MAX_STREAM_ID - 2

    def head(self, stream: int, fields: Fields, end: bool = False) -> None:
        """An answer's head; with `end` nothing follows it."""
        if stream in self.open:
            self._h2.send_headers(stream, _packed(fields), end_stream=end)
            if end:
                self._said(stream)

    def write(self, stream: int, data: bytes, end: bool = False) -> None:
        """Some more of a body, as the peer's windows allow; with `end` nothing follows it."""
        if stream not in self.open:
            self._sent(stream, len(data))
        elif data or end:
            out = self._out.setdefault(stream, _Out())
            if data:
                out.chunks.append(memoryview(data))
                out.size += len(data)
            out.end = end
            self._push(stream, out)

    def finish(self, stream: int, tail: Fields | None = None) -> None:
        """Nothing follows what was written but these trailers."""
        if stream in self.open:
            out = self._out.setdefault(stream, _Out())
            out.end, out.tail = True, tail
            self._push(stream, out)

    def _push(self, stream: int, out: _Out) -> None:
        """What goes out now."""
        gone = 0
        while out.chunks and not self.corked:
            if self._ahead >= AHEAD_MOST:
                self._stopped = True
                break
            # An empty chunk needs no window; there is none.
            most = min(self._h2.local_flow_control_window(stream), self._h2.max_outbound_frame_size)
            if most <= 0:
                break
            chunk = out.chunks[0]
            part = chunk[:most]
            last = out.end and out.tail is None and len(out.chunks) == 1 and len(part) == len(chunk)
            self._h2.send_data(stream, bytes(part), end_stream=last)
            self._frame_filter.add_budget(3.0)  # for the WINDOW_UPDATEs that it costs the peer, and a PING
            if len(part) == len(chunk):
                out.chunks.popleft()
            else:
                out.chunks[0] = chunk[most:]
            gone += len(part)
            self._ahead += len(part)
            out.size -= len(part)
            if last:
                out.end = False
                self._said(stream)
        if out.end and not out.chunks:
            out.end = False
            if out.tail is not None:
                self._h2.send_headers(stream, _packed(out.tail), end_stream=True)
            else:
                self._h2.send_data(stream, b"", end_stream=True)
            self._said(stream)
        if gone:
            self._sent(stream, gone)

    def _said(self, stream: int) -> None:
        """All that we have to say on a stream is out."""
        self._frame_filter.add_budget(2.0)
        self._out.pop(stream, None)
        if self._h2.streams[stream].closed:
            self._close(stream)
        else:
            self._done.add(stream)

    def _widened(self, stream: int) -> None:
        if stream:
            out = self._out.get(stream)
            if out is not None:
                self._push(stream, out)
            return
        for each, out in tuple(self._out.items()):
            self._push(each, out)

    def uncork(self) -> None:
        """The transport takes more."""
        self.corked = False
        self._widened(0)

    def unsent(self, stream: int) -> int:
        """Bytes of a stream that wait for the peer's windows."""
        out = self._out.get(stream)
        return 0 if out is None else out.size

    def said(self, stream: int) -> bool:
        """Whether we have said all on it."""
        return stream in self._done or stream not in self.open

    def reset(self, stream: int, code: int) -> None:
        """Give a stream up."""
        if stream in self.open and not self.over:
            self._h2.reset_stream(stream, code)
            self._close(stream)

    def credit(self, stream: int, size: int) -> None:
        """So many bytes of a stream's body have passed on, and as many more may come."""
        size = min(size, self._owed.get(stream, 0))
        if not size:
            return
        self._owed[stream] -= size
        if not self._owed[stream]:
            del self._owed[stream]
        if not self.over:
            self._h2.acknowledge_received_data(size, stream)

    def ping(self) -> None:
        """Ask whether the peer is there."""
        if not self.over:
            self._h2.ping(b"lugspur.")

    def leave(self, last: int, code: int = NO_ERROR, text: bytes = b"") -> None:
        """Tell the peer that streams above `last` will not be served; what is open goes on.

        h2 would end the connection with its own, so this one goes past it.
        """
        if not self.over:
            self._extra += encode_goaway(last, code, text)

    def highest(self) -> int:
        """The last stream that the peer has begun."""
        return int(self._h2.highest_inbound_stream_id)

    def take(self) -> bytes:
        """What is to be written; there may be more at once, unless the transport is corked."""
        data = self._h2.data_to_send()
        self._ahead = 0
        if self._stopped:
            self._stopped = False
            self._widened(0)
        if self._extra:
            data += bytes(self._extra)
            self._extra.clear()
        return data
