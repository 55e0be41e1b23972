"""The HTTP/2 session without sockets, with h2 as its peer: flow control, GOAWAY, floods, and RFC 9113 by section."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest
from h2 import events as h2_events
from h2.config import H2Configuration
from h2.connection import H2Connection
from hpack import Encoder
from hyperframe import frame as hf
from hypothesis import given
from hypothesis import strategies as st

from lugspur.http1.front import PREFACE
from lugspur.http2 import frames
from lugspur.http2.frames import FrameFilter, GoAway, Http2ConnectionError, encode_goaway
from lugspur.http2.machine import (
    STREAM_WINDOW_BYTES,
    ConnectionEnded,
    DataReceived,
    HeadersReceived,
    Http2Session,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)

REQUEST = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a"), (b":authority", b"h")]
RESPONSE = [(b":status", b"200")]


class SessionPair:
    """A session of the proxy, connected to h2 as the peer."""

    def __init__(self, client: bool = False, **options: Any) -> None:
        self.sent: list[tuple[int, int]] = []
        self.session = Http2Session(client, lambda *gone: self.sent.append(gone), **options)
        self.peer = H2Connection(
            H2Configuration(
                client_side=not client,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self.peer.initiate_connection()
        self.now = 0.0
        self.exchange()

    def exchange(self) -> tuple[list[Any], list[h2_events.Event]]:
        """Exchange data in both directions until neither side has output; return both sides' events."""
        events: list[Any] = []
        peer_events: list[h2_events.Event] = []
        while True:
            out, back = self.peer.data_to_send(), self.session.take_output()
            if not out and not back:
                return events, peer_events
            if out:
                events += self.session.receive_data(self.now, out)
            if back:
                peer_events += self.peer.receive_data(back)

    def receive_frames(self, *parts: hf.Frame | bytes) -> list[Any]:
        """Pass frames to the session that h2 would not send; return its events."""
        data = b"".join(part if isinstance(part, bytes) else part.serialize() for part in parts)
        return self.session.receive_data(self.now, data)

    def send_request(self, body: bytes = b"", end: bool = True) -> int:
        stream = int(self.peer.get_next_available_stream_id())
        self.peer.send_headers(stream, REQUEST, end_stream=end and not body)
        if body:
            self.peer.send_data(stream, body, end_stream=end)
        return stream


def headers_frame(stream: int, fields: list[tuple[bytes, bytes]] | None = None, *flags: str) -> hf.HeadersFrame:
    frame = hf.HeadersFrame(stream)
    frame.data = Encoder().encode(fields or REQUEST)
    frame.flags |= set(flags or ("END_HEADERS",))
    return frame


def data_frame(stream: int, body: bytes = b"", *flags: str) -> hf.DataFrame:
    frame = hf.DataFrame(stream)
    frame.data = body
    frame.flags |= set(flags)
    return frame


def connection_error(events: list[Any]) -> ConnectionEnded:
    assert isinstance(events[-1], ConnectionEnded), events
    return events[-1]


# ---- exchanges -----------------------------------------------------------------------------------


def test_a_request_and_its_response_with_trailers() -> None:
    pair = SessionPair()
    stream = pair.send_request(b"hello")
    events, _ = pair.exchange()
    assert events == [HeadersReceived(stream, REQUEST, False), DataReceived(stream, b"hello", 5), StreamEnded(stream)]
    pair.session.send_headers(stream, RESPONSE)
    pair.session.send_data(stream, b"bye")
    pair.session.end_stream(stream, [(b"grpc-status", b"0")])
    _, peer_events = pair.exchange()
    assert (
        isinstance(peer_events[-1], h2_events.StreamEnded)
        and not pair.session.open_streams
        and pair.sent == [(stream, 3)]
    )


def test_a_client_sends_a_request_and_receives_trailers() -> None:
    pair = SessionPair(client=True)
    stream = pair.session.open_stream(REQUEST)
    pair.session.send_data(stream, b"x")
    pair.session.end_stream(stream)
    pair.exchange()
    pair.peer.send_headers(stream, RESPONSE)
    pair.peer.send_data(stream, b"y")
    pair.peer.send_headers(stream, [(b"grpc-status", b"0")], end_stream=True)
    events, _ = pair.exchange()
    assert events == [
        HeadersReceived(stream, RESPONSE, False),
        DataReceived(stream, b"y", 1),
        TrailersReceived(stream, [(b"grpc-status", b"0")]),
        StreamEnded(stream),
    ]
    assert not pair.session.open_streams


@given(st.lists(st.integers(1, 40), max_size=40))
def test_events_do_not_depend_on_how_the_data_is_split(cuts: list[int]) -> None:
    client = H2Connection(H2Configuration(client_side=True, header_encoding=None))
    client.initiate_connection()
    client.send_headers(1, REQUEST)
    client.send_data(1, b"x" * 30)
    client.send_data(1, b"", end_stream=True)
    whole = client.data_to_send() + encode_goaway(7, 0, b"bye")
    events: list[Any] = []
    session = Http2Session(False, lambda *_: None)
    at = 0
    for cut in [*cuts, len(whole)]:
        events += session.receive_data(0.0, whole[at : at + cut])
        at += cut
    assert [event for event in events if isinstance(event, HeadersReceived | DataReceived | StreamEnded | GoAway)] == [
        HeadersReceived(1, REQUEST, False),
        DataReceived(1, b"x" * 30, 30),
        StreamEnded(1),
        GoAway(7, 0, b"bye"),
    ]


# ---- flow control (RFC 9113 5.2, 6.9) ------------------------------------------------------------


def test_no_more_is_sent_than_the_peer_allows_and_one_stream_blocks_no_other() -> None:
    pair = SessionPair()
    one, two = pair.send_request(), pair.send_request()
    pair.exchange()
    for stream in (one, two):
        pair.session.send_headers(stream, RESPONSE)
    pair.session.send_data(one, b"x" * 200_000)
    pair.exchange()
    assert (
        sum(size for stream, size in pair.sent if stream == one) == 65_535 and pair.session.unsent_bytes(one) == 134_465
    )
    # The peer's connection window is as large as a stream's by default; once it grows, the other stream continues.
    pair.peer.increment_flow_control_window(1 << 20)
    pair.session.send_data(two, b"y" * 1000)
    pair.exchange()
    assert sum(size for stream, size in pair.sent if stream == two) == 1000
    pair.peer.increment_flow_control_window(200_000, one)
    pair.exchange()
    assert not pair.session.unsent_bytes(one)


def test_unacknowledged_data_reduces_the_window_and_a_reset_stream_returns_its_bytes() -> None:
    pair = SessionPair()
    before = pair.peer.outbound_flow_control_window
    for _ in range(250):  # together more than the connection's window
        stream = pair.send_request(b"x" * 16_384, end=False)
        pair.peer.send_data(stream, b"x" * 16_384)
        pair.exchange()
        assert pair.peer.local_flow_control_window(stream) == STREAM_WINDOW_BYTES - 32_768
        pair.session.reset_stream(stream, 8)
        pair.exchange()
    # The window is replenished in steps: at least half of it is always available.
    assert pair.peer.outbound_flow_control_window >= before // 2


def test_acknowledged_data_reopens_the_window_by_no_more_than_was_received() -> None:
    pair = SessionPair()
    stream = pair.send_request(b"x" * 16_384, end=False)
    for _ in range(3):
        pair.peer.send_data(stream, b"x" * 16_384 if _ < 2 else b"x" * 16_383)
    pair.exchange()
    assert pair.peer.local_flow_control_window(stream) == 0
    pair.session.acknowledge_data(stream, 1 << 30)
    pair.exchange()
    assert pair.peer.local_flow_control_window(stream) == STREAM_WINDOW_BYTES


def test_a_window_that_overflows_ends_the_connection() -> None:
    pair = SessionPair()
    pair.send_request()
    pair.exchange()
    update = hf.WindowUpdateFrame(0)
    update.window_increment = (1 << 31) - 1
    assert connection_error(pair.receive_frames(update, update)).code == frames.FLOW_CONTROL_ERROR


def test_more_than_the_window_ends_the_connection_or_the_stream() -> None:
    pair = SessionPair()
    stream = pair.send_request(end=False)
    pair.exchange()
    events = pair.receive_frames(*[data_frame(stream, b"x" * 16_384)] * 5)
    assert connection_error(events).code == frames.FLOW_CONTROL_ERROR


def test_data_encoded_ahead_of_the_transport_is_bounded() -> None:
    pair = SessionPair()
    streams = [pair.send_request() for _ in range(40)]
    pair.peer.increment_flow_control_window(1 << 24)
    pair.exchange()
    for stream in streams:
        pair.session.send_headers(stream, RESPONSE)
        pair.session.send_data(stream, b"x" * 60_000, end=True)
    sizes = []
    while output := pair.session.take_output():
        sizes.append(len(output))
        if len(sizes) == 2:
            pair.session.is_paused = True  # as the transport does when its buffer is full
    assert len(sizes) == 3 and max(sizes) < frames.MAX_FRAME_BYTES + (256 << 10) + 4096
    pair.session.resume_sending()
    while pair.session.take_output():
        pass
    assert sum(size for _, size in pair.sent) == 40 * 60_000


# ---- GOAWAY (6.8) --------------------------------------------------------------------------------


def test_goaways_are_reported_in_order_and_streams_continue() -> None:
    pair = SessionPair(client=True)
    stream = pair.session.open_stream(REQUEST)
    pair.session.end_stream(stream)
    pair.exchange()
    pair.peer.send_headers(stream, RESPONSE)
    between = pair.peer.data_to_send()
    pair.peer.send_data(stream, b"x", end_stream=True)
    after = pair.peer.data_to_send()
    events = pair.receive_frames(encode_goaway((1 << 31) - 1, 0), between, encode_goaway(stream, 0, b"why"), after)
    assert events == [
        GoAway((1 << 31) - 1, 0),
        HeadersReceived(stream, RESPONSE, False),
        GoAway(stream, 0, b"why"),
        DataReceived(stream, b"x", 1),
        StreamEnded(stream),
    ]


def test_our_own_goaway_leaves_streams_open() -> None:
    pair = SessionPair()
    stream = pair.send_request()
    pair.exchange()
    pair.session.send_goaway((1 << 31) - 1)
    pair.session.send_headers(stream, RESPONSE, end=True)
    seen = pair.session.take_output()
    assert encode_goaway((1 << 31) - 1, 0) in seen and not pair.session.is_closed


@pytest.mark.parametrize("size", [0, 7, frames.MAX_GOAWAY_BYTES + 1])
def test_a_goaway_of_the_wrong_size(size: int) -> None:
    head = size.to_bytes(3, "big") + b"\7\0\0\0\0\0"
    assert (
        connection_error(SessionPair(client=True).receive_frames(head + b"\0" * size)).code == frames.FRAME_SIZE_ERROR
    )


# ---- floods --------------------------------------------------------------------------------------


def ping() -> bytes:
    return bytes(hf.PingFrame(0, opaque_data=b"12345678").serialize())


def settings() -> bytes:
    return bytes(hf.SettingsFrame(0).serialize())


def empty() -> bytes:
    return bytes(data_frame(1).serialize())


def padded() -> bytes:
    frame = data_frame(1, b"", "PADDED")
    frame.pad_length = 10
    return bytes(frame.serialize())


def priority() -> bytes:
    return bytes(hf.PriorityFrame(1).serialize())


def unknown() -> bytes:
    return b"\0\0\1\xbb\0\0\0\0\0x"


@pytest.mark.parametrize("frame", [ping, settings, empty, padded, priority, unknown])
def test_floods_of_useless_frames_end_the_connection(frame: Callable[[], bytes]) -> None:
    pair = SessionPair()
    pair.send_request(end=False)
    pair.exchange()
    events: list[Any] = []
    sent = 0
    while not any(isinstance(event, ConnectionEnded) for event in events):
        events = pair.session.receive_data(0.0, frame() * 50)
        pair.session.take_output()
        sent += 50
        assert sent <= 2 * frames.FRAME_BUDGET_BURST
    assert connection_error(events).code == frames.ENHANCE_YOUR_CALM


def test_rapid_resets_end_the_connection() -> None:
    """CVE-2023-44487: opening a stream and resetting it at once costs the caller nothing."""
    pair = SessionPair()
    opened = 0
    events: list[Any] = []
    while not any(isinstance(event, ConnectionEnded) for event in events):
        stream = pair.send_request(end=False)
        pair.peer.reset_stream(stream)
        events = pair.session.receive_data(0.0, pair.peer.data_to_send())
        pair.session.take_output()
        opened += 1
        assert opened <= frames.FRAME_BUDGET_BURST + 1
    assert connection_error(events).code == frames.ENHANCE_YOUR_CALM and len(pair.session.open_streams) <= 1


def test_a_caller_with_useful_traffic_may_send_pings_without_end() -> None:
    pair = SessionPair()
    for at in range(1500):  # more PINGs than the budget allows at once
        stream = pair.send_request(b"x")
        pair.peer.ping(b"12345678")
        events, _ = pair.exchange()
        assert not any(isinstance(event, ConnectionEnded) for event in events), at
        pair.session.send_headers(stream, RESPONSE)
        pair.session.send_data(stream, b"x")
        pair.session.end_stream(stream)
        pair.exchange()
    pair.now = 100.0
    for _ in range(int(frames.FRAME_BUDGET_BURST) - 10):  # the budget is refilled over time
        pair.peer.ping(b"12345678")
    assert not any(isinstance(event, ConnectionEnded) for event in pair.exchange()[0])


def test_endless_continuation_frames_end_the_connection() -> None:
    """CVE-2024-27316: an endless header block must not fill the memory."""
    pair = SessionPair()
    first = headers_frame(1, [*REQUEST, (b"x", b"y" * 10)], "PRIORITY")
    events = pair.receive_frames(first)
    more = hf.ContinuationFrame(1)
    more.data = b"\x00" * 16_000
    sent = 0
    while not any(isinstance(event, ConnectionEnded) for event in events):
        events = pair.receive_frames(more)
        sent += 16_000
        assert sent < 2 * frames.MAX_HEADER_BLOCK_BYTES
    assert connection_error(events).code in (frames.ENHANCE_YOUR_CALM, frames.PROTOCOL_ERROR)


def test_a_header_list_that_unpacks_to_100_megabytes() -> None:
    pair = SessionPair()
    encoder = Encoder()
    block = encoder.encode([*REQUEST, (b"x-bomb", b"y" * 4000)])
    index = encoder.encode([(b"x-bomb", b"y" * 4000)])
    assert len(index) == 1  # one byte for 4 KB
    frame = hf.HeadersFrame(1)
    frame.data = block + index * 12_000 * 1
    frame.flags |= {"END_HEADERS"}
    assert connection_error(pair.receive_frames(frame)).code == frames.ENHANCE_YOUR_CALM


def test_a_frame_that_is_too_long_is_rejected_by_its_header() -> None:
    pair = SessionPair()
    assert connection_error(pair.receive_frames(b"\xff\xff\xff\0\0\0\0\0\1")).code == frames.FRAME_SIZE_ERROR


@given(
    st.lists(st.sampled_from([ping, settings, empty, priority, unknown]), max_size=30),
    st.lists(st.integers(1, 25), max_size=30),
)
def test_the_frame_filter_loses_and_adds_nothing(kinds: list[Callable[[], bytes]], cuts: list[int]) -> None:
    received, expected = b"", b""
    for at, kind in enumerate(kinds):
        piece = kind()
        received += piece + (encode_goaway(at, 0) if at % 3 == 0 else b"")
        expected += piece
    frame_filter = FrameFilter(preface=False)
    pieces: list[bytes | GoAway] = []
    at = 0
    for cut in itertools.chain(cuts, [len(received)]):
        pieces += frame_filter.feed(0.0, received[at : at + cut])
        at += cut
    assert b"".join(piece for piece in pieces if isinstance(piece, bytes)) == expected
    assert [piece.last_stream_id for piece in pieces if isinstance(piece, GoAway)] == list(range(0, len(kinds), 3))


@given(st.binary(max_size=400))
def test_any_bytes_yield_at_worst_a_connection_error(noise: bytes) -> None:
    for client in (False, True):
        session = Http2Session(client, lambda *_: None)
        session.receive_data(0.0, (b"" if client else PREFACE) + settings() + noise)
        session.take_output()


def test_a_connection_error_is_reported_to_the_peer() -> None:
    pair = SessionPair()
    pair.exchange()
    pair.receive_frames(b"\xff\xff\xff\0\0\0\0\0\1")
    with pytest.raises(Http2ConnectionError):
        FrameFilter(False).feed(0.0, b"\xff\xff\xff\0\0\0\0\0\1")
    events = pair.peer.receive_data(pair.session.take_output())
    [terminated] = [event for event in events if isinstance(event, h2_events.ConnectionTerminated)]
    assert terminated.error_code == frames.FRAME_SIZE_ERROR


# ---- RFC 9113, section by section ----------------------------------------------------------------


def _settings(identifier: int, value: int) -> hf.SettingsFrame:
    return hf.SettingsFrame(0, settings={identifier: value})


def _on(frame: hf.Frame, stream: int) -> bytes:
    raw = bytearray(frame.serialize())
    raw[5:9] = stream.to_bytes(4, "big")
    return bytes(raw)


def _raw(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3, "big") + bytes((kind, flags)) + stream.to_bytes(4, "big") + payload


PROTOCOL, FLOW, STREAM_CLOSED, SIZE, COMPRESSION = 1, 3, 5, 6, 9
CONNECTION_ERRORS: dict[str, tuple[list[hf.Frame | bytes], set[int]]] = {
    "4.2 HEADERS larger than allowed": ([_raw(1, 4, 1, b"\0" * 16_385)], {SIZE}),
    "4.3 a block that can't be decompressed": ([_raw(1, 4, 1, b"\xff\xff\xff\xff\xff")], {COMPRESSION, PROTOCOL}),
    "4.3 a block interrupted by another frame": ([headers_frame(1, None, "PRIORITY"), ping()], {PROTOCOL}),
    "5.1 DATA on an idle stream": ([data_frame(5, b"x")], {PROTOCOL}),
    "5.1 RST_STREAM on an idle stream": ([hf.RstStreamFrame(5)], {PROTOCOL}),
    "5.1 WINDOW_UPDATE on an idle stream": ([hf.WindowUpdateFrame(5, window_increment=1)], {PROTOCOL}),
    "5.1.1 an even stream id": ([headers_frame(2)], {PROTOCOL}),
    "5.1.1 a stream id below the last": ([headers_frame(5), headers_frame(3)], {PROTOCOL, STREAM_CLOSED}),
    "6.1 DATA on stream 0": ([_on(data_frame(1, b"x"), 0)], {PROTOCOL}),
    "6.1 padding as long as the frame": ([headers_frame(1), _raw(0, 8, 1, b"\x05abc")], {PROTOCOL}),
    "6.2 HEADERS on stream 0": ([_on(headers_frame(1), 0)], {PROTOCOL}),
    "6.3 PRIORITY on stream 0": ([_on(hf.PriorityFrame(1), 0)], {PROTOCOL}),
    "6.4 RST_STREAM on stream 0": ([_on(hf.RstStreamFrame(1), 0)], {PROTOCOL}),
    "6.4 RST_STREAM of three bytes": ([headers_frame(1), _raw(3, 0, 1, b"\0\0\0")], {SIZE}),
    "6.5 SETTINGS on a stream": ([_raw(4, 0, 1, b"")], {PROTOCOL}),
    "6.5 SETTINGS of seven bytes": ([_raw(4, 0, 0, b"\0" * 7)], {SIZE}),
    "6.5 an acknowledgement with a payload": ([_raw(4, 1, 0, b"\0" * 6)], {SIZE}),
    "6.5.2 ENABLE_PUSH of 2": ([_settings(2, 2)], {PROTOCOL}),
    "6.5.2 a window above the largest": ([_settings(4, 1 << 31)], {FLOW}),
    "6.5.2 a frame size below the least": ([_settings(5, 16_383)], {PROTOCOL}),
    "6.5.2 a frame size above the largest": ([_settings(5, 1 << 24)], {PROTOCOL}),
    "6.6 PUSH_PROMISE from a client": (
        [headers_frame(1), _raw(5, 4, 1, b"\0\0\0\2" + Encoder().encode(REQUEST))],
        {PROTOCOL},
    ),
    "6.7 PING on a stream": ([_raw(6, 0, 1, b"\0" * 8)], {PROTOCOL}),
    "6.7 PING of seven bytes": ([_raw(6, 0, 0, b"\0" * 7)], {SIZE}),
    "6.9 an increment of 0 for the connection": ([_raw(8, 0, 0, b"\0" * 4)], {PROTOCOL}),
    "6.9 WINDOW_UPDATE of three bytes": ([_raw(8, 0, 0, b"\0" * 3)], {SIZE}),
    "6.10 CONTINUATION without HEADERS": ([headers_frame(1), _raw(9, 4, 1, b"")], {PROTOCOL}),
    "8.1 HEADERS in mid-stream without an end": ([headers_frame(1), headers_frame(1)], {PROTOCOL}),
}


@pytest.mark.parametrize("section", CONNECTION_ERRORS)
def test_connection_errors(section: str) -> None:
    parts, codes = CONNECTION_ERRORS[section]
    events = SessionPair().receive_frames(*parts)
    assert connection_error(events).code in codes, events


MALFORMED = {
    "8.2.1 an upper-case name": [*REQUEST, (b"X-A", b"1")],
    "8.2.1 a name with a blank": [*REQUEST, (b"x a", b"1")],
    "8.2.1 a value with CR LF": [*REQUEST, (b"x-a", b"1\r\nx-b: 2")],
    "8.2.1 a value with NUL": [*REQUEST, (b"x-a", b"1\0")],
    "8.2.2 connection": [*REQUEST, (b"connection", b"close")],
    "8.2.2 transfer-encoding": [*REQUEST, (b"transfer-encoding", b"chunked")],
    "8.2.2 te other than trailers": [*REQUEST, (b"te", b"gzip")],
    "8.3 an unknown pseudo-header": [*REQUEST, (b":odd", b"1")],
    "8.3 a pseudo-header behind a field": [*REQUEST[:2], (b"x-a", b"1"), *REQUEST[2:]],
    "8.3 a pseudo-header twice": [*REQUEST, (b":path", b"/b")],
    "8.3.1 no path": [REQUEST[0], REQUEST[1], REQUEST[3]],
    "8.3.1 no method": REQUEST[1:],
    "8.3.1 an empty path": [REQUEST[0], REQUEST[1], (b":path", b""), REQUEST[3]],
    "8.3.1 host that differs from authority": [*REQUEST, (b"host", b"other")],
    "8.3.2 a status in a request": [*REQUEST, (b":status", b"200")],
}


@pytest.mark.parametrize("section", MALFORMED)
def test_malformed_requests_yield_no_headers(section: str) -> None:
    """RFC 9113 8.1.1 requires at least a stream error; h2 raises a connection error, as 5.4.2 allows."""
    events = SessionPair().receive_frames(headers_frame(1, MALFORMED[section]))
    assert not any(isinstance(event, HeadersReceived) for event in events)
    assert connection_error(events).code == PROTOCOL


def test_a_body_whose_length_differs_from_content_length_is_malformed() -> None:
    pair = SessionPair()
    events = pair.receive_frames(
        headers_frame(1, [*REQUEST, (b"content-length", b"5")]), data_frame(1, b"abc", "END_STREAM")
    )
    assert not any(isinstance(event, StreamEnded) for event in events) and connection_error(events).code == PROTOCOL


def test_closed_and_half_closed_streams() -> None:
    """RFC 9113 5.1: DATA after the end of a stream is an error, but after a reset it may just be late."""
    pair = SessionPair()
    stream = pair.send_request(b"x")
    pair.exchange()
    # The stream is half-closed (remote): STREAM_CLOSED, as a stream or connection error.
    events = pair.receive_frames(data_frame(stream, b"more"))
    assert any(isinstance(event, StreamReset | ConnectionEnded) and event.code == STREAM_CLOSED for event in events), (
        events
    )
    pair = SessionPair()
    stream = pair.send_request(end=False)
    pair.exchange()
    pair.session.reset_stream(stream, 8)
    # Frames that the peer sent before it received the reset are ignored.
    assert pair.receive_frames(data_frame(stream, b"late"), hf.WindowUpdateFrame(stream, window_increment=1)) == []


def test_unknown_frames_and_settings_are_ignored() -> None:
    pair = SessionPair()
    events = pair.receive_frames(unknown(), _settings(0x99, 1), headers_frame(1, None, "END_HEADERS", "END_STREAM"))
    assert [type(event) for event in events if not isinstance(event, ConnectionEnded)][-2:] == [
        HeadersReceived,
        StreamEnded,
    ]


def test_a_stream_reset_is_reported_once() -> None:
    pair = SessionPair()
    stream = pair.send_request(end=False)
    pair.exchange()
    pair.peer.reset_stream(stream, 8)
    events, peer_events = pair.exchange()
    assert events == [StreamReset(stream, 8, False)] and not any(
        isinstance(event, h2_events.StreamReset) for event in peer_events
    )
