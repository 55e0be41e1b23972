"""Load-balancing decisions for services that call services: a sans-I/O library."""

from jaspershelf.breaker import Breaker
from jaspershelf.decide import Balancer
from jaspershelf.model import (
    Action,
    Cancel,
    Discovery,
    Fail,
    Group,
    Limits,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestClass,
    Rules,
    Send,
    ServerRow,
    Settings,
    State,
    Subscribe,
    Tenant,
    Timer,
)

__all__ = [
    "Action",
    "Balancer",
    "Breaker",
    "Cancel",
    "Discovery",
    "Fail",
    "Group",
    "Limits",
    "ListKind",
    "Outcome",
    "Refuse",
    "Repeat",
    "RequestClass",
    "Rules",
    "Send",
    "ServerRow",
    "Settings",
    "State",
    "Subscribe",
    "Tenant",
    "Timer",
]
