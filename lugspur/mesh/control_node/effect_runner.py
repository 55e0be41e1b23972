"""Carries out what a replica, a proposer or a reader wants done: sends, writes, and sends the rest after the sync."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.control.messages import Message
from lugspur.mesh.storage.disk import Disk

LAZY_WRITE_DELAY_SECONDS = 0.1  # seconds for which rows that nobody waits for may wait for others


class EffectRunner:
    """Effects on the disk and on peers; `to` sends to a control node by its IP number."""

    def __init__(self, loop: asyncio.AbstractEventLoop, disk: Disk, to: Callable[[str, Message], None]) -> None:
        self._loop, self._disk, self._to = loop, disk, to
        self._lazy = False

    def run(self, effects: Effects) -> None:
        """Send, write, and send the rest once that is on disk."""
        for peer, message in effects.send:
            self._send(peer, message)
        if effects.after_sync:
            after_sync = effects.after_sync

            def written() -> None:
                for peer, message in after_sync:
                    self._send(peer, message)

            self._disk.write(effects.write, written)
        elif effects.write:
            self._disk.write(effects.write)
            if not self._lazy:
                self._lazy = True
                self._loop.call_later(LAZY_WRITE_DELAY_SECONDS, self._write_lazy)

    def _send(self, peer: Peer, message: Message) -> None:
        if isinstance(peer, str):
            self._to(peer, message)
        else:
            peer.send(message)

    def _write_lazy(self) -> None:
        self._lazy = False
        self._disk.flush()
