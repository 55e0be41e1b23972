"""The interface of the decisions: settings, rows of the server list, outcomes and actions as plain types.

Nothing here decides anything or knows a wire format. Times are seconds on the caller's clock. Errors in
settings name the value by its key in the settings file (`aim`, `cold_from`), which differs from the field's
name here.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

ServerId = int
RequestId = str


class RetrySafety(Enum):
    """Whether a request that may have run may be sent again."""

    SAFE = "safe"  # always: it is idempotent
    KEYED = "keyed"  # to servers that drop duplicates by its idempotency key
    UNSAFE = "unsafe"  # never


class DeduplicationScope(Enum):
    """Which servers recognise the idempotency key of a request that one of them has run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """Whether discovery pushes changes of the server list, or sends them after a subscription."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class ServerState(Enum):
    """State of a server in the server list."""

    UP = "up"
    DRAINING = "draining"  # finishes what it has, gets no new requests
    GONE = "gone"


class ListUpdateKind(Enum):
    """What an update of the server list holds."""

    STALE = "stale"  # a complete list of unknown age, as known at the start
    COMPLETE = "whole"  # all servers that there are
    PATCH = "patch"  # the rows that changed
    FAILED = "broken"  # no rows: discovery could not be reached


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error
    OVERLOADED = "full"  # the server rejected the request before running it
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection
    INTERRUPTED = "broken"  # the connection broke after the request was sent
    CANCELLED = "cancelled"
    NOT_PROCESSED = "void"  # never ran, for a reason that says nothing of the server


#: Outcomes that prove that the attempt never ran.
NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_PROCESSED})


def _check_number(name: str, value: float, low: float = 0.0, high: float = math.inf) -> None:
    is_in_range = isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high
    if not is_in_range or not math.isfinite(value):
        raise ValueError(f"{name}: {value!r} is not a number from {low} to {high}")


def _check_position(name: str, value: int, count_name: str, count: int) -> None:
    _check_number(count_name, count, 1)
    _check_index(name, value, count)


def _check_index(name: str, value: int, count: int) -> None:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < count:
        raise ValueError(f"{name}: {value!r} is not a whole number from 0 to {count - 1}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Policy for one class of request; times in seconds.

    An answer within `latency_target` earns `value`, a later one the part `late_value` of it, and after
    `deadline` the client has given up. Servers remember the idempotency key of a keyed request for
    `deduplication_window`. The class is placed on servers of `allowed_host_types` and `allowed_zones`
    alone; None places no bound.
    """

    name: str = "request"
    latency_target: float = 1.0
    deadline: float = 5.0
    retry_safety: RetrySafety = RetrySafety.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window: float = 0.0
    value: float = 1.0
    late_value: float = 0.0
    streaming: bool = False
    allowed_host_types: tuple[int, ...] | None = None
    allowed_zones: tuple[int, ...] | None = None

    def check(self, at: str) -> None:
        """Raise ValueError naming the first value that is out of range; `at` is the place of this class."""
        _check_number(f"{at}.aim", self.latency_target)
        _check_number(f"{at}.deadline", self.deadline)
        _check_number(f"{at}.window", self.deduplication_window)
        _check_number(f"{at}.worth", self.value)
        _check_number(f"{at}.late_worth", self.late_value, 0.0, 1.0)
        if not self.latency_target or not self.deadline:
            raise ValueError(f"{at}: aim and deadline must be above 0")
        for i, host_type in enumerate(self.allowed_host_types or ()):
            _check_index(f"{at}.only_kinds[{i}]", host_type, sys.maxsize)
        for i, zone in enumerate(self.allowed_zones or ()):
            _check_index(f"{at}.only_zones[{i}]", zone, sys.maxsize)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; `quota` is its guaranteed rate in requests a second over all instances (0: none)."""

    name: str = "tenant"
    share: float = 0.0
    quota: float = 0.0

    def check(self, at: str) -> None:
        """Raise ValueError naming the first value that is out of range."""
        _check_number(f"{at}.share", self.share, 0.0, 1.0)
        _check_number(f"{at}.quota", self.quota)


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment permits of attempts; `max_attempts` of one request, the first included."""

    allows_cancel: bool = False
    allows_hedging: bool = False
    max_attempts: int = 3

    def check(self, at: str) -> None:
        """Raise ValueError naming the first value that is out of range."""
        _check_number(f"{at}.max_attempts", self.max_attempts, 1)


@dataclass(slots=True, frozen=True)
class Rules:
    """Bounds that the deployment guarantees its servers; times in seconds.

    A server started within `slow_start_seconds` can do the part `slow_start_fraction` of its capacity at
    first and falls over when it gets `overload_multiple` times what it can do for `overload_seconds`.
    Within any `retry_budget_window` there may be `retry_budget_minimum` retries, and `retry_budget_ratio`
    more for each request; a window of 0 states no retry budget.
    """

    drain_grace: float = 0.0
    answer_slack: float = 0.0
    discovery_interval: float = 10.0
    slow_start_fraction: float = 0.1
    slow_start_seconds: float = 30.0
    overload_multiple: float = 2.0
    overload_seconds: float = 1.0
    retry_budget_minimum: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_budget_window: float = 0.0

    def check(self, at: str) -> None:
        """Raise ValueError naming the first value that is out of range."""
        _check_number(f"{at}.cold_from", self.slow_start_fraction, 0.0, 1.0)
        for key, value in (
            ("drain_grace", self.drain_grace),
            ("answer_slack", self.answer_slack),
            ("ask_within", self.discovery_interval),
            ("cold_for", self.slow_start_seconds),
            ("fall_multiple", self.overload_multiple),
            ("fall_after", self.overload_seconds),
            ("extra_free", self.retry_budget_minimum),
            ("extra_share", self.retry_budget_ratio),
            ("extra_span", self.retry_budget_window),
        ):
            _check_number(f"{at}.{key}", value)


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of one balancer instance.

    It is instance `instance_index` of `instance_count` that send to the same servers, in tier `tier` of
    `tier_count` (0: the tier that clients call). A request over its tenant's quota counts the part
    `over_quota_value` of its class's value. `callers_pass_deadline`: deadlines of requests from the tier
    above are their callers' own. `clients_mark_retries`: a request that is not marked as a retry is the
    client's first attempt.
    """

    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    instance_count: int = 1
    instance_index: int = 0
    tier: int = 0
    tier_count: int = 1
    zone: int = 0
    zone_count: int = 1
    discovery: DiscoveryMode = DiscoveryMode.PUSHED
    over_quota_value: float = 1.0
    callers_pass_deadline: bool = True
    clients_mark_retries: bool = False
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)

    def check(self) -> None:
        """Raise ValueError naming the first value that is out of range."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, row in enumerate(self.classes):
            row.check(f"classes[{i}]")
        for i, tenant in enumerate(self.tenants):
            tenant.check(f"tenants[{i}]")
        _check_position("me", self.instance_index, "balancers", self.instance_count)
        _check_position("tier", self.tier, "tiers", self.tier_count)
        _check_position("zone", self.zone, "zones", self.zone_count)
        _check_number("over_share_worth", self.over_quota_value, 0.0, 1.0)
        self.limits.check("limits")
        self.rules.check("rules")

    def check_request(self, class_index: int, tenant: int, deadline: float | None, cost: float) -> None:
        """Raise ValueError naming the first argument of a request that is out of range."""
        _check_index("kind", class_index, len(self.classes))
        _check_index("tenant", tenant, max(1, len(self.tenants)))
        if deadline is not None:
            _check_number("deadline", deadline, -math.inf)
        _check_number("cost", cost)


def pick_known(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """The entries of `values` that are fields of `kind` and not None; others are ignored."""
    names = {item.name for item in fields(kind)}
    return {k: v for k, v in values.items() if k in names and v is not None}


@dataclass(slots=True, frozen=True)
class ServerRow:
    """One server of the server list.

    `weight` is its capacity in proportion to the others'; `started_at` is 0 where it started long ago.
    """

    server: ServerId
    state: ServerState = ServerState.UP
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0
    host_type: int = 0


@dataclass(slots=True, frozen=True)
class LearnedBreaker:
    """State of a circuit breaker: window buckets, and its latency averages in seconds.

    The names of the fields of all `Learned...` types are keys of the file in which the daemon keeps them.
    """

    baseline: float
    current: float
    window: tuple[tuple[int, int, int, int], ...]  # bucket number, requests, accepts, failures; oldest first


@dataclass(slots=True, frozen=True)
class LearnedServer:
    """Learned state of one server; it holds only for the process that started at `started`."""

    server: ServerId
    started: float
    latency: float
    seen: float
    downs: int
    down_until: float
    cold_credit: float
    cold_seen: float
    breaker: LearnedBreaker | None


@dataclass(slots=True, frozen=True)
class LearnedPool:
    """Learned state of a pool; rates as value and time: requests offered, attempts, requests served."""

    rates: tuple[tuple[float, float], tuple[float, float], tuple[float, float]]
    born: float | None
    breaker: LearnedBreaker


@dataclass(slots=True, frozen=True)
class Learned:
    """Learned state of an instance, for the one that replaces it; times are on the server list's clock."""

    servers: tuple[LearnedServer, ...]
    pools: tuple[LearnedPool, ...]  # in the order of the settings' classes
    pooled: float
    pace: float
    paced: int


@dataclass(slots=True)
class Send:
    """Send an attempt to a server; `timeout` 0 means until the client gives up."""

    request: RequestId
    server: ServerId
    timeout: float = 0.0


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, and trying again is harmless."""

    request: RequestId
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, and the request may have run."""

    request: RequestId


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt; `attempt` is its number, from 0."""

    request: RequestId
    attempt: int


@dataclass(slots=True)
class StartTimer:
    """Call the balancer's timer method with `token` at the time `at` or soon after."""

    at: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for changes of the server list from now on."""


Action = Send | Reject | Fail | Cancel | StartTimer | Subscribe
