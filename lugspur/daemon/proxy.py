"""The platform's proxy: one pool behind one listener, by the platform's protocol."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from lugspur.config.platform import Config
from lugspur.daemon.class_indexes import keep_class_indexes
from lugspur.daemon.pool import Call, Pool, RequestAttributes
from lugspur.daemon.request_policy import CHANGEOVER_SECONDS, LATE_REQUEST_SECONDS, RequestPolicy
from lugspur.daemon.service_metrics import service_metrics
from lugspur.discovery.endpoint_overrides import EndpointOverrides
from lugspur.discovery.endpoints import Endpoint, EndpointReader, server_id
from lugspur.discovery.platform_watch import PlatformWatch
from lugspur.http1.front import Caller, Front
from lugspur.http1.request_parser import RejectionError
from lugspur.http1.upstream import RESPONSE_MEMORY_FRACTION, STREAM_MEMORY_FRACTION, Upstream
from lugspur.interfaces import Request, Response
from lugspur.load_balancing.model import DiscoveryMode, ListUpdateKind, Outcome, RetrySafety, Settings
from lugspur.routing.shares import SharedLimit

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from lugspur.daemon.hot_restart.process_state import ProcessState
    from lugspur.observability.failures import FailedRequest
    from lugspur.observability.metrics import Metric
    from lugspur.pipe import Pipe

RESERVED_ADMIN_SOCKETS = 32  # descriptors reserved for the admin listener and its callers, where one is configured
RESERVED_SOCKETS = 48  # descriptors reserved for the listener, discovery, the loop, and callers beyond the limit
CALLER_SOCKETS_SHARE = 0.5  # share of the remaining descriptors that callers may use
RESPONSE_MARGIN_SECONDS = 0.005  # before the client's deadline, so that a response still reaches it in time
RETRIABLE_STATUSES = (408, 429)  # 4xx statuses that do not mean that the request is invalid
INITIAL_LIST_DELAY_SECONDS = 1.0  # wait for discovery before the proxy serves by the list known at the start
SECONDS_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,9})?")
REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._-]{1,64}")
ABSOLUTE_FORM_PATTERN = re.compile(rb"http://[^/?#]*", re.IGNORECASE)
MAX_UPLOAD_SECONDS = 1800.0  # time that a body may take to arrive: 40 MiB at the minimum rate
METHODS_BY_RETRY_SAFETY = {
    RetrySafety.SAFE: (b"GET", False),
    RetrySafety.KEYED: (b"POST", True),
    RetrySafety.UNSAFE: (b"POST", False),
}
# Seconds after an operator re-enabled a backend in which a successor process still reinstates it, so that it is tried.
RECENT_REINSTATEMENT_SECONDS = 5.0
MAX_PEER_REQUEST_IDS = 65_536  # ids of requests that are open at other processes of this proxy


class PeerProcesses(Protocol):
    """Other processes of this proxy during a hot restart, which receive the state that all processes share."""

    def broadcast_ban(self, server: int, on: bool, at: float) -> None:
        """Tell the peers that an operator has banned a backend, or lifted its ban."""

    def broadcast_drain(self, on: bool) -> None:
        """Tell the peers that an operator has started or ended a drain."""

    def request_started(self, name: bytes) -> None:
        """Tell the peers that a request with this id is open in this process."""

    def request_finished(self, name: bytes) -> None:
        """Tell the peers that the request with this id has been answered, or that its caller has disconnected."""


class Proxy:
    """One running proxy: connects callers, the load balancer, backends and discovery."""

    def __init__(self, config: Config, inherited: ProcessState | None = None) -> None:
        loop = asyncio.get_running_loop()
        self.peers: PeerProcesses | None = None  # other processes of this proxy, while there are any
        self._peer_request_ids: set[bytes] = set()  # ids of requests that are open at peers
        self._connection_tasks: set[asyncio.Task[object]] = set()
        self.on_ready: Callable[[], None] | None = None  # called once, when the proxy accepts clients
        self.wire = config.wire
        self._tenants = config.tenants
        self._policy = RequestPolicy(config.settings)
        self._loop = loop
        self._open_request_ids: set[bytes] = set()  # X-Request-ID values of the requests that are not answered yet
        # Reserved, so that operators can connect even if callers use all of their descriptors.
        reserved = RESERVED_SOCKETS + (0 if config.management is None else RESERVED_ADMIN_SOCKETS)
        sockets = max(8, config.sockets - reserved)
        self.overrides = EndpointOverrides()
        max_callers = int(CALLER_SOCKETS_SHARE * sockets)
        self._sockets, self._max_sockets = SharedLimit(sockets - max_callers, {}), sockets - max_callers
        connections = Upstream(
            self._sockets,
            "",
            config.conn_idle,
            config.dial_timeout,
            int(RESPONSE_MEMORY_FRACTION * config.memory),
        )
        connections.max_streamed_bytes = int(STREAM_MEMORY_FRACTION * config.memory)
        self.front = Front(config.listen, max_callers, config.memory, self._request)
        self._reader = reader = EndpointReader(config.zones, config.types)
        self._discovery = PlatformWatch(
            config.discovery,
            reader,
            config.known["index"] if inherited is None else inherited.index,
            self._receive_endpoints,
        )
        # Fixed at the start, so that times of lists stay comparable when the system's clock is stepped.
        epoch = time.time() - loop.time()
        self.pool = Pool(config.settings, config.seed, connections, self, epoch, self._discovery.open)
        known = reader.endpoints(config.known) if inherited is None else inherited.endpoints
        if inherited is not None:
            self.overrides.restore(inherited.bans)
        self.pool.streams_responses = True
        self.pool.update_endpoints(ListUpdateKind.STALE, self.overrides.apply(ListUpdateKind.STALE, known))
        if inherited is not None:
            self.pool.balancer.import_learned(self.pool.now(), inherited.learned)
            self._peer_request_ids.update(inherited.open)
            for server, at in inherited.bans.earliest_start.items():
                if self.pool.now() - at < RECENT_REINSTATEMENT_SECONDS:
                    self.pool.reinstate(server)
            if inherited.drained:
                self.front.drain(0.0)
        self.pool.start()
        if config.settings.discovery is DiscoveryMode.PUSHED or inherited is not None:
            self._discovery.open()
        if known and inherited is None:
            # If discovery is down at the start, an old list serves better than none.
            loop.call_later(INITIAL_LIST_DELAY_SECONDS, self._set_ready)

    def reload(self, config: Config) -> None:
        """Apply other settings and discovery's address in one step; raises ValueError if they are invalid.

        Nothing is changed in that case.
        """
        before = self._policy
        self._policy = before.copy()
        try:
            self._change_settings(self._policy.change_settings(config.settings, self._loop.time()))
        except ValueError:
            self._policy = before
            raise
        self._loop.call_later(CHANGEOVER_SECONDS + LATE_REQUEST_SECONDS, self._end_changeover)
        self.wire, self._tenants = config.wire, config.tenants
        self._reader.set_names(config.zones, config.types)
        self.pool.upstream.update_timeouts(config.conn_idle, config.dial_timeout)
        self._discovery.change_address(config.discovery)

    def _end_changeover(self) -> None:
        settings = self._policy.end_changeover(self._loop.time())
        if settings is not None:
            self._change_settings(settings)

    def _change_settings(self, settings: Settings) -> None:
        open_classes = {call.attributes.class_index for call in self.pool.calls.values()}
        classes = keep_class_indexes(self.pool.settings.classes, settings.classes, open_classes)
        self.pool.change_settings(replace(settings, classes=tuple(classes)))
        self._policy.record_indexes(self.pool.settings)

    def _receive_endpoints(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        if endpoints or kind is not ListUpdateKind.PATCH:
            self.pool.update_endpoints(kind, self.overrides.apply(kind, endpoints))
        self._set_ready()

    def _set_ready(self) -> None:
        if not self.front.ready:
            self.front.ready = True
            self.announce_ready()

    def announce_ready(self) -> None:
        """Announce that clients are accepted, once the endpoint list is loaded and the listener is open."""
        if self.accepts_clients and self.on_ready is not None:
            self.on_ready()
            self.on_ready = None

    # ---- another process of the same proxy -----------------------------------------------------------

    def snapshot_state(self) -> ProcessState:
        """Return the state that a successor needs to take over from this process."""
        # Imported only here, to save memory in a proxy without an admin listener.
        from lugspur.daemon.hot_restart.process_state import ProcessState

        return ProcessState(
            self._discovery.index,
            list(self.overrides.latest.values()),
            self.overrides.save(),
            self.front.drain_started_at is not None,
            [*self._open_request_ids, *self._peer_request_ids],
            self.pool.balancer.export_learned(),
        )

    def accept_transferred_list(self) -> None:
        """Serve by the endpoint list of the predecessor, as if discovery had sent it."""
        self._set_ready()

    def apply_peer_ban(self, server: int, on: bool, at: float) -> None:
        """Ban a backend or lift its ban, as an operator did at a peer."""
        if on:
            self._patch_endpoints(self.overrides.disable(server))
        else:
            self._lift_ban(server, at)

    def apply_peer_drain(self, on: bool) -> None:
        """Start or end a drain, as an operator did at a peer."""
        if on:
            self.front.drain()
        else:
            self.front.undrain()

    def apply_peer_requests(self, begun: list[bytes], done: list[bytes]) -> None:
        """Record the ids of requests that were opened and finished at a peer."""
        if len(self._peer_request_ids) + len(begun) <= MAX_PEER_REQUEST_IDS:
            self._peer_request_ids.update(begun)
        self._peer_request_ids.difference_update(done)

    def forget_peer_requests(self) -> None:
        """Forget the ids of a predecessor's requests, which ended with it."""
        self._peer_request_ids.clear()

    def set_superseded(self, on: bool) -> None:
        """Record that a successor has taken over from this process, or that the successor has ended.

        While both run, they share one limit of sockets and one of requests to cold backends.
        """
        self.pool.balancer.set_superseded(on)
        self._sockets.set_parts(self._max_sockets // 2 if on else self._max_sockets, {})

    def attach_peers(self, peers: PeerProcesses) -> None:
        """Broadcast shared state to these peers from now on, and leave half of the sockets to them."""
        self.peers = peers
        self._sockets.set_parts(self._max_sockets // 2, {})

    def detach_peers(self) -> None:
        """Record that no peer is left, so that this process may use all sockets."""
        self._peer_request_ids.clear()
        self._sockets.set_parts(self._max_sockets, {})

    @property
    def has_incoming_connections(self) -> bool:
        """Whether connections that the predecessor transferred are still being set up."""
        return bool(self._connection_tasks)

    def adopt_connection(self, sock: socket.socket) -> None:
        """Take over a caller's connection from the predecessor."""
        sock.setblocking(False)
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(lambda: Caller(self.front, has_sent_request=True), sock)
        )
        self._connection_tasks.add(task)
        task.add_done_callback(self._connection_tasks.discard)

    # ---- admin actions ---------------------------------------------------------------------------

    @property
    def accepts_clients(self) -> bool:
        """Whether this process accepts clients: the endpoint list is loaded, and the listener is open."""
        return self.front.ready and self.front.serving

    def disable(self, name: str) -> bool:
        """Ban a backend, whatever endpoint lists say; return whether it was ever listed."""
        server = server_id(name)
        if not self.overrides.was_listed(server):
            return False
        self._patch_endpoints(self.overrides.disable(server))
        if self.peers is not None:
            self.peers.broadcast_ban(server, True, self.pool.now())
        return True

    def enable(self, name: str) -> bool:
        """Lift the ban of a backend, which then warms up; return whether it was ever listed."""
        server = server_id(name)
        if not self.overrides.was_listed(server):
            return False
        now = self.pool.now()
        self._lift_ban(server, now)
        if self.peers is not None:
            self.peers.broadcast_ban(server, False, now)
        return True

    def drain(self) -> None:
        """Drain clients' connections; the process keeps running."""
        self.front.drain()
        if self.peers is not None:
            self.peers.broadcast_drain(True)

    def undrain(self) -> None:
        """Accept clients again."""
        self.front.undrain()
        if self.peers is not None:
            self.peers.broadcast_drain(False)

    def metrics(self) -> list[Metric]:
        """Return the metrics of this process."""
        return service_metrics({"": self.pool}, [self.front])

    def failures(self) -> list[FailedRequest]:
        """Return the latest requests that failed, the latest last."""
        return self.pool.failures.latest()

    def _lift_ban(self, server: int, at: float) -> None:
        endpoints = self.overrides.enable(server, at)
        self._patch_endpoints(endpoints)
        if endpoints:
            self.pool.reinstate(server)

    def _patch_endpoints(self, endpoints: list[Endpoint]) -> None:
        if endpoints:
            self.pool.update_endpoints(ListUpdateKind.PATCH, endpoints)

    # ---- requests ------------------------------------------------------------------------------

    def _request(self, request: Request, caller: Caller) -> None:
        absolute = ABSOLUTE_FORM_PATTERN.match(request.target)
        if absolute is not None:  # RFC 9112 3.2.2
            request.target = request.target[absolute.end() :] or b"/"
        path = request.target.partition(b"?")[0]
        if path == b"/healthz" and request.method == b"GET":
            healthy = self.front.healthy()
            caller.respond(200 if healthy else 503, b"", b"ok\n" if healthy else b"not ready\n")
        elif path == b"/api" or path.startswith(b"/api/"):  # without a trailing part, the request has no key
            self.front.admit(caller)
            self._submit(request, caller)
        else:
            raise RejectionError(404, "no such path")

    def _submit(self, request: Request, caller: Caller) -> None:
        attributes = self._read_attributes(request)
        name = request.headers[b"x-request-id"]
        # Backends would take a second request with the same id for the first one.
        if name in self._open_request_ids or name in self._peer_request_ids:
            raise RejectionError(409, "a request with this id is open")
        self._open_request_ids.add(name)
        if self.peers is not None:
            self.peers.request_started(name)
        # A request's timeout counts from its last byte.
        deadline = request.ended + attributes.timeout - RESPONSE_MARGIN_SECONDS
        stream = request.stream
        if stream is None or stream.ended:
            self.pool.submit(request, attributes, caller, deadline)
            return
        # Until that byte has arrived, the minimum rate of uploads bounds the request (http1/front.py).
        call = self.pool.submit(request, attributes, caller, deadline + MAX_UPLOAD_SECONDS, expected=deadline)

        def complete_body() -> None:
            self.pool.complete_body(call, self._loop.time() + attributes.timeout - RESPONSE_MARGIN_SECONDS)

        if call.caller is not None:
            stream.on_complete = complete_body

    def _read_attributes(self, request: Request) -> RequestAttributes:
        """Return the request's attributes; raises RejectionError if one is malformed or unknown."""
        get = request.headers.get
        if not REQUEST_ID_PATTERN.fullmatch(get(b"x-request-id", b"")):
            raise RejectionError(400, "no request id, or a malformed one")
        name = get(b"x-priority-class", b"").decode("latin-1")
        rows = self._policy.classes_for(name, request.arrived)
        if not rows:
            raise RejectionError(400, "unknown class")
        candidates = [(index, row) for index, row in rows if matches_retry_safety(request, row.retry_safety)]
        if not candidates:
            raise RejectionError(400, "the method does not fit the class")
        class_index, request_class = candidates[0]
        tenant: int | None = 0
        if self._tenants:
            tenant = self._tenants.get(get(b"x-tenant-id", b"").decode("latin-1"))
        if tenant is None:
            raise RejectionError(400, "unknown tenant")
        timeout = get(b"x-timeout", b"")
        if not SECONDS_PATTERN.fullmatch(timeout):
            raise RejectionError(400, "the time is malformed")
        # Protects timers and memory from absurd timeouts: no client waits longer than its class's deadline.
        timeout_seconds = min(float(timeout), request_class.deadline)
        return RequestAttributes(class_index, tenant, timeout_seconds, read_cost(request), get(b"x-retried") == b"1")

    # ---- the pool's owner (pool.PoolOwner) -----------------------------------------------------

    def is_request_invalid(self, status: int) -> bool:
        """Return whether the status is a 4xx other than 408 and 429, as the platform's protocol has it."""
        return 400 <= status < 500 and status not in RETRIABLE_STATUSES

    def request_served(self, call: Call, response: Response) -> None:
        """Send the response to the caller, or finish a streamed one."""
        streaming_caller = call.context
        if isinstance(streaming_caller, Caller):
            self.pool.release(call)
            streaming_caller.finish_response()
        else:
            self.pool.respond(call, 200, response.head, response.body)

    def response_begun(self, call: Call, response: Response, body: Pipe) -> None:
        """Stream a large response; from here on, no deadline ends it."""
        caller = call.caller
        assert isinstance(caller, Caller)
        self.pool.clear_deadline(call)
        call.context = caller
        caller.begin_response(200, response.head, response.length, body)

    def request_rejected(self, call: Call, retry_after: float) -> None:
        """Respond with 503."""
        head = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else b""
        self.pool.respond(call, 503, head, b"refused\n")

    def request_failed(self, call: Call) -> None:
        """Respond with 502, or with 504 after a timeout; a response that was begun is cut off."""
        self.pool.respond(call, 504 if call.last_outcome is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def request_released(self, call: Call) -> None:
        """Let callers use the id of the request again."""
        name = call.request.headers[b"x-request-id"]
        self._open_request_ids.discard(name)
        if self.peers is not None:
            self.peers.request_finished(name)


def matches_retry_safety(request: Request, retry_safety: RetrySafety) -> bool:
    """Return whether a request has the method and headers that classes of this retry safety require."""
    method, keyed = METHODS_BY_RETRY_SAFETY[retry_safety]
    return request.method == method and (not keyed or bool(request.headers.get(b"idempotency-key")))


def read_cost(request: Request) -> float:
    """Return the caller's estimate of the request's cost in seconds; 0 if it is missing or malformed."""
    cost = request.headers.get(b"x-cost", b"")
    return float(cost) / 1e6 if SECONDS_PATTERN.fullmatch(cost) else 0.0
