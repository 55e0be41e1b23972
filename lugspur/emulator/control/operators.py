"""Operators of a random history: they send random change requests and retry them until the outcome is clear."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.control.mesh_world import MeshWorld
from lugspur.emulator.control.register_world import route
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.change_requests import Confirmed, NoQuorum, Outcome, Refused, Unclear
from lugspur.mesh.control.messages import Entry

OPERATORS = 2
# Maximum number of unfinished requests of one operator.
MAX_UNFINISHED_REQUESTS = 8
# Seconds after which a caller stops waiting for a node and tries another.
CALLER_TIMEOUT_S = 1.0
# Maximum number of attempts of one request.
MAX_ATTEMPTS = 4
# Fraction of all requests that repeat a request that was confirmed before.
REPEATED_FRACTION = 0.15
# Fraction of the new requests that change a route, which is validated against the other routes.
ROUTE_FRACTION = 0.15
# Fraction of the new requests that reuse an edition, mostly with another content.
REUSED_EDITION_FRACTION = 0.2
# Fraction of the new requests that withdraw an item.
WITHDRAWN_FRACTION = 0.1
# Fraction of the outcomes that don't reach the operator.
LOST_OUTCOME_FRACTION = 0.1
# Fraction of the retries that go to all nodes at once.
EVERYWHERE_FRACTION = 0.2
ROUTES = ("one", "two", "three")
# Path prefixes of the routes.
PREFIXES = ("/p/", "/q/")


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A change request that an operator wants to have confirmed.

    `operator` is the operator among whose unfinished requests it counts; None if it counts for no operator.
    """

    entries: list[Entry]
    operator: int | None
    attempts: int = 0
    is_finished: bool = False
    withdrawals: list[Callable[[], None]] = field(default_factory=list)


class Operators:
    """All operators of one history."""

    def __init__(self, world: MeshWorld, setting: Setting, rng: Random) -> None:
        self._world, self._rng = world, rng
        self._value_size = setting.item_bytes
        self._names = [f"r{number}" for number in range(setting.item_count)]
        self._editions = dict.fromkeys(self._names, 0)
        self._replacements = 0  # replacements of routes, which give their editions
        self._confirmed: list[list[Entry]] = []  # requests that were confirmed
        self._unfinished = [0] * OPERATORS

    def send_random_request(self) -> None:
        """Have a random operator send a new request, or repeat one that was confirmed before."""
        operator = self._rng.randrange(OPERATORS)
        if self._confirmed and self._rng.random() < REPEATED_FRACTION:
            self.submit(self._rng.choice(self._confirmed))
        elif self._unfinished[operator] < MAX_UNFINISHED_REQUESTS:
            self._unfinished[operator] += 1
            self.submit(self._random_entries(operator), operator)

    def submit(self, entries: list[Entry], operator: int | None = None) -> None:
        """Send entries and retry until their outcome is clear or no attempts are left."""
        self._send_attempt(PendingRequest(entries, operator))

    def _random_entries(self, operator: int) -> list[Entry]:
        rng = self._rng
        number = rng.random()
        if number < ROUTE_FRACTION:
            self._replacements += 1
            return route(rng.choice(ROUTES), self._replacements, rng.choice(PREFIXES))
        reuses_edition = number < ROUTE_FRACTION + REUSED_EDITION_FRACTION
        is_withdrawn = number > 1.0 - WITHDRAWN_FRACTION
        return [self._random_entry(name, operator, reuses_edition, is_withdrawn) for name in self._random_names()]

    def _random_names(self) -> list[str]:
        return self._rng.sample(self._names, self._rng.choice((1, 1, 2)))

    def _random_entry(self, name: str, operator: int, reuses_edition: bool, is_withdrawn: bool) -> Entry:
        if reuses_edition:
            edition = self._rng.randint(1, max(1, self._editions[name]))
        else:
            self._editions[name] += 1
            edition = self._editions[name]
        value = b"%d.%d" % (operator, self._rng.randrange(2))
        return Entry("notes", name, edition, None if is_withdrawn else value.ljust(self._value_size, b"."))

    def _send_attempt(self, request: PendingRequest) -> None:
        request.attempts += 1
        nodes = self._world.running_nodes()
        if not nodes:
            self._finish(request)
            return
        to_all_nodes = request.attempts > 1 and self._rng.random() < EVERYWHERE_FRACTION
        for node in nodes if to_all_nodes else [self._rng.choice(nodes)]:
            withdraw = self._world.submit_change(
                node.ip, request.entries, lambda outcome: self._handle_outcome(request, outcome)
            )
            request.withdrawals.append(withdraw)
        attempts = request.attempts

        def time_out() -> None:
            if not request.is_finished and request.attempts == attempts:
                for withdraw in request.withdrawals:
                    withdraw()
                request.withdrawals.clear()
                self._retry(request)

        self._world.schedule(CALLER_TIMEOUT_S, time_out)

    def _handle_outcome(self, request: PendingRequest, outcome: Outcome) -> None:
        counters = self._world.counters
        counters.confirmed += isinstance(outcome, Confirmed)
        counters.refused += isinstance(outcome, Refused)
        counters.unclear += isinstance(outcome, Unclear)
        counters.no_quorum += isinstance(outcome, NoQuorum)
        if request.is_finished or self._rng.random() < LOST_OUTCOME_FRACTION:
            return
        if isinstance(outcome, Confirmed | Refused):
            if isinstance(outcome, Confirmed):
                self._confirmed.append(request.entries)
            self._finish(request)
        else:
            self._world.schedule(self._rng.uniform(0.01, 0.3), lambda: self._retry(request))

    def _retry(self, request: PendingRequest) -> None:
        if request.is_finished:
            return
        if request.attempts >= MAX_ATTEMPTS:
            self._finish(request)
        else:
            self._send_attempt(request)

    def _finish(self, request: PendingRequest) -> None:
        if not request.is_finished:
            request.is_finished = True
            if request.operator is not None:
                self._unfinished[request.operator] -= 1
