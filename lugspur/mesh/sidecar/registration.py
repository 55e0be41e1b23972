"""The registration of a machine's backend by its sidecar: heartbeats, sign-off, time-out, and its entry in the mesh."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from lugspur.interfaces import Request, Responder
from lugspur.mesh import events
from lugspur.mesh.control.items import BACKEND
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import Store
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.service_times import ServiceTimes
from lugspur.mesh.http_api import reply
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.backend_incarnations import MAX_FIRST_SEQUENCE, BackendIncarnations
from lugspur.mesh.sidecar.backend_status import BackendStatus, encode_status
from lugspur.mesh.sidecar.ending_acknowledgement import EndingAcknowledgements
from lugspur.mesh.sidecar.ending_records import Ending, EndingRecords
from lugspur.mesh.sidecar.heartbeat import Heartbeat, ReceivedHeartbeat, read_heartbeat
from lugspur.mesh.sidecar.incarnation_lookup import IncarnationLookup

# A backend without a heartbeat for this many heartbeat intervals, plus HEARTBEAT_MARGIN_SECONDS, counts as gone.
MAX_MISSED_HEARTBEATS = 3.0
HEARTBEAT_MARGIN_SECONDS = 1.0
REANNOUNCE_SECONDS = 2.0  # minimum interval between new editions of an unchanged status after a change of source
NEVER = float("inf")  # closing time of a backend that has not announced that it is closing
NEVER_ACCEPTED = float("-inf")  # closing time of a backend that announced it to an earlier process


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

    def has_only_former_voters(self) -> bool:
        """Whether the voters can be reached, but have a former build that acknowledges no records."""

    def update_sender(self) -> None:
        """Update the service name of this machine's requests."""


class BackendRegistration:
    """The current incarnation of this machine's backend, and its leased entry."""

    def __init__(
        self,
        process: RegisteringProcess,
        limiter: ConcurrencyLimiter,
        backends: Mapping[str, BackendStatus],
        link_rate: float,
        records: EndingRecords,
    ) -> None:
        """`backends`: statuses known to the mesh, by IP address; `link_rate`: bytes per second of the link."""
        self._process, self._limiter, self._backends, self._link_rate = process, limiter, backends, link_rate
        self.announced: Entry | None = None
        self._renew_at = 0.0  # earliest time for a new edition of an unchanged entry
        self._ticked_at = float("inf")  # until the first tick
        self._incarnations = BackendIncarnations(process.settings.depot.heartbeat_ms / 1000.0)
        self._lookup = IncarnationLookup(records, self._take_looked_up, self._had_ended)
        self._acknowledgements = EndingAcknowledgements(records, self._lookup.endings, process.has_only_former_voters)

    # ---- calls from the backend ------------------------------------------------------------

    def heartbeat(self, request: Request, caller: Responder, path_segments: list[str]) -> None:
        """Handle a heartbeat; the path contains the backend's id. Raises MeshError (BAD_REQUEST) if it is invalid."""
        received = ReceivedHeartbeat(path_segments[0], read_heartbeat(request.body), self._process.loop.time())
        if self._has_to_be_looked_up(received):
            self._lookup.receive(received)
        else:
            is_closing = not received.heartbeat.is_accepting
            self._take(received, is_doubtful=is_closing and self._is_of_another_service(received))
        if received.heartbeat.is_accepting:
            reply(caller)
        else:
            self._acknowledgements.acknowledge(received.ident, Ending.CLOSING, caller)

    def _take(self, received: ReceivedHeartbeat, *, is_doubtful: bool = False) -> None:
        """Take a heartbeat, unless it is a late one; `is_doubtful`: whether another one has to confirm it."""
        if self._accepts_heartbeat(received, is_doubtful=is_doubtful):
            self._lookup.clear()
            self._apply(self._current_backend(received.ident, received.heartbeat), received.heartbeat)

    # ---- heartbeats of incarnations that this process does not know ------------------------

    def _has_to_be_looked_up(self, received: ReceivedHeartbeat) -> bool:
        """Whether a heartbeat may be a late one of an incarnation whose end a former process has acknowledged."""
        local, heartbeat = self._limiter.local_backend, received.heartbeat
        if not heartbeat.is_accepting or self._process.settings.own.first_start:
            return False
        if local is not None and (local.id == received.ident or heartbeat.sequence <= MAX_FIRST_SEQUENCE):
            return False  # the current incarnation, or one that has just started
        return not self._lookup.is_known(received.ident)

    def _take_looked_up(self, received: ReceivedHeartbeat, is_out_of_contact: bool) -> bool:
        """Take a heartbeat after its incarnation was looked up; return whether that is the current one now."""
        self._take(received, is_doubtful=is_out_of_contact or self._is_of_another_service(received))
        return self._is_current(received.ident)

    def _is_of_another_service(self, received: ReceivedHeartbeat) -> bool:
        """Whether a heartbeat names another service than this machine's.

        A late one of a former backend of another service must not give this machine's requests its name.
        """
        return received.heartbeat.service != self._process.settings.own.service

    def _had_ended(self, ident: str, ending: Ending) -> None:
        """Apply that an incarnation had ended before this process started."""
        if ending is Ending.SIGNED_OFF:
            self._incarnations.record_sign_off(ident)
        local = self._limiter.local_backend
        if local is None or local.id != ident:
            return
        local.closing_at = NEVER_ACCEPTED
        if ending is Ending.SIGNED_OFF:
            local.state = "gone"
            events.info("sign-off", id=ident)
        elif local.state != "gone":
            local.state = "closing"
            events.info("closing", id=ident)
        self.publish()

    def _is_current(self, ident: str) -> bool:
        local = self._limiter.local_backend
        return local is not None and local.id == ident

    def mesh_known(self, status: BackendStatus | None) -> None:
        """Take up what the mesh knows of this machine's backend, from updates that are as recent as this process.

        `status`: what the process before this one announced; None if nothing.
        """
        if self._lookup.knows_mesh:
            return
        self._lookup.knows_mesh = True
        # `gone` is also said of a backend whose proxy was stopped, and which is to be taken back at once.
        if status is not None and status.state != "gone" and self._limiter.local_backend is None:
            self._incarnations.learn_announced(status.id)
        self._lookup.take_known()

    # ---- heartbeats ------------------------------------------------------------------------

    def _accepts_heartbeat(self, received: ReceivedHeartbeat, *, is_doubtful: bool) -> bool:
        """Whether a heartbeat is from the current incarnation, or from one that replaces it."""
        ident, heartbeat, received_at = received
        local = self._limiter.local_backend
        if local is not None and local.id != ident and not heartbeat.is_accepting and heartbeat.sequence > 0:
            self._incarnations.record_sequence(ident, heartbeat.sequence)
            return False  # An incarnation that is ending can't replace another.
        has_ended = local is not None and local.state in ("gone", "silent")
        if self._incarnations.record_heartbeat(
            received_at, ident, heartbeat.sequence, has_ended, is_doubtful=is_doubtful
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
        if not heartbeat.is_accepting or self._lookup.endings.get(ident) is Ending.CLOSING:
            # It may have announced its closing long ago, to an earlier sidecar process, so it gets no more requests.
            local.closing_at = NEVER_ACCEPTED
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
        if not heartbeat.is_accepting and local.closing_at == NEVER:
            local.closing_at = now
            events.info("closing", id=local.id)
        if local.state != "gone":  # A heartbeat ends the silence of a backend, but not its sign-off.
            local.state = "accepting" if local.closing_at == NEVER else "closing"
        self.publish()

    def sign_off(self, request: Request, caller: Responder, path_segments: list[str]) -> None:
        """Handle the sign-off of a backend that has ended; the path contains its id."""
        ident = path_segments[0]
        self._incarnations.record_sign_off(ident)
        local = self._limiter.local_backend
        if local is not None and local.id == ident:
            local.state = "gone"
            local.closing_at = min(local.closing_at, self._process.loop.time())
            events.info("sign-off", id=local.id)
            self.publish()
        self._acknowledgements.acknowledge(ident, Ending.SIGNED_OFF, caller)

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
        )

    def _is_announced(self, status: BackendStatus) -> bool:
        """Whether the mesh knows the status; a different time of slow start left is no reason to announce it again."""
        known = self._backends.get(self._process.ip)
        if known is None or self.announced is None or self.announced.value is None:
            return False
        return (known.id, known.service, known.state, known.concurrency) == (
            status.id,
            status.service,
            status.state,
            status.concurrency,
        )

    def _announce(self, edition: int, value: bytes | None) -> None:
        self.announced = Entry(BACKEND, self._process.ip, edition, value)
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
        self._process.loop.call_soon(self._republish)
        return True

    def _republish(self) -> None:
        if self.announced is not None:
            self._process.store.merge([self.announced])
            self._process.report()

    # ---- periodic work ---------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Mark the backend as silent if its heartbeats have stopped; look up one that is not known yet."""
        self._lookup.tick(now)
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
