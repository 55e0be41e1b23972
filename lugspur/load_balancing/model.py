"""Interface of the load balancer: settings, rows of the server list, outcomes and actions as plain types.

This module makes no decisions and knows no wire format. Times are seconds on the caller's clock. Errors in
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
    """Whether discovery pushes changes of the server list, or sends them only after a subscription."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class ServerState(Enum):
    """State of a server in the server list."""

    UP = "up"
    DRAINING = "draining"  # finishes its requests and gets no new ones
    GONE = "gone"


class ListUpdateKind(Enum):
    """What an update of the server list contains."""

    STALE = "stale"  # a complete list of unknown age, as at the start
    COMPLETE = "whole"  # the rows of all servers
    PATCH = "patch"  # only the rows that changed
    FAILED = "broken"  # no rows, as discovery could not be reached


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the server responded with an error
    OVERLOADED = "full"  # the server rejected the request before running it
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection could be established
    INTERRUPTED = "broken"  # the connection broke after the request was sent
    CANCELLED = "cancelled"
    NOT_PROCESSED = "void"  # the attempt never ran, for a reason that says nothing about the server


#: Outcomes that prove that an attempt never ran.
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

    A response within `latency_target` is worth `value` and a later one the part `late_value` of it; after
    `deadline` the client has given up. Servers remember the idempotency key of a keyed request for
    `deduplication_window`. Requests go only to servers of `allowed_host_types` and `allowed_zones`; None
    allows all.
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
        """Raise ValueError naming the first value that is out of range; `at` is the key of this class."""
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
    """What the deployment permits; `max_attempts` is for each request and includes the first attempt."""

    allows_cancel: bool = False
    allows_hedging: bool = False
    max_attempts: int = 3

    def check(self, at: str) -> None:
        """Raise ValueError naming the first value that is out of range."""
        _check_number(f"{at}.max_attempts", self.max_attempts, 1)


@dataclass(slots=True, frozen=True)
class Rules:
    """Bounds that the deployment guarantees its servers; times in seconds.

    A server has the part `slow_start_fraction` of its capacity when it starts, and all of it after
    `slow_start_seconds`; it fails when it gets `overload_multiple` times its capacity for
    `overload_seconds`. Within any `retry_budget_window` there may be `retry_budget_minimum` retries, and
    `retry_budget_ratio` more for each request; with a window of 0 no retry budget is stated.
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

    The instance is number `instance_index` of `instance_count` that send to the same servers, in tier `tier`
    of `tier_count` (0: the tier that clients call). A request over its tenant's quota has the part
    `over_quota_value` of its class's value. `callers_pass_deadline`: requests from the tier above carry the
    deadlines of the original callers. `clients_mark_retries`: a request that is not marked as a retry is the
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
    """Return the entries of `values` that are fields of `kind` and not None."""
    names = {item.name for item in fields(kind)}
    return {k: v for k, v in values.items() if k in names and v is not None}


@dataclass(slots=True, frozen=True)
class ServerRow:
    """One server of the server list.

    `weight` is its capacity relative to other servers; `started_at` is 0 if it started long ago.
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

    The field names of all `Learned...` types are keys of the file in which the daemon stores them.
    """

    baseline: float
    current: float
    window: tuple[tuple[int, int, int, int], ...]  # bucket number, requests, accepts, failures; oldest first


@dataclass(slots=True, frozen=True)
class LearnedServer:
    """Learned state of one server; valid only for the process that started at `started`."""

    server: ServerId
    started: float
    latency: float
    seen: float  # time of the latest latency sample
    downs: int  # consecutive rejections
    down_until: float  # end of the ejection
    cold_credit: float  # slow start credit
    cold_seen: float  # time of the latest update of the credit
    breaker: LearnedBreaker | None


@dataclass(slots=True, frozen=True)
class LearnedPool:
    """Learned state of a pool."""

    # Value and time of each rate: requests offered, attempts sent, requests served.
    rates: tuple[tuple[float, float], tuple[float, float], tuple[float, float]]
    born: float | None  # time of the first request
    breaker: LearnedBreaker


@dataclass(slots=True, frozen=True)
class Learned:
    """Learned state of an instance, for the one that replaces it; times are on the server list's clock."""

    servers: tuple[LearnedServer, ...]
    pools: tuple[LearnedPool, ...]  # in the order of the settings' classes
    pooled: float  # latency over all servers
    pace: float  # seconds for each unit of cost
    paced: int  # samples of `pace`


@dataclass(slots=True)
class Send:
    """Send an attempt to a server; a `timeout` of 0 means until the client gives up."""

    request: RequestId
    server: ServerId
    timeout: float = 0.0


@dataclass(slots=True)
class Reject:
    """Final response: the request is rejected, and a retry by the client is harmless."""

    request: RequestId
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final response: the request failed and may have run."""

    request: RequestId


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt; `attempt` is its number, from 0."""

    request: RequestId
    attempt: int


@dataclass(slots=True)
class StartTimer:
    """Call `Balancer.fire_timer` with `token` at the time `at` or soon after."""

    at: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for changes of the server list from now on."""


Action = Send | Reject | Fail | Cancel | StartTimer | Subscribe
