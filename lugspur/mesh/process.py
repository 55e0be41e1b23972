"""What every process of the mesh does: it keeps connections to its peers and follows the updates of control nodes."""

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
HEARTBEAT_FRACTION = 1 / 8  # of `edition_ms`: how often an update says that nothing has changed
STALENESS_FRACTION = 0.4  # of `edition_ms`: the age of updates from which on they are sought elsewhere
MAX_MISSED_HEARTBEATS = 4.0  # until a peer that no longer hears of this process counts as cut off from it
MAX_AGE_SECONDS = 1e6  # of what is known, in updates, status and metrics: more means that nothing is known
SETTINGS_CHECK_SECONDS = 1.0  # between two looks at whether the settings file has changed


class FollowedPosition(NamedTuple):
    """How far a peer's changes are known here: a sequence number of one of its incarnations."""

    incarnation: str
    sequence: int


class MeshProcess:
    """One process of the mesh; `ControlNode` and `Sidecar` add what is theirs by overriding methods.

    All times are those of the event loop's steady clock, in seconds.
    """

    def __init__(self, settings: Settings, path: str, *, is_control_node: bool) -> None:
        """`path`: the settings file, which is read again when it changes."""
        self.loop = asyncio.get_running_loop()
        self._settings_watcher = SettingsWatcher(path, settings, self.settings_changed)
        self._settings_check_at = 0.0
        self.is_control_node = is_control_node
        self.ip = settings.own.ip
        self.incarnation = os.urandom(8).hex()  # names this run of the process
        self.rng = Random(self.incarnation)
        self.store = Store(self._store_changed)
        self.membership: Membership | None = None
        self.peers: dict[str, Dialer] = {}  # by IP number
        self.positions: dict[str, FollowedPosition] = {}  # by the IP number of a followed peer
        self.configuration_index = 0  # the latest change of the configuration that is known here
        self.is_leaving = False
        bounds = settings.tariffs.bounds
        self.heartbeat_interval = max(0.1, HEARTBEAT_FRACTION * bounds.edition_ms / 1000.0)
        self.max_staleness = max(0.3, STALENESS_FRACTION * bounds.edition_ms / 1000.0)
        self.freshness = Freshness(MAX_MISSED_HEARTBEATS * self.heartbeat_interval)
        self.loop.call_soon(self.connect_peers)  # once the subclass can say which peers it wants
        self.loop.call_later(TICK_SECONDS, self._run_tick)

    # ---- settings ------------------------------------------------------------------------

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""
        return self._settings_watcher.settings

    def reload(self) -> None:
        """Take up the settings file; a bad one changes nothing."""
        self._settings_watcher.reload()

    def settings_changed(self) -> None:
        """Other settings are in force: the seeds may be others."""
        self.connect_peers()

    # ---- connections ---------------------------------------------------------------------

    def wanted_peers(self) -> set[str]:
        """The IP numbers to keep a connection to: the voters, and the seeds where the voters may be others."""
        seeds = set(self.settings.seeds) - {self.ip}
        if self.membership is None:
            return seeds
        voters = {voter.ip for voter in self.membership.voters} - {self.ip}
        return voters | seeds if self.may_be_cut_off() else voters

    def may_be_cut_off(self) -> bool:
        """Whether the membership that is known may be an old one; a control node always reckons with that."""
        return True

    def connect_peers(self) -> None:
        """Dial the peers that are wanted and have no connection, and close connections that nobody wants."""
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
        """Seconds without a byte after which a connection to this peer is probed."""
        return KEEPALIVE_IDLE_SECONDS

    def needs_peer(self, ip: str) -> bool:
        """Whether a connection that is no longer wanted has to stay open for what is under way on it."""
        return False

    def connected(self, dialer: Dialer) -> None:
        """A connection that this process dialled is up."""
        assert dialer.link is not None
        dialer.link.send(Hello(self.ip, self.incarnation, self.is_control_node))
        if self.follows(dialer.ip):
            self.subscribe(dialer)

    def disconnected(self, dialer: Dialer) -> None:
        """A connection that this process dialled has ended."""
        self.freshness.disconnected(dialer.ip)

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer; it is dropped where there is no connection."""
        dialer = self.peers.get(ip)
        if dialer is not None and dialer.link is not None:
            dialer.link.send(message)

    def message_received(self, link: Link, message: Message) -> None:
        """A message has come on a connection that this process dialled."""
        self.receive(link.peer, message)

    def receive(self, ip: str, message: Message) -> None:
        """Take a message of a peer that this process dialled, or of its own replica."""
        now = self.loop.time()
        if isinstance(message, Delta):
            self.receive_update(now, ip, message)
        else:
            self.receive_other(now, ip, message)

    def receive_other(self, now: float, ip: str, message: Message) -> None:
        """Take a message that only some processes understand."""

    # ---- updates -------------------------------------------------------------------------

    def follows(self, ip: str) -> bool:
        """Whether this process subscribes to that peer's updates."""
        raise NotImplementedError

    def subscribe(self, dialer: Dialer) -> None:
        """Ask a peer for all updates from now on, and report to it what this process says of itself."""
        if dialer.link is not None:
            incarnation, sequence = self.positions.get(dialer.ip, FollowedPosition("", 0))
            self.freshness.subscribed(self.loop.time(), dialer.ip)
            dialer.link.send(Subscribe(incarnation, sequence))
            own = self.own_entries(renew=True)
            if own:
                dialer.link.send(Report(own))

    def own_entries(self, *, renew: bool) -> list[Entry]:
        """The leased entries by which this process describes itself; `renew`: under a new edition, for another peer."""
        return []

    def next_edition(self, kind: str, name: str) -> int:
        """A new edition of an entry of this process: by the time of day, and above all that is known."""
        current = self.store.get(kind, name)
        return max(time.time_ns() // 1_000_000, 0 if current is None else current.edition + 1)

    def receive_update(self, now: float, ip: str, message: Delta) -> None:
        """Take an update of a peer, and acknowledge it."""
        sent_at = self.freshness.receive(now, ip, message)
        self.merge_update(message)
        self.positions[ip] = FollowedPosition(message.incarnation, message.latest_sequence)
        self.update_taken(now, ip, sent_at - message.majority_age)
        self.send_to(ip, Pong(now))

    def merge_update(self, message: Delta) -> None:
        """Merge the entries of an update into the store."""
        if message.is_snapshot and message.decided_index >= self.configuration_index:
            self._forget_missing(message.entries)
        self.configuration_index = max(self.configuration_index, message.decided_index)
        self.store.merge(message.entries)

    def update_taken(self, now: float, ip: str, confirmed_at: float) -> None:
        """An update was merged; all that had been confirmed before `confirmed_at` is known here."""

    def _forget_missing(self, entries: list[Entry]) -> None:
        """Forget what a snapshot lacks.

        Its sender knows no less than this process, so that what it does not have was withdrawn long ago.
        """
        present = {(entry.kind, entry.name) for entry in entries}
        names = [(e.kind, e.name) for e in self.store.all() if e.kind not in RESERVED_KINDS]
        self.store.forget([name for name in names if name not in present])

    def _store_changed(self, entry: Entry) -> None:
        if entry.kind == MEMBERSHIP and entry.value is not None:
            self.adopt_membership(read_membership(entry.value))
        self.entry_changed(entry)

    def entry_changed(self, entry: Entry) -> None:
        """An entry was added to the store, replaced or withdrawn."""

    def adopt_membership(self, membership: Membership) -> None:
        """Go by a membership, unless a later one is known."""
        if self.membership is not None and membership.epoch <= self.membership.epoch:
            return
        self.membership = membership
        events.info("membership", epoch=membership.epoch, voters=",".join(voter.ip for voter in membership.voters))
        self.loop.call_soon(self.membership_changed)

    def membership_changed(self) -> None:
        """Another membership is in force: reach its voters."""
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
        """Do what is due by time; called every `TICK_SECONDS`."""
