"""Frames of the protocol: a length of four bytes, then that many bytes."""

from __future__ import annotations

from lugspur.zookeeper.jute import LENGTH, JuteDecodeError


class FrameDecoder:
    """Splits received data into frames of at most `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are complete now; raises JuteDecodeError for an invalid length."""
        buffer = self._data
        buffer += data
        frames: list[bytes] = []
        offset = 0
        while len(buffer) - offset >= LENGTH.size:
            length: int = LENGTH.unpack_from(buffer, offset)[0]
            if not 0 <= length <= self._max_bytes:  # limits memory: a frame of 1 GB is not buffered
                raise JuteDecodeError(f"a frame of {length} bytes; at most {self._max_bytes} are accepted")
            end = offset + LENGTH.size + length
            if end > len(buffer):
                break
            frames.append(bytes(buffer[offset + LENGTH.size : end]))
            offset = end
        del buffer[:offset]
        return frames
