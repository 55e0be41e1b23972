"""Load-balancing decisions for services that call services: a sans-I/O library."""

from lugspur.load_balancing.breaker import Breaker
from lugspur.load_balancing.decide import Balancer
from lugspur.load_balancing.model import (
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
