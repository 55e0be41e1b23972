"""The platform's proxy: one pool behind one front, by the platform's protocol."""

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
from lugspur.http1.intake import Rejected
from lugspur.http1.upstream import FLOW_PART, HELD_PART, Upstream
from lugspur.load_balancing.model import DiscoveryMode, ListUpdateKind, Outcome, RetrySafety, Settings
from lugspur.routing.shares import Shares
from lugspur.seams import Request, Response

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from lugspur.daemon.hot_restart.process_state import ProcessState
    from lugspur.observability.failures import FailedRequest
    from lugspur.observability.metrics import Metric
    from lugspur.pipe import Pipe

MANAGEMENT_SOCKETS = 32  # descriptors set aside where there is a second address, for its listener and callers
SPARE_SOCKETS = 48  # descriptors for the listener, discovery, the loop, and callers beyond the limit
CALLERS_PART = 0.5  # of the other descriptors
ANSWER_EARLY = 0.005  # seconds before the client's time is up: the answer still has to reach it
RETRIABLE = (408, 429)  # 4xx that are not the request's fault
KNOWN_AFTER = 1.0  # seconds without a word from discovery after which the list known at the start serves
TIME = re.compile(rb"\d{1,9}(\.\d{1,9})?")
ID = re.compile(rb"[0-9A-Za-z._-]{1,64}")
ABSOLUTE = re.compile(rb"http://[^/?#]*", re.IGNORECASE)
UPLOAD_MOST = 1800.0  # seconds that a body may take: 40 MiB at the least rate
METHODS = {RetrySafety.SAFE: (b"GET", False), RetrySafety.KEYED: (b"POST", True), RetrySafety.UNSAFE: (b"POST", False)}


BACK_LATELY = 5.0  # seconds since operators put a backend back, in which it is owed a call by the process that follows
MAX_PEER_REQUEST_IDS = 65_536  # ids of requests that are open at another process of this proxy


class PeerProcesses(Protocol):
    """Other processes of this proxy during a hot restart, which are told what binds all."""

    def broadcast_ban(self, server: int, on: bool, at: float) -> None:
        """Tell them that an operator has begun or ended the ban of a backend."""

    def broadcast_drain(self, on: bool) -> None:
        """Tell them that an operator has begun or ended a drain."""

    def request_started(self, name: bytes) -> None:
        """Tell them that a request with this id is open here."""

    def request_finished(self, name: bytes) -> None:
        """Tell them that a request with this id is answered and has no attempt left."""


class Proxy:
    """One running proxy: the decision module between callers, backends and discovery."""

    def __init__(self, config: Config, inherited: ProcessState | None = None) -> None:
        loop = asyncio.get_running_loop()
        self.peers: PeerProcesses | None = None  # other processes of this proxy, while there are any
        self._peer_request_ids: set[bytes] = set()  # ids of requests that are open there
        self._arrivals: set[asyncio.Task[object]] = set()
        self.taken_up: Callable[[], None] | None = None  # told once clients are taken
        self.wire = config.wire
        self._tenants = config.tenants
        self._policy = RequestPolicy(config.settings)
        self._loop = loop
        self._open: set[bytes] = set()  # the callers' ids of the requests that an answer is owed for
        # Set aside, so that full callers can't lock operators out.
        spare = SPARE_SOCKETS + (0 if config.management is None else MANAGEMENT_SOCKETS)
        sockets = max(8, config.sockets - spare)
        self.overrides = EndpointOverrides()
        callers = int(CALLERS_PART * sockets)
        self._sockets, self._sockets_most = Shares(sockets - callers, {}), sockets - callers
        connections = Upstream(
            self._sockets,
            "",
            config.conn_idle,
            config.dial_timeout,
            int(HELD_PART * config.memory),
        )
        connections.flow_most = int(FLOW_PART * config.memory)
        self.front = Front(config.listen, callers, config.memory, self._request)
        self._reader = reader = EndpointReader(config.zones, config.types)
        self._discovery = PlatformWatch(
            config.discovery, reader, config.known["index"] if inherited is None else inherited.index, self._told
        )
        # One epoch for good: the list's times are comparable, and steps of the system's clock do no harm.
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
                if self.pool.now() - at < BACK_LATELY:
                    self.pool.reinstate(server)
            if inherited.drained:
                self.front.drain(0.0)
        self.pool.start()
        if config.settings.discovery is DiscoveryMode.PUSHED or inherited is not None:
            self._discovery.open()
        if known and inherited is None:
            # Guards against a discovery that is down at the start: an old list serves better than none.
            loop.call_later(KNOWN_AFTER, self._loaded)

    def reload(self, config: Config) -> None:
        """Take over other settings and where discovery is, in one step; raises ValueError and changes nothing."""
        before = self._policy
        self._policy = before.copy()
        try:
            self._adopt(self._policy.change_settings(config.settings, self._loop.time()))
        except ValueError:
            self._policy = before
            raise
        self._loop.call_later(CHANGEOVER_SECONDS + LATE_REQUEST_SECONDS, self._settle)
        self.wire, self._tenants = config.wire, config.tenants
        self._reader.set_names(config.zones, config.types)
        self.pool.upstream.retime(config.conn_idle, config.dial_timeout)
        self._discovery.change_address(config.discovery)

    def _settle(self) -> None:
        settings = self._policy.end_changeover(self._loop.time())
        if settings is not None:
            self._adopt(settings)

    def _adopt(self, settings: Settings) -> None:
        held = {call.attributes.class_index for call in self.pool.calls.values()}
        classes = keep_class_indexes(self.pool.settings.classes, settings.classes, held)
        self.pool.change_settings(replace(settings, classes=tuple(classes)))
        self._policy.record_indexes(self.pool.settings)

    def _told(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        if endpoints or kind is not ListUpdateKind.PATCH:
            self.pool.update_endpoints(kind, self.overrides.apply(kind, endpoints))
        self._loaded()

    def _loaded(self) -> None:
        if not self.front.ready:
            self.front.ready = True
            self.begin()

    def begin(self) -> None:
        """Tell that clients are taken, once the list is there and the listener too."""
        if self.takes_clients and self.taken_up is not None:
            self.taken_up()
            self.taken_up = None

    # ---- another process of the same proxy -----------------------------------------------------------

    def snapshot_state(self) -> ProcessState:
        """Return all that a successor needs to go on in this process's place."""
        # Imported only here: a proxy without a second address stays lean.
        from lugspur.daemon.hot_restart.process_state import ProcessState

        return ProcessState(
            self._discovery.index,
            list(self.overrides.latest.values()),
            self.overrides.save(),
            self.front.drained_at is not None,
            [*self._open, *self._peer_request_ids],
            self.pool.balancer.export_learned(),
        )

    def accept_transferred_list(self) -> None:
        """Serve by the list that came from the predecessor, as if discovery had sent it."""
        self._loaded()

    def apply_peer_ban(self, server: int, on: bool, at: float) -> None:
        """Begin or end the ban of a backend, as an operator has told a peer."""
        if on:
            self._patch(self.overrides.disable(server))
        else:
            self._enable(server, at)

    def apply_peer_drain(self, on: bool) -> None:
        """Begin or end a drain, as an operator has told a peer."""
        if on:
            self.front.drain()
        else:
            self.front.undrain()

    def apply_peer_requests(self, begun: list[bytes], done: list[bytes]) -> None:
        """Take note of the ids of requests that were opened and finished at a peer."""
        if len(self._peer_request_ids) + len(begun) <= MAX_PEER_REQUEST_IDS:
            self._peer_request_ids.update(begun)
        self._peer_request_ids.difference_update(done)

    def forget_peer_requests(self) -> None:
        """Forget the ids of a predecessor's requests, which ended with it."""
        self._peer_request_ids.clear()

    def set_superseded(self, on: bool) -> None:
        """Note that a successor serves from now on in this process's place, or that it has ended.

        Both share one budget of sockets and one of requests to cold backends.
        """
        self.pool.balancer.set_superseded(on)
        self._sockets.reset(self._sockets_most // 2 if on else self._sockets_most, {})

    def attach_peers(self, peers: PeerProcesses) -> None:
        """Broadcast to peers what binds all processes, and leave half of the sockets to them."""
        self.peers = peers
        self._sockets.reset(self._sockets_most // 2, {})

    def detach_peers(self) -> None:
        """Note that no peer is left, so that all sockets are this process's own."""
        self._peer_request_ids.clear()
        self._sockets.reset(self._sockets_most, {})

    @property
    def arriving(self) -> bool:
        """Whether connections of the predecessor are about to become callers."""
        return bool(self._arrivals)

    def adopt_connection(self, sock: socket.socket) -> None:
        """Go on with a caller's connection that the predecessor had."""
        sock.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(lambda: Caller(self.front, used=True), sock))
        self._arrivals.add(task)
        task.add_done_callback(self._arrivals.discard)

    # ---- what operators ask ----------------------------------------------------------------------

    @property
    def takes_clients(self) -> bool:
        """Whether this process takes clients: the list is loaded, and it listens."""
        return self.front.ready and self.front.serving

    def disable(self, name: str) -> bool:
        """Nothing more to this backend, whatever lists say; whether it was ever listed."""
        server = server_id(name)
        if not self.overrides.was_listed(server):
            return False
        self._patch(self.overrides.disable(server))
        if self.peers is not None:
            self.peers.broadcast_ban(server, True, self.pool.now())
        return True

    def enable(self, name: str) -> bool:
        """It may serve again, and begins cold; whether it was ever listed."""
        server = server_id(name)
        if not self.overrides.was_listed(server):
            return False
        now = self.pool.now()
        self._enable(server, now)
        if self.peers is not None:
            self.peers.broadcast_ban(server, False, now)
        return True

    def drain(self) -> None:
        """Send clients away; the process stays."""
        self.front.drain()
        if self.peers is not None:
            self.peers.broadcast_drain(True)

    def undrain(self) -> None:
        """Take clients again."""
        self.front.undrain()
        if self.peers is not None:
            self.peers.broadcast_drain(False)

    def metrics(self) -> list[Metric]:
        """What this process counts."""
        return service_metrics({"": self.pool}, [self.front])

    def failures(self) -> list[FailedRequest]:
        """The latest requests that failed, the latest last."""
        return self.pool.failures.latest()

    def _enable(self, server: int, at: float) -> None:
        endpoints = self.overrides.enable(server, at)
        self._patch(endpoints)
        if endpoints:
            self.pool.reinstate(server)

    def _patch(self, endpoints: list[Endpoint]) -> None:
        if endpoints:
            self.pool.update_endpoints(ListUpdateKind.PATCH, endpoints)

    # ---- requests ------------------------------------------------------------------------------

    def _request(self, request: Request, caller: Caller) -> None:
        absolute = ABSOLUTE.match(request.target)
        if absolute is not None:  # RFC 9112 3.2.2
            request.target = request.target[absolute.end() :] or b"/"
        path = request.target.partition(b"?")[0]
        if path == b"/healthz" and request.method == b"GET":
            healthy = self.front.healthy()
            caller.answer(200 if healthy else 503, b"", b"ok\n" if healthy else b"not ready\n")
        elif path == b"/api" or path.startswith(b"/api/"):  # a request without a key has no last part
            self.front.admit(caller)
            self._submit(request, caller)
        else:
            raise Rejected(404, "no such path")

    def _submit(self, request: Request, caller: Caller) -> None:
        attributes = self._classify(request)
        name = request.headers[b"x-request-id"]
        # Guards against a second request that backends would take for the first.
        if name in self._open or name in self._peer_request_ids:
            raise Rejected(409, "a request with this id is open")
        self._open.add(name)
        if self.peers is not None:
            self.peers.request_started(name)
        # A request's time counts from its last byte.
        deadline = request.ended + attributes.timeout - ANSWER_EARLY
        stream = request.stream
        if stream is None or stream.ended:
            self.pool.submit(request, attributes, caller, deadline)
            return
        # Until that has come the caller's own pace is what bounds it (http1/front.py).
        call = self.pool.submit(request, attributes, caller, deadline + UPLOAD_MOST, expected=deadline)

        def whole() -> None:
            self.pool.complete_body(call, self._loop.time() + attributes.timeout - ANSWER_EARLY)

        if call.caller is not None:
            stream.whole = whole

    def _classify(self, request: Request) -> RequestAttributes:
        """Read what the decisions need; raises Rejected where it is malformed or unknown."""
        get = request.headers.get
        if not ID.fullmatch(get(b"x-request-id", b"")):
            raise Rejected(400, "no request id, or a malformed one")
        name = get(b"x-priority-class", b"").decode("latin-1")
        rows = self._policy.classes_for(name, request.arrived)
        if not rows:
            raise Rejected(400, "unknown class")
        fitting = [(kind, row) for kind, row in rows if fits(request, row.retry_safety)]
        if not fitting:
            raise Rejected(400, "the method does not fit the class")
        kind, row = fitting[0]
        tenant: int | None = 0
        if self._tenants:
            tenant = self._tenants.get(get(b"x-tenant-id", b"").decode("latin-1"))
        if tenant is None:
            raise Rejected(400, "unknown tenant")
        timeout = get(b"x-timeout", b"")
        if not TIME.fullmatch(timeout):
            raise Rejected(400, "the time is malformed")
        # Guards timers and memory against absurd times: no client waits longer than its class's deadline.
        within = min(float(timeout), row.deadline)
        return RequestAttributes(kind, tenant, within, read_cost(request), get(b"x-retried") == b"1")

    # ---- what the pool asks of its owner -------------------------------------------------------

    def is_request_invalid(self, status: int) -> bool:
        """By the platform's protocol a 4xx is the request's own fault, but for two."""
        return 400 <= status < 500 and status not in RETRIABLE

    def request_served(self, call: Call, response: Response) -> None:
        """Pass the answer on, or end it."""
        begun = call.context
        if isinstance(begun, Caller):
            self.pool.release(call)
            begun.finish_answer()
        else:
            self.pool.respond(call, 200, response.head, response.body)

    def response_begun(self, call: Call, response: Response, body: Pipe) -> None:
        """Pass on a large answer as it comes; nothing of ours ends it from here on."""
        caller = call.caller
        assert isinstance(caller, Caller)
        self.pool.clear_deadline(call)
        call.context = caller
        caller.begin_answer(200, response.head, response.length, body)

    def request_rejected(self, call: Call, retry_after: float) -> None:
        """Answer 503."""
        head = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else b""
        self.pool.respond(call, 503, head, b"refused\n")

    def request_failed(self, call: Call) -> None:
        """Answer 502, or 504 where time ran out; an answer that was begun is cut off."""
        self.pool.respond(call, 504 if call.last_outcome is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def request_released(self, call: Call) -> None:
        """Its id may come again."""
        name = call.request.headers[b"x-request-id"]
        self._open.discard(name)
        if self.peers is not None:
            self.peers.request_finished(name)


def fits(request: Request, repeat: RetrySafety) -> bool:
    """Whether a request comes in the form of the classes that may be repeated so."""
    method, keyed = METHODS[repeat]
    return request.method == method and (not keyed or bool(request.headers.get(b"idempotency-key")))


def read_cost(request: Request) -> float:
    """A caller's guess at the work, in seconds; 0 where there is none, or none that can be read."""
    cost = request.headers.get(b"x-cost", b"")
    return float(cost) / 1e6 if TIME.fullmatch(cost) else 0.0
