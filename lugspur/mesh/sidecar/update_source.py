"""Selection of the control node whose updates a proxy follows: reachable, with fresh updates, local zone first."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

from lugspur.mesh import events
from lugspur.mesh.control.messages import Membership, Message, Unsubscribe
from lugspur.mesh.settings import Settings
from lugspur.mesh.transport.dialer import Dialer

AVOID_SECONDS = 2.0  # time for which a source that was given up is selected only if there is no other


class Follower(Protocol):
    """The interface of the process that follows the updates."""

    loop: asyncio.AbstractEventLoop
    rng: Random
    peers: dict[str, Dialer]
    membership: Membership | None
    max_staleness: float

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""

    def subscribe(self, dialer: Dialer) -> None:
        """Subscribe to the updates of a peer."""

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer."""


class UpdateSource:
    """The control node that is followed; another one is selected if its connection is lost or its updates are stale."""

    def __init__(self, follower: Follower) -> None:
        self._follower = follower
        self.ip = ""  # address of the control node that is followed; empty if none can be reached
        self.selections = 0  # number of selections since the start of the process
        self.confirmed_at = 0.0  # everything that a majority had confirmed before this time is known
        self.has_configuration = False  # whether updates have ever been fresh
        self._selected_at = 0.0
        self._avoided_until: dict[str, float] = {}  # by the IP address of a source that was given up

    def may_be_cut_off(self) -> bool:
        """Whether updates are so stale that the known membership may be outdated."""
        follower = self._follower
        return follower.loop.time() - self.confirmed_at > 2.0 * follower.max_staleness

    def select(self) -> None:
        """Follow another control node, and unsubscribe from the former one."""
        follower = self._follower
        former, self.ip = self.ip, self._choose()
        if former and former != self.ip:
            follower.send_to(former, Unsubscribe())
        if self.ip:
            self.selections += 1
            self._selected_at = follower.loop.time()
            follower.subscribe(follower.peers[self.ip])

    def _choose(self) -> str:
        """Return the address of a random candidate, of the local zone if possible; empty if none can be reached."""
        follower = self._follower
        membership, seeds = follower.membership, follower.settings.seeds
        connected = {ip for ip, dialer in follower.peers.items() if dialer.link is not None}
        zones = {voter.ip: voter.zone for voter in membership.voters} if membership is not None else {}
        reachable = [ip for ip in connected if ip in zones]
        # The known membership may be outdated, so seeds are candidates too. Other peers are proxies without updates.
        if not reachable or self.may_be_cut_off():
            reachable += [ip for ip in connected if ip in seeds and ip not in zones]
        others = [ip for ip in reachable if ip != self.ip] or reachable
        own_zone, now = follower.settings.own.zone, follower.loop.time()
        return min(
            others,
            key=lambda ip: (self._avoided_until.get(ip, 0.0) > now, zones.get(ip) != own_zone, follower.rng.random()),
            default="",
        )

    def update_merged(self, now: float, ip: str, confirmed_at: float) -> None:
        """Handle a merged update of a peer; everything confirmed before `confirmed_at` is now known."""
        if ip == self.ip:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            self.has_configuration = self.has_configuration or now - self.confirmed_at < self._follower.max_staleness

    def disconnected(self, ip: str) -> None:
        """Select another source if the connection to the one that is followed has ended."""
        if ip == self.ip:
            self.ip = ""
            self.select()

    def membership_changed(self) -> None:
        """Select another source if the one that is followed is no longer a peer under the new membership."""
        if self.ip not in self._follower.peers:
            self.select()

    def tick(self, now: float) -> None:
        """Give up a source whose updates are stale, and select another one; also select one if none is followed."""
        due = max(self.confirmed_at, self._selected_at) + self._follower.max_staleness
        if self.ip and now <= due:
            return
        if self.ip:
            events.info("news-lost", source=self.ip, age=now - self.confirmed_at)
            self._avoided_until[self.ip] = now + AVOID_SECONDS
        self.select()
