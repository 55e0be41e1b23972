"""The sidecar process: outgoing requests of local callers, incoming requests for the backend, and its registration."""

from __future__ import annotations

import asyncio
from typing import Any

from lugspur.discovery.endpoints import read_address
from lugspur.http1.body_memory import BodyMemory
from lugspur.http1.front import Front
from lugspur.http1.request_parser import Sizes
from lugspur.interfaces import Request, Responder
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import BACKEND, LIMITS, ROUTES
from lugspur.mesh.control.messages import Entry, ForwardResponse, GrantBody, Hello, Message, Report, ReserveKeyReply
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.delay_estimation import FreezeDetector
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.dataplane.request_headers import loggable_attempt_id, seconds_left_in
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.mesh.dataplane.upload_scheduler import UploadScheduler
from lugspur.mesh.http_api import fail
from lugspur.mesh.process import MAX_AGE_SECONDS, MeshProcess
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.api import SidecarApi
from lugspur.mesh.sidecar.carrier import MeshRequestCarrier
from lugspur.mesh.sidecar.ending_records import EndingRecords
from lugspur.mesh.sidecar.incoming import IncomingExchanges
from lugspur.mesh.sidecar.key_reservations import VoterReservations
from lugspur.mesh.sidecar.known_backends import KnownBackends
from lugspur.mesh.sidecar.metrics import log_failure, sidecar_metrics
from lugspur.mesh.sidecar.outgoing import OutgoingExchanges
from lugspur.mesh.sidecar.registration import BackendRegistration
from lugspur.mesh.sidecar.request_summary import RequestSummary
from lugspur.mesh.sidecar.status import sidecar_status
from lugspur.mesh.sidecar.update_source import UpdateSource
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, PROXY_KEEPALIVE_IDLE_SECONDS, Link
from lugspur.observability.failures import ConfigurationState, FailureLog
from lugspur.observability.metrics import render

# Assumed of a link whose rate the settings don't name. With a rate, large bodies are announced before they are sent.
DEFAULT_LINK_MBPS = 1000.0
BODY_MEMORY_FRACTION = 0.7  # fraction of the process's memory for request bodies
RESERVED_FILES = 264  # file descriptors for other uses, including 200 that the platform reserves
CALLER_FILES_FRACTION = 0.5  # fraction of the other descriptors for callers; the rest is for the backend and proxies
MIN_CALLERS = 64  # caller connections that are accepted even if there are too few descriptors
BACKLOG_READ_SECONDS = 1.0  # time after a pause by which everything that arrived during it has been read
STREAM_GRACE_SECONDS = 2.0  # time that streamed responses have left once the connections of callers are being closed
ACCEPTING_FRACTION = 0.35  # fraction of the shutdown grace period in which new requests of callers are accepted
SHUTDOWN_FRACTION = 0.9  # fraction of the shutdown grace period after which all remaining requests are ended
DRAIN_DELAY_SECONDS = 0.5  # time after which idle connections of callers are closed during a shutdown
SHUTDOWN_POLL_SECONDS = 0.05  # interval between two checks whether all requests have ended during a shutdown
FLUSH_SECONDS = 0.05  # time to write the last responses before the process exits


class Sidecar(MeshProcess):
    """The process of one sidecar proxy."""

    front: Front  # the HTTP listener for local callers; set in `serve`

    def __init__(self, settings: Settings, path: str) -> None:
        """`path`: the settings file, which is reloaded when it changes."""
        super().__init__(settings, path, is_control_node=False)
        limits = settings.own.limits
        memory_bytes, link_rate = limits.memory_mb << 20, (limits.link_mbps or DEFAULT_LINK_MBPS) * 1e6 / 8.0
        self._started_at = self.loop.time()
        self._is_serving = False
        self._pauses = FreezeDetector(PAUSE_THRESHOLD_SECONDS, BACKLOG_READ_SECONDS)
        self.table = RouteTable()
        self.update_source = UpdateSource(self)
        self.reservations = VoterReservations(self, settings.tariffs.bounds.stamp_window_s)
        self.backends = KnownBackends(self.loop, self._services_changed)
        self.limiter = ConcurrencyLimiter(
            memory_bytes=memory_bytes,
            max_connections=max(16, limits.file_handles // 4),
            drain_seconds=settings.tariffs.bounds.drain_ms / 1000.0,
            on_completed=self.reservations.complete,
            on_unreachable=lambda local: self.registration.backend_unreachable(local),
        )
        records = EndingRecords(self.reservations, self.incarnation)
        self.registration = BackendRegistration(self, self.limiter, self.backends.by_ip, link_rate, records)
        self.outgoing = OutgoingExchanges()
        self.body_memory = BodyMemory(int(memory_bytes * BODY_MEMORY_FRACTION), self.loop.call_soon)
        uploads = UploadScheduler[Link](link_rate, self.body_memory)
        self.incoming = IncomingExchanges(self.limiter, uploads, Hello(self.ip, self.incarnation, self.is_control_node))
        self.proxy = self._make_proxy()
        self._summary = RequestSummary(self.proxy, self.limiter)
        self.api = SidecarApi(self)

    def _make_proxy(self) -> Proxy:
        settings = self.settings
        bounds = settings.tariffs.bounds
        carrier = MeshRequestCarrier(
            self.loop,
            self.ip,
            peers=self.peers,
            backends=self.backends.by_ip,
            limiter=self.limiter,
            outgoing=self.outgoing,
        )
        proxy = Proxy(
            self.table,
            carrier,
            self.reservations,
            self.rng,
            retry_ratio=bounds.retry_ratio,
            retry_slack=bounds.retry_slack,
            retry_window=bounds.retry_window_s,
            zone=settings.own.zone,
        )
        proxy.sender = settings.own.service
        proxy.failures = FailureLog(self.configuration_state, log_failure)
        return proxy

    # ---- settings ------------------------------------------------------------------------

    def settings_changed(self) -> None:
        """Handle new settings: the seeds or the service may have changed."""
        super().settings_changed()
        self.update_sender()

    def update_sender(self) -> None:
        """Update the service name of this machine's requests: its backend's if known, else that of the settings."""
        local = self.limiter.local_backend
        self.proxy.sender = local.service if local is not None else self.settings.own.service

    # ---- serving -------------------------------------------------------------------------

    async def serve(self) -> None:
        """Start the listeners for other proxies, callers, the platform, and operators and the backend."""
        settings = self.settings
        ip, port = settings.inner_bind_address
        listen, memory_bytes = settings.network.listen, settings.own.limits.memory_mb << 20
        await self.loop.create_server(self._accept, ip, port, backlog=512)
        self.front = Front(read_address(listen.outgoing), self._max_callers(), memory_bytes, self.handle)
        # Requests may have waited unread while this process was paused, until their callers gave them up. Their
        # deadlines therefore count from the earliest time at which they can have arrived.
        self.front.arrival_time = lambda now, transport, first: self._pauses.earliest_arrival(now)
        self.front.body_memory, self.front.seconds_of_use = self.body_memory, seconds_left_in
        self._is_serving = True
        self._apply_limits()
        self._callers_socket = await self.front.listen()
        await self.api.platform_calls().serve(listen.readiness, memory_bytes, self.body_memory)
        await self.api.dispatch_calls().serve(listen.dispatch, memory_bytes, self.body_memory)

    def _max_callers(self) -> int:
        files = self.settings.own.limits.file_handles - RESERVED_FILES
        return max(MIN_CALLERS, int(files * CALLER_FILES_FRACTION))

    def _apply_limits(self) -> None:
        """Apply the configured request limits to callers."""
        bounds = self.table.request_limits
        self.body_memory.set_largest_body(bounds.payload_bytes)
        self.front.update_limits(
            self._max_callers(),
            self.settings.own.limits.memory_mb << 20,
            Sizes(
                head=bounds.label_bytes + 1024,
                body=min(bounds.payload_bytes, self.body_memory.largest_body),
                ordinary=True,
            ),
            bounds.label_wait_ms / 1000.0,
            bounds.idle_ms / 1000.0,
            STREAM_GRACE_SECONDS,
        )

    def handle(self, request: Request, caller: Responder) -> None:
        """Handle a request of a caller, who gets exactly one response."""
        if not self.update_source.has_configuration:
            self.proxy.request_failed(loggable_attempt_id(request), ErrorKind.NOT_READY.value)
            fail(caller, MeshError(ErrorKind.NOT_READY))
            return
        self.proxy.handle(request, caller)

    # ---- connections ---------------------------------------------------------------------

    def wanted_peers(self) -> set[str]:
        """Return the voters, the seeds if needed, and the machines of all backends."""
        return super().wanted_peers() | (set(self.backends.by_ip) - {self.ip})

    def may_be_cut_off(self) -> bool:
        """Whether updates are so stale that the known membership may be outdated."""
        return self.update_source.may_be_cut_off()

    def needs_peer(self, ip: str) -> bool:
        """Whether a request is still waiting for a reply of the machine."""
        return self.outgoing.waits_for(ip)

    def keepalive_idle_seconds(self, ip: str) -> int:
        """Return the idle time after which a connection is probed; it is longer between proxies, as there are many."""
        return PROXY_KEEPALIVE_IDLE_SECONDS if ip in self.backends.by_ip else KEEPALIVE_IDLE_SECONDS

    def connected(self, dialer: Dialer) -> None:
        """Handle an outgoing connection that has been established."""
        super().connected(dialer)
        self.reservations.connected(self.loop.time(), dialer.ip)

    def disconnected(self, dialer: Dialer) -> None:
        """Handle the end of an outgoing connection: end all requests that are waiting for replies on it."""
        super().disconnected(dialer)
        self.update_source.disconnected(dialer.ip)
        self.reservations.disconnected(dialer.ip)
        self.outgoing.disconnected(dialer.ip)

    def message_received(self, link: Link, message: Message) -> None:
        """Handle a message on an outgoing connection."""
        if isinstance(message, ForwardResponse):
            self.outgoing.receive_response(link, message)
        elif isinstance(message, GrantBody):
            self.outgoing.receive_grant(link, message)
        elif isinstance(message, Hello):
            link.has_received_hello, link.peer_incarnation = True, message.incarnation
            link.send(Hello(self.ip, self.incarnation, self.is_control_node, self.loop.time()))
            self.outgoing.hello_received(link)
        else:
            super().message_received(link, message)

    def receive_other(self, now: float, ip: str, message: Message) -> None:
        """Handle a voter's reply to a key reservation."""
        if isinstance(message, ReserveKeyReply):
            self.reservations.receive(now, ip, message)

    def _accept(self) -> Link:
        return Link(self._incoming_message, self.incoming.link_ended, keep_idle=PROXY_KEEPALIVE_IDLE_SECONDS)

    def _incoming_message(self, link: Link, message: Message) -> None:
        """Handle a message on an incoming connection of another proxy."""
        self.incoming.receive(link, message)
        if isinstance(message, Hello):
            dialer = self.peers.get(message.ip)
            if dialer is not None:
                dialer.peer_dialled(message.incarnation)

    # ---- updates -------------------------------------------------------------------------

    def follows(self, ip: str) -> bool:
        """Whether this process subscribes to the peer's updates; a proxy follows one control node."""
        return ip == self.update_source.ip

    def own_entries(self, *, renew: bool) -> list[Entry]:
        """Return the leased entry of this machine's backend."""
        return self.registration.own_entries(renew=renew)

    def report(self) -> None:
        """Report the entry of this machine's backend to the control node that this process follows."""
        own = self.own_entries(renew=False)
        if own:
            self.send_to(self.update_source.ip, Report(own))

    def has_only_former_voters(self) -> bool:
        """Whether the voters can be reached, but have a former build that acknowledges no records."""
        is_fresh = self.loop.time() - self.update_source.confirmed_at < self.max_staleness
        return bool(self.update_source.ip) and is_fresh and self.reservations.answers.has_only_former_voters

    def update_merged(self, now: float, ip: str, confirmed_at: float) -> None:
        """Handle a merged update, after which this process knows everything confirmed before `confirmed_at`."""
        self.update_source.update_merged(now, ip, confirmed_at)
        if self.update_source.confirmed_at >= self._started_at:
            self.registration.mesh_known(self.backends.by_ip.get(self.ip))

    def membership_changed(self) -> None:
        """Handle a new membership: pending keys are requested from its voters."""
        super().membership_changed()
        self.reservations.membership_changed(self.loop.time())
        self.update_source.membership_changed()

    def entry_changed(self, entry: Entry) -> None:
        """Apply a changed entry: a backend, a route or the request limits."""
        if entry.kind == BACKEND:
            if entry.name != self.ip or not self.registration.republish_if_superseded(entry):
                self.backends.apply(entry)
        elif entry.kind in (ROUTES, LIMITS) and self.table.apply(entry) and self._is_serving:
            self._apply_limits()

    def _services_changed(self, services: set[str]) -> None:
        for service in services:
            self.proxy.update_endpoints(service, self.backends.accepting(service))
        self.proxy.proxy_count = max(1, len(self.backends.by_ip))
        self.connect_peers()

    # ---- status and metrics --------------------------------------------------------------

    def configuration_state(self) -> ConfigurationState:
        """Return the versions of the configuration and the membership in force, and the staleness of updates."""
        epoch = 0 if self.membership is None else self.membership.epoch
        age = self.loop.time() - self.update_source.confirmed_at
        return ConfigurationState(self.configuration_index, epoch, round(min(MAX_AGE_SECONDS, age), 3))

    def metrics(self) -> bytes:
        """Return the metrics of this sidecar in the Prometheus text format."""
        return render(sidecar_metrics(self), [self.proxy.seconds])

    def status(self) -> dict[str, Any]:
        """Return the fields of /mesh/status for this sidecar."""
        return sidecar_status(self)

    # ---- periodic work -------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do the periodic work of all parts."""
        self.reservations.tick(now)
        self.update_source.tick(now)
        self._pauses.record_turn(now)
        self._summary.tick(now)
        self.incoming.tick(now)
        self.registration.tick(now)

    # ---- shutdown ------------------------------------------------------------------------

    async def shut_down(self) -> None:
        """Shut down gracefully: report not ready, serve while callers move on, and end once nothing is in flight."""
        self.is_leaving = True
        grace = self.settings.tariffs.bounds.grace_s
        started_at = self.loop.time()
        self.registration.publish()
        self.front.drain(DRAIN_DELAY_SECONDS)
        await asyncio.sleep(ACCEPTING_FRACTION * grace)
        await self.front.stop_listening(self._callers_socket)
        self.front.close()
        self.limiter.is_shutting_down = True
        while self.loop.time() < started_at + SHUTDOWN_FRACTION * grace and self._has_work():
            await asyncio.sleep(SHUTDOWN_POLL_SECONDS)
        for proxied_request in list(self.proxy.open_requests):
            proxied_request.abort()
        await asyncio.sleep(FLUSH_SECONDS)
        seconds = self.loop.time() - started_at
        events.info("left", flights=len(self.proxy.open_requests), busy=self.limiter.in_flight, after=seconds)

    def _has_work(self) -> bool:
        """Whether any request or connection of a caller is left."""
        return bool(
            self.proxy.open_requests
            or self.limiter.in_flight
            or self.limiter.storing
            or len(self.reservations.answers)
            or len(self.incoming.uploads)
            or self.front.callers
        )
