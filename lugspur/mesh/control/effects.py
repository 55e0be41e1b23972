"""The output of a state machine: messages to send, rows to write, and messages to send once these rows are synced."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lugspur.mesh.control.messages import Message

Peer = Any  # an IP address or another source of a message; state machines only pass it back
Rows = list[tuple[bytes, bytes | None]]  # keys and values; a row whose value is None is removed


@dataclass(slots=True)
class Effects:
    """Effects to carry out in this order; `after_sync` is sent once `write` is synced, and dropped if that fails."""

    send: list[tuple[Peer, Message]] = field(default_factory=list)
    write: Rows = field(default_factory=list)
    after_sync: list[tuple[Peer, Message]] = field(default_factory=list)

    def add(self, other: Effects) -> None:
        """Append the effects of another step."""
        self.send += other.send
        self.write += other.write
        self.after_sync += other.after_sync
