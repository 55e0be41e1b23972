"""Health checks of a daemon in a fleet: it reports failures, receives reports, and checks the pools that it leads.

One daemon of the fleet, the prober of a pool, checks that pool's backends and reports the unhealthy ones to the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from lugspur.config.model import HealthCheck
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

HEALTH_CHECKS_TOPIC = 2  # topic of health check messages in gossip datagrams
FAILURE_REPORT_INTERVAL_SECONDS = 1.0  # minimum time between two reports of failed connections to one backend
MAX_FAILED_BACKENDS = 1024  # backends whose latest connection failure is remembered


class FleetMembership(Protocol):
    """The membership of the daemon in its fleet, as far as health checks need it."""

    candidates: dict[str, Candidate]
    transport: Transport

    @property
    def name(self) -> str:
        """Return this process's name in the fleet."""

    @property
    def log(self) -> Callable[[str], None]:
        """Return the function that writes a line to the log."""

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


class _CheckedPool:
    def __init__(self, name: str, row: HealthCheck) -> None:
        self.role = f"probe:{name}"
        self.row = row
        self.health_checker = HealthChecker(row.every)
        self.received_reports = ReceivedReports(self.role)
        self.sent_sequence_number = -1  # of the report that was sent last
        self.sent_at = float("-inf")  # when the last report was sent
        self.epoch = 0  # of the prober whose report was received last


class PoolHealthChecks:
    """The health checks of all pools of the daemon that are checked."""

    def __init__(self, peers: FleetMembership, clusters: Callable[[], Mapping[str, UpstreamCluster]]) -> None:
        self._peers, self._clusters = peers, clusters
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, _CheckedPool] = {}
        self._failure_times: dict[tuple[str, int], float] = {}  # of the latest reported failure, by pool and backend
        self.failed_connections = 0  # connections that could not be established, since the start
        self._timer: asyncio.TimerHandle | None = None
        self._check_tasks: set[asyncio.Task[None]] = set()

    def apply(self, checks: Mapping[str, HealthCheck]) -> None:
        """Put the health checks of a configuration file into force."""
        for name in self._pools.keys() - checks.keys():
            self._peers.withdraw_from_role(self._pools.pop(name).role)
            cluster = self._clusters().get(name)
            if cluster is not None:
                cluster.on_connection_attempt = cluster.on_endpoints_changed = None
                cluster.set_unhealthy(set(), cluster.pool.now())
        for name, row in checks.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = _CheckedPool(name, row)
                self._peers.request_role(pool.role)
            pool.row, pool.health_checker.interval_seconds = row, row.every
            cluster = self._clusters()[name]
            cluster.on_connection_attempt, cluster.on_endpoints_changed = (
                self._record_connection_attempt,
                self._endpoints_changed,
            )
            self._endpoints_changed(name)
        self._run_due()

    def excluded_backends(self) -> dict[str, list[str]]:
        """Return the backends that this daemon excludes because a prober reported them, by pool."""
        clusters = self._clusters()
        return {
            name: sorted(server_name(server) for server in clusters[name].overrides.unhealthy)
            for name in self._pools
            if name in clusters
        }

    def close(self) -> None:
        """Stop all health checks."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._check_tasks:
            task.cancel()

    # ---- local events ----------------------------------------------------------------------------

    def _endpoints_changed(self, name: str) -> None:
        backends = self._clusters()[name].overrides.latest
        self._pools[name].health_checker.update_backends([server_name(server) for server in backends])

    def _record_connection_attempt(self, name: str, server: int, is_connected: bool) -> None:
        """Record whether a connection was established; a failure is reported to the pool's prober."""
        key = name, server
        if is_connected:
            self._failure_times.pop(key, None)
            return
        self.failed_connections += 1
        now = clock.now()
        if now - self._failure_times.get(key, float("-inf")) < FAILURE_REPORT_INTERVAL_SECONDS:
            return
        if len(self._failure_times) >= MAX_FAILED_BACKENDS:
            self._failure_times.clear()
        self._failure_times[key] = now
        self._report_failure(name, server)

    def _report_failure(self, name: str, server: int) -> None:
        backend = server_name(server)
        if len(backend) <= MAX_BACKEND_CHARACTERS:
            self._forward_failure(ConnectionFailure(name, backend))

    def _report_failures_again(self, name: str) -> None:
        """Report the remembered failures to a new prober, which has not received them."""
        for pool, server in tuple(self._failure_times):
            if pool == name:
                self._report_failure(pool, server)

    def _forward_failure(self, failure: ConnectionFailure) -> None:
        pool = self._pools[failure.pool]
        if self._peers.fencing_token(pool.role) is not None:
            pool.health_checker.report_failure(clock.now(), failure.backend)
            self._run_due()
            return
        if failure.is_forwarded:
            return
        # The standby candidates know the prober, and one of them may be the prober itself.
        prober = self._peers.candidates[pool.role].term.holder
        names = dict.fromkeys([prober] if prober else [])
        names |= dict.fromkeys(self._peers.first_members(pool.role, STANDBY_CANDIDATES))
        for name in names:
            if name != self._peers.name:
                self._peers.send_message(name, HEALTH_CHECKS_TOPIC, encode_message(failure))
        self._peers.transport.flush()

    def leadership_changed(self, change: LeadershipChanged) -> None:
        """Handle a change of leadership, by which this daemon may have become a pool's prober."""
        for name, pool in self._pools.items():
            if pool.role == change.role and change.is_leader:
                pool.health_checker.take_over(clock.now(), pool.received_reports.unhealthy(clock.now()))
                pool.sent_sequence_number = -1
                self._loop.call_soon(self._report_failures_again, name)
        self._loop.call_soon(self._run_due)

    # ---- messages ------------------------------------------------------------------------------

    def receive(self, body: bytes) -> None:
        """Handle a message of another member; malformed ones are dropped."""
        with suppress(MalformedMessageError):
            self._receive_message(decode_message(body))

    def _receive_message(self, message: Message) -> None:
        pool = self._pools.get(message.pool)
        if pool is None:
            return
        if isinstance(message, ConnectionFailure):
            self._forward_failure(
                ConnectionFailure(message.pool, message.backend, not self._is_first(pool) or message.is_forwarded)
            )
        elif pool.received_reports.receive(clock.now(), message):
            if message.epoch != pool.epoch:
                pool.epoch = message.epoch
                self._report_failures_again(message.pool)
            self._apply_report(message.pool, pool)
            self._run_due()

    def _is_first(self, pool: _CheckedPool) -> bool:
        """Return whether this daemon forwards failures to the prober: one standby candidate does, not all three."""
        return self._peers.name in self._peers.first_members(pool.role, 1)

    def _apply_report(self, name: str, pool: _CheckedPool) -> None:
        cluster = self._clusters().get(name)
        if cluster is None:
            return
        listed = {server_name(server) for server in cluster.overrides.latest}
        unhealthy = {server_id(backend) for backend in pool.received_reports.excluded(clock.now(), listed)}
        if unhealthy != cluster.overrides.unhealthy:
            cluster.set_unhealthy(unhealthy, cluster.pool.now())

    # ---- checks --------------------------------------------------------------------------------

    def _run_due(self) -> None:
        now = clock.now()
        due = float("inf")
        for name, pool in self._pools.items():
            self._apply_report(name, pool)
            due = min(due, pool.received_reports.due())
            epoch = self._peers.fencing_token(pool.role, pool.row.within)
            if epoch is None:
                continue
            for backend in pool.health_checker.start_checks(now):
                task = self._loop.create_task(self._check_backend(name, pool, backend))
                self._check_tasks.add(task)
                task.add_done_callback(self._check_tasks.discard)
            self._send_report(name, pool, now)
            due = min(due, pool.health_checker.due())
            if pool.health_checker.unhealthy:
                due = min(due, pool.sent_at + REPORT_INTERVAL_SECONDS)
        if self._timer is not None:
            self._timer.cancel()
        if due != float("inf"):
            self._timer = self._loop.call_later(max(0.005, due - now), self._run_due)

    def _send_report(self, name: str, pool: _CheckedPool, now: float) -> None:
        unhealthy = pool.health_checker.unhealthy
        if pool.sent_sequence_number == pool.health_checker.sequence_number and (
            not unhealthy or now - pool.sent_at < REPORT_INTERVAL_SECONDS
        ):
            return
        epoch = self._peers.fencing_token(pool.role)  # checked immediately before the report is sent
        if epoch is None:
            return
        pool.sent_sequence_number, pool.sent_at = pool.health_checker.sequence_number, now
        report = HealthReport(name, epoch, pool.health_checker.sequence_number, names_that_fit(unhealthy))
        body = encode_message(report)
        for other in self._peers.other_members():
            self._peers.send_message(other, HEALTH_CHECKS_TOPIC, body)
        pool.received_reports.receive(now, report)
        self._apply_report(name, pool)
        self._peers.transport.flush()

    async def _check_backend(self, name: str, pool: _CheckedPool, backend: str) -> None:
        cluster = self._clusters().get(name)
        endpoint = None if cluster is None else cluster.overrides.latest.get(server_id(backend))
        if endpoint is None:
            return
        host, port = endpoint.address
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        url = f"http://{address}{pool.row.path}" if pool.row.path else f"tcp://{address}"
        is_healthy = await check_health(url, pool.row.within) is CheckResult.HEALTHY
        if pool.health_checker.finish_check(clock.now(), backend, is_healthy):
            self._peers.log(f"pool {name}: backend {backend} is {'up' if is_healthy else 'down'}, as its prober")
        self._run_due()
