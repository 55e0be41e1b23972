"""Requests that the concurrency limiter has admitted, and the priority queue in which they wait for the backend."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from lugspur.http1.upstream import Exchange
from lugspur.mesh.control.messages import ForwardRequest, ForwardResponse
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.urgency import Urgency, urgency_of


class AdmittedRequest:
    """A request that was admitted for the backend and has no result yet; times are in event loop time."""

    __slots__ = (
        "deadline",
        "exchange",
        "forward",
        "is_finished",
        "local_backend",
        "respond",
        "sent_at",
        "was_sent",
    )

    def __init__(
        self, forward: ForwardRequest, local: LocalBackend, now: float, respond: Callable[[ForwardResponse], None]
    ) -> None:
        self.forward, self.local_backend, self.respond = forward, local, respond
        self.deadline = now + forward.seconds_left
        self.exchange: Exchange | None = None  # the HTTP exchange with the backend, once it has started
        self.was_sent = False  # to the backend
        self.sent_at = now  # when it was sent to the backend, once it has been
        self.is_finished = False


class AdmissionQueue:
    """Admitted requests that wait for the backend, most urgent first and FIFO among equally urgent ones."""

    def __init__(self) -> None:
        self._heap: list[tuple[Urgency, int, AdmittedRequest]] = []
        self._sequence_numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._heap)

    def push(self, now: float, request: AdmittedRequest) -> None:
        """Add a request."""
        heapq.heappush(self._heap, (urgency_of(now, request.forward), next(self._sequence_numbers), request))

    def pop(self) -> AdmittedRequest:
        """Remove and return the most urgent request; raises IndexError if the queue is empty."""
        return heapq.heappop(self._heap)[2]

    def remove(self, request: AdmittedRequest) -> None:
        """Remove a request that has ended while it waited, so that its body is freed; do nothing if it isn't queued."""
        remaining = [row for row in self._heap if row[2] is not request]
        if len(remaining) < len(self._heap):
            self._heap = remaining
            heapq.heapify(self._heap)

    def pop_least_urgent(self) -> AdmittedRequest:
        """Remove and return the least urgent request; raises ValueError if the queue is empty."""
        least_urgent = max(self._heap)
        self._heap.remove(least_urgent)
        heapq.heapify(self._heap)
        return least_urgent[2]

    def routes_ahead_of(self, urgency: Urgency) -> list[str]:
        """Return the routes of the requests that would be served before a new request of this urgency."""
        return [request.forward.route for waiting_urgency, _, request in self._heap if waiting_urgency <= urgency]
