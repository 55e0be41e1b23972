"""Plain types that go into and come out of the decisions: settings, list rows, outcomes, actions.

Nothing here decides anything, and nothing here knows a wire format. Times are seconds on the
caller's clock; identifiers are whatever hashable value the embedding proxy uses.
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
    """How far a class of request may be repeated once it may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers discard the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """Whether the list of servers comes unasked or has to be asked for."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class ServerState(Enum):
    """What the list says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListUpdateKind(Enum):
    """What a list message is."""

    STALE = "stale"
    WHOLE = "whole"
    PATCH = "patch"
    BROKEN = "broken"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    VOID = "void"


#: Outcomes that prove that the attempt never ran.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.VOID})


def _number(name: str, value: float, low: float = 0.0, high: float = math.inf) -> None:
    ok = isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high
    if not ok or not math.isfinite(value):
        raise ValueError(f"{name}: {value!r} is not a number from {low} to {high}")


def _index(name: str, value: int, count: int) -> None:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < count:
        raise ValueError(f"{name}: {value!r} is not a whole number from 0 to {count - 1}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request; `only_kinds` and `only_zones` bind it to servers of those (None: to any)."""

    name: str = "request"
    aim: float = 1.0
    deadline: float = 5.0
    repeat: RetrySafety = RetrySafety.UNSAFE
    group: DeduplicationScope = DeduplicationScope.CELL
    window: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    streaming: bool = False
    only_kinds: tuple[int, ...] | None = None
    only_zones: tuple[int, ...] | None = None

    def check(self, at: str) -> None:
        """Raise ValueError for values that make no sense."""
        for name in ("aim", "deadline", "window", "worth"):
            _number(f"{at}.{name}", getattr(self, name))
        _number(f"{at}.late_worth", self.late_worth, 0.0, 1.0)
        if not self.aim or not self.deadline:
            raise ValueError(f"{at}: aim and deadline must be above 0")
        for name in ("only_kinds", "only_zones"):
            for i, place in enumerate(getattr(self, name) or ()):
                _index(f"{at}.{name}[{i}]", place, sys.maxsize)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; `quota` is its share in requests a second over all balancers (0: no quota)."""

    name: str = "tenant"
    share: float = 0.0
    quota: float = 0.0

    def check(self, at: str) -> None:
        """Raise ValueError for values that make no sense."""
        _number(f"{at}.share", self.share, 0.0, 1.0)
        _number(f"{at}.quota", self.quota)


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment permits."""

    cancel: bool = False
    second_copies: bool = False
    max_attempts: int = 3

    def check(self, at: str) -> None:
        """Raise ValueError for values that make no sense."""
        _number(f"{at}.max_attempts", self.max_attempts, 1)


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures behind the rules; `extra_span` 0: no retry budget is stated."""

    drain_grace: float = 0.0
    answer_slack: float = 0.0
    ask_within: float = 10.0
    cold_from: float = 0.1
    cold_for: float = 30.0
    fall_multiple: float = 2.0
    fall_after: float = 1.0
    extra_free: float = 0.0
    extra_share: float = 0.0
    extra_span: float = 0.0

    def check(self, at: str) -> None:
        """Raise ValueError for values that make no sense."""
        _number(f"{at}.cold_from", self.cold_from, 0.0, 1.0)
        for item in fields(self):
            _number(f"{at}.{item.name}", getattr(self, item.name))


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything that an instance is told at its start; `check()` is called by the balancer."""

    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    me: int = 0
    tier: int = 0
    tiers: int = 1
    zone: int = 0
    zones: int = 1
    discovery: DiscoveryMode = DiscoveryMode.PUSHED
    over_share_worth: float = 1.0
    passes_deadline: bool = True
    marks_retry: bool = False
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, row in enumerate(self.classes):
            row.check(f"classes[{i}]")
        for i, tenant in enumerate(self.tenants):
            tenant.check(f"tenants[{i}]")
        for name, count in (("me", "balancers"), ("tier", "tiers"), ("zone", "zones")):
            _number(count, getattr(self, count), 1)
            _index(name, getattr(self, name), getattr(self, count))
        _number("over_share_worth", self.over_share_worth, 0.0, 1.0)
        self.limits.check("limits")
        self.rules.check("rules")

    def check_request(self, kind: int, tenant: int, deadline: float | None, cost: float) -> None:
        """Raise ValueError naming the argument of a request that makes no sense."""
        _index("kind", kind, len(self.classes))
        _index("tenant", tenant, max(1, len(self.tenants)))
        if deadline is not None:
            _number("deadline", deadline, -math.inf)
        _number("cost", cost)


def pick_known(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """The entries of `values` that are fields of `kind` and not None; others are ignored."""
    names = {item.name for item in fields(kind)}
    return {k: v for k, v in values.items() if k in names and v is not None}


@dataclass(slots=True, frozen=True)
class ServerRow:
    """One line of the list of servers. `started` is 0 for a distant past."""

    server: ServerId
    state: ServerState = ServerState.UP
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    started: float = 0.0
    kind: int = 0


@dataclass(slots=True, frozen=True)
class LearnedBreaker:
    """What a breaker counted, by its buckets, and its averages in seconds."""

    baseline: float
    current: float
    window: tuple[tuple[int, int, int, int], ...]  # bucket number, requests, accepts, failures; oldest first


@dataclass(slots=True, frozen=True)
class LearnedServer:
    """What an instance knows of one server; it counts for the same process alone, by its start."""

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
    """What an instance knows of a pool: rates as value and time, by offered, sent and served."""

    rates: tuple[tuple[float, float], tuple[float, float], tuple[float, float]]
    born: float | None
    breaker: LearnedBreaker


@dataclass(slots=True, frozen=True)
class Learned:
    """All that an instance learned, for another that goes on in its place; times are of the lists' clock."""

    servers: tuple[LearnedServer, ...]
    pools: tuple[LearnedPool, ...]  # in the order in which the settings name them
    pooled: float
    pace: float
    paced: int


@dataclass(slots=True)
class Send:
    """Start an attempt; `timeout` 0 means until the client gives up."""

    request: RequestId
    server: ServerId
    timeout: float = 0.0


@dataclass(slots=True)
class Reject:
    """Final answer: refused, trying again is harmless."""

    request: RequestId
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise."""

    request: RequestId


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: RequestId
    attempt: int


@dataclass(slots=True)
class StartTimer:
    """Call `timer(now, token)` at `at` or soon after."""

    at: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for changes from here on."""


Action = Send | Reject | Fail | Cancel | StartTimer | Subscribe
