"""From the file's tables to what runs: what hangs together is checked, routes are compiled."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from typing import Any

from lugspur.config import model
from lugspur.config.schema import Place
from lugspur.config.units import MARK, Wrong, nearest, shown, text
from lugspur.load_balancing.model import Limits, RequestClass, RetrySafety, Rules, Settings, Tenant
from lugspur.routing.conflicts import find_conflicts
from lugspur.routing.model import (
    HOST_PATTERN,
    CoalescingPolicy,
    Condition,
    DirectResponse,
    Forward,
    HeaderChanges,
    MatchType,
    Pattern,
    PatternError,
    Redirect,
    Route,
    ValueSource,
    parse_pattern,
    parse_template,
)
from lugspur.routing.table import RouteTable

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "PATCH", "DELETE", "POST")
TOKEN = re.compile(r"[!#$%&'*+.^`|~0-9A-Za-z-]+")  # RFC 9110 5.6.2, but for `_`, which the request parser drops
OURS = frozenset(  # header lines that are set here or belong to one connection (RFC 9110 7.6.1)
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
        "x-timeout",
        "via",
        "x-forwarded-for",
        "x-forwarded-proto",
    }
)
PLAIN = "(no class)"  # the class of routes that name none...
NOBODY = "(no tenant)"  # ...and the tenant of those that tell none apart
POOL = re.compile(r".{1,64}")  # what goes along in datagrams
NUMERIC = re.compile(r"[0-9a-fA-F:.]+")  # an address that needs no look-up
EVERYWHERE = ("0.0.0.0", "::")
ORIGINS = ("members", "file", "watch", "registry")
FORWARD_ONLY = ("fallback", "kind", "deadline", "tenant", "key", "rewrite", "request", "response", "join")
NEVER_IGNORED = frozenset(  # by which answers differ, whatever the file says
    {"authorization", "cookie", "proxy-authorization", "host", "range", "content-type", "content-encoding"}
)
KEYS = {"kind": "class"}
NO_H2 = 'HTTP/2 needs a library that is not installed; run pip install "lugspur[grpc]"'
CONFLICTS_MOST = 100  # named in one run of the check


@dataclass(slots=True)
class Plan:
    """What a file asks for, whole and checked."""

    file: model.File
    table: RouteTable
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    kinds: dict[str, int]  # classes by name, as places in `classes`

    def settings(self, pool: model.Pool) -> Settings:
        """What the decision module of one pool is told."""
        daemon, cold, retries = self.file.daemon, pool.cold, pool.retries
        return Settings(
            classes=self.classes,
            tenants=self.tenants,
            instance_count=daemon.instances,
            instance_index=daemon.instance,
            limits=Limits(allows_cancel=True, max_attempts=pool.attempts),
            rules=Rules(
                drain_grace=0.5,
                slow_start_fraction=cold.part,
                slow_start_seconds=cold.warm_after,
                overload_multiple=cold.multiple,
                overload_seconds=cold.over,
                retry_budget_minimum=retries.free,
                retry_budget_ratio=retries.part,
                retry_budget_window=retries.span,
            ),
        )


def build(file: model.File, raw: Mapping[str, Any], place: Place) -> Plan:
    """Check what hangs together; faults are noted, and the plan is of use only if there are none.

    `raw` has the names of all tables, also of those that could not be read: to name one is no second fault.
    """
    classes = [RequestClass(name=PLAIN, late_value=1.0)]
    for name, row in file.classes.items():
        _check_class(row, place.at("classes", name))
        classes.append(
            RequestClass(name, row.aim, row.deadline, row.repeat, row.group, row.window, row.worth, row.late_worth)
        )
    tenants = [Tenant(NOBODY), *(Tenant(name, quota=row.quota) for name, row in file.tenants.items())]
    if not raw.get("listeners"):
        place.wrong('there is no listener; write [listeners.NAME] with address = "127.0.0.1:8080"')
    if file.daemon.instance >= file.daemon.instances:
        place.at("daemon", "instance").wrong(
            f"{file.daemon.instance} is not below instances = {file.daemon.instances}; count from 0"
        )
    _check_fleet(file.fleet, place.at("fleet"))
    registries = _named(raw, "registries")
    _check_listeners(file, registries, place.at("listeners"))
    _check_http2(file, place)
    for name, pool in file.pools.items():
        _check_pool(pool, registries, place.at("pools", name))
        if pool.check is not None:
            if not file.fleet.electors:
                place.at("pools", name, "check").wrong(
                    "nobody can hold that duty; write [fleet] with electors, or leave it out"
                )
            if not POOL.fullmatch(name):
                place.at("pools", name).wrong(f"a checked pool has a name of 1 to 64 characters, not {len(name)}")
    routes = _Routes(file, raw, place.at("routes"))
    table = RouteTable(routes.read())
    for found, (one, two) in enumerate(find_conflicts(table.routes)):
        if found >= CONFLICTS_MOST:
            break
        place.at("routes", two.name).wrong(
            f'route "{two.name}" and route "{one.name}" take the same requests with equal precedence; '
            "tell them apart by a condition, or give one a priority"
        )
    return Plan(
        file,
        table,
        tuple(classes),
        tuple(tenants),
        {row.name: at for at, row in enumerate(classes)},
    )


def _check_fleet(row: model.Fleet, place: Place) -> None:
    if not row.name:
        if row != model.Fleet():
            place.wrong('a fleet needs a name; write name = "edge"')
        return
    if find_spec("msgspec") is None:
        place.wrong('a fleet needs a library that is not installed; run pip install "lugspur[fleet]"')
    if not row.member:
        place.wrong('this member needs a name of its own; write member = "edge-1"')
    if row.bind is None:
        place.wrong('it takes datagrams nowhere; write address = "127.0.0.1:7946"')
    elif row.advertise is None and (row.bind[0] in EVERYWHERE or not row.bind[1]):
        place.wrong(f"nobody can reach {row.bind[0]}:{row.bind[1]}; write advertise, where others reach it")
    for key, given in (("address", row.bind), ("advertise", row.advertise)):
        if given is not None and not NUMERIC.fullmatch(given[0]):
            place.at(key).wrong(f"{shown(given[0])} is no numeric address; datagrams look no names up")
    for at, seed in enumerate(row.seeds):
        if not NUMERIC.fullmatch(seed[0]):
            place.at("seeds", at).wrong(f"{shown(seed[0])} is no numeric address; datagrams look no names up")
    if len(row.electors) not in (0, 3, 5):
        place.at("electors").wrong(f"{len(row.electors)} are no electorate; write 3 or 5 members' names")
    for at, name in enumerate(row.electors):
        if not MARK.fullmatch(name):
            place.at("electors", at).wrong(f"{shown(name)} is no member's name")
    if row.duties and not row.electors:
        place.at("duties").wrong("nobody promises them; write electors, 3 or 5 members' names")
    for at, duty in enumerate(row.duties):
        if not MARK.fullmatch(duty):
            place.at("duties", at).wrong(f'{shown(duty)} is no duty\'s name; write one such as "nightly-report"')


def warnings(file: model.File) -> list[str]:
    """What is no fault, and yet promises less than it may seem to."""
    fleet = file.fleet
    if fleet.member in fleet.electors and not fleet.folder:
        return [
            f'fleet: elector "{fleet.member}" has no folder: when most electors restart at once, epochs go back if '
            'their wall clocks do, and nothing is promised for a lease\'s time; write folder = "..."'
        ]
    return []


def _check_class(row: model.Class, place: Place) -> None:
    if row.aim > row.deadline:
        place.at("aim").wrong(f"the aim of {row.aim:g}s is after the deadline of {row.deadline:g}s; make it sooner")
    if row.repeat is RetrySafety.KEYED and not row.window:
        place.at("repeat").wrong('a keyed class needs a window, as in window = "30s": how long keys are remembered')
    if row.repeat is not RetrySafety.KEYED and row.window:
        place.at("window").wrong('a window belongs to repeat = "keyed" alone; leave it out')


def _check_listeners(file: model.File, registries: Mapping[str, object], place: Place) -> None:
    seen: dict[Any, str] = {}
    for name, row in file.listeners.items():
        if row.register is not None:
            _check_register(row, row.register, registries, place.at(name, "register"))
        other = seen.setdefault(row.address, name)
        if other != name and row.address[1]:
            place.at(name, "address").wrong(f'listener "{other}" has this address already; take another port')


def _check_http2(file: model.File, place: Place) -> None:
    """Guards the start: without the library the first caller would find out."""
    if find_spec("h2") is not None:
        return
    for name, row in file.listeners.items():
        if row.http2:
            place.at("listeners", name, "http2").wrong(NO_H2)
    for name, pool in file.pools.items():
        if pool.protocol == "grpc" or any(member.protocol == "grpc" for member in pool.members):
            place.at("pools", name).wrong(NO_H2)


def _check_register(
    row: model.Listener, register: model.Register, registries: Mapping[str, object], place: Place
) -> None:
    _known(register.registry, registries, "registry", place.at("registry"))
    if register.address is None and row.address[0] in EVERYWHERE:
        place.wrong(f'nobody can call {row.address[0]}; write address = "HOST:PORT", where callers reach the listener')


def _check_pool(pool: model.Pool, registries: Mapping[str, object], place: Place) -> None:
    given = [name for name in ORIGINS if getattr(pool, name)]
    if len(given) != 1 and given != ["members", "registry"]:
        said = f"{' and '.join(given)} are both given" if given else "no backends are given"
        place.wrong(
            f'{said}; write exactly one of members = [{{ address = "127.0.0.1:9001" }}], '
            f"{', '.join(ORIGINS[1:-1])} and {ORIGINS[-1]}"
        )
    if pool.registry is not None:
        _known(pool.registry.name, registries, "registry", place.at("registry", "name"))
    seen: set[str] = set()
    for at, member in enumerate(pool.members):
        name = member_name(member)
        if name in seen:
            place.at("members", at).wrong(f'there is a member "{name}" already; give this one a name of its own')
        seen.add(name)


def member_name(member: model.Member) -> str:
    """What a member of a fixed list is called."""
    return member.name or f"{member.address[0]}:{member.address[1]}"


class _Routes:
    """Reads the routes of one file."""

    def __init__(self, file: model.File, raw: Mapping[str, Any], place: Place) -> None:
        self._file, self._place = file, place
        self._pools: Mapping[str, object] = _named(raw, "pools")
        self._classes: Mapping[str, object] = _named(raw, "classes")

    def read(self) -> list[Route]:
        """All routes that make sense."""
        found = [self._route(name, row, self._place.at(name)) for name, row in self._file.routes.items()]
        return [route for route in found if route is not None]

    def _route(self, name: str, row: model.Route, place: Place) -> Route | None:
        before = len(place.faults)
        pattern = _tried(place.at("path"), lambda: parse_pattern(row.path))
        for at, host in enumerate(row.hosts):
            _check_host(host, place.at("hosts", at))
        for at, method in enumerate(row.methods):
            if method not in METHODS:
                place.at("methods", at).wrong(f"method {shown(method)} is not served{nearest(method.upper(), METHODS)}")
        headers = _conditions(row.headers, place.at("headers"), header=True)
        query = _conditions(row.query, place.at("query"), header=False)
        action = None if pattern is None else self._action(row, pattern, place)
        if pattern is None or action is None or len(place.faults) > before:
            return None
        hosts = row.hosts or ("*",)
        return Route(name, pattern, action, hosts, frozenset(row.methods), headers, query, row.priority)

    def _action(self, row: model.Route, pattern: Pattern, place: Place) -> Forward | DirectResponse | Redirect | None:
        given = [key for key in ("pool", "split", "reply", "redirect") if getattr(row, key)]
        if len(given) != 1:
            said = f"{' and '.join(given)} are both given" if given else "it leads nowhere"
            place.wrong(f"{said}; write exactly one of pool, split, reply and redirect")
            return None
        if row.reply is not None or row.redirect is not None:
            self._forward_only(row, given[0], place)
            return _reply(row.reply, place.at("reply")) if row.reply else _redirect(row, pattern, place.at("redirect"))
        return self._forward(row, pattern, place)

    def _forward_only(self, row: model.Route, given: str, place: Place) -> None:
        plain = model.Route(path=row.path)
        for name in FORWARD_ONLY:
            if getattr(row, name) != getattr(plain, name):
                key = KEYS.get(name, name)
                place.at(key).wrong(f'"{key}" has no meaning beside {given}; leave it out')

    def _forward(self, row: model.Route, pattern: Pattern, place: Place) -> Forward:
        splits = tuple(row.split.items()) or ((row.pool, 1.0),)
        for name, _ in splits:
            _known(name, self._pools, "pool", place.at(*(("split", name) if row.split else ("pool",))))
        for at, name in enumerate(row.fallback):
            _known(name, self._pools, "pool", place.at("fallback", at))
            if name in dict(splits):
                place.at("fallback", at).wrong(f'pool "{name}" is no fallback for itself; leave it out')
        if row.kind:
            _known(row.kind, self._classes, "class", place.at("class"))
        rewrite = None
        if row.rewrite:
            rewrite = _tried(place.at("rewrite"), lambda: parse_template(row.rewrite, pattern))
            if not row.rewrite.startswith("/") or set(row.rewrite) & set("?;"):
                place.at("rewrite").wrong(f'{shown(row.rewrite)} is no path; begin with "/", without a query')
        return Forward(
            splits,
            row.fallback,
            row.kind or PLAIN,
            row.deadline,
            _source(row.tenant, pattern, place.at("tenant")),
            _source(row.key, pattern, place.at("key")),
            rewrite,
            _changes(row.request, place.at("request")),
            _changes(row.response, place.at("response")),
            self._join(row, place.at("join")),
        )

    def _join(self, row: model.Route, place: Place) -> CoalescingPolicy | None:
        join = row.join
        if join is None:
            return None
        kind = self._file.classes.get(row.kind)
        if not row.kind:
            place.wrong(
                "a route without a class is not safe to repeat, and only reads are joined; "
                'give it a class with repeat = "safe"'
            )
        elif kind is not None and kind.repeat is not RetrySafety.SAFE:
            place.wrong(
                f'class "{row.kind}" is {kind.repeat.value}, and only what is safe to repeat is joined; '
                'leave "join" out'
            )
        ignored = set()
        for at, name in enumerate(join.ignore):
            if not TOKEN.fullmatch(name):
                place.at("ignore", at).wrong(f"{shown(name)} is no name of a header; write one such as User-Agent")
            elif name.lower() in NEVER_IGNORED:
                place.at("ignore", at).wrong(
                    f"answers differ by {shown(name)}, so reads that differ in it are never the same; leave it out"
                )
            ignored.add(name.lower().encode())
        if join.across_tenants:
            if row.tenant is None:
                place.at("across-tenants").wrong("this route tells no tenants apart; leave it out")
            elif row.tenant.header.lower() in NEVER_IGNORED:
                place.at("across-tenants").wrong(
                    f"tenants are told apart by {shown(row.tenant.header)}, and answers differ by that; leave it out"
                )
            elif row.tenant.header:
                ignored.add(row.tenant.header.lower().encode())
        ignored |= {name.lower().encode() for name in row.request.remove}  # backends never see them
        return CoalescingPolicy(join.within, frozenset(ignored), join.across_tenants)


def _known(name: str, among: Mapping[str, object], what: str, place: Place) -> None:
    if name not in among:
        place.wrong(f'{what} "{name}" is not in this file{nearest(name, among)}')


def _named(raw: Mapping[str, Any], section: str) -> Mapping[str, object]:
    found = raw.get(section)
    return found if isinstance(found, Mapping) else {}


def _tried(place: Place, read: Callable[[], Any]) -> Any:
    try:
        return read()
    except PatternError as fault:
        place.wrong(str(fault))
        return None


def _check_host(host: str, place: Place) -> None:
    if host != host.lower():
        place.wrong(f'host {shown(host)} is never seen so; write "{host.lower()}"')
    elif not host.isascii():
        place.wrong(f"host {shown(host)} is never seen so; write its ASCII form, which begins with xn--")
    elif re.search(r":\d+$", host) and "[" not in host:
        place.wrong(f'hosts are compared without ports; write "{host.rpartition(":")[0]}"')
    elif host.endswith(".") and host != ".":
        place.wrong(f'hosts are compared without a dot at the end; write "{host.rstrip(".")}"')
    elif not HOST_PATTERN.fullmatch(host):
        place.wrong(f'{shown(host)} is no host; write "a.example", "*.example" or "*"')


def _conditions(raw: Mapping[str, Any], place: Place, header: bool) -> tuple[Condition, ...]:
    found: dict[str, Condition] = {}
    if not isinstance(raw, Mapping):
        place.wrong(f'{shown(raw)} is no table; write {{ name = "value" }}')
        return ()
    for name, value in raw.items():
        here = place.at(name)
        if header and not TOKEN.fullmatch(name):
            here.wrong(f"{shown(name)} is no header's name; write letters, digits and dashes")
            continue
        key = name.lower() if header else name
        condition = _condition(key, value, here)
        if key in found:
            here.wrong(f"header {key} is asked for twice; names differ in more than case")
        elif condition is not None:
            found[key] = condition
    return tuple(found[key] for key in sorted(found))


def _condition(name: str, value: Any, place: Place) -> Condition | None:
    try:
        if not isinstance(value, Mapping):
            return Condition(name, MatchType.EXACT, text(value))
        if len(value) != 1 or not set(value) <= {"prefix", "present", "absent"}:
            raise Wrong(
                f'{shown(value)} is no condition; write "text", {{ prefix = "text" }}, {{ present = true }} '
                "or { absent = true }"
            )
        [(test, wanted)] = value.items()
        if test == "prefix":
            if not text(wanted):
                raise Wrong("an empty prefix asks nothing; write { present = true }")
            return Condition(name, MatchType.PREFIX, wanted)
        if wanted is not True:
            other = "absent" if test == "present" else "present"
            raise Wrong(f"{test} = {shown(wanted)}; write {{ {other} = true }} for the opposite")
        return Condition(name, MatchType(test))
    except Wrong as fault:
        place.wrong(str(fault))
        return None


def _source(row: model.Source | None, pattern: Pattern, place: Place) -> ValueSource | None:
    if row is None:
        return None
    given = [key for key in ("header", "path", "query", "value") if getattr(row, key)]
    if len(given) != 1:
        place.wrong('write exactly one of header, path, query and value, as in { header = "X-Tenant-Id" }')
    if row.path and row.path not in pattern.names:
        known = ", ".join(pattern.names) or "none"
        place.at("path").wrong(f'the path has no variable "{row.path}"; it has {known}')
    return ValueSource(row.header.lower(), row.path, row.query, row.value)


def _changes(row: model.Changes, place: Place) -> HeaderChanges:
    lines = _lines(row.set, place.at("set"))
    for at, name in enumerate(row.remove):
        _check_name(name, place.at("remove", at))
    removed = frozenset(name.lower() for name in row.remove)
    return HeaderChanges(removed | {name.lower() for name, _ in lines}, lines)


def _lines(raw: Any, place: Place) -> tuple[tuple[str, str], ...]:
    if not isinstance(raw, Mapping):
        place.wrong(f'{shown(raw)} is no table; write {{ "X-Name" = "value" }}')
        return ()
    lines: list[tuple[str, str]] = []
    for name, value in raw.items():
        here = place.at(name)
        _check_name(name, here)
        if not isinstance(value, str) or not value.isascii() or any(ord(c) < 32 or ord(c) == 127 for c in value):
            here.wrong(f"{shown(value)!s} is no header's value; write plain text in quotes")
        else:
            lines.append((name, value))
    return tuple(lines)


def _check_name(name: str, place: Place) -> None:
    if not TOKEN.fullmatch(name):
        place.wrong(f"{shown(name)} is no header's name; write letters, digits and dashes")
    elif name.lower() in OURS:
        place.wrong(f'header "{name}" is set by the proxy itself; leave it out')


def _reply(row: model.Reply, place: Place) -> DirectResponse:
    if not isinstance(row.body, str):
        place.at("body").wrong(f"{shown(row.body)} is no text; write it in quotes")
        return DirectResponse(row.status)
    return DirectResponse(row.status, row.body.encode(), _lines(row.headers, place.at("headers")))


def _redirect(row: model.Route, pattern: Pattern, place: Place) -> Redirect | None:
    assert row.redirect is not None
    status, to = row.redirect.status, row.redirect.to
    if status not in (301, 302, 303, 307, 308):
        place.at("status").wrong(f"{status} is no redirect that leads elsewhere; write 301, 302, 303, 307 or 308")
    # Guards against a caller's word in the host's place: https://x{name} would lead wherever the caller likes.
    if not re.match(r"/(?!/)|https?://[0-9A-Za-z.:\[\]_-]+(?:[/?]|$)", to):
        place.at("to").wrong(f'{shown(to)} leads nowhere; begin with "/" or "https://host"')
    template = _tried(place.at("to"), lambda: parse_template(to, pattern))
    return Redirect(status, template) if template else None
