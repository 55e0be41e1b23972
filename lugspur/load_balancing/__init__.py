"""Load balancing of requests between services: a library of decisions without I/O."""

from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.model import (
    Action,
    Cancel,
    DeduplicationScope,
    DiscoveryMode,
    Fail,
    Limits,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestClass,
    RetrySafety,
    Rules,
    Send,
    ServerRow,
    ServerState,
    Settings,
    StartTimer,
    Subscribe,
    Tenant,
)

__all__ = [
    "Action",
    "Balancer",
    "Cancel",
    "CircuitBreaker",
    "DeduplicationScope",
    "DiscoveryMode",
    "Fail",
    "Limits",
    "ListUpdateKind",
    "Outcome",
    "Reject",
    "RequestClass",
    "RetrySafety",
    "Rules",
    "Send",
    "ServerRow",
    "ServerState",
    "Settings",
    "StartTimer",
    "Subscribe",
    "Tenant",
]
