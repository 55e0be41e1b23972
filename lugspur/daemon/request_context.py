"""The context of one request: what it began with, which no reload changes, and how its clusters ended it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lugspur.daemon.cluster import UpstreamCluster
from lugspur.daemon.pool import Call
from lugspur.load_balancing.model import RequestClass
from lugspur.routing.model import Forward
from lugspur.seams import Passing, Request


class Ending(Enum):
    """How the upstream clusters ended a request."""

    SERVED = "served"
    REJECTED = "turned away before any attempt"
    FAILED = "failed, or refused after attempts"


@dataclass(slots=True)
class RequestContext:
    """One request on its way through the upstream clusters that may serve it."""

    request_class: RequestClass
    forward: Forward
    request: Request
    tenant: str
    cost: float
    deadline: float  # in the loop's time
    cluster: UpstreamCluster
    fallback_clusters: list[UpstreamCluster]  # clusters that may still take over
    call: Call | None = None  # in the cluster that has it now
    ending: Ending = Ending.FAILED  # as of its final answer
    expected_by: float = float("inf")  # in the loop's time; used while the body's end, and so the deadline, is unknown
    streaming_caller: Passing | None = None  # receives the answer as it arrives; None for one that is sent complete
    backend_status: int = 0  # status of the backend's answer behind the final one; 0 where there is none
