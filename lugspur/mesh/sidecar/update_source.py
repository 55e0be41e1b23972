"""Which control node's updates a proxy follows: one that it can reach, of its own zone first, while they are fresh."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

from lugspur.mesh import events
from lugspur.mesh.control.messages import Membership, Message, Unsubscribe
from lugspur.mesh.settings import Settings
from lugspur.mesh.transport.dialer import Dialer

AVOID_SECONDS = 2.0  # for which a source that was given up comes after all others


class Follower(Protocol):
    """The process that follows the updates."""

    loop: asyncio.AbstractEventLoop
    rng: Random
    peers: dict[str, Dialer]
    membership: Membership | None
    max_staleness: float

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""

    def subscribe(self, dialer: Dialer) -> None:
        """Ask a peer for all updates from now on."""

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer."""


class UpdateSource:
    """The control node that is followed; another one is chosen where its updates are lost or too old."""

    def __init__(self, follower: Follower) -> None:
        self._follower = follower
        self.ip = ""  # of the control node that is followed; empty: none can be reached
        self.selections = 0  # since the start of the process
        self.confirmed_at = 0.0  # all that a majority had confirmed before then is known here
        self.has_configuration = False  # whether updates have been fresh once
        self._selected_at = 0.0
        self._avoided_until: dict[str, float] = {}  # by the IP number of a source that was given up

    def may_be_cut_off(self) -> bool:
        """Whether the updates are so old that the membership which is known may be an old one."""
        follower = self._follower
        return follower.loop.time() - self.confirmed_at > 2.0 * follower.max_staleness

    def select(self) -> None:
        """Follow another control node, and no longer the former one."""
        follower = self._follower
        former, self.ip = self.ip, self._choose()
        if former and former != self.ip:
            follower.send_to(former, Unsubscribe())
        if self.ip:
            self.selections += 1
            self._selected_at = follower.loop.time()
            follower.subscribe(follower.peers[self.ip])

    def _choose(self) -> str:
        """A voter of the own zone before others, drawn anew by each process; empty where none can be reached."""
        follower = self._follower
        membership, seeds = follower.membership, follower.settings.seeds
        connected = {ip for ip, dialer in follower.peers.items() if dialer.link is not None}
        zones = {voter.ip: voter.zone for voter in membership.voters} if membership is not None else {}
        able = [ip for ip in connected if ip in zones]
        # The membership that is known may be an old one. Other peers are proxies, which send no updates.
        if not able or self.may_be_cut_off():
            able += [ip for ip in connected if ip in seeds and ip not in zones]
        others = [ip for ip in able if ip != self.ip] or able
        own_zone, now = follower.settings.own.zone, follower.loop.time()
        return min(
            others,
            key=lambda ip: (self._avoided_until.get(ip, 0.0) > now, zones.get(ip) != own_zone, follower.rng.random()),
            default="",
        )

    def update_taken(self, now: float, ip: str, confirmed_at: float) -> None:
        """An update of a peer was merged; all that had been confirmed before `confirmed_at` is known here."""
        if ip == self.ip:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            self.has_configuration = self.has_configuration or now - self.confirmed_at < self._follower.max_staleness

    def disconnected(self, ip: str) -> None:
        """The connection to a peer has ended."""
        if ip == self.ip:
            self.ip = ""
            self.select()

    def membership_changed(self) -> None:
        """Other voters may be in force: the one that is followed may have no connection any more."""
        if self.ip not in self._follower.peers:
            self.select()

    def tick(self, now: float) -> None:
        """Give up a source whose updates are too old, and look for one where none is followed."""
        due = max(self.confirmed_at, self._selected_at) + self._follower.max_staleness
        if self.ip and now <= due:
            return
        if self.ip:
            events.info("news-lost", source=self.ip, age=now - self.confirmed_at)
            self._avoided_until[self.ip] = now + AVOID_SECONDS
        self.select()
