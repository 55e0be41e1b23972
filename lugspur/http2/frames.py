"""The frames of one direction as they come, walked before h2 reads them, and GOAWAY as it goes out.

h2 counts nothing that costs its peer nothing, waits for the whole of a frame that is too long, and ends a connection
for good at any GOAWAY, which RFC 9113 6.8 does not. So each frame's head is looked at here first: floods end the
connection before they are parsed, and GOAWAY is taken out and handled by the machine.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.http1.front import PREFACE

HEAD = 9  # bytes of a frame's head
FRAME_MOST = 16_384  # bytes of a frame: what we allow, RFC 9113's least
BLOCK_MOST = 64 << 10  # bytes of one header block, its CONTINUATION frames included: CVE-2024-27316
GOAWAY_MOST = 1 << 10  # bytes of a GOAWAY: its text is for people
BURST = 1000.0  # frames that cost the peer nothing, ahead of any that are of use: a page of old cancels at once
REFILL = 200.0  # and so many a second: CVE-2023-44487, CVE-2019-9512, -9515, -9518
EARNED_MOST = 4000.0  # so many at once where much is of use

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = range(10)
END_STREAM = ACK = 0x1
PADDED = 0x8
NO_ERROR, PROTOCOL_ERROR, INTERNAL_ERROR, FLOW_CONTROL_ERROR = 0, 1, 2, 3
FRAME_SIZE_ERROR, REFUSED_STREAM, CANCEL, ENHANCE_YOUR_CALM = 6, 7, 8, 11
STREAM_MOST = (1 << 31) - 1


class Fault(Exception):
    """What the peer did ends the connection; `code` is the error that it is told."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


@dataclass(slots=True, frozen=True)
class Leave:
    """A GOAWAY: streams above `last` never ran."""

    last: int
    code: int
    text: bytes = b""


def goaway(last: int, code: int, text: bytes = b"") -> bytes:
    """A GOAWAY frame (RFC 9113 6.8)."""
    payload = last.to_bytes(4, "big") + code.to_bytes(4, "big") + text
    return len(payload).to_bytes(3, "big") + bytes((GOAWAY, 0, 0, 0, 0, 0)) + payload


class Sieve:
    """Walks what comes; pieces for h2 and GOAWAYs go out in the order in which they came."""

    def __init__(self, preface: bool) -> None:
        self._left = len(PREFACE) if preface else 0  # bytes of the frame, or the preface, that are still to come
        self._head = b""  # a head that is not whole
        self._leaving: bytearray | None = None  # a GOAWAY that is not whole
        self._block = 0  # bytes of the header block that is open
        self._budget, self._at = BURST, float("-inf")

    def earn(self, frames: float) -> None:
        """Something of use was done: the peer may send so many more frames that are not."""
        self._budget = min(self._budget + frames, EARNED_MOST)

    def feed(self, now: float, data: bytes) -> list[bytes | Leave]:
        """What has come; raises Fault."""
        self._budget = max(self._budget, min(self._budget + REFILL * max(0.0, now - self._at), BURST))
        self._at = now
        if self._head:
            data, self._head = self._head + data, b""
        out: list[bytes | Leave] = []
        begin = at = 0
        end = len(data)
        while at < end:
            if not self._left and self._leaving is None:
                if end - at < HEAD:
                    self._head = data[at:]
                    end = at
                    break
                size, kind, flags = int.from_bytes(data[at : at + 3], "big"), data[at + 3], data[at + 4]
                self._judge(size, kind, flags)
                if kind != GOAWAY:
                    at += HEAD
                    self._left = size
                    continue
                if begin < at:
                    out.append(data[begin:at])
                at += HEAD
                self._left, self._leaving = size, bytearray()
            step = min(self._left, end - at)
            self._left -= step
            if self._leaving is not None:
                self._leaving += data[at : at + step]
                begin = at + step
                if not self._left:
                    out.append(_read_leave(self._leaving))
                    self._leaving = None
            at += step
        if begin < end:
            out.append(data[begin:end])
        return out

    def _judge(self, size: int, kind: int, flags: int) -> None:
        if size > FRAME_MOST:
            raise Fault(FRAME_SIZE_ERROR, f"a frame of {size} bytes")
        if kind == SETTINGS and flags & ACK and size:
            raise Fault(FRAME_SIZE_ERROR, "an acknowledgement with a payload")
        if kind in (HEADERS, CONTINUATION):
            self._block = size if kind == HEADERS else self._block + size
            if self._block > BLOCK_MOST:
                raise Fault(ENHANCE_YOUR_CALM, "a header block without end")
        if kind == GOAWAY and not 8 <= size <= GOAWAY_MOST:
            raise Fault(FRAME_SIZE_ERROR, f"a GOAWAY of {size} bytes")
        if kind == DATA:
            # Guards against DATA that carries nothing, and padding; an end of the stream is of use.
            self._budget += 1.0 if size and not flags & PADDED else 0.0 if flags & END_STREAM else -1.0
            self._budget = min(self._budget, EARNED_MOST)
        elif kind != HEADERS:
            self._budget -= 1.0
        if self._budget < 0.0:
            raise Fault(ENHANCE_YOUR_CALM, "too many frames that are of no use")


def _read_leave(payload: bytearray) -> Leave:
    last = int.from_bytes(payload[:4], "big") & STREAM_MOST
    return Leave(last, int.from_bytes(payload[4:8], "big"), bytes(payload[8:]))
