"""The daemon's part in probing: it doubts, hears, and looks at boxes itself where it holds a pool's duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from lugspur.config.model import Check
from lugspur.daemon.gossip import clock
from lugspur.daemon.gossip.transport import Transport
from lugspur.daemon.health_checks.health_checker import HealthChecker
from lugspur.daemon.health_checks.messages import (
    MAX_BACKEND_CHARACTERS,
    ConnectionFailure,
    HealthReport,
    Message,
    decode_message,
    encode_message,
    names_that_fit,
)
from lugspur.daemon.health_checks.received_reports import REPORT_INTERVAL_SECONDS, ReceivedReports
from lugspur.daemon.leases.candidate import STANDBY_CANDIDATES, Candidate, LeadershipChanged
from lugspur.daemon.leases.messages import MalformedMessageError
from lugspur.discovery.endpoints import server_id, server_name
from lugspur.discovery.health_check import CheckResult, check_health

if TYPE_CHECKING:
    from lugspur.daemon.cluster import UpstreamCluster

PROBING = 2  # the topic of these messages among a fleet's posts
DOUBT_EVERY = 1.0  # seconds between two doubts of one box that are told
DOUBTS_MOST = 1024  # boxes whose latest doubt is remembered


class DutyHolder(Protocol):
    """The daemon's place in its fleet, as far as duties of probing need it."""

    candidates: dict[str, Candidate]
    transport: Transport

    @property
    def name(self) -> str:
        """Return this process's name in the fleet."""

    @property
    def log(self) -> Callable[[str], None]:
        """Writes a line to the log."""

    def request_role(self, role: str) -> Candidate:
        """Campaign for a role from now on, whenever it has no leader."""

    def withdraw_from_role(self, role: str) -> None:
        """Resign from a role, and no longer campaign for it."""

    def fencing_token(self, role: str, duration_seconds: float = 0.0) -> int | None:
        """Return the fencing token for an action of that duration under the role; None if it must not begin."""

    def first_members(self, role: str, count: int) -> list[str]:
        """Return the first `count` members in the role's order of succession."""

    def other_members(self) -> list[str]:
        """Return the names of all other members that are present."""

    def send_message(self, name: str, topic: int, body: bytes) -> None:
        """Send a message to a member with the transport's next datagrams."""


class _Pool:
    def __init__(self, name: str, row: Check) -> None:
        self.duty = f"probe:{name}"
        self.row = row
        self.health_checker = HealthChecker(row.every)
        self.received_reports = ReceivedReports(self.duty)
        self.told = -1  # the serial of what was told last...
        self.told_at = float("-inf")  # ...and when
        self.epoch = 0  # of the prober that was heard last


class Probers:
    """All pools of the daemon that are checked."""

    def __init__(self, peers: DutyHolder, clusters: Callable[[], Mapping[str, UpstreamCluster]]) -> None:
        self._peers, self._clusters = peers, clusters
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, _Pool] = {}
        self._doubted: dict[tuple[str, int], float] = {}  # boxes that could not be reached from here, and when told
        self.vain = 0  # connections that did not come up
        self._timer: asyncio.TimerHandle | None = None
        self._looks: set[asyncio.Task[None]] = set()

    def apply(self, checks: Mapping[str, Check]) -> None:
        """A file is in force."""
        for name in self._pools.keys() - checks.keys():
            self._peers.withdraw_from_role(self._pools.pop(name).duty)
            cluster = self._clusters().get(name)
            if cluster is not None:
                cluster.on_connection_attempt = cluster.on_endpoints_changed = None
                cluster.set_unhealthy(set(), cluster.pool.now())
        for name, row in checks.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = _Pool(name, row)
                self._peers.request_role(pool.duty)
            pool.row, pool.health_checker.interval_seconds = row, row.every
            cluster = self._clusters()[name]
            cluster.on_connection_attempt, cluster.on_endpoints_changed = self._tried, self._listed
            self._listed(name)
        self._turn()

    def down(self) -> dict[str, list[str]]:
        """By pools: the boxes that are left out here on a prober's word."""
        clusters = self._clusters()
        return {
            name: sorted(server_name(server) for server in clusters[name].overrides.unhealthy)
            for name in self._pools
            if name in clusters
        }

    def close(self) -> None:
        """Look at nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._looks:
            task.cancel()

    # ---- what happens here -----------------------------------------------------------------------

    def _listed(self, name: str) -> None:
        told = self._clusters()[name].overrides.latest
        self._pools[name].health_checker.update_backends([server_name(server) for server in told])

    def _tried(self, name: str, server: int, up: bool) -> None:
        """Whether a connection came up: if not, whoever probes the pool is to know."""
        key = name, server
        if up:
            self._doubted.pop(key, None)
            return
        self.vain += 1
        now = clock.now()
        if now - self._doubted.get(key, float("-inf")) < DOUBT_EVERY:
            return
        if len(self._doubted) >= DOUBTS_MOST:
            self._doubted.clear()
        self._doubted[key] = now
        self._doubt(name, server)

    def _doubt(self, name: str, server: int) -> None:
        box = server_name(server)
        if len(box) <= MAX_BACKEND_CHARACTERS:
            self._pass_on(ConnectionFailure(name, box))

    def _doubt_again(self, name: str) -> None:
        """There is another prober, who has not heard of what could not be reached before."""
        for pool, server in tuple(self._doubted):
            if pool == name:
                self._doubt(pool, server)

    def _pass_on(self, doubt: ConnectionFailure) -> None:
        pool = self._pools[doubt.pool]
        if self._peers.fencing_token(pool.duty) is not None:
            pool.health_checker.report_failure(clock.now(), doubt.backend)
            self._turn()
            return
        if doubt.is_forwarded:
            return
        # Who holds it is known to those who stand by; one of them may hold it.
        holder = self._peers.candidates[pool.duty].term.holder
        names = dict.fromkeys([holder] if holder else [])
        names |= dict.fromkeys(self._peers.first_members(pool.duty, STANDBY_CANDIDATES))
        for name in names:
            if name != self._peers.name:
                self._peers.send_message(name, PROBING, encode_message(doubt))
        self._peers.transport.flush()

    def turned(self, turned: LeadershipChanged) -> None:
        """A duty is this process's, or no more."""
        for name, pool in self._pools.items():
            if pool.duty == turned.role and turned.is_leader:
                pool.health_checker.take_over(clock.now(), pool.received_reports.unhealthy(clock.now()))
                pool.told = -1
                self._loop.call_soon(self._doubt_again, name)
        self._loop.call_soon(self._turn)

    # ---- what others say -----------------------------------------------------------------------

    def heard(self, body: bytes) -> None:
        """A message of another member."""
        with suppress(MalformedMessageError):
            self._message(decode_message(body))

    def _message(self, message: Message) -> None:
        pool = self._pools.get(message.pool)
        if pool is None:
            return
        if isinstance(message, ConnectionFailure):
            self._pass_on(
                ConnectionFailure(message.pool, message.backend, not self._is_first(pool) or message.is_forwarded)
            )
        elif pool.received_reports.receive(clock.now(), message):
            if message.epoch != pool.epoch:
                pool.epoch = message.epoch
                self._doubt_again(message.pool)
            self._obey(message.pool, pool)
            self._turn()

    def _is_first(self, pool: _Pool) -> bool:
        """Whether doubts that come here are passed on to the holder: by one of those that stand by, not by three."""
        return self._peers.name in self._peers.first_members(pool.duty, 1)

    def _obey(self, name: str, pool: _Pool) -> None:
        cluster = self._clusters().get(name)
        if cluster is None:
            return
        listed = {server_name(server) for server in cluster.overrides.latest}
        absent = {server_id(box) for box in pool.received_reports.excluded(clock.now(), listed)}
        if absent != cluster.overrides.unhealthy:
            cluster.set_unhealthy(absent, cluster.pool.now())

    # ---- looking -------------------------------------------------------------------------------

    def _turn(self) -> None:
        now = clock.now()
        due = float("inf")
        for name, pool in self._pools.items():
            self._obey(name, pool)
            due = min(due, pool.received_reports.due())
            epoch = self._peers.fencing_token(pool.duty, pool.row.within)
            if epoch is None:
                continue
            for box in pool.health_checker.start_checks(now):
                task = self._loop.create_task(self._look(name, pool, box))
                self._looks.add(task)
                task.add_done_callback(self._looks.discard)
            self._tell(name, pool, now)
            due = min(due, pool.health_checker.due())
            if pool.health_checker.unhealthy:
                due = min(due, pool.told_at + REPORT_INTERVAL_SECONDS)
        if self._timer is not None:
            self._timer.cancel()
        if due != float("inf"):
            self._timer = self._loop.call_later(max(0.005, due - now), self._turn)

    def _tell(self, name: str, pool: _Pool, now: float) -> None:
        down = pool.health_checker.unhealthy
        if pool.told == pool.health_checker.sequence_number and (
            not down or now - pool.told_at < REPORT_INTERVAL_SECONDS
        ):
            return
        epoch = self._peers.fencing_token(pool.duty)  # right before the act
        if epoch is None:
            return
        pool.told, pool.told_at = pool.health_checker.sequence_number, now
        report = HealthReport(name, epoch, pool.health_checker.sequence_number, names_that_fit(down))
        body = encode_message(report)
        for other in self._peers.other_members():
            self._peers.send_message(other, PROBING, body)
        pool.received_reports.receive(now, report)
        self._obey(name, pool)
        self._peers.transport.flush()

    async def _look(self, name: str, pool: _Pool, box: str) -> None:
        cluster = self._clusters().get(name)
        endpoint = None if cluster is None else cluster.overrides.latest.get(server_id(box))
        if endpoint is None:
            return
        host, port = endpoint.address
        place = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        url = f"http://{place}{pool.row.path}" if pool.row.path else f"tcp://{place}"
        well = await check_health(url, pool.row.within) is CheckResult.HEALTHY
        if pool.health_checker.finish_check(clock.now(), box, well):
            self._peers.log(f"pool {name}: box {box} is {'up' if well else 'down'}, as its prober")
        self._turn()
