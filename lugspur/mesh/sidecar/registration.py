"""A proxy's registration of its machine's backend: heartbeats, sign-off, silence, and its entry in the mesh."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

import msgspec

from lugspur.discovery.endpoints import read_address
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import BACKEND
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import Store
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.http_api import reply
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.backend_incarnations import BackendIncarnations
from lugspur.mesh.sidecar.backend_status import BackendStatus, encode_status
from lugspur.seams import Answerable, Request

MAX_MISSED_HEARTBEATS = 3.0  # until a backend counts as gone...
HEARTBEAT_MARGIN_SECONDS = 1.0  # ...and so much longer
MAX_HEARTBEAT_BYTES = 4096
REANNOUNCE_SECONDS = 2.0  # between two editions of the same status for another source of updates
NEVER = float("inf")  # when a backend closes that has not said so


class Heartbeat(msgspec.Struct):
    """A backend's heartbeat, as it sends it."""

    service: str
    address: str
    state: str
    sequence: int  # rises from heartbeat to heartbeat of one incarnation
    berths: int = 1
    warmup_left_ms: float = 0.0


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(body: bytes) -> Heartbeat:
    """The heartbeat of a call's body; raises MeshError (BAD_REQUEST) where it is none."""
    try:
        heartbeat = _heartbeat_decoder.decode(body[:MAX_HEARTBEAT_BYTES])
        read_address(heartbeat.address)
    except (msgspec.MsgspecError, ValueError) as fault:
        raise MeshError(ErrorKind.BAD_REQUEST, str(fault)) from None
    return heartbeat


class RegisteringProcess(Protocol):
    """The process beside the backend, as far as it is needed here."""

    loop: asyncio.AbstractEventLoop
    ip: str
    store: Store
    is_leaving: bool

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""

    def next_edition(self, kind: str, name: str) -> int:
        """A new edition of an entry of this process."""

    def report(self) -> None:
        """Report the entries of this process to whom it follows."""


class BackendRegistration:
    """The present incarnation of this machine's backend, and its leased entry."""

    def __init__(
        self,
        process: RegisteringProcess,
        limiter: ConcurrencyLimiter,
        backends: Mapping[str, BackendStatus],
        rate: float,
    ) -> None:
        """`backends`: what the mesh knows of each machine's, by IP number; `rate`: bytes a second of the link."""
        self._process, self._limiter, self._backends, self._rate = process, limiter, backends, rate
        self.announced: Entry | None = None
        self._renew_at = 0.0  # when the entry may get a new edition without a new content
        self._ticked_at = float("inf")  # until the first tick
        self._incarnations = BackendIncarnations(process.settings.depot.heartbeat_ms / 1000.0)

    # ---- calls of the backend --------------------------------------------------------------

    def heartbeat(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Take a heartbeat, with the backend's id in `found`; raises MeshError (BAD_REQUEST) for what is none."""
        heartbeat = read_heartbeat(request.body)
        if self._is_present(found[0], heartbeat):
            self._apply(self._present_backend(found[0], heartbeat), heartbeat)
        reply(caller)

    def _is_present(self, ident: str, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is one of the present incarnation, or of one that takes its place."""
        local = self._limiter.local_backend
        if local is not None and local.id != ident and heartbeat.state != "accepting" and heartbeat.sequence > 0:
            return False  # an incarnation that ends can take nobody's place
        has_ended = local is not None and local.state in ("gone", "silent")
        if self._incarnations.is_present(self._process.loop.time(), ident, heartbeat.sequence, has_ended):
            return True
        events.info("late-heartbeat", id=ident, sequence=heartbeat.sequence, state=heartbeat.state)
        return False

    def _present_backend(self, ident: str, heartbeat: Heartbeat) -> LocalBackend:
        """The backend with that id; it takes the place of another one."""
        local = self._limiter.local_backend
        if local is not None and local.id == ident:
            return local
        local = LocalBackend(ident, heartbeat.service, heartbeat.address, self._process.loop.time())
        if heartbeat.state != "accepting":
            # Guards its drain: it may have said so long ago, to a process that was here before this one.
            local.closing_at = float("-inf")
        self._limiter.local_backend = local
        events.info("backend", id=local.id, service=local.service, address=heartbeat.address, state=heartbeat.state)
        return local

    def _apply(self, local: LocalBackend, heartbeat: Heartbeat) -> None:
        """Take over what a heartbeat says, unless a later one has come before it."""
        if heartbeat.sequence <= local.sequence:
            return
        now = self._process.loop.time()
        local.sequence, local.last_heartbeat_at, local.is_unreachable = heartbeat.sequence, now, False
        local.concurrency = max(1, heartbeat.berths)
        local.warm_at = now + heartbeat.warmup_left_ms / 1000.0
        if heartbeat.state != "accepting" and local.closing_at == NEVER:
            local.closing_at = now
            events.info("closing", id=local.id)
        if local.state != "gone":  # one that was silent speaks again; one that signed off does not
            local.state = "accepting" if local.closing_at == NEVER else "closing"
        self.publish()

    def sign_off(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Take the backend's sign-off, with its id in `found`: it has ended."""
        self._incarnations.signed_off(found[0])
        local = self._limiter.local_backend
        if local is not None and local.id == found[0]:
            local.state = "gone"
            local.closing_at = min(local.closing_at, self._process.loop.time())
            events.info("sign-off", id=local.id)
            self.publish()
        reply(caller)

    def unreachable(self, local: LocalBackend) -> None:
        """The backend has refused a connection."""
        events.info("backend-down", id=local.id)
        self.publish()

    # ---- the entry of the backend ----------------------------------------------------------

    def publish(self) -> None:
        """Announce the status of this machine's backend to the mesh, where that has changed."""
        local = self._limiter.local_backend
        if local is None:
            return
        status = self._status_of(local)
        if not self._is_announced(status):
            self._announce(self._process.next_edition(BACKEND, self._process.ip), encode_status(status))
            self._process.report()

    def _status_of(self, local: LocalBackend) -> BackendStatus:
        has_ended = local.state in ("gone", "silent") or local.is_unreachable or self._process.is_leaving
        return BackendStatus(
            local.id,
            local.service,
            self._process.settings.own.zone,
            "gone" if has_ended else local.state,
            local.concurrency,
            round(max(0.0, local.warm_at - self._process.loop.time()), 1),
            self._rate,
        )

    def _is_announced(self, status: BackendStatus) -> bool:
        """Whether the mesh knows it already; how long the backend stays slow is no reason to announce it anew."""
        known = self._backends.get(self._process.ip)
        if known is None or self.announced is None or self.announced.value is None:
            return False
        return (known.id, known.service, known.state, known.berths) == (
            status.id,
            status.service,
            status.state,
            status.berths,
        )

    def _announce(self, edition: int, value: bytes | None) -> None:
        self.announced = Entry(BACKEND, self._process.ip, edition, value)
        self._process.store.merge([self.announced])

    def own_entries(self, *, renew: bool) -> list[Entry]:
        """The entry of the backend; `renew`: for another peer, under a new edition."""
        now = self._process.loop.time()
        # Guards subscribers against a fleet that seeks sources all the time while the voters are unsettled: under the
        # same edition it is no update. The former source may drop the entry when its lease ends there, and is then
        # contradicted (see `overtaken_by`).
        if self.announced is not None and renew and now >= self._renew_at:
            self._renew_at = now + REANNOUNCE_SECONDS
            self._announce(self._process.next_edition(BACKEND, self._process.ip), self.announced.value)
        return [] if self.announced is None else [self.announced]

    def overtaken_by(self, entry: Entry) -> bool:
        """Whether somebody else has written a later entry of this machine's backend; its own one follows."""
        if self.announced is None or entry.edition <= self.announced.edition:
            return False
        self.announced = Entry(BACKEND, self._process.ip, entry.edition + 1, self.announced.value)
        self._process.loop.call_soon(self._contradict)
        return True

    def _contradict(self) -> None:
        if self.announced is not None:
            self._process.store.merge([self.announced])
            self._process.report()

    # ---- time ------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Notice a backend that sends no heartbeats."""
        local = self._limiter.local_backend
        since_tick, self._ticked_at = now - self._ticked_at, now
        if local is None or local.state in ("gone", "silent"):
            return
        if since_tick > PAUSE_THRESHOLD_SECONDS:
            # Guards against a verdict after a pause of this process itself: the heartbeats wait unread.
            local.last_heartbeat_at += since_tick
        interval = self._process.settings.depot.heartbeat_ms / 1000.0
        if now - local.last_heartbeat_at > MAX_MISSED_HEARTBEATS * interval + HEARTBEAT_MARGIN_SECONDS:
            local.state = "silent"
            events.info("backend-silent", id=local.id)
            self.publish()
