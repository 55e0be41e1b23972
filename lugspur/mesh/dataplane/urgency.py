"""The order in which queued requests and bodies are served."""

from __future__ import annotations

from lugspur.mesh.control.messages import ForwardRequest

Urgency = tuple[int, float]
"""The configured priority of the route (lower is first), then the end of the latency target in event loop time."""


def urgency_of(now: float, request: ForwardRequest) -> Urgency:
    """Return the urgency of a request: by priority, and within a priority by earliest deadline first.

    The deadline in this order is the end of the latency target. This favours nested calls, which have short targets:
    their parent request occupies its backend until they have responses. Earliest deadline first: Liu and
    Layland, "Scheduling Algorithms for Multiprogramming in a Hard-Real-Time Environment", JACM 20(1), 1973.
    """
    return request.priority, now + request.latency_target_left
