"""A proxy's process: requests of its machine out, requests for its backend in, and its backend's beats."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from lugspur.control.errors import Kind, MeshError
from lugspur.control.items import LIMITS, ROUTES
from lugspur.control.messages import Answer, Done, Entry, Forward, Grant, Hello, Message, Reply
from lugspur.dataplane.delays import FreezeDetector
from lugspur.dataplane.gate import Gate, LocalBackend
from lugspur.dataplane.proxy import Proxy
from lugspur.dataplane.routes import RouteTable
from lugspur.dataplane.uploads import UploadScheduler
from lugspur.http1.front import Front
from lugspur.http1.intake import Sizes
from lugspur.membership.rows import read_address
from lugspur.mesh import events
from lugspur.mesh.http_api import Desk, fail, reply
from lugspur.mesh.incoming import IncomingExchanges
from lugspur.mesh.link import Dialler, Link
from lugspur.mesh.node import Node
from lugspur.mesh.outgoing import OutgoingExchanges
from lugspur.mesh.settings import Settings
from lugspur.seams import Answerable, Request

FILES_KEPT = 264  # descriptors for files and what is not counted here; 200 are reserved by the platform
CALLERS_PART = 0.5  # of the descriptors, for callers; the rest is for the backend and other proxies
FROZEN = 1.0  # seconds between two looks after which this process has not run in between
SETTLED = 1.0  # seconds behind a freeze in which all that waited meanwhile is read
HEARTBEATS_MISSED = 3.0  # beats that may be missed until a backend counts as gone
LEAVE_TAKES = 0.35  # of the time that a process has to end, in which callers are still served anew
LEAVE_ENDS = 0.9  # ...and by which all ends
TELL_EVERY = 2.0  # seconds between lines on how requests ended
SAY_AGAIN = 2.0  # seconds between editions of the same word to another source
HEARTBEAT_MOST = 4096  # bytes of a beat


class BackendStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a proxy says of its backend, as a soft entry under its own IP number."""

    id: str
    service: str
    zone: str
    state: str
    berths: int
    cold: float  # seconds for which it stays slow, from when it was said
    rate: float = 0.0  # bytes a second of its machine's link; 0: unknown


class Heartbeat(msgspec.Struct):
    """A backend's heartbeat."""

    service: str
    address: str
    state: str
    sequence: int
    berths: int = 1
    warmup_left_ms: float = 0.0


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
_json = msgspec.json.Encoder().encode
_pack = msgspec.msgpack.Encoder().encode
_status_decoder = msgspec.msgpack.Decoder(BackendStatus)


class Sidecar(Node):
    """One proxy's process."""

    def __init__(self, settings: Settings, path: str) -> None:
        limits, bounds = settings.own.limits, settings.tariffs.bounds
        self.table = RouteTable()
        self.backends: dict[str, BackendStatus] = {}  # by the machine's IP number
        self._cold: dict[str, float] = {}  # when each one's backend is warm
        self._said: Entry | None = None
        self._stale_services: set[str] = set()
        self._told_at = self._again_at = 0.0
        self._looked_at = float("inf")  # until it has looked once
        self._freezes = FreezeDetector(FROZEN, SETTLED)
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
        self.reloaded.append(self._sender)
        self.gate = Gate(
            limits.memory_mb << 20,
            max(16, limits.file_handles // 4),
            bounds.drain_ms / 1000.0,
            self._done,
            self._backend_down,
        )
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
        await self.loop.create_server(lambda: Link(self._asked, self.incoming.ended), ip, port, backlog=512)
        most = max(64, int((limits.file_handles - FILES_KEPT) * CALLERS_PART))
        self.front = Front(read_address(listen.outgoing), most, limits.memory_mb << 20, self._handle)
        # Guards against requests that waited unread while this process was frozen: their callers have given them up.
        self.front.came = lambda now, transport, first: self._freezes.came(now)
        self._tune()
        self._sock = await self.front.listen()
        desk = Desk()
        desk.add("GET", "/readiness", self._ready)
        await desk.serve(listen.readiness, limits.memory_mb << 20)
        desk = Desk()
        desk.add("POST", "/backends/*/heartbeat", self._heartbeat)
        desk.add("POST", "/backends/*/sign-off", self._sign_off)
        desk.add("POST", "/config/amend", self._elsewhere)
        desk.add("GET", "/config/read", self._elsewhere)
        desk.add("GET", "/mesh/status", lambda request, caller, found: reply(caller, _json(self.status())))
        await desk.serve(listen.dispatch, limits.memory_mb << 20)

    def _tune(self) -> None:
        """Callers are held to the operators' limits."""
        bounds, limits = self.table.bounds, self.settings.own.limits
        most = max(64, int((limits.file_handles - FILES_KEPT) * CALLERS_PART))
        sizes = Sizes(head=bounds.label_bytes + 1024, body=bounds.payload_bytes, ordinary=True)
        self.front.tune(
            most, limits.memory_mb << 20, sizes, bounds.label_wait_ms / 1000.0, bounds.idle_ms / 1000.0, 2.0
        )

    def _handle(self, request: Request, caller: Answerable) -> None:
        if not self.known:
            raise_not_ready(caller)
            return
        self.proxy.handle(request, caller)

    # ---- calls -------------------------------------------------------------------------------

    def _ready(self, request: Request, caller: Answerable, _: list[str]) -> None:
        if self.known and len(self.table) and not self.leaving:
            reply(caller)
        else:
            raise MeshError(Kind.LEAVING if self.leaving else Kind.NOT_READY)

    def _elsewhere(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """A call that only a replica can settle."""
        seed = self.rng.choice(self.settings.network.seed_nodes)
        reply(caller, status=307, head=b"Location: http://%b%b\r\n" % (seed.encode(), request.target))

    def _heartbeat(self, request: Request, caller: Answerable, found: list[str]) -> None:
        try:
            heartbeat = _heartbeat_decoder.decode(request.body[:HEARTBEAT_MOST])
            read_address(heartbeat.address)
        except (msgspec.MsgspecError, ValueError) as fault:
            raise MeshError(Kind.BAD_REQUEST, str(fault)) from None
        now, local = self.loop.time(), self.gate.local
        if local is None or local.id != found[0]:
            if local is not None and heartbeat.state != "accepting" and heartbeat.sequence > 0:
                reply(caller)  # a life that has gone, heard late: it must not take the present one's place
                return
            local = LocalBackend(found[0], heartbeat.service, heartbeat.address, now)
            self.gate.local = local
            events.info("backend", id=local.id, service=local.service, address=heartbeat.address, state=heartbeat.state)
        if heartbeat.sequence > local.sequence:
            local.sequence, local.heard, local.down = heartbeat.sequence, now, False
            local.berths = max(1, heartbeat.berths)
            local.warm_at = now + heartbeat.warmup_left_ms / 1000.0
            if heartbeat.state != "accepting" and local.closing_at == float("inf"):
                local.closing_at = now
                events.info("closing", id=local.id)
            if local.state != "gone":  # one that was silent speaks again; one that signed off does not
                local.state = "accepting" if local.closing_at == float("inf") else "closing"
            self._sender()
            self._publish()
        reply(caller)

    def _sign_off(self, request: Request, caller: Answerable, found: list[str]) -> None:
        local = self.gate.local
        if local is not None and local.id == found[0]:
            local.state = "gone"
            local.closing_at = min(local.closing_at, self.loop.time())
            events.info("sign-off", id=local.id)
            self._publish()
        reply(caller)

    def _backend_down(self, local: LocalBackend) -> None:
        events.info("backend-down", id=local.id)
        self._publish()

    def _publish(self) -> None:
        """Tell the mesh how this machine's backend is, where that has changed."""
        local = self.gate.local
        if local is None:
            return
        now = self.loop.time()
        gone = local.state in ("gone", "silent") or local.down or self.leaving
        backend_status = BackendStatus(
            local.id,
            local.service,
            self.settings.own.zone,
            "gone" if gone else local.state,
            local.berths,
            round(max(0.0, local.warm_at - now), 1),
            self._rate,
        )
        said = self.backends.get(self.ip)
        if (
            said is not None
            and self._said is not None
            and self._said.value is not None
            and (
                (said.id, said.service, said.state, said.berths)
                == (backend_status.id, backend_status.service, backend_status.state, backend_status.berths)
            )
        ):
            return
        self._said = Entry("backend", self.ip, self.edition("backend", self.ip), _pack(backend_status))
        self.store.merge([self._said])
        self.report()

    def own_entries(self, again: bool) -> list[Entry]:
        now = self.loop.time()
        # Guards news against a fleet that seeks sources all the time while the core is unsettled: by the same edition
        # it is no news. The former source may drop it when the lease ends there, and is then told otherwise.
        if self._said is not None and again and now >= self._again_at:
            self._again_at = now + SAY_AGAIN
            self._said = Entry("backend", self.ip, self.edition("backend", self.ip), self._said.value)
            self.store.merge([self._said])
        return [] if self._said is None else [self._said]

    # ---- news --------------------------------------------------------------------------------

    def changed(self, entry: Entry) -> None:
        if entry.kind == "backend":
            if entry.name == self.ip and self._said is not None and entry.edition > self._said.edition:
                self._said = Entry("backend", self.ip, entry.edition + 1, self._said.value)
                self.loop.call_soon(self._say_again)
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

    def _say_again(self) -> None:
        if self._said is not None:
            self.store.merge([self._said])
            self.report()

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

    def carry(self, ip: str, forward: Forward, respond: Callable[[Reply], None]) -> Callable[[], None]:
        """Send it to the gate beside that machine's backend."""
        if ip == self.ip:
            ticket = self.gate.run(forward, respond)
            return _nothing if ticket is None else lambda: self.gate.cancel(ticket)
        dialler = self.peers[ip]
        link = dialler.link
        assert link is not None
        backend_status = self.backends.get(ip)
        rate = 0.0 if backend_status is None else backend_status.rate
        return self.outgoing.carry(self.loop.time(), ip, link, rate, forward, respond)

    def _heard_from(self, link: Link, message: Message) -> None:
        if isinstance(message, Reply):
            self.outgoing.reply(link, message)
        elif isinstance(message, Grant):
            self.outgoing.grant(link, message)
        elif isinstance(message, Hello):
            link.answered = True
            link.send(Hello(self.ip, self.life, self.keeps, self.loop.time()))
        else:
            super()._heard_from(link, message)

    def _down(self, dialler: Dialler) -> None:
        super()._down(dialler)
        self.outgoing.lost(dialler.ip)

    def _asked(self, link: Link, message: Message) -> None:
        """Something from one who dialled: requests for this machine's backend."""
        self.incoming.heard(link, message)
        if isinstance(message, Hello):
            dialler = self.peers.get(message.ip)
            if dialler is not None:
                dialler.nudge()

    def _done(self, forward: Forward, answer: Answer) -> None:
        """A keyed operation has run: the voters keep its answer for repeats."""
        if self.membership is not None:
            for voter in self.membership.voters:
                self.to(voter.ip, Done(forward.key, forward.by, answer))

    def status(self) -> dict[str, Any]:
        """What operators see of this proxy: what it goes by, how old that is, and whom it would send to."""
        now, local = self.loop.time(), self.gate.local
        endpoints = [endpoint for found in self.proxy.services.values() for endpoint in found.values()]
        return {
            "node": self.settings.own.node_name,
            "role": "proxy",
            "ip": self.ip,
            "zone": self.settings.own.zone,
            "sender": self.proxy.sender,
            "leaving": self.leaving,
            "known": self.known,
            "epoch": 0 if self.membership is None else self.membership.epoch,
            "voters": [] if self.membership is None else [voter.ip for voter in self.membership.voters],
            "source": self.source,
            "age_s": round(min(1e6, now - self.source_at), 3),
            "routes": len(self.table),
            "open": len(self.proxy.open_requests),
            "busy": self.gate.busy,
            "backend": None
            if local is None
            else {
                "id": local.id,
                "service": local.service,
                "state": local.state,
                "berths": local.berths,
                "down": local.down,
            },
            "backends": [
                {
                    "id": r.id,
                    "service": r.service,
                    "ip": r.ip,
                    "zone": r.zone,
                    "reached": self.ready(r.ip),
                    "in_flight": r.inflight,
                    "latency": round(r.latency, 3),
                    "refuses": {name: round(b.error_ratio(now), 3) for name, b in r.breakers.items()},
                }
                for r in endpoints
            ],
        }

    # ---- time -----------------------------------------------------------------------------------

    def _tell(self, now: float) -> None:
        """How requests ended since the last time, one line."""
        if now < self._told_at + TELL_EVERY:
            return
        self._told_at = now
        ended, self.proxy.ended = self.proxy.ended, {}
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
        self._freezes.ran(now)
        self._tell(now)
        self.incoming.look(now)
        local = self.gate.local
        away, self._looked_at = now - self._looked_at, now
        if local is not None and local.state not in ("gone", "silent"):
            if away > FROZEN:  # Guards against a verdict after a freeze of its own: the beats wait unread.
                local.heard += away
            due = HEARTBEATS_MISSED * self.settings.depot.heartbeat_ms / 1000.0 + 1.0
            if now - local.heard > due:
                local.state = "silent"
                events.info("backend-silent", id=local.id)
                self._publish()

    async def leave(self) -> None:
        """SIGTERM: take the readiness back, serve on while callers go elsewhere, end when nothing is open."""
        self.leaving = True
        grace = self.settings.tariffs.bounds.grace_s
        start = self.loop.time()
        self._publish()
        self.front.drain(0.5)
        await asyncio.sleep(LEAVE_TAKES * grace)
        await self.front.stop_listening(self._sock)
        self.front.close()
        self.gate.leaving = True
        while self.loop.time() < start + LEAVE_ENDS * grace and (
            self.proxy.open_requests or self.gate.busy or len(self.incoming.uploads) or self.front.callers
        ):
            await asyncio.sleep(0.05)
        events.info("left", flights=len(self.proxy.open_requests), busy=self.gate.busy, after=self.loop.time() - start)


def raise_not_ready(caller: Answerable) -> None:
    """Nothing is known yet."""
    fail(caller, MeshError(Kind.NOT_READY))


def _nothing() -> None:
    """Cancels what is over."""
