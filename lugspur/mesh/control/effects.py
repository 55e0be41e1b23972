"""What a state machine asks its process to do: messages to send, rows to write, and messages to send once synced."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lugspur.mesh.control.messages import Message

Peer = Any  # an IP address, or whatever a message came from; it is only handed back
Rows = list[tuple[bytes, bytes | None]]  # key and value; no value: the row is removed


@dataclass(slots=True)
class Effects:
    """To be done in this order; `after_sync` is sent once `write` is synced to disk, and dropped where that fails."""

    send: list[tuple[Peer, Message]] = field(default_factory=list)
    write: Rows = field(default_factory=list)
    after_sync: list[tuple[Peer, Message]] = field(default_factory=list)

    def add(self, other: Effects) -> None:
        """Append the effects of another step."""
        self.send += other.send
        self.write += other.write
        self.after_sync += other.after_sync
