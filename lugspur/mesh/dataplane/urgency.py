"""The order in which waiting requests and bodies are served."""

from __future__ import annotations

from lugspur.mesh.control.messages import ForwardRequest

Urgency = tuple[int, float]
"""The operators' priority of a route (lower is first), then the loop's time at which the answer loses its value."""


def urgency_of(now: float, request: ForwardRequest) -> Urgency:
    """Return a request's place in the order: by priority, and within a priority by earliest deadline first.

    The deadline that counts is the latency target. This guards the work of parents: their calls have short targets,
    and a parent occupies its backend until they are answered. Earliest deadline first: Liu and Layland, "Scheduling
    Algorithms for Multiprogramming in a Hard-Real-Time Environment", JACM 20(1), 1973.
    """
    return request.priority, now + request.latency_target_left
