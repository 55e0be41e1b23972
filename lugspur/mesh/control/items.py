"""Configuration items of operators: decoding an API call, checking it against the items in force, encoding items."""

from __future__ import annotations

import re
from collections.abc import Iterable
from functools import lru_cache
from typing import Any, Protocol

import msgspec

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import EntryKey, supersedes

ROUTES, SERVICES, LIMITS = "routes", "services", "limits"
BACKEND, CONTROL, MEMBERSHIP = "backend", "control", "membership"
LEASED_KINDS = frozenset({BACKEND, CONTROL})  # kinds of entries that processes announce about themselves under a lease
RESERVED_KINDS = LEASED_KINDS | {MEMBERSHIP}  # kinds that the mesh itself manages: operators may not change them
MAX_DEADLINE_MS = 600_000.0  # the limit that the operators' API sets
MAX_ITEMS_PER_CALL = 20_000  # an operator's first call contains a few thousand items at most
MAX_KIND_BYTES, MAX_NAME_BYTES = 64, 432  # with their separators, both fit into `register.MAX_KEY_BYTES`
# Bounds for the item `limits`: a value outside of them is a mistake, and no process could apply it.
MAX_HEAD_BYTES = 16 << 20  # upper bound of `label_bytes`
MAX_BODY_BYTES = 4 << 30  # upper bound of `payload_bytes`
MIN_WAIT_MS, MAX_WAIT_MS = 0.001, 86_400_000.0  # bounds of `label_wait_ms` and `idle_ms`
MAX_CACHED_ROUTES = 4_096  # size of the cache of decoded routes: each change is checked against all routes
MAIL_CLASSES = ("safe", "unsafe", "upload", "tracked")
EDITION_PATTERN = re.compile(r"[0-9a-fA-F]{8}")


class Share(msgspec.Struct):
    """The share of a route's requests that goes to one service."""

    service: str
    share: float


class Route(msgspec.Struct):
    """A route as operators send it. `office` is its host; times are in milliseconds."""

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

    def service_names(self) -> list[str]:
        """Return the names of the services that requests on this route may be sent to."""
        return [part.service for part in self.split] if self.split else [self.service] if self.service else []


class Service(msgspec.Struct):
    """A service as operators send it."""

    name: str
    edition: str
    checkup_path: str = "/"
    max_connections: int = 0
    dedupes: bool = False


class RequestLimits(msgspec.Struct):
    """The item `limits`: how much a client may send, in bytes, and how long it may take, in milliseconds.

    The fields that start with `label` are for the head of a request, `payload_bytes` is for its body.
    """

    edition: str = "00000000"
    label_bytes: int = 16384
    payload_bytes: int = 64 << 20
    label_wait_ms: float = 3000.0
    idle_ms: float = 15000.0


class _NameAndEdition(msgspec.Struct):
    name: str
    edition: str


class _OperatorCall(msgspec.Struct):
    upsert: dict[str, msgspec.Raw] = {}
    withdraw: dict[str, list[_NameAndEdition]] = {}


_call_decoder = msgspec.json.Decoder(_OperatorCall)
_list_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_name_decoder = msgspec.json.Decoder(_NameAndEdition)
_route_decoder = msgspec.json.Decoder(Route)
_service_decoder = msgspec.json.Decoder(Service)
_limits_decoder = msgspec.json.Decoder(RequestLimits)


def _read_edition(edition: str) -> int:
    if not EDITION_PATTERN.fullmatch(edition):
        raise MeshError(ErrorKind.BAD_CONFIG, f"edition {edition!r} is not eight hexadecimal digits")
    return int(edition, 16)


@lru_cache(MAX_CACHED_ROUTES)
def read_route(value: bytes) -> Route:
    """Decode the route of an entry. The result is cached and must not be modified."""
    return _route_decoder.decode(value)


def read_service(value: bytes) -> Service:
    """Decode the service of an entry."""
    return _service_decoder.decode(value)


def read_limits(value: bytes) -> RequestLimits:
    """Decode the limits of an entry."""
    return _limits_decoder.decode(value)


def read_changes(body: bytes) -> list[Entry]:
    """Decode the entries of an operator's API call and check each on its own; raises MeshError (BAD_CONFIG)."""
    try:
        msgspec.json.decode(body)  # guards against invalid bytes in a `Raw` field, which msgspec does not check
        call = _call_decoder.decode(body)
        entries = [entry for kind, raw in call.upsert.items() for entry in _read_upsert(kind, raw)]
        for kind, withdrawals in call.withdraw.items():
            _check_kind(kind)
            entries += [Entry(kind, _check_name(w.name), _read_edition(w.edition), None) for w in withdrawals]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MeshError(ErrorKind.BAD_CONFIG, str(error)) from None
    if len(entries) > MAX_ITEMS_PER_CALL:
        raise MeshError(ErrorKind.BAD_CONFIG, f"more than {MAX_ITEMS_PER_CALL} items in one call")
    seen: dict[tuple[str, str], Entry] = {}
    for entry in entries:
        previous = seen.get((entry.kind, entry.name))
        if previous is not None and previous.edition == entry.edition and previous.value != entry.value:
            raise MeshError(ErrorKind.BAD_CONFIG, f"{entry.kind} {entry.name!r} comes twice under one edition")
        if supersedes(entry, previous):
            seen[(entry.kind, entry.name)] = entry
    return list(seen.values())


def _check_kind(kind: str) -> None:
    # Guards against rows that no disk can store: a kind and a name form the key of a row, whose size lmdb limits (see
    # `register.MAX_KEY_BYTES`).
    if kind in RESERVED_KINDS or not kind.isascii() or not kind.isidentifier() or len(kind) > MAX_KIND_BYTES:
        raise MeshError(ErrorKind.BAD_CONFIG, f"no items of kind {kind!r}")


def _check_name(name: str) -> str:
    if not name or len(name.encode()) > MAX_NAME_BYTES:
        raise MeshError(ErrorKind.BAD_CONFIG, "a name is empty or too long")
    return name


def _read_upsert(kind: str, raw: msgspec.Raw) -> list[Entry]:
    _check_kind(kind)
    if kind == LIMITS:
        limits = _limits_decoder.decode(raw)
        _check_limits(limits)
        return [Entry(LIMITS, "", _read_edition(limits.edition), bytes(raw))]
    entries = []
    for item in _list_decoder.decode(raw):
        identity = _name_decoder.decode(item)
        if kind == ROUTES:
            _check_route(_route_decoder.decode(item))
        elif kind == SERVICES:
            _service_decoder.decode(item)
        entries.append(Entry(kind, _check_name(identity.name), _read_edition(identity.edition), bytes(item)))
    return entries


def _check_limits(limits: RequestLimits) -> None:
    """Raise MeshError for invalid limits. A negative limit, for example, would make proxies reject every request."""
    allowed_ranges = {
        "label_bytes": (1.0, MAX_HEAD_BYTES),
        "payload_bytes": (0.0, MAX_BODY_BYTES),
        "label_wait_ms": (MIN_WAIT_MS, MAX_WAIT_MS),
        "idle_ms": (MIN_WAIT_MS, MAX_WAIT_MS),
    }
    for name, (minimum, maximum) in allowed_ranges.items():
        value = getattr(limits, name)
        if not minimum <= value <= maximum:
            raise MeshError(ErrorKind.BAD_CONFIG, f"limits: {name} {value:g} is not from {minimum:g} to {maximum:.0f}")


def _check_route(route: Route) -> None:
    """Raise MeshError for a route that is invalid independently of other items."""
    name = route.name
    if not 0.0 < route.deadline_ms <= MAX_DEADLINE_MS:
        raise MeshError(
            ErrorKind.BAD_CONFIG, f"route {name!r}: deadline_ms {route.deadline_ms:g} is not in (0, 600000]"
        )
    if not route.path_prefix.startswith("/"):
        raise MeshError(ErrorKind.BAD_CONFIG, f"route {name!r}: path_prefix does not begin with a slash")
    if route.mail_class not in MAIL_CLASSES:
        raise MeshError(ErrorKind.BAD_CONFIG, f"route {name!r}: mail_class {route.mail_class!r} is unknown")
    if not route.service_names() or (route.split and route.service):
        raise MeshError(ErrorKind.BAD_CONFIG, f"route {name!r} needs a service or a split")
    shares = [part.share for part in route.split or ()]
    # Guards the requests on the route: a random choice by shares needs a positive and finite sum.
    if shares and (min(shares) < 0.0 or not 0.0 < sum(shares) < float("inf")):
        raise MeshError(ErrorKind.BAD_CONFIG, f"route {name!r}: the shares of its split say nothing")
    if not route.office or route.tries < 1:
        raise MeshError(ErrorKind.BAD_CONFIG, f"route {name!r}: office is empty or tries is under 1")


class EntryView(Protocol):
    """Read access to entries by kind and name."""

    def get(self, kind: str, name: str) -> Entry | None:
        """Return the entry of a name, which may be a withdrawal."""

    def values_of(self, kind: str) -> dict[str, bytes]:
        """Return the values of a kind by name, without withdrawn ones."""


class EntryOverlay:
    """A view with further entries put over a base view, as it will be once these are in force."""

    def __init__(self, base: EntryView) -> None:
        self._base = base
        self.entries: dict[EntryKey, Entry] = {}

    def add(self, entries: Iterable[Entry]) -> None:
        """Put entries over the base view."""
        for entry in entries:
            self.entries[entry.kind, entry.name] = entry

    def get(self, kind: str, name: str) -> Entry | None:
        """Return the entry of a name, which may be a withdrawal."""
        return self.entries.get((kind, name)) or self._base.get(kind, name)

    def values_of(self, kind: str) -> dict[str, bytes]:
        """Return the values of a kind by name, without withdrawn ones."""
        values = dict(self._base.values_of(kind))
        for (entry_kind, name), entry in self.entries.items():
            if entry_kind != kind:
                continue
            if entry.value is None:
                values.pop(name, None)
            else:
                values[name] = entry.value
        return values


def check_changes(entries: list[Entry], view: EntryView) -> list[Entry]:
    """Return the entries that take effect; raises MeshError where they conflict with the items in force.

    Only entries that take effect are checked: a repeated old change has no effect and is not an error. CONFLICT: a name
    has different content under the same edition. BAD_CONFIG: routes and services are inconsistent.
    """
    effective = []
    for entry in entries:
        current = view.get(entry.kind, entry.name)
        if current is not None and current.edition == entry.edition and current.value != entry.value:
            raise MeshError(ErrorKind.CONFLICT, f"{entry.kind} {entry.name!r} has another content under that edition")
        if supersedes(entry, current):
            effective.append(entry)
    if effective:
        _check_routes_and_services(effective, view)
    return effective


def _check_routes_and_services(effective: list[Entry], view: EntryView) -> None:
    """Check that routes and services are consistent once these entries are in force."""
    overlay = EntryOverlay(view)
    overlay.add(effective)
    services = overlay.values_of(SERVICES)
    routes = {name: read_route(value) for name, value in overlay.values_of(ROUTES).items()}
    changed = {name for kind, name in overlay.entries if kind == ROUTES}
    withdrawn = {name for (kind, name), entry in overlay.entries.items() if kind == SERVICES and entry.value is None}
    by_prefix: dict[tuple[str, str], list[str]] = {}
    for name, route in routes.items():
        by_prefix.setdefault((route.office.lower(), route.path_prefix), []).append(name)
    for name, route in routes.items():
        for service in route.service_names():
            if service not in services and (name in changed or service in withdrawn):
                raise MeshError(ErrorKind.BAD_CONFIG, f"route {name!r} names the unknown service {service!r}")
        others = [other for other in by_prefix[route.office.lower(), route.path_prefix] if other != name]
        if name in changed and others:
            raise MeshError(ErrorKind.BAD_CONFIG, f"routes {name!r} and {others[0]!r} share host and prefix")


def encode_items(entries: Iterable[Entry]) -> bytes:
    """Encode all items in force as JSON, each as the operators sent it."""
    kinds: dict[str, Any] = {ROUTES: [], SERVICES: []}
    for entry in entries:
        if entry.kind in RESERVED_KINDS or entry.value is None:
            continue
        if entry.kind == LIMITS:
            kinds[LIMITS] = msgspec.Raw(entry.value)
        else:
            kinds.setdefault(entry.kind, []).append(msgspec.Raw(entry.value))
    return msgspec.json.encode(kinds)
