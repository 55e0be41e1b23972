"""The load balancer in front of emulated backends; its actions are carried out in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.emulator.backends import Attempt, Backend, BackendSettings
from lugspur.emulator.clock import Clock
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    Action,
    Cancel,
    Fail,
    ListUpdateKind,
    Outcome,
    Reject,
    Send,
    ServerRow,
    Settings,
    StartTimer,
    Subscribe,
)

OnEnd = Callable[[str], None]
SERVED, REJECTED, FAILED, LATE = "served", "rejected", "failed", "late"


class _Request:
    """One request with its attempts."""

    def __init__(self, deadline: float, on_end: OnEnd) -> None:
        self.deadline, self.on_end = deadline, on_end
        self.attempts: list[Attempt] = []
        self.sent_at: list[float] = []
        self.is_finished = False


class World:
    """Emulated backends behind one instance of the load balancer; several instances may share the same backends."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        count: int,
        backend_settings: BackendSettings,
        seed: int,
        backends: list[Backend] | None = None,
    ) -> None:
        self.clock = clock
        rng = Random(seed)
        self.backends = backends or [Backend(clock, backend_settings, Random(rng.random())) for _ in range(count)]
        self.balancer = Balancer(settings, rng.randrange(1 << 32))
        self._requests: dict[str, _Request] = {}
        self._count = 0
        rows = [ServerRow(n) for n in range(len(self.backends))]
        self._perform(self.balancer.update_servers(0.0, ListUpdateKind.COMPLETE, rows) + self.balancer.start(0.0))

    def started_attempts(self) -> int:
        """Return the number of attempts that the backends have started to process."""
        return sum(backend.started_count for backend in self.backends)

    def request(self, class_index: int, tenant: int, deadline: float, on_end: OnEnd) -> str:
        """Start a request and return its id; `on_end` is called once with its end, by the deadline at the latest."""
        self._count += 1
        request_id = str(self._count)
        request = self._requests[request_id] = _Request(deadline, on_end)
        self.clock.call_at(deadline, lambda: self._on_deadline(request_id))
        self._perform(self.balancer.request(self.clock.now, request_id, class_index, tenant, deadline))
        if request.is_finished:
            self._requests.pop(request_id, None)
        return request_id

    def extend(self, request_id: str, deadline: float) -> None:
        """Move the deadline of a request."""
        request = self._requests.get(request_id)
        if request is not None and not request.is_finished:
            request.deadline = deadline
            self.clock.call_at(deadline, lambda: self._on_deadline(request_id))
            self._perform(self.balancer.extend_deadline(self.clock.now, request_id, deadline))

    def cancel(self, request_id: str) -> None:
        """Cancel a request for which no caller waits any more."""
        request = self._requests.get(request_id)
        if request is not None and not request.is_finished:
            request.is_finished = True
            self._perform(self.balancer.cancel_request(self.clock.now, request_id))

    def _on_deadline(self, request_id: str) -> None:
        request = self._requests.get(request_id)
        if request is None or request.is_finished or self.clock.now < request.deadline:
            return
        for number, attempt in enumerate(tuple(request.attempts)):
            self._time_out(request_id, request, number, attempt)
        self._end(request, LATE)

    def _time_out(self, request_id: str, request: _Request, number: int, attempt: Attempt) -> None:
        if not attempt.is_finished:
            attempt.is_finished = True
            self._attempt_ended(request_id, request, number, Outcome.TIMEOUT)

    def _attempt_ended(self, request_id: str, request: _Request, number: int, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            self._end(request, SERVED)
        latency = self.clock.now - request.sent_at[number]
        self._perform(
            self.balancer.finish_attempt(self.clock.now, request_id, number, outcome, latency, request.is_finished)
        )
        if request.is_finished and all(attempt.is_finished for attempt in request.attempts):
            self._requests.pop(request_id, None)

    def _end(self, request: _Request, end: str) -> None:
        if not request.is_finished:
            request.is_finished = True
            request.on_end(end)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartTimer):
                token = action.token
                self.clock.call_at(action.at, lambda token=token: self._fire_timer(token))  # type: ignore[misc]
            elif not isinstance(action, Subscribe):
                self._apply(action)

    def _fire_timer(self, token: int) -> None:
        self._perform(self.balancer.fire_timer(self.clock.now, token))

    def _apply(self, action: Send | Reject | Fail | Cancel) -> None:
        request_id = action.request
        request = self._requests.get(request_id)
        if request is None:
            return
        if isinstance(action, Send):
            self._send(request_id, request, action)
        elif isinstance(action, Cancel):
            self._cancel(request_id, request, action.attempt)
        else:
            was_rejected = isinstance(action, Reject) and not request.attempts
            self._end(request, REJECTED if was_rejected else FAILED)

    def _send(self, request_id: str, request: _Request, send: Send) -> None:
        number = len(request.attempts)
        attempt = Attempt(lambda outcome: self._attempt_ended(request_id, request, number, outcome))
        request.attempts.append(attempt)
        request.sent_at.append(self.clock.now)
        if send.timeout > 0.0:
            self.clock.call_at(
                self.clock.now + send.timeout, lambda: self._time_out(request_id, request, number, attempt)
            )
        self.backends[send.server].submit(attempt)

    def _cancel(self, request_id: str, request: _Request, number: int) -> None:
        attempt = request.attempts[number]
        if not attempt.is_finished:
            attempt.is_finished = True
            self._attempt_ended(request_id, request, number, Outcome.CANCELLED)
