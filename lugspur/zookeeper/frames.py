"""FrameDecoder: a length of four bytes, then so many bytes."""

from __future__ import annotations

from lugspur.zookeeper.jute import LENGTH, JuteDecodeError


class FrameDecoder:
    """Cuts what comes into frames, none of them longer than `most` bytes."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now; raises JuteDecodeError for a length that can't be."""
        held = self._data
        held += data
        found: list[bytes] = []
        at = 0
        while len(held) - at >= LENGTH.size:
            length: int = LENGTH.unpack_from(held, at)[0]
            if not 0 <= length <= self._most:  # Guards memory: nothing is kept for a frame of 1 GB.
                raise JuteDecodeError(f"a frame of {length} bytes; at most {self._most} are taken")
            end = at + LENGTH.size + length
            if end > len(held):
                break
            found.append(bytes(held[at + LENGTH.size : end]))
            at = end
        del held[:at]
        return found
