"""The base of all processes of the mesh: keeps connections to peers and applies the updates of control nodes."""

from __future__ import annotations

import asyncio
import os
import time
from random import Random
from typing import NamedTuple

from lugspur.mesh import events
from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.items import MEMBERSHIP, RESERVED_KINDS
from lugspur.mesh.control.membership_entry import read_membership
from lugspur.mesh.control.messages import Delta, Entry, Hello, Membership, Message, Pong, Report, Subscribe
from lugspur.mesh.control.store import Store
from lugspur.mesh.settings import Settings
from lugspur.mesh.settings_watcher import SettingsWatcher
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, Link

TICK_SECONDS = 0.1  # between two calls of `tick`
HEARTBEAT_FRACTION = 1 / 8  # of `edition_ms`: interval of heartbeats, updates without a change
STALENESS_FRACTION = 0.4  # of `edition_ms`: age of the latest update at which another source is sought
MAX_MISSED_HEARTBEATS = 4.0  # after which a peer that receives nothing from this process counts as cut off
MAX_AGE_SECONDS = 1e6  # the largest age in updates, status and metrics; it means that nothing is known
SETTINGS_CHECK_SECONDS = 1.0  # between two checks whether the settings file has changed


class FollowedPosition(NamedTuple):
    """The position up to which a peer's changes are known: a sequence number of one of its incarnations."""

    incarnation: str
    sequence: int


class MeshProcess:
    """One process of the mesh; `ControlNode` and `Sidecar` override its methods.

    All times are those of the event loop's monotonic clock, in seconds.
    """

    def __init__(self, settings: Settings, path: str, *, is_control_node: bool) -> None:
        """`path`: the settings file, which is reloaded when it changes."""
        self.loop = asyncio.get_running_loop()
        self._settings_watcher = SettingsWatcher(path, settings, self.settings_changed)
        self._settings_check_at = 0.0
        self.is_control_node = is_control_node
        self.ip = settings.own.ip
        self.incarnation = os.urandom(8).hex()  # identifies this run of the process
        self.rng = Random(self.incarnation)
        self.store = Store(self._store_changed)
        self.membership: Membership | None = None
        self.peers: dict[str, Dialer] = {}  # by IP number
        self.positions: dict[str, FollowedPosition] = {}  # by the IP number of a followed peer
        self.configuration_index = 0  # index of the latest configuration change that is known
        self.is_leaving = False
        bounds = settings.tariffs.bounds
        self.heartbeat_interval = max(0.1, HEARTBEAT_FRACTION * bounds.edition_ms / 1000.0)
        self.max_staleness = max(0.3, STALENESS_FRACTION * bounds.edition_ms / 1000.0)
        self.freshness = Freshness(MAX_MISSED_HEARTBEATS * self.heartbeat_interval)
        self.loop.call_soon(self.connect_peers)  # after the constructor of the subclass, which decides on the peers
        self.loop.call_later(TICK_SECONDS, self._run_tick)

    # ---- settings ------------------------------------------------------------------------

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self._settings_watcher.settings

    def reload(self) -> None:
        """Reload the settings file; an invalid file changes nothing."""
        self._settings_watcher.reload()

    def settings_changed(self) -> None:
        """Handle new settings, which may name other seeds."""
        self.connect_peers()

    # ---- connections ---------------------------------------------------------------------

    def wanted_peers(self) -> set[str]:
        """Return the IP numbers to connect to: the voters, and the seeds if the known voters may be out of date."""
        seeds = set(self.settings.seeds) - {self.ip}
        if self.membership is None:
            return seeds
        voters = {voter.ip for voter in self.membership.voters} - {self.ip}
        return voters | seeds if self.may_be_cut_off() else voters

    def may_be_cut_off(self) -> bool:
        """Return whether the known membership may be out of date; a control node always assumes so."""
        return True

    def connect_peers(self) -> None:
        """Dial wanted peers without a connection, and close connections that are no longer needed."""
        wanted = self.wanted_peers()
        for ip in wanted - self.peers.keys():
            port = self.settings.network.inner_ports[0]
            self.peers[ip] = Dialer(
                ip,
                port,
                self.ip,
                on_message=self.message_received,
                on_connected=self.connected,
                on_disconnected=self.disconnected,
                keep_idle=self.keepalive_idle_seconds(ip),
            )
        for ip in [ip for ip in self.peers if ip not in wanted and not self.needs_peer(ip)]:
            self.peers.pop(ip).close()
            self.freshness.disconnected(ip)
            self.positions.pop(ip, None)

    def keepalive_idle_seconds(self, ip: str) -> int:
        """Return the seconds without traffic after which a connection to this peer is probed."""
        return KEEPALIVE_IDLE_SECONDS

    def needs_peer(self, ip: str) -> bool:
        """Return whether a connection that is no longer wanted has to stay open for requests in flight."""
        return False

    def connected(self, dialer: Dialer) -> None:
        """Handle a new connection that this process dialled."""
        assert dialer.link is not None
        dialer.link.send(Hello(self.ip, self.incarnation, self.is_control_node))
        if self.follows(dialer.ip):
            self.subscribe(dialer)

    def disconnected(self, dialer: Dialer) -> None:
        """Handle the end of a connection that this process dialled."""
        self.freshness.disconnected(dialer.ip)

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer; it is dropped if there is no connection."""
        dialer = self.peers.get(ip)
        if dialer is not None and dialer.link is not None:
            dialer.link.send(message)

    def message_received(self, link: Link, message: Message) -> None:
        """Handle a message on a connection that this process dialled."""
        self.receive(link.peer, message)

    def receive(self, ip: str, message: Message) -> None:
        """Handle a message of a peer that this process dialled, or of its own replica."""
        now = self.loop.time()
        if isinstance(message, Delta):
            self.receive_update(now, ip, message)
        else:
            self.receive_other(now, ip, message)

    def receive_other(self, now: float, ip: str, message: Message) -> None:
        """Handle a message that only some kinds of processes support."""

    # ---- updates -------------------------------------------------------------------------

    def follows(self, ip: str) -> bool:
        """Return whether this process subscribes to a peer's updates."""
        raise NotImplementedError

    def subscribe(self, dialer: Dialer) -> None:
        """Subscribe to a peer's updates, and report the entries of this process to it."""
        if dialer.link is not None:
            incarnation, sequence = self.positions.get(dialer.ip, FollowedPosition("", 0))
            self.freshness.subscribed(self.loop.time(), dialer.ip)
            dialer.link.send(Subscribe(incarnation, sequence))
            own = self.own_entries(renew=True)
            if own:
                dialer.link.send(Report(own))

    def own_entries(self, *, renew: bool) -> list[Entry]:
        """Return the leased entries that describe this process; `renew`: with a new edition, for another peer."""
        return []

    def next_edition(self, kind: str, name: str) -> int:
        """Return a new edition for an entry of this process: the wall-clock time, but above the known edition."""
        current = self.store.get(kind, name)
        return max(time.time_ns() // 1_000_000, 0 if current is None else current.edition + 1)

    def receive_update(self, now: float, ip: str, message: Delta) -> None:
        """Apply an update of a peer, and acknowledge it."""
        sent_at = self.freshness.receive(now, ip, message)
        self.merge_update(message)
        self.positions[ip] = FollowedPosition(message.incarnation, message.latest_sequence)
        self.update_merged(now, ip, sent_at - message.majority_age)
        self.send_to(ip, Pong(now))

    def merge_update(self, message: Delta) -> None:
        """Merge the entries of an update into the store."""
        if message.is_snapshot and message.decided_index >= self.configuration_index:
            self._forget_missing(message.entries)
        self.configuration_index = max(self.configuration_index, message.decided_index)
        self.store.merge(message.entries)

    def update_merged(self, now: float, ip: str, confirmed_at: float) -> None:
        """Handle a merged update: all changes that were confirmed before `confirmed_at` are known now."""

    def _forget_missing(self, entries: list[Entry]) -> None:
        """Remove the entries that a snapshot lacks.

        The sender knows at least as many changes as this process, so an entry that it lacks was withdrawn long ago.
        """
        present = {(entry.kind, entry.name) for entry in entries}
        names = [(e.kind, e.name) for e in self.store.all() if e.kind not in RESERVED_KINDS]
        self.store.forget([name for name in names if name not in present])

    def _store_changed(self, entry: Entry) -> None:
        if entry.kind == MEMBERSHIP and entry.value is not None:
            self.adopt_membership(read_membership(entry.value))
        self.entry_changed(entry)

    def entry_changed(self, entry: Entry) -> None:
        """Handle an entry that was added to the store, replaced or withdrawn."""

    def adopt_membership(self, membership: Membership) -> None:
        """Adopt a membership, unless one of the same or a later epoch is known."""
        if self.membership is not None and membership.epoch <= self.membership.epoch:
            return
        self.membership = membership
        events.info("membership", epoch=membership.epoch, voters=",".join(voter.ip for voter in membership.voters))
        self.loop.call_soon(self.membership_changed)

    def membership_changed(self) -> None:
        """Handle a new membership: connect to its voters."""
        self.connect_peers()

    # ---- time ----------------------------------------------------------------------------

    def _run_tick(self) -> None:
        now = self.loop.time()
        self.loop.call_later(TICK_SECONDS, self._run_tick)
        if now >= self._settings_check_at:
            self._settings_check_at = now + SETTINGS_CHECK_SECONDS
            self._settings_watcher.check()
            self.connect_peers()
        self.tick(now)

    def tick(self, now: float) -> None:
        """Run periodic work; called every `TICK_SECONDS`."""
