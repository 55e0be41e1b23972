"""What a request began with and how its pools have left it: nothing that a reload changes touches it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lugspur.daemon.cluster import UpstreamCluster
from lugspur.daemon.pool import Call
from lugspur.load_balancing.model import RequestClass
from lugspur.routing.model import Forward
from lugspur.seams import Passing, Request


class End(Enum):
    """How the pools have left a request."""

    SERVED = "served"
    TURNED = "turned away before any attempt"
    FAILED = "failed, or refused after attempts"


@dataclass(slots=True)
class Ticket:
    """One request on its way through the pools that may serve it."""

    kind: RequestClass
    forward: Forward
    request: Request
    tenant: str
    cost: float
    deadline: float  # in the loop's time
    cluster: UpstreamCluster
    rest: list[UpstreamCluster]  # those that may still take over
    call: Call | None = None  # in the pool that has it now
    end: End = End.FAILED  # as of its final answer
    expected: float = float("inf")  # until when an answer is expected, while the deadline is not known
    begun: Passing | None = None  # to whom an answer is passed on as it comes
    said: int = 0  # the status of the backend's answer behind it; 0 where there is none
