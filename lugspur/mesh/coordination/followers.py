"""Nodes that are sent each decided change, several at a time."""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor

FLUSH_DELAY_SECONDS = 0.03  # for which decided changes wait for others, so that one message carries several


class Followers:
    """How far each follower is, by the connection that it has asked on."""

    def __init__(self, acceptor: CoordinationAcceptor) -> None:
        self._acceptor = acceptor
        self._sent_index: dict[Peer, int] = {}

    def __len__(self) -> int:
        return len(self._sent_index)

    def fetch(self, peer: Peer, after_index: int, *, is_following: bool) -> Effects:
        """Send what a peer lacks; `is_following`: and everything from now on."""
        if is_following:
            self._sent_index[peer] = max(after_index, self._acceptor.state.index)
        pages = self._acceptor.pages_after(after_index)
        return Effects() if pages is None else Effects(send=[(peer, pages)])

    def remove(self, peer: Peer) -> None:
        """A peer follows no longer."""
        self._sent_index.pop(peer, None)

    def peers(self) -> list[Peer]:
        """Those who follow."""
        return list(self._sent_index)

    @property
    def is_flush_due(self) -> bool:
        """Whether a follower lacks a change."""
        index = self._acceptor.state.index
        return any(sent < index for sent in self._sent_index.values())

    def flush(self) -> Effects:
        """Send all followers what they lack."""
        effects = Effects()
        for peer, sent in self._sent_index.items():
            pages = self._acceptor.pages_after(sent)
            if pages is not None:
                self._sent_index[peer] = self._acceptor.state.index
                effects.send.append((peer, pages))
        return effects
