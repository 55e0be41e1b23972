"""Sends decided changes to the nodes that follow this one, several changes per message."""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor

FLUSH_DELAY_SECONDS = 0.03  # how long a decided change waits, so that one message can contain several changes


class Followers:
    """The latest index that was sent to each follower, by the follower's connection."""

    def __init__(self, acceptor: CoordinationAcceptor) -> None:
        self._acceptor = acceptor
        self._sent_index: dict[Peer, int] = {}

    def __len__(self) -> int:
        return len(self._sent_index)

    def fetch(self, peer: Peer, after_index: int, *, is_following: bool) -> Effects:
        """Send what a peer lacks, and if `is_following` all later changes too."""
        if is_following:
            self._sent_index[peer] = max(after_index, self._acceptor.state.index)
        update = self._acceptor.changes_or_snapshot_after(after_index)
        return Effects() if update is None else Effects(send=[(peer, update)])

    def remove(self, peer: Peer) -> None:
        """Stop sending changes to a peer."""
        self._sent_index.pop(peer, None)

    def peers(self) -> list[Peer]:
        """Return the connections of all followers."""
        return list(self._sent_index)

    @property
    def is_flush_due(self) -> bool:
        """Whether a follower has not been sent the latest change."""
        index = self._acceptor.state.index
        return any(sent < index for sent in self._sent_index.values())

    def flush(self) -> Effects:
        """Send each follower the changes that it lacks."""
        effects = Effects()
        for peer, sent in self._sent_index.items():
            update = self._acceptor.changes_or_snapshot_after(sent)
            if update is not None:
                self._sent_index[peer] = self._acceptor.state.index
                effects.send.append((peer, update))
        return effects
