"""The tables of the daemon's file: every key, its default and its meaning, stated here alone.

What hangs together across tables is checked in build.py.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lugspur.config.schema import option, part, parts, rows
from lugspur.config.units import (
    Wrong,
    address,
    addresses,
    choice,
    credentials,
    duration,
    flag,
    folder,
    mark,
    node,
    number,
    one_of,
    shown,
    size,
    text,
    whole,
    words,
)
from lugspur.discovery.endpoints import PROTOCOLS, Address
from lugspur.load_balancing.model import DeduplicationScope, RetrySafety
from lugspur.load_balancing.retry_budget import DEFAULT_MINIMUM_RETRIES, DEFAULT_RETRY_RATIO, DEFAULT_WINDOW_SECONDS
from lugspur.routing.model import MAX_COALESCING_AGE_SECONDS

FORMATS = ("auto", "own", "curator", "serverset")  # of nodes; discovery/node_formats.py reads them

MEMORY_MOST = 1 << 40


def any_of(value: Any) -> Any:
    """Read later, with what it depends on."""
    return value


def weights(value: object) -> dict[str, float]:
    """Weights by pools' names."""
    if not isinstance(value, dict) or not value:
        raise Wrong(f"{shown(value)} is no table of weights; write one such as {{ stable = 90, canary = 10 }}")
    found = {name: number(0.0, 1e6)(weight) for name, weight in value.items()}
    if not sum(found.values()):
        raise Wrong("all weights are 0; give one pool a weight above 0")
    return found


@dataclass(slots=True)
class Daemon:
    """This instance among its like."""

    instances: int = option(whole(1, 100_000), "how many instances share the pools and the tenants' quotas", 1)
    instance: int = option(whole(0, 100_000), "which of them this is, from 0", 0)
    zone: str = option(text, "the zone that this instance runs in", "")


@dataclass(slots=True)
class Limits:
    """What the process may use, and what a caller or backend may send."""

    sockets: int = option(whole(64, 1 << 20), "descriptors of the process, half of them for callers", 1024)
    memory: int = option(
        size(16 << 20, MEMORY_MOST), "memory that bodies in transit are kept within parts of", 256 << 20
    )
    head: int = option(size(1 << 10, 1 << 20), "a request's head: 431 beyond it", 16 << 10)
    body: int = option(size(0, 64 << 20), "a request's body: 413 beyond it", 1 << 20)
    answer: int = option(size(1 << 10, 256 << 20), "a backend's body: a spoilt answer beyond it", 8 << 20)
    hold: int = option(
        size(1 << 10, 64 << 20),
        "bodies and answers up to here are held whole, so that another attempt can be made; "
        "larger ones are passed on as they come, but to gRPC boxes",
        1 << 20,
    )
    read: float = option(
        duration(0.1, 600.0),
        "time for a request to come in, but for what of a body is beyond hold: 408 beyond it",
        10.0,
    )
    idle: float = option(duration(2.0, 3600.0), "time that a caller may keep a connection between requests", 60.0)
    joined: int = option(
        whole(0, 1 << 20), "reads that wait for others' calls; beyond it 503, the tenant with the most first", 1000
    )
    drain: float = option(
        duration(0.0, 3600.0), "time that open HTTP/2 streams may go on after SIGTERM, or without their listener", 10.0
    )


@dataclass(slots=True)
class Guard:
    """What is turned away when the proxy itself falls behind: the classes that are worth least, first."""

    on: bool = option(flag, "whether it guards itself", False)
    memory: int = option(
        size(0, MEMORY_MOST), "what the process may hold: from 90% of it less is let in; 0: no limit is known", 0
    )


@dataclass(slots=True)
class Management:
    """The second address, for operators: ready, maintenance of boxes, drain."""

    address: Address | None = option(address, "where to listen for management calls; none: nowhere", None)


@dataclass(slots=True)
class State:
    """What was learned of backends, kept over a restart. What a reload changes here counts from the next start on."""

    folder: str = option(text, "a folder of this daemon's own that survives a restart; none: nothing is kept", "")
    every: float = option(duration(0.5, 3600.0), "time between two writings, where something has changed", 5.0)


@dataclass(slots=True)
class Fleet:
    """The others of its like, and the duties that one of them holds at a time. Needs the extra fleet.

    What a reload changes here counts from the next start on.
    """

    name: str = option(mark, "the fleet's name: others' datagrams are dropped; none: this daemon is in no fleet", "")
    member: str = option(mark, "this daemon's name in it, which no other has; an elector's stays over restarts", "")
    bind: Address | None = option(
        address, "where it takes datagrams (UDP): a numeric address and a port", None, key="address"
    )
    advertise: Address | None = option(address, "where others reach that, if elsewhere", None)
    seeds: tuple[Address, ...] = option(addresses, "members to begin with; those that are gone do no harm", ())
    key: str = option(text, "a file of 16 to 64 bytes that all members share: datagrams carry a tag by it", "")
    period: float = option(duration(0.05, 60.0), "time between two looks at another member", 1.0)
    electors: tuple[str, ...] = option(
        words, "the members, 3 or 5, who promise duties by majority; the same list at all; none: no duties", ()
    )
    lease: float = option(duration(0.5, 3600.0), "time for which a duty is promised, the same at all", 10.0)
    folder: str = option(text, "where an elector keeps what it promised; without one epochs go by the wall clock", "")
    duties: tuple[str, ...] = option(words, "duties of your own: one member at a time holds each of them", ())
    history: str = option(text, "a file to which every promise is added, for audits and tests; none: nowhere", "")


@dataclass(slots=True)
class Registry:
    """A ZooKeeper ensemble that pools follow and listeners register in, by one session."""

    ensemble: tuple[Address, ...] = option(addresses, 'its servers, as ["127.0.0.1:2181", "127.0.0.1:2182"]')
    session: float = option(duration(0.5, 600.0), "the session's time-out to ask for; servers may grant another", 10.0)
    auth: str = option(credentials, 'digest credentials, as "user:password"', "")
    read_only: bool = option(flag, "whether servers that are cut off from the others will do", False)


@dataclass(slots=True)
class Register:
    """A listener's own node in a registry, there for as long as it listens."""

    registry: str = option(text, "the registry")
    path: str = option(folder, "the folder that the node is made in; it is made too")
    name: str = option(node, "the node's name; with sequential the beginning of it")
    address: Address | None = option(address, "where callers reach the listener, if not where it listens", None)
    zone: str = option(text, "the zone to tell; by default the daemon's", "")
    cell: int = option(whole(), "the cell to tell", 0)
    weight: float = option(number(0.001, 1e6), "the weight to tell", 1.0)
    sequential: bool = option(flag, "whether the registry numbers the node", False)


@dataclass(slots=True)
class Listener:
    """An address that callers connect to."""

    address: Address = option(address, 'where to listen, as "127.0.0.1:8080"; port 0 takes a free one')
    http2: bool = option(flag, "whether HTTP/2 with prior knowledge, and with it gRPC, is taken beside HTTP/1.1", False)
    streams: int = option(whole(1, 10_000), "HTTP/2 streams that one connection may have open", 100)
    register: Register | None = part(Register, "its node in a registry", None)
    trust_forwarded: bool = option(
        flag, "whether callers' X-Forwarded-For and X-Forwarded-Proto are kept and added to", False
    )


@dataclass(slots=True)
class Class:
    """A kind of request: how soon its answer is wanted, what it is worth, whether it may run twice."""

    aim: float = option(duration(0.001, 3600.0), "time in which its answer is wanted", 1.0)
    deadline: float = option(duration(0.001, 3600.0), "time after which it is given up", 5.0)
    worth: float = option(number(0.0, 1e6), "what an answer is worth against other classes'", 1.0)
    late_worth: float = option(number(0.0, 1.0), "the part of the worth that an answer after the aim keeps", 1.0)
    repeat: RetrySafety = option(
        choice(RetrySafety),
        "safe: may run again; keyed: by its Idempotency-Key; unsafe: never twice",
        RetrySafety.UNSAFE,
    )
    group: DeduplicationScope = option(
        choice(DeduplicationScope),
        "which backends drop each other's keyed repeats: all, those of a zone, or of a cell",
        DeduplicationScope.CELL,
    )
    window: float = option(duration(), "how long they remember a key", 0.0)


@dataclass(slots=True)
class Tenant:
    """Somebody whose traffic is told apart."""

    quota: float = option(number(0.0, 1e9), "requests a second that are its share; 0: no share is stated", 0.0)


@dataclass(slots=True)
class Member:
    """One backend of a fixed list."""

    address: Address = option(address, 'where it listens, as "127.0.0.1:9001"')
    name: str = option(text, "what it is called; by default its address", "")
    weight: float = option(number(0.001, 1e6), "its size against the others'", 1.0)
    protocol: str = option(one_of("", *PROTOCOLS), "http or grpc; by default the pool's", "")
    zone: str = option(text, "its zone", "")
    cell: int = option(whole(), "its cell: backends that drop each other's keyed repeats", 0)
    drain: bool = option(flag, "true: it finishes what it has and gets nothing new", False)


@dataclass(slots=True)
class Cold:
    """How backends start."""

    part: float = option(number(0.01, 1.0), "what a backend that has just started can do, of the whole", 0.3)
    warm_after: float = option(duration(), "time in which it gets warm; 0s: at once", 0.0)
    multiple: float = option(number(1.0, 100.0), "how many times what it can do pushes it over...", 3.0)
    over: float = option(duration(), "...when sent for so long", 3.0)


@dataclass(slots=True)
class Retries:
    """The budget of attempts beyond each request's first."""

    free: float = option(number(0.0, 1e6), "so many in any span...", DEFAULT_MINIMUM_RETRIES)
    part: float = option(number(0.0, 100.0), "...and so many for each request taken in it", DEFAULT_RETRY_RATIO)
    span: float = option(duration(0.001, 3600.0), "the span", DEFAULT_WINDOW_SECONDS)


@dataclass(slots=True)
class Follow:
    """The folder of a registry that a pool follows: each node in it is a backend."""

    name: str = option(text, "the registry")
    path: str = option(folder, 'the folder, as "/services/channel"')
    format: str = option(one_of(*FORMATS), f"how nodes are written: {', '.join(FORMATS)}", "auto")
    stale_after: float = option(
        duration(0.1), "time without a word of the registry after which the log shows the list as stale", 30.0
    )


@dataclass(slots=True)
class Check:
    """How a box of the pool is looked at by one member of the fleet for all, once somebody could not connect to it."""

    path: str = option(text, "a path that answers below 400 while a box is well; none: it takes connections", "")
    every: float = option(duration(0.05, 600.0), "time between two looks at a box that is down", 1.0)
    within: float = option(duration(0.01, 60.0), "time that a look may take", 0.5)


@dataclass(slots=True)
class Pool:
    """Backends that serve alike. Where they come from: exactly one of members, file, watch and registry.

    Members beside a registry serve until it has been reached for the first time.
    """

    members: list[Member] = rows(Member, "a fixed list of backends")
    registry: Follow | None = part(Follow, "a folder of a registry that is followed", None)
    file: str = option(text, "a file with the list, in the form of the HTTP watch; it is read when it changes", "")
    watch: Address | None = option(address, "the address of a discovery that serves the HTTP watch", None)
    protocol: str = option(
        one_of(*PROTOCOLS), "what backends speak that don't say: http (HTTP/1.1) or grpc (over HTTP/2)", "http"
    )
    attempts: int = option(whole(1, 10), "attempts for a request at most", 3)
    connect: float = option(duration(0.001, 60.0), "time for a connection to come up", 0.25)
    keep: float = option(duration(0.1, 3600.0), "time after which its backends close idle connections", 15.0)
    idle: int = option(whole(0, 10_000), "idle connections kept to each backend", 8)
    share: float = option(number(0.001, 1e6), "its weight when sockets and places are shared out", 1.0)
    check: Check | None = part(Check, "how doubted boxes are looked at; needs [fleet] with electors", None)
    cold: Cold = part(Cold, "how its backends start")
    retries: Retries = part(Retries, "its budget for further attempts")


@dataclass(slots=True)
class Source:
    """Where a tenant or key is taken from: exactly one of these."""

    header: str = option(text, "a header", "")
    path: str = option(text, "a variable of the path", "")
    query: str = option(text, "a parameter of the query", "")
    value: str = option(text, "this text", "")


@dataclass(slots=True)
class Changes:
    """Header lines to change."""

    set: dict[str, str] = option(any_of, "header lines to set, by their names", {})
    remove: tuple[str, ...] = option(words, "header lines to take out", ())


@dataclass(slots=True)
class Reply:
    """An answer that is given here."""

    status: int = option(whole(200, 599), "its status")
    body: str = option(any_of, "its body", "")
    headers: dict[str, str] = option(any_of, "its header lines, by their names", {})


@dataclass(slots=True)
class Redirect:
    """Where callers are sent to."""

    to: str = option(text, "a path or URL, with the path's {names} and /* filled in; the query goes along")
    status: int = option(whole(301, 308), "301, 302, 303, 307 or 308", 307)


@dataclass(slots=True)
class Join:
    """Reads that are the same share one call, while it runs. The route's class must be safe to repeat."""

    within: float = option(
        duration(0.001, MAX_COALESCING_AGE_SECONDS),
        "how old a call may be that a further read joins; beyond it another begins",
        0.1,
    )
    ignore: tuple[str, ...] = option(
        words, "headers that say nothing of what is asked; any other that differs makes another read", ()
    )
    across_tenants: bool = option(
        flag, "whether reads of several tenants may share; the header that names the tenant is ignored then", False
    )


@dataclass(slots=True)
class Route:
    """Conditions that must all be met, and exactly one of pool, split, reply and redirect."""

    path: str = option(text, 'a path: "/a", "/a/{name}/b", or with "/*" at the end for all below it')
    hosts: tuple[str, ...] = option(words, 'hosts: "a.example", "*.example", or "*" for any', ("*",))
    methods: tuple[str, ...] = option(words, "methods; none: any", ())
    headers: dict[str, Any] = option(
        any_of, 'headers: { name = "value" }, or a table of one of prefix, present, absent', {}
    )
    query: dict[str, Any] = option(any_of, "parameters of the query, in the same way", {})
    priority: int = option(whole(0, 1000), "the higher wins where two routes are equal otherwise", 0)
    pool: str = option(text, "the pool that serves it", "")
    split: dict[str, float] = option(weights, "pools and their weights", {})
    reply: Reply | None = part(Reply, "an answer given here", None)
    redirect: Redirect | None = part(Redirect, "where callers are sent to", None)
    fallback: tuple[str, ...] = option(
        words, "pools that take over, for requests that never ran, where those before have no usable backend", ()
    )
    kind: str = option(text, "its class; without one a request must never run twice", "", key="class")
    deadline: float | None = option(duration(0.001, 3600.0), "time after which it is given up, if sooner", None)
    tenant: Source | None = part(Source, "where its tenant is named", None)
    key: Source | None = part(Source, "what a split is sticky by; without one chance decides", None)
    rewrite: str = option(text, "the path that backends see, with {names} and /* filled in", "")
    request: Changes = part(Changes, "changes of the request's headers")
    response: Changes = part(Changes, "changes of the answer's headers")
    join: Join | None = part(Join, "whether identical reads share one call", None)


@dataclass(slots=True)
class File:
    """The whole file."""

    daemon: Daemon = part(Daemon, "this instance among its like")
    limits: Limits = part(Limits, "limits")
    guard: Guard = part(Guard, "whether the proxy guards itself")
    management: Management = part(Management, "the second address, for operators")
    state: State = part(State, "what is kept over a restart")
    fleet: Fleet = part(Fleet, "the others of its like")
    listeners: dict[str, Listener] = parts(Listener, "where callers connect")
    classes: dict[str, Class] = parts(Class, "kinds of requests")
    tenants: dict[str, Tenant] = parts(Tenant, "whose traffic is told apart")
    registries: dict[str, Registry] = parts(Registry, "where backends are registered")
    pools: dict[str, Pool] = parts(Pool, "backends")
    routes: dict[str, Route] = parts(Route, "what becomes of a request")
