"""The context of one request: its configuration, which no reload changes, and how its clusters ended it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lugspur.daemon.cluster import UpstreamCluster
from lugspur.daemon.pool import Call
from lugspur.interfaces import Request, StreamingReceiver
from lugspur.load_balancing.model import RequestClass
from lugspur.routing.model import Forward


class Ending(Enum):
    """How the upstream clusters ended a request."""

    SERVED = "served"
    REJECTED = "rejected before any attempt"
    FAILED = "failed, or rejected after attempts"


@dataclass(slots=True)
class RequestContext:
    """One request, and the upstream clusters that may serve it."""

    request_class: RequestClass
    forward: Forward
    request: Request
    tenant: str
    cost: float
    deadline: float  # in the loop's time
    cluster: UpstreamCluster
    fallback_clusters: list[UpstreamCluster]  # clusters that may still take over
    call: Call | None = None  # the call in the current cluster
    ending: Ending = Ending.FAILED  # set before the final response
    expected_by: float = float("inf")  # in the loop's time; used while the body's end, and so the deadline, is unknown
    # Receives a streamed response; None: the response is not streamed.
    streaming_caller: StreamingReceiver | None = None
    backend_status: int = 0  # status of the backend's response that the final one is based on; 0: there is none
