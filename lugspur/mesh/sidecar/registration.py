"""The registration of a machine's backend by its sidecar: heartbeats, sign-off, time-out, and its entry in the mesh."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple, Protocol

import msgspec

from lugspur.discovery.endpoints import read_address
from lugspur.interfaces import Request, Responder
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import BACKEND
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import Store
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.service_times import ServiceTimes
from lugspur.mesh.http_api import fail, reply
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.backend_incarnations import BackendIncarnations
from lugspur.mesh.sidecar.backend_status import ACCEPTING, CLOSING, SIGNED_OFF, BackendStatus, encode_status
from lugspur.mesh.sidecar.status_confirmation import StatusConfirmation

# A backend without a heartbeat for this many heartbeat intervals, plus HEARTBEAT_MARGIN_SECONDS, counts as gone.
MAX_MISSED_HEARTBEATS = 3.0
HEARTBEAT_MARGIN_SECONDS = 1.0
MAX_HEARTBEAT_BYTES = 4096
REANNOUNCE_SECONDS = 2.0  # minimum interval between new editions of an unchanged status after a change of source
NEVER = float("inf")  # closing time of a backend that has not announced that it is closing


class Heartbeat(msgspec.Struct):
    """The JSON body of a backend's heartbeat."""

    service: str
    address: str
    state: str
    sequence: int  # increases with each heartbeat of one incarnation
    berths: int = 1  # requests that the backend can run at once
    warmup_left_ms: float = 0.0  # time of slow start that is left


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat from the body of a call; raises MeshError (BAD_REQUEST) if it is invalid."""
    try:
        heartbeat = _heartbeat_decoder.decode(body[:MAX_HEARTBEAT_BYTES])
        read_address(heartbeat.address)
    except (msgspec.MsgspecError, ValueError) as fault:
        raise MeshError(ErrorKind.BAD_REQUEST, str(fault)) from None
    return heartbeat


class _EarlyHeartbeat(NamedTuple):
    """The latest heartbeat that came before the state of the mesh was known."""

    ident: str
    heartbeat: Heartbeat


class RegisteringProcess(Protocol):
    """The interface of the sidecar process to the registration."""

    loop: asyncio.AbstractEventLoop
    ip: str
    store: Store
    is_leaving: bool

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""

    def next_edition(self, kind: str, name: str) -> int:
        """Return a new edition for an entry of this process."""

    def report(self) -> None:
        """Report the entries of this process to the control node that it follows."""

    def report_to(self, ips: list[str], entry: Entry) -> None:
        """Report an entry of this process to these voters, which reply with what they know of it."""

    def voter_addresses(self) -> list[str]:
        """Return the addresses of the voters in force."""

    def update_sender(self) -> None:
        """Update the service name of this machine's requests."""

    def follows_fresh_updates(self) -> bool:
        """Whether the updates of the control node that this process follows are fresh."""


class BackendRegistration:
    """The current incarnation of this machine's backend, and its leased entry."""

    def __init__(
        self,
        process: RegisteringProcess,
        limiter: ConcurrencyLimiter,
        backends: Mapping[str, BackendStatus],
        link_rate: float,
    ) -> None:
        """`backends`: statuses known to the mesh, by IP address; `link_rate`: bytes per second of the link."""
        self._process, self._limiter, self._backends, self._link_rate = process, limiter, backends, link_rate
        self.announced: Entry | None = None
        self._renew_at = 0.0  # earliest time for a new edition of an unchanged entry
        self._ticked_at = float("inf")  # until the first tick
        self._incarnations = BackendIncarnations(process.settings.depot.heartbeat_ms / 1000.0)
        self._confirmation = StatusConfirmation()
        self._knows_mesh = False  # whether it is known what the process before this one announced
        self._closing_id = ""  # the incarnation that the process before this one announced as closing
        self._early: _EarlyHeartbeat | None = None

    # ---- calls from the backend ------------------------------------------------------------

    def heartbeat(self, request: Request, caller: Responder, path_segments: list[str]) -> None:
        """Handle a heartbeat; the path contains the backend's id. Raises MeshError (BAD_REQUEST) if it is invalid."""
        ident, heartbeat = path_segments[0], read_heartbeat(request.body)
        self._take_heartbeat(ident, heartbeat)
        local = self._limiter.local_backend
        if heartbeat.state != "accepting" and local is not None and local.id == ident:
            self._reply_once_known(caller)
        else:
            reply(caller)

    def _take_heartbeat(self, ident: str, heartbeat: Heartbeat) -> None:
        if self._accepts_heartbeat(ident, heartbeat):
            self._early = None
            self._apply(self._current_backend(ident, heartbeat), heartbeat)
        elif not self._knows_mesh:
            self._early = _EarlyHeartbeat(ident, heartbeat)

    def mesh_known(self, status: BackendStatus | None) -> None:
        """Take up what the mesh knows of this machine's backend, at the start; None if it knows of none.

        The state has to be as recent as the start of this process: it then includes each sign-off that the process
        before this one has acknowledged, and a late heartbeat doesn't undo it.
        """
        if self._knows_mesh:
            return
        self._knows_mesh = True
        if status is not None:
            self._incarnations.learn(status.id, has_ended=status.declared == SIGNED_OFF)
            self._closing_id = status.id if CLOSING in (status.state, status.declared) else ""
        early, self._early = self._early, None
        if early is None or self._limiter.local_backend is not None:
            return
        if self._incarnations.reconsider(early.ident, is_doubtful=self._is_of_another_service(early.heartbeat)):
            self._apply(self._current_backend(early.ident, early.heartbeat), early.heartbeat)

    def _is_of_another_service(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat may be a late one of a former backend of another service.

        Such a heartbeat must not give the requests of this machine the name of that service.
        """
        return heartbeat.service != self._process.settings.own.service

    def _accepts_heartbeat(self, ident: str, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is from the current incarnation, or from one that replaces it."""
        local = self._limiter.local_backend
        if local is not None and local.id != ident and heartbeat.state != "accepting" and heartbeat.sequence > 0:
            return False  # An incarnation that is ending can't replace another.
        has_ended = local is not None and local.state in ("gone", "silent")
        # While the state of the mesh isn't known, as this machine may be cut off, each heartbeat has to be confirmed.
        is_doubtful = not self._knows_mesh or self._is_of_another_service(heartbeat)
        now, is_ending = self._process.loop.time(), heartbeat.state != "accepting"
        if self._incarnations.record_heartbeat(
            now, ident, heartbeat.sequence, has_ended, is_doubtful=is_doubtful, is_ending=is_ending
        ):
            return True
        events.info("late-heartbeat", id=ident, sequence=heartbeat.sequence, state=heartbeat.state)
        return False

    def _current_backend(self, ident: str, heartbeat: Heartbeat) -> LocalBackend:
        """Return the backend with this id; if it is a new one, it replaces the former one."""
        local = self._limiter.local_backend
        if local is not None and local.id == ident:
            return local
        former, local = local, LocalBackend(ident, heartbeat.service, heartbeat.address, self._process.loop.time())
        if heartbeat.state != "accepting" or ident == self._closing_id:
            # It may have announced its closing long ago, to an earlier sidecar process, so it gets no more requests.
            local.closing_at = float("-inf")
        if former is not None and former.service != local.service:
            self._limiter.service_times = ServiceTimes()  # those of the former service say nothing about this one
        self._limiter.local_backend = local
        self._process.update_sender()
        events.info("backend", id=local.id, service=local.service, address=heartbeat.address, state=heartbeat.state)
        return local

    def _apply(self, local: LocalBackend, heartbeat: Heartbeat) -> None:
        """Apply the contents of a heartbeat, unless a later one has already been applied."""
        if heartbeat.sequence <= local.sequence:
            return
        now = self._process.loop.time()
        local.sequence, local.last_heartbeat_at, local.is_unreachable = heartbeat.sequence, now, False
        local.concurrency = max(1, heartbeat.berths)
        local.slow_start_until = now + heartbeat.warmup_left_ms / 1000.0
        if heartbeat.state != "accepting" and local.closing_at == NEVER:
            local.closing_at = now
            events.info("closing", id=local.id)
        if local.state != "gone":  # A heartbeat ends the silence of a backend, but not its sign-off.
            local.state = "accepting" if local.closing_at == NEVER else "closing"
        self.publish()

    def sign_off(self, request: Request, caller: Responder, path_segments: list[str]) -> None:
        """Handle the sign-off of a backend that has ended; the path contains its id."""
        ident = path_segments[0]
        self._incarnations.record_sign_off(ident)
        if self._early is not None and self._early.ident == ident:
            self._early = None
        local = self._limiter.local_backend
        if local is None:
            self._sign_off_unheard(ident, caller)
            return
        if local.id != ident:
            reply(caller)
            return
        local.state = "gone"
        local.closing_at = min(local.closing_at, self._process.loop.time())
        events.info("sign-off", id=local.id)
        self.publish()
        self._reply_once_known(caller)

    def _sign_off_unheard(self, ident: str, caller: Responder) -> None:
        """Handle the sign-off of a backend that this process has heard no heartbeat of; raises MeshError (NOT_READY).

        The process before this one may have announced it as accepting.
        """
        if not self._knows_mesh:
            raise MeshError(ErrorKind.NOT_READY)
        known = self._backends.get(self._process.ip)
        if known is not None and known.id != ident:
            reply(caller)
            return
        own = self._process.settings.own
        service = own.service if known is None else known.service
        status = BackendStatus(ident, service, own.zone, "gone", 1, 0.0, self._link_rate, SIGNED_OFF)
        events.info("sign-off", id=ident)
        if known is None or known.declared != SIGNED_OFF:
            self._announce(self._process.next_edition(BACKEND, self._process.ip), encode_status(status))
            self._process.report()
        self._reply_once_known(caller)

    # ---- calls that are answered once a majority knows -------------------------------------

    def _reply_once_known(self, caller: Responder) -> None:
        """Acknowledge a call once a majority of the voters knows the announced status, which then binds the mesh."""
        voters = self._process.voter_addresses()
        if self._confirmation.is_confirmed(voters):
            reply(caller)
            return

        def report_result(is_known: bool) -> None:
            caller.on_disconnect = None
            # Voters of a former build reply nothing: the control node that is followed has the report all the same.
            if is_known or (not self._confirmation.replies and self._process.follows_fresh_updates()):
                reply(caller)
            else:
                fail(caller, MeshError(ErrorKind.NO_QUORUM, "too few control nodes know the state of the backend"))

        caller.on_disconnect = self._confirmation.wait(self._process.loop.time(), report_result)
        self._report_to_missing()

    def _report_to_missing(self) -> None:
        """Report the announced entry to the voters that are not known to have it."""
        if self.announced is not None:
            self._process.report_to(self._confirmation.missing(self._process.voter_addresses()), self.announced)

    def report_received(self, ip: str, entries: list[Entry]) -> None:
        """Handle a voter's reply to a report: its entries, as far as they are those of the report."""
        for entry in entries:
            if entry.kind == BACKEND and entry.name == self._process.ip:
                self._confirmation.reply_received(ip, entry.edition, self._process.voter_addresses())

    def backend_unreachable(self, local: LocalBackend) -> None:
        """Handle a backend that has refused a connection."""
        events.info("backend-down", id=local.id)
        self.publish()

    # ---- the entry of the backend ----------------------------------------------------------

    def publish(self) -> None:
        """Announce the status of this machine's backend to the mesh if it has changed."""
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
            round(max(0.0, local.slow_start_until - self._process.loop.time()), 1),
            self._link_rate,
            _declared_by(local),
        )

    def _is_announced(self, status: BackendStatus) -> bool:
        """Whether the mesh knows the status; a different time of slow start left is no reason to announce it again."""
        known = self._backends.get(self._process.ip)
        if known is None or self.announced is None or self.announced.value is None:
            return False
        return (known.id, known.service, known.state, known.concurrency, known.declared) == (
            status.id,
            status.service,
            status.state,
            status.concurrency,
            status.declared,
        )

    def _announce(self, edition: int, value: bytes | None) -> None:
        self.announced = Entry(BACKEND, self._process.ip, edition, value)
        self._confirmation.announced(edition)
        self._process.store.merge([self.announced])

    def own_entries(self, *, renew: bool) -> list[Entry]:
        """Return the entry of the backend, if any; with `renew`, under a new edition for another peer."""
        now = self._process.loop.time()
        # While the voters are unsettled, all proxies change their sources again and again. The interval limits the load
        # on subscribers: an entry with the same edition is no update. If a former source drops the entry when its lease
        # expires there, the entry is published again (see `republish_if_superseded`).
        if self.announced is not None and renew and now >= self._renew_at:
            self._renew_at = now + REANNOUNCE_SECONDS
            self._announce(self._process.next_edition(BACKEND, self._process.ip), self.announced.value)
        return [] if self.announced is None else [self.announced]

    def republish_if_superseded(self, entry: Entry) -> bool:
        """Republish this machine's entry if another process has written a later edition; return whether it has."""
        if self.announced is None or entry.edition <= self.announced.edition:
            return False
        self.announced = Entry(BACKEND, self._process.ip, entry.edition + 1, self.announced.value)
        self._confirmation.announced(self.announced.edition)
        self._process.loop.call_soon(self._republish)
        return True

    def _republish(self) -> None:
        if self.announced is not None:
            self._process.store.merge([self.announced])
            self._process.report()

    # ---- periodic work ---------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Mark the backend as silent if its heartbeats have stopped."""
        if self._confirmation.is_waited_for():
            self._report_to_missing()
            self._confirmation.check(self._process.voter_addresses())
            self._confirmation.tick(now)
        local = self._limiter.local_backend
        since_tick, self._ticked_at = now - self._ticked_at, now
        if local is None or local.state in ("gone", "silent"):
            return
        if since_tick > PAUSE_THRESHOLD_SECONDS:
            # After a pause of this process the heartbeats are still unread, so the backend must not count as silent.
            local.last_heartbeat_at += since_tick
        interval = self._process.settings.depot.heartbeat_ms / 1000.0
        if now - local.last_heartbeat_at > MAX_MISSED_HEARTBEATS * interval + HEARTBEAT_MARGIN_SECONDS:
            local.state = "silent"
            events.info("backend-silent", id=local.id)
            self.publish()


def _declared_by(local: LocalBackend) -> str:
    """Return what a backend said last of itself."""
    if local.state == "gone":
        return SIGNED_OFF
    return ACCEPTING if local.closing_at == NEVER else CLOSING
