"""Builds a plan from the tables of a configuration file: validates references between tables and compiles routes."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from typing import Any

from lugspur.config import model
from lugspur.config.schema import Location
from lugspur.config.units import DATAGRAM_NAME, InvalidValueError, format_value, suggestion, text
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
TOKEN = re.compile(r"[!#$%&'*+.^`|~0-9A-Za-z-]+")  # RFC 9110 5.6.2, without `_`: the proxy drops such headers
RESERVED_HEADERS = frozenset(  # headers that the proxy sets or that are hop-by-hop (RFC 9110 7.6.1)
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
NO_CLASS = "(no class)"  # the class of routes that name no class
NO_TENANT = "(no tenant)"  # the tenant of requests for which no tenant is known
CHECKED_POOL_NAME = re.compile(r".{1,64}")  # the names of pools that are sent in datagrams
NUMERIC_HOST = re.compile(r"[0-9a-fA-F:.]+")  # hosts that need no name resolution
WILDCARD_HOSTS = ("0.0.0.0", "::")
BACKEND_SOURCES = ("members", "file", "watch", "registry")
FORWARD_ATTRIBUTES = ("fallback", "kind", "deadline", "tenant", "key", "rewrite", "request", "response", "join")
NEVER_IGNORED = frozenset(  # request headers by which responses differ, whatever the file says
    {"authorization", "cookie", "proxy-authorization", "host", "range", "content-type", "content-encoding"}
)
KEYS_BY_ATTRIBUTE = {"kind": "class"}  # where the key in the file differs from the attribute
HTTP2_LIBRARY_MISSING = 'HTTP/2 needs a library that is not installed; run pip install "lugspur[grpc]"'
MAX_REPORTED_CONFLICTS = 100  # in one run of the check


@dataclass(slots=True)
class Plan:
    """The validated configuration of a file, with compiled routes."""

    file: model.File
    table: RouteTable
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    class_indices: dict[str, int]  # by the name of a class, its index in `classes`

    def settings(self, pool: model.Pool) -> Settings:
        """Return the settings of the load balancer of one pool."""
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


def build(file: model.File, raw: Mapping[str, Any], location: Location) -> Plan:
    """Validate references between tables and build the plan; it may be used only if no fault was recorded.

    `raw` has the names of all tables, also of those that could not be read: a reference to such a table is not reported
    as a second fault.
    """
    classes = [RequestClass(name=NO_CLASS, late_value=1.0)]
    for name, row in file.classes.items():
        _check_class(row, location.at("classes", name))
        classes.append(
            RequestClass(name, row.aim, row.deadline, row.repeat, row.group, row.window, row.worth, row.late_worth)
        )
    tenants = [Tenant(NO_TENANT), *(Tenant(name, quota=row.quota) for name, row in file.tenants.items())]
    if not raw.get("listeners"):
        location.report('no listener is defined; write [listeners.NAME] with address = "127.0.0.1:8080"')
    if file.daemon.instance >= file.daemon.instances:
        location.at("daemon", "instance").report(
            f"{file.daemon.instance} is not less than instances = {file.daemon.instances}; instances are counted from 0"
        )
    _check_fleet(file.fleet, location.at("fleet"))
    registries = _raw_tables(raw, "registries")
    _check_listeners(file, registries, location.at("listeners"))
    _check_http2(file, location)
    for name, pool in file.pools.items():
        _check_pool(pool, registries, location.at("pools", name))
        if pool.check is not None:
            if not file.fleet.electors:
                location.at("pools", name, "check").report(
                    "health checks need a fleet with electors; write [fleet] with electors, or leave out the key"
                )
            if not CHECKED_POOL_NAME.fullmatch(name):
                location.at("pools", name).report(
                    f"the name of a pool with health checks has 1 to 64 characters, not {len(name)}"
                )
    routes = _RouteCompiler(file, raw, location.at("routes"))
    table = RouteTable(routes.read())
    for count, (first, second) in enumerate(find_conflicts(table.routes)):
        if count >= MAX_REPORTED_CONFLICTS:
            break
        location.at("routes", second.name).report(
            f'route "{second.name}" and route "{first.name}" match the same requests with equal precedence; '
            "add a condition to one of them, or give one a priority"
        )
    return Plan(
        file,
        table,
        tuple(classes),
        tuple(tenants),
        {row.name: index for index, row in enumerate(classes)},
    )


def _check_fleet(row: model.Fleet, location: Location) -> None:
    if not row.name:
        if row != model.Fleet():
            location.report('a fleet needs a name; write name = "edge"')
        return
    if find_spec("msgspec") is None:
        location.report('a fleet needs a library that is not installed; run pip install "lugspur[fleet]"')
    if not row.member:
        location.report('this member needs a unique name; write member = "edge-1"')
    if row.bind is None:
        location.report('no address for datagrams is given; write address = "127.0.0.1:7946"')
    elif row.advertise is None and (row.bind[0] in WILDCARD_HOSTS or not row.bind[1]):
        location.report(
            f"other members can't reach {row.bind[0]}:{row.bind[1]}; write advertise, the address that they can reach"
        )
    for key, given in (("address", row.bind), ("advertise", row.advertise)):
        if given is not None and not NUMERIC_HOST.fullmatch(given[0]):
            location.at(key).report(
                f"{format_value(given[0])} is not a numeric address; names are not resolved for datagrams"
            )
    for index, seed in enumerate(row.seeds):
        if not NUMERIC_HOST.fullmatch(seed[0]):
            location.at("seeds", index).report(
                f"{format_value(seed[0])} is not a numeric address; names are not resolved for datagrams"
            )
    if len(row.electors) not in (0, 3, 5):
        location.at("electors").report(f"there are {len(row.electors)} electors; write the names of 3 or 5 members")
    for index, name in enumerate(row.electors):
        if not DATAGRAM_NAME.fullmatch(name):
            location.at("electors", index).report(f"{format_value(name)} is not a member's name")
    if row.duties and not row.electors:
        location.at("duties").report("duties need electors; write electors, the names of 3 or 5 members")
    for index, duty in enumerate(row.duties):
        if not DATAGRAM_NAME.fullmatch(duty):
            location.at("duties", index).report(
                f'{format_value(duty)} is not a duty\'s name; write one such as "nightly-report"'
            )


def warnings(file: model.File) -> list[str]:
    """Return warnings about settings that are valid but guarantee less than they may seem to."""
    fleet = file.fleet
    if fleet.member in fleet.electors and not fleet.folder:
        return [
            f'fleet: elector "{fleet.member}" has no folder: when most electors restart at once, epochs go back '
            'if their wall clocks do, and no duty is granted for the time of a lease; write folder = "..."'
        ]
    return []


def _check_class(row: model.RequestClass, location: Location) -> None:
    if row.aim > row.deadline:
        location.at("aim").report(
            f"the aim of {row.aim:g}s is later than the deadline of {row.deadline:g}s; make it earlier"
        )
    if row.repeat is RetrySafety.KEYED and not row.window:
        location.at("repeat").report(
            'a keyed class needs a window, as in window = "30s": the time that keys are remembered'
        )
    if row.repeat is not RetrySafety.KEYED and row.window:
        location.at("window").report('a window applies only to repeat = "keyed"; leave it out')


def _check_listeners(file: model.File, registries: Mapping[str, object], location: Location) -> None:
    seen: dict[Any, str] = {}
    for name, row in file.listeners.items():
        if row.register is not None:
            _check_register(row, row.register, registries, location.at(name, "register"))
        other = seen.setdefault(row.address, name)
        if other != name and row.address[1]:
            location.at(name, "address").report(f'listener "{other}" already has this address; use another port')


def _check_http2(file: model.File, location: Location) -> None:
    """Report a missing HTTP/2 library at the start; otherwise the first request would fail."""
    if find_spec("h2") is not None:
        return
    for name, row in file.listeners.items():
        if row.http2:
            location.at("listeners", name, "http2").report(HTTP2_LIBRARY_MISSING)
    for name, pool in file.pools.items():
        if pool.protocol == "grpc" or any(member.protocol == "grpc" for member in pool.members):
            location.at("pools", name).report(HTTP2_LIBRARY_MISSING)


def _check_register(
    row: model.Listener, register: model.Registration, registries: Mapping[str, object], location: Location
) -> None:
    _check_reference(register.registry, registries, "registry", location.at("registry"))
    if register.address is None and row.address[0] in WILDCARD_HOSTS:
        location.report(
            f'callers can\'t connect to {row.address[0]}; write address = "HOST:PORT", where they reach the listener'
        )


def _check_pool(pool: model.Pool, registries: Mapping[str, object], location: Location) -> None:
    given = [name for name in BACKEND_SOURCES if getattr(pool, name)]
    if len(given) != 1 and given != ["members", "registry"]:
        problem = f"{' and '.join(given)} are both given" if given else "no backends are given"
        location.report(
            f'{problem}; write exactly one of members = [{{ address = "127.0.0.1:9001" }}], '
            f"{', '.join(BACKEND_SOURCES[1:-1])} and {BACKEND_SOURCES[-1]}"
        )
    if pool.registry is not None:
        _check_reference(pool.registry.name, registries, "registry", location.at("registry", "name"))
    seen: set[str] = set()
    for index, member in enumerate(pool.members):
        name = member_name(member)
        if name in seen:
            location.at("members", index).report(f'member "{name}" is already defined; give this one another name')
        seen.add(name)


def member_name(member: model.Member) -> str:
    """Return the name of a member of a fixed list; by default it is the address."""
    return member.name or f"{member.address[0]}:{member.address[1]}"


class _RouteCompiler:
    """Compiles the routes of one file."""

    def __init__(self, file: model.File, raw: Mapping[str, Any], location: Location) -> None:
        self._file, self._location = file, location
        self._pools: Mapping[str, object] = _raw_tables(raw, "pools")
        self._classes: Mapping[str, object] = _raw_tables(raw, "classes")

    def read(self) -> list[Route]:
        """Return all routes without a fault; record the faults of the others."""
        found = [self._route(name, row, self._location.at(name)) for name, row in self._file.routes.items()]
        return [route for route in found if route is not None]

    def _route(self, name: str, row: model.Route, location: Location) -> Route | None:
        before = len(location.faults)
        pattern = _try_parsing(location.at("path"), lambda: parse_pattern(row.path))
        for index, host in enumerate(row.hosts):
            _check_host(host, location.at("hosts", index))
        for index, method in enumerate(row.methods):
            if method not in METHODS:
                location.at("methods", index).report(
                    f"method {format_value(method)} is not supported{suggestion(method.upper(), METHODS)}"
                )
        headers = _conditions(row.headers, location.at("headers"), header=True)
        query = _conditions(row.query, location.at("query"), header=False)
        action = None if pattern is None else self._action(row, pattern, location)
        if pattern is None or action is None or len(location.faults) > before:
            return None
        hosts = row.hosts or ("*",)
        return Route(name, pattern, action, hosts, frozenset(row.methods), headers, query, row.priority)

    def _action(
        self, row: model.Route, pattern: Pattern, location: Location
    ) -> Forward | DirectResponse | Redirect | None:
        given = [key for key in ("pool", "split", "reply", "redirect") if getattr(row, key)]
        if len(given) != 1:
            problem = f"{' and '.join(given)} are both given" if given else "no action is given"
            location.report(f"{problem}; write exactly one of pool, split, reply and redirect")
            return None
        if row.reply is not None or row.redirect is not None:
            self._forward_only(row, given[0], location)
            return (
                _reply(row.reply, location.at("reply"))
                if row.reply
                else _redirect(row, pattern, location.at("redirect"))
            )
        return self._forward(row, pattern, location)

    def _forward_only(self, row: model.Route, given: str, location: Location) -> None:
        plain = model.Route(path=row.path)
        for name in FORWARD_ATTRIBUTES:
            if getattr(row, name) != getattr(plain, name):
                key = KEYS_BY_ATTRIBUTE.get(name, name)
                location.at(key).report(f'"{key}" can\'t be combined with {given}; leave it out')

    def _forward(self, row: model.Route, pattern: Pattern, location: Location) -> Forward:
        splits = tuple(row.split.items()) or ((row.pool, 1.0),)
        for name, _ in splits:
            _check_reference(name, self._pools, "pool", location.at(*(("split", name) if row.split else ("pool",))))
        for index, name in enumerate(row.fallback):
            _check_reference(name, self._pools, "pool", location.at("fallback", index))
            if name in dict(splits):
                location.at("fallback", index).report(f'pool "{name}" can\'t be a fallback for itself; leave it out')
        if row.kind:
            _check_reference(row.kind, self._classes, "class", location.at("class"))
        rewrite = None
        if row.rewrite:
            rewrite = _try_parsing(location.at("rewrite"), lambda: parse_template(row.rewrite, pattern))
            if not row.rewrite.startswith("/") or set(row.rewrite) & set("?;"):
                location.at("rewrite").report(
                    f'{format_value(row.rewrite)} is not a path; begin with "/" and leave out the query'
                )
        return Forward(
            splits,
            row.fallback,
            row.kind or NO_CLASS,
            row.deadline,
            _value_source(row.tenant, pattern, location.at("tenant")),
            _value_source(row.key, pattern, location.at("key")),
            rewrite,
            _header_changes(row.request, location.at("request")),
            _header_changes(row.response, location.at("response")),
            self._coalescing(row, location.at("join")),
        )

    def _coalescing(self, row: model.Route, location: Location) -> CoalescingPolicy | None:
        join = row.join
        if join is None:
            return None
        kind = self._file.classes.get(row.kind)
        if not row.kind:
            location.report(
                "requests without a class can't be coalesced, as they are not safe to repeat; "
                'give it a class with repeat = "safe"'
            )
        elif kind is not None and kind.repeat is not RetrySafety.SAFE:
            location.report(
                f'class "{row.kind}" is {kind.repeat.value}, and only requests that are safe to repeat are coalesced; '
                'leave "join" out'
            )
        ignored = set()
        for index, name in enumerate(join.ignore):
            if not TOKEN.fullmatch(name):
                location.at("ignore", index).report(
                    f"{format_value(name)} is not the name of a header; write one such as User-Agent"
                )
            elif name.lower() in NEVER_IGNORED:
                location.at("ignore", index).report(
                    f"responses differ by {format_value(name)}, so it can't be ignored; leave it out"
                )
            ignored.add(name.lower().encode())
        if join.across_tenants:
            if row.tenant is None:
                location.at("across-tenants").report("this route does not distinguish tenants; leave it out")
            elif row.tenant.header.lower() in NEVER_IGNORED:
                location.at("across-tenants").report(
                    f"tenants differ by {format_value(row.tenant.header)}, and so do responses; leave it out"
                )
            elif row.tenant.header:
                ignored.add(row.tenant.header.lower().encode())
        ignored |= {name.lower().encode() for name in row.request.remove}  # backends never see these headers
        return CoalescingPolicy(join.within, frozenset(ignored), join.across_tenants)


def _check_reference(name: str, among: Mapping[str, object], what: str, location: Location) -> None:
    if name not in among:
        location.report(f'{what} "{name}" is not in this file{suggestion(name, among)}')


def _raw_tables(raw: Mapping[str, Any], section: str) -> Mapping[str, object]:
    found = raw.get(section)
    return found if isinstance(found, Mapping) else {}


def _try_parsing(location: Location, read: Callable[[], Any]) -> Any:
    try:
        return read()
    except PatternError as fault:
        location.report(str(fault))
        return None


def _check_host(host: str, location: Location) -> None:
    if host != host.lower():
        location.report(f'hosts are compared in lower case; write "{host.lower()}"')
    elif not host.isascii():
        location.report(f"{format_value(host)} is not ASCII; write its ASCII form, which begins with xn--")
    elif re.search(r":\d+$", host) and "[" not in host:
        location.report(f'hosts are compared without ports; write "{host.rpartition(":")[0]}"')
    elif host.endswith(".") and host != ".":
        location.report(f'hosts are compared without a trailing dot; write "{host.rstrip(".")}"')
    elif not HOST_PATTERN.fullmatch(host):
        location.report(f'{format_value(host)} is not a host; write "a.example", "*.example" or "*"')


def _conditions(raw: Mapping[str, Any], location: Location, header: bool) -> tuple[Condition, ...]:
    found: dict[str, Condition] = {}
    if not isinstance(raw, Mapping):
        location.report(f'{format_value(raw)} is not a table; write {{ name = "value" }}')
        return ()
    for name, value in raw.items():
        here = location.at(name)
        if header and not TOKEN.fullmatch(name):
            here.report(f"{format_value(name)} is not a header's name; write letters, digits and dashes")
            continue
        key = name.lower() if header else name
        condition = _condition(key, value, here)
        if key in found:
            here.report(f"there are two conditions for header {key}; names of headers are not case-sensitive")
        elif condition is not None:
            found[key] = condition
    return tuple(found[key] for key in sorted(found))


def _condition(name: str, value: Any, location: Location) -> Condition | None:
    try:
        if not isinstance(value, Mapping):
            return Condition(name, MatchType.EXACT, text(value))
        if len(value) != 1 or not set(value) <= {"prefix", "present", "absent"}:
            raise InvalidValueError(
                f'{format_value(value)} is not a condition; write "text", {{ prefix = "text" }}, {{ present = true }} '
                "or { absent = true }"
            )
        [(test, wanted)] = value.items()
        if test == "prefix":
            if not text(wanted):
                raise InvalidValueError("an empty prefix matches any value; write { present = true }")
            return Condition(name, MatchType.PREFIX, wanted)
        if wanted is not True:
            other = "absent" if test == "present" else "present"
            raise InvalidValueError(f"{test} = {format_value(wanted)}; write {{ {other} = true }} for the opposite")
        return Condition(name, MatchType(test))
    except InvalidValueError as fault:
        location.report(str(fault))
        return None


def _value_source(row: model.ValueSource | None, pattern: Pattern, location: Location) -> ValueSource | None:
    if row is None:
        return None
    given = [key for key in ("header", "path", "query", "value") if getattr(row, key)]
    if len(given) != 1:
        location.report('write exactly one of header, path, query and value, as in { header = "X-Tenant-Id" }')
    if row.path and row.path not in pattern.names:
        known = ", ".join(pattern.names) or "none"
        location.at("path").report(f'the path has no variable "{row.path}"; it has {known}')
    return ValueSource(row.header.lower(), row.path, row.query, row.value)


def _header_changes(row: model.HeaderChanges, location: Location) -> HeaderChanges:
    lines = _header_lines(row.set, location.at("set"))
    for index, name in enumerate(row.remove):
        _check_name(name, location.at("remove", index))
    removed = frozenset(name.lower() for name in row.remove)
    return HeaderChanges(removed | {name.lower() for name, _ in lines}, lines)


def _header_lines(raw: Any, location: Location) -> tuple[tuple[str, str], ...]:
    if not isinstance(raw, Mapping):
        location.report(f'{format_value(raw)} is not a table; write {{ "X-Name" = "value" }}')
        return ()
    lines: list[tuple[str, str]] = []
    for name, value in raw.items():
        here = location.at(name)
        _check_name(name, here)
        if not isinstance(value, str) or not value.isascii() or any(ord(c) < 32 or ord(c) == 127 for c in value):
            here.report(f"{format_value(value)!s} is not a header's value; write printable ASCII in quotes")
        else:
            lines.append((name, value))
    return tuple(lines)


def _check_name(name: str, location: Location) -> None:
    if not TOKEN.fullmatch(name):
        location.report(f"{format_value(name)} is not a header's name; write letters, digits and dashes")
    elif name.lower() in RESERVED_HEADERS:
        location.report(f'header "{name}" is set by the proxy itself; leave it out')


def _reply(row: model.DirectResponse, location: Location) -> DirectResponse:
    if not isinstance(row.body, str):
        location.at("body").report(f"{format_value(row.body)} is not a string; write it in quotes")
        return DirectResponse(row.status)
    return DirectResponse(row.status, row.body.encode(), _header_lines(row.headers, location.at("headers")))


def _redirect(row: model.Route, pattern: Pattern, location: Location) -> Redirect | None:
    assert row.redirect is not None
    status, to = row.redirect.status, row.redirect.to
    if status not in (301, 302, 303, 307, 308):
        location.at("status").report(f"{status} is not the status of a redirect; write 301, 302, 303, 307 or 308")
    # Variables must not be part of the host: with https://x{name} a caller could redirect to any host.
    if not re.match(r"/(?!/)|https?://[0-9A-Za-z.:\[\]_-]+(?:[/?]|$)", to):
        location.at("to").report(f'{format_value(to)} is not a valid target; begin with "/" or "https://host"')
    template = _try_parsing(location.at("to"), lambda: parse_template(to, pattern))
    return Redirect(status, template) if template else None
