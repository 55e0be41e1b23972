"""The tables of the daemon's configuration file: every key with its default and its description.

The reference in docs/configuration.md is generated from these declarations. Rules that involve several keys or tables
are checked in build.py.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lugspur.config.schema import named_tables, option, table, table_list
from lugspur.config.units import (
    InvalidValueError,
    address,
    addresses,
    boolean,
    choice,
    credentials,
    datagram_name,
    duration,
    format_value,
    integer,
    number,
    one_of,
    registry_node,
    registry_path,
    size,
    strings,
    text,
)
from lugspur.discovery.endpoints import PROTOCOLS, Address
from lugspur.load_balancing.model import DeduplicationScope, RetrySafety
from lugspur.load_balancing.retry_budget import DEFAULT_MINIMUM_RETRIES, DEFAULT_RETRY_RATIO, DEFAULT_WINDOW_SECONDS
from lugspur.routing.model import MAX_COALESCING_AGE_SECONDS

FORMATS = ("auto", "own", "curator", "serverset")  # of registry nodes, as read by discovery/node_formats.py

MAX_MEMORY_BYTES = 1 << 40


def any_value(value: Any) -> Any:
    """Accept any value; it is validated in build.py, with the tables that it depends on."""
    return value


def weights(value: object) -> dict[str, float]:
    """Return weights by the names of pools."""
    if not isinstance(value, dict) or not value:
        raise InvalidValueError(
            f"{format_value(value)} is not a table of weights; write one such as {{ stable = 90, canary = 10 }}"
        )
    found = {name: number(0.0, 1e6)(weight) for name, weight in value.items()}
    if not sum(found.values()):
        raise InvalidValueError("all weights are 0; give one pool a weight above 0")
    return found


@dataclass(slots=True)
class Daemon:
    """This instance and the number of instances."""

    instances: int = option(integer(1, 100_000), "number of instances that share the pools and the tenants' quotas", 1)
    instance: int = option(integer(0, 100_000), "index of this instance, from 0", 0)
    zone: str = option(text, "zone of this instance", "")


@dataclass(slots=True)
class Limits:
    """Limits for the resources of the process and for the messages of callers and backends."""

    sockets: int = option(integer(64, 1 << 20), "file descriptors of the process, half of them for callers", 1024)
    memory: int = option(
        size(16 << 20, MAX_MEMORY_BYTES),
        "memory of the process; the buffers for bodies in transit are limited to fractions of it",
        256 << 20,
    )
    head: int = option(
        size(1 << 10, 1 << 20), "maximum size of a request's head; a larger one is answered with 431", 16 << 10
    )
    body: int = option(
        size(0, 64 << 20), "maximum size of a request's body; a larger one is answered with 413", 1 << 20
    )
    answer: int = option(
        size(1 << 10, 256 << 20), "maximum size of a response's body; a larger response counts as invalid", 8 << 20
    )
    hold: int = option(
        size(1 << 10, 64 << 20),
        "bodies of requests and responses up to this size are buffered whole, so that a request can be retried; "
        "larger ones are streamed, except to gRPC backends",
        1 << 20,
    )
    read: float = option(
        duration(0.1, 600.0),
        "time to receive a request, without the part of its body beyond hold; a slower one gets 408",
        10.0,
    )
    idle: float = option(duration(2.0, 3600.0), "time that a caller's connection may be idle between requests", 60.0)
    joined: int = option(
        integer(0, 1 << 20),
        "maximum number of coalesced requests that wait for another's response; beyond it requests get 503, "
        "first those of the tenant with the most",
        1000,
    )
    drain: float = option(
        duration(0.0, 3600.0),
        "time that open HTTP/2 streams may continue after SIGTERM or after the removal of their listener",
        10.0,
    )


@dataclass(slots=True)
class LoadShedding:
    """Load shedding when the proxy itself is overloaded: the classes of the lowest worth are rejected first."""

    on: bool = option(boolean, "whether load shedding is enabled", False)
    memory: int = option(
        size(0, MAX_MEMORY_BYTES),
        "memory limit of the process; from 90% of it fewer requests are admitted; 0: unknown",
        0,
    )


@dataclass(slots=True)
class Management:
    """The admin listener for operators: readiness, maintenance of backends, drain."""

    address: Address | None = option(address, "address of the admin listener; none: there is no admin listener", None)


@dataclass(slots=True)
class State:
    """Persistence of what is learned about backends. Changes by a reload take effect at the next start."""

    folder: str = option(
        text, "a directory that only this daemon uses and that survives restarts; none: nothing is kept", ""
    )
    every: float = option(duration(0.5, 3600.0), "interval between writes if something has changed", 5.0)


@dataclass(slots=True)
class Fleet:
    """The other daemons of a fleet, and duties that one of them holds at a time. Requires the extra `fleet`.

    Changes by a reload take effect at the next start.
    """

    name: str = option(
        datagram_name, "the fleet's name; datagrams of other fleets are dropped; none: this daemon is in no fleet", ""
    )
    member: str = option(
        datagram_name, "this daemon's name, unique in the fleet; an elector keeps its name over restarts", ""
    )
    bind: Address | None = option(
        address, "where it receives datagrams (UDP): a numeric address and a port", None, key="address"
    )
    advertise: Address | None = option(address, "the address that other members use, if it differs", None)
    seeds: tuple[Address, ...] = option(addresses, "members to contact first; unreachable ones are ignored", ())
    key: str = option(
        text, "a file with a key of 16 to 64 bytes that all members share; datagrams are authenticated with it", ""
    )
    period: float = option(duration(0.05, 60.0), "interval between probes of another member", 1.0)
    electors: tuple[str, ...] = option(
        strings, "3 or 5 members that grant duties by majority; the same list at all members; none: no duties", ()
    )
    lease: float = option(duration(0.5, 3600.0), "time for which a duty is granted, the same at all members", 10.0)
    folder: str = option(
        text, "directory where an elector keeps its promises; without one epochs are derived from the wall clock", ""
    )
    duties: tuple[str, ...] = option(strings, "user-defined duties; one member at a time holds each of them", ())
    history: str = option(
        text, "a file to which every promise is appended, for audits and tests; none: no such file", ""
    )


@dataclass(slots=True)
class Registry:
    """A ZooKeeper ensemble, with one session for pools that watch it and listeners that register in it."""

    ensemble: tuple[Address, ...] = option(addresses, 'its servers, as in ["127.0.0.1:2181", "127.0.0.1:2182"]')
    session: float = option(duration(0.5, 600.0), "the session timeout to request; servers may grant another", 10.0)
    auth: str = option(credentials, 'digest credentials, as "user:password"', "")
    read_only: bool = option(boolean, "whether to accept servers that are cut off from the others", False)


@dataclass(slots=True)
class Registration:
    """The node that registers a listener in a registry for as long as it listens."""

    registry: str = option(text, "the registry")
    path: str = option(registry_path, "path of the parent of the node; it is created if it is missing")
    name: str = option(registry_node, "the node's name; with sequential its prefix")
    address: Address | None = option(
        address, "the address that callers use, if it differs from that of the listener", None
    )
    zone: str = option(text, "the zone to register; by default the daemon's", "")
    cell: int = option(integer(), "the cell to register", 0)
    weight: float = option(number(0.001, 1e6), "the weight to register", 1.0)
    sequential: bool = option(boolean, "whether the registry appends a sequence number to the name", False)


@dataclass(slots=True)
class Listener:
    """An address that callers connect to."""

    address: Address = option(address, 'where to listen, as in "127.0.0.1:8080"; port 0 selects a free one')
    http2: bool = option(
        boolean, "whether HTTP/2 with prior knowledge, and with it gRPC, is accepted beside HTTP/1.1", False
    )
    streams: int = option(integer(1, 10_000), "maximum number of open HTTP/2 streams on one connection", 100)
    register: Registration | None = table(Registration, "registration in a registry", None)
    trust_forwarded: bool = option(
        boolean, "whether X-Forwarded-For and X-Forwarded-Proto of callers are kept and extended", False
    )


@dataclass(slots=True)
class RequestClass:
    """A class of requests: latency target, deadline, worth, and whether they are safe to repeat."""

    aim: float = option(duration(0.001, 3600.0), "latency target", 1.0)
    deadline: float = option(duration(0.001, 3600.0), "time after which a request fails", 5.0)
    worth: float = option(number(0.0, 1e6), "worth of a response, relative to other classes", 1.0)
    late_worth: float = option(number(0.0, 1.0), "fraction of the worth that a response after the aim has", 1.0)
    repeat: RetrySafety = option(
        choice(RetrySafety),
        "safe: may run again; keyed: may run again with its Idempotency-Key; unsafe: must never run twice",
        RetrySafety.UNSAFE,
    )
    group: DeduplicationScope = option(
        choice(DeduplicationScope),
        "which backends deduplicate keyed requests together: all, those of a zone, or those of a cell",
        DeduplicationScope.CELL,
    )
    window: float = option(duration(), "time that they remember a key", 0.0)


@dataclass(slots=True)
class Tenant:
    """A tenant, whose traffic is accounted for separately."""

    quota: float = option(number(0.0, 1e9), "quota in requests per second; 0: no quota", 0.0)


@dataclass(slots=True)
class Member:
    """One backend of a fixed list."""

    address: Address = option(address, 'where it listens, as in "127.0.0.1:9001"')
    name: str = option(text, "its name; by default its address", "")
    weight: float = option(number(0.001, 1e6), "its capacity relative to the others", 1.0)
    protocol: str = option(one_of("", *PROTOCOLS), "http or grpc; by default the pool's", "")
    zone: str = option(text, "its zone", "")
    cell: int = option(integer(), "its cell: backends that deduplicate keyed requests together", 0)
    drain: bool = option(boolean, "true: it completes its open requests and gets no new ones", False)


@dataclass(slots=True)
class SlowStart:
    """Slow start of backends."""

    part: float = option(
        number(0.01, 1.0), "capacity of a backend that has just started, as a fraction of its full capacity", 0.3
    )
    warm_after: float = option(duration(), "duration of the slow start; 0s: none", 0.0)
    multiple: float = option(number(1.0, 100.0), "load at which a backend fails, as a multiple of its capacity", 3.0)
    over: float = option(duration(), "time that such a load lasts until the backend fails", 3.0)


@dataclass(slots=True)
class Retries:
    """The retry budget."""

    free: float = option(number(0.0, 1e6), "retries that are always allowed in each span", DEFAULT_MINIMUM_RETRIES)
    part: float = option(
        number(0.0, 100.0), "further retries for each request received in the span", DEFAULT_RETRY_RATIO
    )
    span: float = option(duration(0.001, 3600.0), "length of the span", DEFAULT_WINDOW_SECONDS)


@dataclass(slots=True)
class RegistrySource:
    """The registry path that a pool watches: each node below it is a backend."""

    name: str = option(text, "the registry")
    path: str = option(registry_path, 'path of the parent of the nodes, as in "/services/channel"')
    format: str = option(one_of(*FORMATS), f"format of the nodes: {', '.join(FORMATS)}", "auto")
    stale_after: float = option(
        duration(0.1), "time without contact to the registry after which the list is logged as stale", 30.0
    )


@dataclass(slots=True)
class HealthCheck:
    """Health checks of a backend by one member for the whole fleet, once a member failed to connect to it."""

    path: str = option(
        text, "a path that returns a status below 400 if a backend is healthy; none: only connections are checked", ""
    )
    every: float = option(duration(0.05, 600.0), "interval between checks of a backend that is down", 1.0)
    within: float = option(duration(0.01, 60.0), "timeout of a check", 0.5)


@dataclass(slots=True)
class Pool:
    """Interchangeable backends. Their list has exactly one source: members, file, watch or registry.

    Members beside a registry are used until the registry is reached for the first time.
    """

    members: list[Member] = table_list(Member, "a fixed list of backends")
    registry: RegistrySource | None = table(RegistrySource, "a registry path that is watched", None)
    file: str = option(
        text, "a file with the list, in the format of the HTTP watch; it is read again when it changes", ""
    )
    watch: Address | None = option(address, "address of a discovery service that serves the HTTP watch", None)
    protocol: str = option(
        one_of(*PROTOCOLS), "protocol of backends that state none: http (HTTP/1.1) or grpc (over HTTP/2)", "http"
    )
    attempts: int = option(integer(1, 10), "maximum number of attempts for a request", 3)
    connect: float = option(duration(0.001, 60.0), "timeout for establishing a connection", 0.25)
    keep: float = option(duration(0.1, 3600.0), "time after which its backends close idle connections", 15.0)
    idle: int = option(integer(0, 10_000), "maximum number of idle connections to each backend", 8)
    share: float = option(
        number(0.001, 1e6), "its weight when sockets, request slots and buffers are divided among pools", 1.0
    )
    check: HealthCheck | None = table(
        HealthCheck, "health checks of backends that are suspected; needs [fleet] with electors", None
    )
    cold: SlowStart = table(SlowStart, "slow start of its backends")
    retries: Retries = table(Retries, "its retry budget")


@dataclass(slots=True)
class ValueSource:
    """The source of a tenant or key: exactly one of these."""

    header: str = option(text, "a header", "")
    path: str = option(text, "a path variable", "")
    query: str = option(text, "a query parameter", "")
    value: str = option(text, "a fixed value", "")


@dataclass(slots=True)
class HeaderChanges:
    """Changes of headers."""

    set: dict[str, str] = option(any_value, "headers to set, by name", {})
    remove: tuple[str, ...] = option(strings, "headers to remove", ())


@dataclass(slots=True)
class DirectResponse:
    """A response that the proxy generates itself."""

    status: int = option(integer(200, 599), "its status")
    body: str = option(any_value, "its body", "")
    headers: dict[str, str] = option(any_value, "its headers, by name", {})


@dataclass(slots=True)
class Redirect:
    """A redirect."""

    to: str = option(
        text, "a path or URL, in which {names} and /* are replaced by values of the path; the query is kept"
    )
    status: int = option(integer(301, 308), "301, 302, 303, 307 or 308", 307)


@dataclass(slots=True)
class Coalescing:
    """Request coalescing: identical requests share one call in flight. The route's class must be safe to repeat."""

    within: float = option(
        duration(0.001, MAX_COALESCING_AGE_SECONDS),
        "maximum age of a call that a further request may join; after that another call is made",
        0.1,
    )
    ignore: tuple[str, ...] = option(
        strings,
        "headers that are ignored when requests are compared; they are identical only if all others are equal",
        (),
    )
    across_tenants: bool = option(
        boolean,
        "whether requests of different tenants may share a call; the header that names the tenant is then ignored",
        False,
    )


@dataclass(slots=True)
class Route:
    """Conditions, all of which must match, and exactly one of pool, split, reply and redirect."""

    path: str = option(text, 'a path: "/a", "/a/{name}/b", or with "/*" at the end for all paths below it')
    hosts: tuple[str, ...] = option(strings, 'hosts: "a.example", "*.example", or "*" for any', ("*",))
    methods: tuple[str, ...] = option(strings, "methods; none: any", ())
    headers: dict[str, Any] = option(
        any_value, 'headers: { name = "value" }, or a table of one of prefix, present, absent', {}
    )
    query: dict[str, Any] = option(any_value, "query parameters, in the same form", {})
    priority: int = option(
        integer(0, 1000), "the route with the higher priority is used if two routes are otherwise equal", 0
    )
    pool: str = option(text, "the pool that requests are forwarded to", "")
    split: dict[str, float] = option(weights, "pools and their weights", {})
    reply: DirectResponse | None = table(DirectResponse, "a response of the proxy itself", None)
    redirect: Redirect | None = table(Redirect, "a redirect", None)
    fallback: tuple[str, ...] = option(
        strings, "pools for requests that have not run, in this order, if the pools before have no usable backend", ()
    )
    kind: str = option(text, "its class; requests without one must never run twice", "", key="class")
    deadline: float | None = option(
        duration(0.001, 3600.0), "time after which a request fails, if that is earlier than its class's deadline", None
    )
    tenant: ValueSource | None = table(ValueSource, "the source of the tenant", None)
    key: ValueSource | None = table(
        ValueSource, "the key that makes a split sticky; without one pools are chosen at random", None
    )
    rewrite: str = option(
        text, "the path that is sent to backends, in which {names} and /* are replaced by values of the path", ""
    )
    request: HeaderChanges = table(HeaderChanges, "changes of request headers")
    response: HeaderChanges = table(HeaderChanges, "changes of response headers")
    join: Coalescing | None = table(Coalescing, "request coalescing", None)


@dataclass(slots=True)
class File:
    """The whole file; each field is a top-level table."""

    daemon: Daemon = table(Daemon, "this instance and the number of instances")
    limits: Limits = table(Limits, "limits")
    guard: LoadShedding = table(LoadShedding, "load shedding")
    management: Management = table(Management, "the admin listener")
    state: State = table(State, "persistence over restarts")
    fleet: Fleet = table(Fleet, "the fleet of this daemon")
    listeners: dict[str, Listener] = named_tables(Listener, "listeners")
    classes: dict[str, RequestClass] = named_tables(RequestClass, "classes of requests")
    tenants: dict[str, Tenant] = named_tables(Tenant, "tenants")
    registries: dict[str, Registry] = named_tables(Registry, "registries of backends")
    pools: dict[str, Pool] = named_tables(Pool, "pools of backends")
    routes: dict[str, Route] = named_tables(Route, "routes")
