"""Runs the effects that a replica, a proposer or a reader returns: messages, writes, and messages after the sync."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.control.messages import Message
from lugspur.mesh.storage.disk import Disk

LAZY_WRITE_DELAY_SECONDS = 0.1  # how long rows that no message waits for may be collected before they are written


class EffectRunner:
    """Runs effects on the disk and on peers; `send_to` sends a message to a control node by its IP address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, disk: Disk, send_to: Callable[[str, Message], None]) -> None:
        self._loop, self._disk, self._send_to = loop, disk, send_to
        self._is_flush_due = False

    def run(self, effects: Effects) -> None:
        """Send messages and write rows, and send the `after_sync` messages once the rows are on disk."""
        for peer, message in effects.send:
            self._send(peer, message)
        if effects.after_sync:
            after_sync = effects.after_sync

            def on_synced() -> None:
                for peer, message in after_sync:
                    self._send(peer, message)

            self._disk.write(effects.write, on_synced)
        elif effects.write:
            self._disk.write(effects.write)
            if not self._is_flush_due:
                self._is_flush_due = True
                self._loop.call_later(LAZY_WRITE_DELAY_SECONDS, self._flush)

    def _send(self, peer: Peer, message: Message) -> None:
        if isinstance(peer, str):
            self._send_to(peer, message)
        else:
            peer.send(message)

    def _flush(self) -> None:
        self._is_flush_due = False
        self._disk.flush()
