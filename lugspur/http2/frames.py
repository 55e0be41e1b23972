"""Checks the headers of incoming frames before h2 parses them, and encodes outgoing GOAWAY frames.

h2 doesn't limit frames that cost the peer nothing, buffers a frame that is too long until it is complete, and ends
the connection for good at any GOAWAY, which RFC 9113 6.8 does not ask for. The filter here therefore reads each frame
header first: a flood ends the connection before its frames are parsed, and GOAWAY frames are taken out of the data
and handled by the session.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.http1.front import PREFACE

FRAME_HEADER_BYTES = 9
MAX_FRAME_BYTES = 16_384  # payload of a frame from the peer; the smallest limit that RFC 9113 allows
MAX_HEADER_BLOCK_BYTES = 64 << 10  # one header block including its CONTINUATION frames: CVE-2024-27316
MAX_GOAWAY_BYTES = 1 << 10  # payload of a GOAWAY frame; its debug data is only text for people
# Frames that cost the peer nothing, such as PING, RST_STREAM or empty DATA, which it may send before any useful ones.
# A browser that leaves a page cancels many requests at once.
FRAME_BUDGET_BURST = 1000.0
FRAME_BUDGET_PER_SECOND = 200.0  # refill of the budget: CVE-2023-44487, CVE-2019-9512, -9515, -9518
MAX_FRAME_BUDGET = 4000.0  # frames that a peer may have in its budget after much useful traffic

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = range(10)
END_STREAM = ACK = 0x1
PADDED = 0x8
NO_ERROR, PROTOCOL_ERROR, INTERNAL_ERROR, FLOW_CONTROL_ERROR = 0, 1, 2, 3
FRAME_SIZE_ERROR, REFUSED_STREAM, CANCEL, ENHANCE_YOUR_CALM = 6, 7, 8, 11
MAX_STREAM_ID = (1 << 31) - 1


class Http2ConnectionError(Exception):
    """The peer caused a connection error (RFC 9113 5.4.1); `code` is the error code for the GOAWAY frame."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


@dataclass(slots=True, frozen=True)
class GoAway:
    """A GOAWAY frame from the peer: it has not processed streams above `last_stream_id`."""

    last_stream_id: int
    code: int
    debug_data: bytes = b""


def encode_goaway(last_stream_id: int, code: int, debug_data: bytes = b"") -> bytes:
    """Return a GOAWAY frame (RFC 9113 6.8)."""
    payload = last_stream_id.to_bytes(4, "big") + code.to_bytes(4, "big") + debug_data
    return len(payload).to_bytes(3, "big") + bytes((GOAWAY, 0, 0, 0, 0, 0)) + payload


class FrameFilter:
    """Checks the frame headers in received data and separates GOAWAY frames from the data for h2, in order."""

    def __init__(self, preface: bool) -> None:
        self._missing_bytes = len(PREFACE) if preface else 0  # bytes missing from the current frame or the preface
        self._partial_header = b""  # the received part of an incomplete frame header
        self._partial_goaway: bytearray | None = None  # the received part of an incomplete GOAWAY payload
        self._header_block_bytes = 0  # bytes of the current header block
        self._budget, self._refilled_at = FRAME_BUDGET_BURST, float("-inf")

    def add_budget(self, frames: float) -> None:
        """Let the peer send so many more frames that cost it nothing, after useful work on the connection."""
        self._budget = min(self._budget + frames, MAX_FRAME_BUDGET)

    def feed(self, now: float, data: bytes) -> list[bytes | GoAway]:
        """Return the received data for h2 and the GOAWAY frames in it; raises Http2ConnectionError."""
        self._budget = max(
            self._budget,
            min(self._budget + FRAME_BUDGET_PER_SECOND * max(0.0, now - self._refilled_at), FRAME_BUDGET_BURST),
        )
        self._refilled_at = now
        if self._partial_header:
            data, self._partial_header = self._partial_header + data, b""
        pieces: list[bytes | GoAway] = []
        piece_start = at = 0
        data_end = len(data)
        while at < data_end:
            if not self._missing_bytes and self._partial_goaway is None:
                if data_end - at < FRAME_HEADER_BYTES:
                    self._partial_header = data[at:]
                    data_end = at
                    break
                size, kind, flags = int.from_bytes(data[at : at + 3], "big"), data[at + 3], data[at + 4]
                self._check_frame(size, kind, flags)
                if kind != GOAWAY:
                    at += FRAME_HEADER_BYTES
                    self._missing_bytes = size
                    continue
                if piece_start < at:
                    pieces.append(data[piece_start:at])
                at += FRAME_HEADER_BYTES
                self._missing_bytes, self._partial_goaway = size, bytearray()
            chunk_size = min(self._missing_bytes, data_end - at)
            self._missing_bytes -= chunk_size
            if self._partial_goaway is not None:
                self._partial_goaway += data[at : at + chunk_size]
                piece_start = at + chunk_size
                if not self._missing_bytes:
                    pieces.append(_parse_goaway(self._partial_goaway))
                    self._partial_goaway = None
            at += chunk_size
        if piece_start < data_end:
            pieces.append(data[piece_start:data_end])
        return pieces

    def _check_frame(self, size: int, kind: int, flags: int) -> None:
        if size > MAX_FRAME_BYTES:
            raise Http2ConnectionError(FRAME_SIZE_ERROR, f"a frame of {size} bytes")
        if kind == SETTINGS and flags & ACK and size:
            raise Http2ConnectionError(FRAME_SIZE_ERROR, "an acknowledgement with a payload")
        if kind in (HEADERS, CONTINUATION):
            self._header_block_bytes = size if kind == HEADERS else self._header_block_bytes + size
            if self._header_block_bytes > MAX_HEADER_BLOCK_BYTES:
                raise Http2ConnectionError(ENHANCE_YOUR_CALM, "a header block without end")
        if kind == GOAWAY and not 8 <= size <= MAX_GOAWAY_BYTES:
            raise Http2ConnectionError(FRAME_SIZE_ERROR, f"a GOAWAY of {size} bytes")
        if kind == DATA:
            # Guards against floods of empty or padded DATA frames; an empty frame that ends a stream is useful.
            self._budget += 1.0 if size and not flags & PADDED else 0.0 if flags & END_STREAM else -1.0
            self._budget = min(self._budget, MAX_FRAME_BUDGET)
        elif kind != HEADERS:
            self._budget -= 1.0
        if self._budget < 0.0:
            raise Http2ConnectionError(ENHANCE_YOUR_CALM, "too many frames that are of no use")


def _parse_goaway(payload: bytearray) -> GoAway:
    last_stream_id = int.from_bytes(payload[:4], "big") & MAX_STREAM_ID
    return GoAway(last_stream_id, int.from_bytes(payload[4:8], "big"), bytes(payload[8:]))
