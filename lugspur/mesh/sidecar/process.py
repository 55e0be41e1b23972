"""A proxy's process: requests of its machine out, requests for its backend in, and its backend's beats."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from lugspur.discovery.rows import read_address
from lugspur.http1.front import Front
from lugspur.http1.intake import Sizes
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import LIMITS, ROUTES
from lugspur.mesh.control.messages import (
    BackendResponse,
    CompleteKey,
    Entry,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    Hello,
    Message,
)
from lugspur.mesh.dataplane.delay_estimation import FreezeDetector
from lugspur.mesh.dataplane.gate import Gate
from lugspur.mesh.dataplane.ports import Carried
from lugspur.mesh.dataplane.proxy import ATTEMPT, ID_MOST, Proxy
from lugspur.mesh.dataplane.routes import RouteTable
from lugspur.mesh.dataplane.upload_scheduler import UploadScheduler
from lugspur.mesh.http_api import HttpApi, fail, reply
from lugspur.mesh.process import MeshProcess
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.incoming import IncomingExchanges
from lugspur.mesh.sidecar.local_requests import CarriedHere
from lugspur.mesh.sidecar.metrics import log_failure, sidecar_metrics
from lugspur.mesh.sidecar.outgoing import OutgoingExchanges
from lugspur.mesh.sidecar.registration import BackendRegistration, BackendStatus
from lugspur.mesh.sidecar.status import sidecar_status
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, PROXY_KEEPALIVE_IDLE_SECONDS, Dialer, Link
from lugspur.observability.failures import FailureLog, Standing
from lugspur.observability.metrics import CONTENT_TYPE, render
from lugspur.seams import Answerable, Request

RESERVED_FILES = 264  # descriptors for files and what is not counted here; 200 are reserved by the platform
CALLER_FILES_FRACTION = 0.5  # of the descriptors, for callers; the rest is for the backend and other proxies
BACKLOG_READ_SECONDS = 1.0  # seconds behind a freeze in which all that waited meanwhile is read
ACCEPTING_FRACTION = 0.35  # of the time that a process has to end, in which callers are still served anew
SHUTDOWN_FRACTION = 0.9  # ...and by which all ends
FLUSH_SECONDS = 0.05  # seconds in which the last answers are written
SUMMARY_INTERVAL_SECONDS = 2.0  # seconds between lines on how requests ended

_json = msgspec.json.Encoder().encode
_status_decoder = msgspec.msgpack.Decoder(BackendStatus)


class Sidecar(MeshProcess):
    """One proxy's process."""

    def __init__(self, settings: Settings, path: str) -> None:
        limits, bounds = settings.own.limits, settings.tariffs.bounds
        self.table = RouteTable()
        self.backends: dict[str, BackendStatus] = {}  # by the machine's IP number
        self._cold: dict[str, float] = {}  # when each one's backend is warm
        self._stale_services: set[str] = set()
        self._told_at = 0.0
        self._told: Counter[str] = Counter()  # ends of requests that the log has told of
        self._freezes = FreezeDetector(PAUSE_THRESHOLD_SECONDS, BACKLOG_READ_SECONDS)
        self.outgoing = OutgoingExchanges()
        self._rate = limits.link_mbps * 1e6 / 8.0
        super().__init__(settings, path, False)
        self.proxy = Proxy(
            self.table,
            self,
            self,
            self.rng,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            settings.own.zone,
        )
        self.proxy.sender = settings.own.service
        self.proxy.failures = FailureLog(self.standing, log_failure)
        self.reloaded.append(self._sender)
        self.gate = Gate(
            limits.memory_mb << 20,
            max(16, limits.file_handles // 4),
            bounds.drain_ms / 1000.0,
            self._done,
            lambda local: self.registration.down(local),
        )
        self.registration = BackendRegistration(self, self.gate, self.backends, self._rate)
        uploads = UploadScheduler(self._rate, (limits.memory_mb << 20) // 4)
        self.incoming = IncomingExchanges(self.gate, uploads, Hello(self.ip, self.life, self.keeps))

    def _sender(self) -> None:
        local = self.gate.local
        self.proxy.sender = local.service if local is not None else self.settings.own.service

    async def serve(self) -> None:
        """Listen: to the mesh, to callers, to the platform, and to the backend's beats."""
        settings = self.settings
        ip, port = settings.inner_bind
        listen, limits = settings.network.listen, settings.own.limits
        await self.loop.create_server(self._accepted, ip, port, backlog=512)
        most = max(64, int((limits.file_handles - RESERVED_FILES) * CALLER_FILES_FRACTION))
        self.front = Front(read_address(listen.outgoing), most, limits.memory_mb << 20, self._handle)
        # Guards against requests that waited unread while this process was frozen: their callers have given them up.
        self.front.came = lambda now, transport, first: self._freezes.earliest_arrival(now)
        self._tune()
        self._sock = await self.front.listen()
        readiness = HttpApi()
        readiness.add("GET", "/readiness", self._ready)
        readiness.add("GET", "/metrics", self._metrics)
        await readiness.serve(listen.readiness, limits.memory_mb << 20)
        calls = HttpApi()
        calls.add("POST", "/backends/*/heartbeat", self._heartbeat)
        calls.add("POST", "/backends/*/sign-off", self.registration.sign_off)
        calls.add("POST", "/config/amend", self._elsewhere)
        calls.add("GET", "/config/read", self._elsewhere)
        calls.add("GET", "/mesh/status", lambda request, caller, found: reply(caller, _json(self.status())))
        calls.add("GET", "/mesh/failures", self._failures)
        calls.add("GET", "/metrics", self._metrics)
        await calls.serve(listen.dispatch, limits.memory_mb << 20)

    def _accepted(self) -> Link:
        return Link(self._asked, self.incoming.ended, keep_idle=PROXY_KEEPALIVE_IDLE_SECONDS)

    def keep_idle(self, ip: str) -> int:
        return PROXY_KEEPALIVE_IDLE_SECONDS if ip in self.backends else KEEPALIVE_IDLE_SECONDS

    def _tune(self) -> None:
        """Callers are held to the operators' limits."""
        bounds, limits = self.table.bounds, self.settings.own.limits
        most = max(64, int((limits.file_handles - RESERVED_FILES) * CALLER_FILES_FRACTION))
        sizes = Sizes(head=bounds.label_bytes + 1024, body=bounds.payload_bytes, ordinary=True)
        self.front.tune(
            most, limits.memory_mb << 20, sizes, bounds.label_wait_ms / 1000.0, bounds.idle_ms / 1000.0, 2.0
        )

    def _handle(self, request: Request, caller: Answerable) -> None:
        if not self.known:
            self.proxy.failed(request.headers.get(ATTEMPT, b"")[:ID_MOST], ErrorKind.NOT_READY.value)
            raise_not_ready(caller)
            return
        self.proxy.handle(request, caller)

    # ---- calls -------------------------------------------------------------------------------

    def _ready(self, request: Request, caller: Answerable, _: list[str]) -> None:
        if self.known and len(self.table) and not self.leaving:
            reply(caller)
        else:
            raise MeshError(ErrorKind.LEAVING if self.leaving else ErrorKind.NOT_READY)

    def _elsewhere(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """A call that only a replica can settle."""
        seed = self.rng.choice(self.settings.network.seed_nodes)
        reply(caller, status=307, head=b"Location: http://%b%b\r\n" % (seed.encode(), request.target))

    def _heartbeat(self, request: Request, caller: Answerable, found: list[str]) -> None:
        self.registration.heartbeat(request, caller, found)
        self._sender()

    # ---- news --------------------------------------------------------------------------------

    def own_entries(self, again: bool) -> list[Entry]:
        return self.registration.own_entries(again)

    def changed(self, entry: Entry) -> None:
        if entry.kind == "backend":
            if entry.name == self.ip and self.registration.overtaken(entry):
                return
            before = self.backends.pop(entry.name, None)
            if before is not None:
                self._stale_services.add(before.service)
            if entry.value is not None:
                backend_status = _status_decoder.decode(entry.value)
                self.backends[entry.name] = backend_status
                self._stale_services.add(backend_status.service)
                self._cold[entry.name] = self.loop.time() + backend_status.cold
            if len(self._stale_services) == 1 or before is None:
                self.loop.call_soon(self._members)
        elif entry.kind in (ROUTES, LIMITS) and self.table.change(entry) and hasattr(self, "front"):
            self._tune()

    def _members(self) -> None:
        """Services whose backends have changed."""
        stale, self._stale_services = self._stale_services, set()
        for service in stale:
            self.proxy.members(
                service,
                {
                    backend_status.id: (ip, backend_status.zone, backend_status.berths, self._cold.get(ip, 0.0))
                    for ip, backend_status in self.backends.items()
                    if backend_status.service == service and backend_status.state == "accepting"
                },
            )
        self.proxy.proxies = max(1, len(self.backends))
        self._reach()

    def wanted(self) -> set[str]:
        return super().wanted() | (set(self.backends) - {self.ip})

    def keep_peer(self, ip: str) -> bool:
        return self.outgoing.waits_for(ip)

    # ---- carrying requests (see proxy.Carrier) -----------------------------------------------

    def ready(self, ip: str) -> bool:
        """Whether that machine can be reached now."""
        if ip == self.ip:
            return True
        dialler = self.peers.get(ip)
        return dialler is not None and dialler.link is not None and dialler.link.answered

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> Carried:
        """Send it to the gate beside that machine's backend."""
        if ip == self.ip:
            return CarriedHere(self.gate, self.gate.run(forward, respond))
        dialler = self.peers[ip]
        link = dialler.link
        assert link is not None
        backend_status = self.backends.get(ip)
        rate = 0.0 if backend_status is None else backend_status.rate
        return self.outgoing.carry(self.loop.time(), ip, link, rate, forward, respond)

    def _heard_from(self, link: Link, message: Message) -> None:
        if isinstance(message, ForwardResponse):
            self.outgoing.reply(link, message)
        elif isinstance(message, GrantBody):
            self.outgoing.grant(link, message)
        elif isinstance(message, Hello):
            link.answered, link.life = True, message.incarnation
            link.send(Hello(self.ip, self.life, self.keeps, self.loop.time()))
            self.outgoing.reached(link)
        else:
            super()._heard_from(link, message)

    def _down(self, dialler: Dialer) -> None:
        super()._down(dialler)
        self.outgoing.lost(dialler.ip)

    def _asked(self, link: Link, message: Message) -> None:
        """Something from one who dialled: requests for this machine's backend."""
        self.incoming.heard(link, message)
        if isinstance(message, Hello):
            dialler = self.peers.get(message.ip)
            if dialler is not None:
                dialler.met(message.incarnation)

    def _done(self, forward: ForwardRequest, answer: BackendResponse) -> None:
        """A keyed operation has run: the voters keep its answer for repeats."""
        if self.membership is not None:
            for voter in self.membership.voters:
                self.to(voter.ip, CompleteKey(forward.key, forward.owner, answer))

    def standing(self) -> Standing:
        """What requests are judged by at this moment."""
        epoch = 0 if self.membership is None else self.membership.epoch
        return Standing(self.index, epoch, round(min(1e6, self.loop.time() - self.source_at), 3))

    def _failures(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """The latest requests that failed, and why."""
        reply(caller, _json(self.proxy.failures.latest()))

    def _metrics(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """This proxy's figures."""
        text = render(sidecar_metrics(self), [self.proxy.seconds])
        caller.answer(200, CONTENT_TYPE, text)

    def status(self) -> dict[str, Any]:
        """What operators see of this proxy."""
        return sidecar_status(self)

    # ---- time -----------------------------------------------------------------------------------

    def _tell(self, now: float) -> None:
        """How requests ended since the last time, one line."""
        if now < self._told_at + SUMMARY_INTERVAL_SECONDS:
            return
        self._told_at = now
        ended = self.proxy.ended - self._told
        self._told = self.proxy.ended.copy()
        gate = self.gate
        if ended or gate.turned or gate.evicted or gate.hopeless:
            events.info(
                "requests",
                **ended,
                turned=gate.turned,
                evicted=gate.evicted,
                hopeless=gate.hopeless,
                busy=gate.busy,
                open=len(self.proxy.open_requests),
            )
        gate.turned = gate.evicted = gate.hopeless = 0

    def look(self, now: float) -> None:
        self._freezes.record_turn(now)
        self._tell(now)
        self.incoming.look(now)
        self.registration.look(now)

    async def leave(self) -> None:
        """SIGTERM: take the readiness back, serve on while callers go elsewhere, end when nothing is open."""
        self.leaving = True
        grace = self.settings.tariffs.bounds.grace_s
        start = self.loop.time()
        self.registration.publish()
        self.front.drain(0.5)
        await asyncio.sleep(ACCEPTING_FRACTION * grace)
        await self.front.stop_listening(self._sock)
        self.front.close()
        self.gate.leaving = True
        while self.loop.time() < start + SHUTDOWN_FRACTION * grace and (
            self.proxy.open_requests or self.gate.busy or len(self.incoming.uploads) or self.front.callers
        ):
            await asyncio.sleep(0.05)
        for proxied_request in list(self.proxy.open_requests):
            proxied_request.end()
        await asyncio.sleep(FLUSH_SECONDS)
        events.info("left", flights=len(self.proxy.open_requests), busy=self.gate.busy, after=self.loop.time() - start)


def raise_not_ready(caller: Answerable) -> None:
    """Nothing is known yet."""
    fail(caller, MeshError(ErrorKind.NOT_READY))
