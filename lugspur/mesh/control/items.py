"""The operator's items: read from a call, checked against what stands, given back as they were sent."""

from __future__ import annotations

import re
from collections.abc import Iterable
from functools import lru_cache
from typing import Any, Protocol

import msgspec

from lugspur.mesh.control.errors import Kind, MeshError
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import EntryKey, supersedes

ROUTES, SERVICES, LIMITS = "routes", "services", "limits"
BACKEND, CONTROL, MEMBERSHIP = "backend", "control", "membership"
LEASED = frozenset({BACKEND, CONTROL})  # kinds that processes say of themselves, by lease
RESERVED = LEASED | {MEMBERSHIP}  # kinds of the mesh's own: no call of the operator may name them
DEADLINE_MOST = 600_000.0  # ms, by the protocol
ITEMS_MOST = 20_000  # in one call: what operators send at first is some thousands at the most
KIND_MOST, NAME_MOST = 64, 432  # bytes of a kind and of a name: with what stands between them under KEY_MOST
# Of the item `limits`: what is beyond these is a slip, and no process could carry it out.
LABEL_MOST = 16 << 20  # bytes of a request's head
PAYLOAD_MOST = 4 << 30  # bytes of a body
WAIT_LEAST, WAIT_MOST = 0.001, 86_400_000.0  # ms
ROUTES_READ = 4_096  # routes that are kept as read: each change is checked against all routes
CLASSES = ("safe", "unsafe", "upload", "tracked")
EDITION = re.compile(r"[0-9a-fA-F]{8}")


class Share(msgspec.Struct):
    """A part of a route's requests."""

    service: str
    share: float


class Route(msgspec.Struct):
    """A route as operators send it; times in milliseconds."""

    name: str
    office: str
    path_prefix: str
    mail_class: str
    deadline_ms: float
    edition: str
    target_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[Share] | None = None
    tries: int = 1

    def services(self) -> list[str]:
        """The services that it may go to."""
        return [part.service for part in self.split] if self.split else [self.service] if self.service else []


class Service(msgspec.Struct):
    """A service as operators send it."""

    name: str
    edition: str
    checkup_path: str = "/"
    max_connections: int = 0
    dedupes: bool = False


class Bounds(msgspec.Struct):
    """The item `limits`: what a client may send, in bytes, and how long it may take, in milliseconds."""

    edition: str = "00000000"
    label_bytes: int = 16384
    payload_bytes: int = 64 << 20
    label_wait_ms: float = 3000.0
    idle_ms: float = 15000.0


class _Named(msgspec.Struct):
    name: str
    edition: str


class _Edition(msgspec.Struct):
    edition: str


class _Call(msgspec.Struct):
    upsert: dict[str, msgspec.Raw] = {}
    withdraw: dict[str, list[_Named]] = {}


_call = msgspec.json.Decoder(_Call)
_list = msgspec.json.Decoder(list[msgspec.Raw])
_named = msgspec.json.Decoder(_Named)
_edition = msgspec.json.Decoder(_Edition)
_route = msgspec.json.Decoder(Route)
_service = msgspec.json.Decoder(Service)
_bounds = msgspec.json.Decoder(Bounds)


def _number(edition: str) -> int:
    if not EDITION.fullmatch(edition):
        raise MeshError(Kind.BAD_CONFIG, f"edition {edition!r} is not eight hexadecimal digits")
    return int(edition, 16)


@lru_cache(ROUTES_READ)
def read_route(value: bytes) -> Route:
    """A route of an entry; not to be changed, since it is kept."""
    return _route.decode(value)


def read_service(value: bytes) -> Service:
    """A service of an entry."""
    return _service.decode(value)


def read_bounds(value: bytes) -> Bounds:
    """The limits of their entry."""
    return _bounds.decode(value)


def read_call(body: bytes) -> list[Entry]:
    """The entries of a call, each checked by itself; raises MeshError (BAD_CONFIG)."""
    try:
        msgspec.json.decode(body)  # Guards against bytes that Raw would pass over
        call = _call.decode(body)
        entries = [entry for kind, raw in call.upsert.items() for entry in _upsert(kind, raw)]
        for kind, dropped in call.withdraw.items():
            _kind(kind)
            entries += [Entry(kind, _name(d.name), _number(d.edition), None) for d in dropped]
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise MeshError(Kind.BAD_CONFIG, str(fault)) from None
    if len(entries) > ITEMS_MOST:
        raise MeshError(Kind.BAD_CONFIG, f"more than {ITEMS_MOST} items in one call")
    seen: dict[tuple[str, str], Entry] = {}
    for entry in entries:
        before = seen.get((entry.kind, entry.name))
        if before is not None and before.edition == entry.edition and before.value != entry.value:
            raise MeshError(Kind.BAD_CONFIG, f"{entry.kind} {entry.name!r} comes twice under one edition")
        if supersedes(entry, before):
            seen[(entry.kind, entry.name)] = entry
    return list(seen.values())


def _kind(kind: str) -> None:
    # Guards the disks: a kind and a name make a row's key, which lmdb bounds in bytes (see `register.KEY_MOST`).
    if kind in RESERVED or not kind.isascii() or not kind.isidentifier() or len(kind) > KIND_MOST:
        raise MeshError(Kind.BAD_CONFIG, f"no items of kind {kind!r}")


def _name(name: str) -> str:
    if not name or len(name.encode()) > NAME_MOST:
        raise MeshError(Kind.BAD_CONFIG, "a name is empty or too long")
    return name


def _upsert(kind: str, raw: msgspec.Raw) -> list[Entry]:
    _kind(kind)
    if kind == LIMITS:
        bounds = _bounds.decode(raw)
        _check_bounds(bounds)
        return [Entry(LIMITS, "", _number(bounds.edition), bytes(raw))]
    entries = []
    for item in _list.decode(raw):
        named = _named.decode(item)
        if kind == ROUTES:
            _check_route(_route.decode(item))
        elif kind == SERVICES:
            _service.decode(item)
        entries.append(Entry(kind, _name(named.name), _number(named.edition), bytes(item)))
    return entries


def _check_bounds(bounds: Bounds) -> None:
    """What makes the limits invalid. Guards all requests: by a negative number each one would be rejected."""
    allowed = {
        "label_bytes": (1.0, LABEL_MOST),
        "payload_bytes": (0.0, PAYLOAD_MOST),
        "label_wait_ms": (WAIT_LEAST, WAIT_MOST),
        "idle_ms": (WAIT_LEAST, WAIT_MOST),
    }
    for name, (least, most) in allowed.items():
        value = getattr(bounds, name)
        if not least <= value <= most:
            raise MeshError(Kind.BAD_CONFIG, f"limits: {name} {value:g} is not from {least:g} to {most:.0f}")


def _check_route(route: Route) -> None:
    """What makes a route invalid by itself."""
    name = route.name
    if not 0.0 < route.deadline_ms <= DEADLINE_MOST:
        raise MeshError(Kind.BAD_CONFIG, f"route {name!r}: deadline_ms {route.deadline_ms:g} is not in (0, 600000]")
    if not route.path_prefix.startswith("/"):
        raise MeshError(Kind.BAD_CONFIG, f"route {name!r}: path_prefix does not begin with a slash")
    if route.mail_class not in CLASSES:
        raise MeshError(Kind.BAD_CONFIG, f"route {name!r}: mail_class {route.mail_class!r} is unknown")
    if not route.services() or (route.split and route.service):
        raise MeshError(Kind.BAD_CONFIG, f"route {name!r} needs a service or a split")
    shares = [part.share for part in route.split or ()]
    # Guards each request on the route: no draw can be made by shares whose sum is no finite number.
    if shares and (min(shares) < 0.0 or not 0.0 < sum(shares) < float("inf")):
        raise MeshError(Kind.BAD_CONFIG, f"route {name!r}: the shares of its split say nothing")
    if not route.office or route.tries < 1:
        raise MeshError(Kind.BAD_CONFIG, f"route {name!r}: office is empty or tries is under 1")


class View(Protocol):
    """Entries by kind and name."""

    def get(self, kind: str, name: str) -> Entry | None:
        """What is known of a name, withdrawn ones too."""

    def values_of(self, kind: str) -> dict[str, bytes]:
        """The values of a kind, by name, of those that are not withdrawn."""


class Draft:
    """Another view with entries that are to take their places in it."""

    def __init__(self, base: View) -> None:
        self._base = base
        self.taking: dict[EntryKey, Entry] = {}

    def add(self, entries: Iterable[Entry]) -> None:
        """Let entries take their places."""
        for entry in entries:
            self.taking[entry.kind, entry.name] = entry

    def get(self, kind: str, name: str) -> Entry | None:
        """What is known of a name, withdrawn ones too."""
        return self.taking.get((kind, name)) or self._base.get(kind, name)

    def values_of(self, kind: str) -> dict[str, bytes]:
        """The values of a kind, by name, of those that are not withdrawn."""
        found = dict(self._base.values_of(kind))
        for (of, name), entry in self.taking.items():
            if of != kind:
                continue
            if entry.value is None:
                found.pop(name, None)
            else:
                found[name] = entry.value
        return found


def check(entries: list[Entry], view: View) -> list[Entry]:
    """The entries that take effect; raises MeshError where they may not stand beside the rest.

    Only what takes effect is held against the rest: an old change that arrives again changes nothing.
    """
    taking = []
    for entry in entries:
        standing = view.get(entry.kind, entry.name)
        if standing is not None and standing.edition == entry.edition and standing.value != entry.value:
            raise MeshError(Kind.CONFLICT, f"{entry.kind} {entry.name!r} has another content under that edition")
        if supersedes(entry, standing):
            taking.append(entry)
    if taking:
        _check_together(taking, view)
    return taking


def _check_together(taking: list[Entry], view: View) -> None:
    """Whether routes and services fit together once these entries have taken their places."""
    draft = Draft(view)
    draft.add(taking)
    services = draft.values_of(SERVICES)
    routes = {name: read_route(value) for name, value in draft.values_of(ROUTES).items()}
    touched = {name for kind, name in draft.taking if kind == ROUTES}
    gone = {name for (kind, name), entry in draft.taking.items() if kind == SERVICES and entry.value is None}
    places: dict[tuple[str, str], list[str]] = {}
    for name, route in routes.items():
        places.setdefault((route.office.lower(), route.path_prefix), []).append(name)
    for name, route in routes.items():
        for service in route.services():
            if service not in services and (name in touched or service in gone):
                raise MeshError(Kind.BAD_CONFIG, f"route {name!r} names the unknown service {service!r}")
        others = [other for other in places[route.office.lower(), route.path_prefix] if other != name]
        if name in touched and others:
            raise MeshError(Kind.BAD_CONFIG, f"routes {name!r} and {others[0]!r} share host and prefix")


def read_back(entries: Iterable[Entry]) -> bytes:
    """All items that stand, as they were sent."""
    kinds: dict[str, Any] = {ROUTES: [], SERVICES: []}
    for entry in entries:
        if entry.kind in RESERVED or entry.value is None:
            continue
        if entry.kind == LIMITS:
            kinds[LIMITS] = msgspec.Raw(entry.value)
        else:
            kinds.setdefault(entry.kind, []).append(msgspec.Raw(entry.value))
    return msgspec.json.encode(kinds)
