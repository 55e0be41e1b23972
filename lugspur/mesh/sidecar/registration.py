"""What a proxy knows of its machine's backend: its beats, its end, its silence, and what the mesh is told of it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

import msgspec

from lugspur.discovery.rows import read_address
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import Store
from lugspur.mesh.dataplane.gate import Gate, LocalBackend
from lugspur.mesh.http_api import reply
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.backend_incarnations import BackendIncarnations
from lugspur.seams import Answerable, Request

MAX_MISSED_HEARTBEATS = 3.0  # beats that may be missed until a backend counts as gone
MAX_HEARTBEAT_BYTES = 4096  # bytes of a beat
REANNOUNCE_SECONDS = 2.0  # seconds between editions of the same word to another source


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
_pack = msgspec.msgpack.Encoder().encode


class Announcer(Protocol):
    """The process, as far as it is needed here."""

    loop: asyncio.AbstractEventLoop
    ip: str
    settings: Settings
    store: Store
    leaving: bool

    def edition(self, kind: str, name: str) -> int:
        """A new edition of what it says."""

    def report(self) -> None:
        """What it says of itself has changed."""


class BackendRegistration:
    """The present life of this machine's backend, and the soft entry that tells of it. `rate`: bytes a second."""

    def __init__(self, process: Announcer, gate: Gate, backends: Mapping[str, BackendStatus], rate: float) -> None:
        """`backends`: what the mesh knows of each machine's, by IP number."""
        self._process, self._gate, self._backends, self._rate = process, gate, backends, rate
        self.said: Entry | None = None
        self._again_at = 0.0
        self._looked_at = float("inf")  # until it has looked once
        self._lives = BackendIncarnations(process.settings.depot.heartbeat_ms / 1000.0)

    def heartbeat(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """A beat, with the backend's id in `found`; raises MeshError for what is none."""
        try:
            heartbeat = _heartbeat_decoder.decode(request.body[:MAX_HEARTBEAT_BYTES])
            read_address(heartbeat.address)
        except (msgspec.MsgspecError, ValueError) as fault:
            raise MeshError(ErrorKind.BAD_REQUEST, str(fault)) from None
        now, local = self._process.loop.time(), self._gate.local
        silent = local is not None and local.state in ("gone", "silent")
        if local is not None and local.id != found[0] and heartbeat.state != "accepting" and heartbeat.sequence > 0:
            reply(caller)  # a life that ends can take nobody's place
            return
        if not self._lives.is_present(now, found[0], heartbeat.sequence, silent):
            events.info("late-heartbeat", id=found[0], sequence=heartbeat.sequence, state=heartbeat.state)
            reply(caller)
            return
        if local is None or local.id != found[0]:
            local = LocalBackend(found[0], heartbeat.service, heartbeat.address, now)
            if heartbeat.state != "accepting":
                # Guards its drain: it may have said so long ago, to a process that was here before this one.
                local.closing_at = float("-inf")
            self._gate.local = local
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
            self.publish()
        reply(caller)

    def sign_off(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """The backend's last word."""
        self._lives.signed_off(found[0])
        local = self._gate.local
        if local is not None and local.id == found[0]:
            local.state = "gone"
            local.closing_at = min(local.closing_at, self._process.loop.time())
            events.info("sign-off", id=local.id)
            self.publish()
        reply(caller)

    def down(self, local: LocalBackend) -> None:
        """It takes no connections."""
        events.info("backend-down", id=local.id)
        self.publish()

    def publish(self) -> None:
        """Tell the mesh how this machine's backend is, where that has changed."""
        local = self._gate.local
        if local is None:
            return
        now = self._process.loop.time()
        gone = local.state in ("gone", "silent") or local.down or self._process.leaving
        backend_status = BackendStatus(
            local.id,
            local.service,
            self._process.settings.own.zone,
            "gone" if gone else local.state,
            local.berths,
            round(max(0.0, local.warm_at - now), 1),
            self._rate,
        )
        said = self._backends.get(self._process.ip)
        if (
            said is not None
            and self.said is not None
            and self.said.value is not None
            and (
                (said.id, said.service, said.state, said.berths)
                == (backend_status.id, backend_status.service, backend_status.state, backend_status.berths)
            )
        ):
            return
        self._say(self._process.edition("backend", self._process.ip), _pack(backend_status))
        self._process.report()

    def _say(self, edition: int, value: bytes | None) -> None:
        self.said = Entry("backend", self._process.ip, edition, value)
        self._process.store.merge([self.said])

    def own_entries(self, again: bool) -> list[Entry]:
        """What is said of it; `again`: to another, under a new edition."""
        now = self._process.loop.time()
        # Guards news against a fleet that seeks sources all the time while the core is unsettled: by the same edition
        # it is no news. The former source may drop it when the lease ends there, and is then told otherwise.
        if self.said is not None and again and now >= self._again_at:
            self._again_at = now + REANNOUNCE_SECONDS
            self._say(self._process.edition("backend", self._process.ip), self.said.value)
        return [] if self.said is None else [self.said]

    def overtaken(self, entry: Entry) -> bool:
        """Whether another word on this machine's backend came from elsewhere; its own one follows."""
        if self.said is None or entry.edition <= self.said.edition:
            return False
        self.said = Entry("backend", self._process.ip, entry.edition + 1, self.said.value)
        self._process.loop.call_soon(self._say_again)
        return True

    def _say_again(self) -> None:
        if self.said is not None:
            self._process.store.merge([self.said])
            self._process.report()

    def look(self, now: float) -> None:
        """Notice a backend that says nothing."""
        local = self._gate.local
        away, self._looked_at = now - self._looked_at, now
        if local is not None and local.state not in ("gone", "silent"):
            if (
                away > PAUSE_THRESHOLD_SECONDS
            ):  # Guards against a verdict after a freeze of its own: the beats wait unread.
                local.heard += away
            due = MAX_MISSED_HEARTBEATS * self._process.settings.depot.heartbeat_ms / 1000.0 + 1.0
            if now - local.heard > due:
                local.state = "silent"
                events.info("backend-silent", id=local.id)
                self.publish()
