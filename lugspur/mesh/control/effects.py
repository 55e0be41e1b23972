"""What a state machine wants done: messages to send, rows to write, and messages to send once those are on disk."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lugspur.mesh.control.messages import Message

Peer = Any  # an IP number, or whatever a message came from; only handed back
Rows = list[tuple[bytes, bytes | None]]  # key and value; no value: the row is removed


@dataclass(slots=True)
class Effects:
    """To be carried out in this order; `after_sync` waits until `write` is on disk, and is dropped where that fails."""

    send: list[tuple[Peer, Message]] = field(default_factory=list)
    write: Rows = field(default_factory=list)
    after_sync: list[tuple[Peer, Message]] = field(default_factory=list)

    def add(self, other: Effects) -> None:
        """Do the other's after these."""
        self.send += other.send
        self.write += other.write
        self.after_sync += other.after_sync
