"""The proxy for all requests of one machine's callers: it accepts, routes and counts them."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Unpack

from lugspur.interfaces import Request, Responder
from lugspur.load_balancing.retry_budget import RetryBudget
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.dataplane.endpoints import Endpoint, EndpointListing
from lugspur.mesh.dataplane.interfaces import KeyReservations, OpenRequest, RequestCarrier
from lugspur.mesh.dataplane.proxied_request import ProxiedRequest
from lugspur.mesh.dataplane.rejection import reject
from lugspur.mesh.dataplane.request_headers import loggable_attempt_id, read_ids, read_seconds_left
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.observability.failures import ConfigurationState, FailureFacts, FailureLog, log_nothing
from lugspur.observability.metrics import Histogram

# Fraction of the allowed retry budget that is used. Retries within nested calls count too, and the number of proxies
# that share the budget is known only with a delay.
RETRY_BUDGET_FRACTION = 0.5
PROCESS_ID_BYTES = 8
SERVED = "answered"  # the result of a request with a successful response, in metrics and logs


class Proxy:
    """The proxy of this machine's callers; it implements `RequestHost` for its requests."""

    def __init__(
        self,
        table: RouteTable,
        carrier: RequestCarrier,
        keys: KeyReservations,
        rng: Random,
        *,
        retry_ratio: float,
        retry_slack: float,
        retry_window: float,
        zone: str,
    ) -> None:
        """Create a proxy that knows no backends.

        Each service's retry budget over `retry_window` seconds is `retry_ratio` of its requests plus `retry_slack`,
        which all proxies share. `zone`: zone of this machine.
        """
        self.loop = asyncio.get_running_loop()
        self.table, self.carrier, self.keys, self.rng = table, carrier, keys, rng
        self._retry_ratio = retry_ratio * RETRY_BUDGET_FRACTION
        self._retry_slack = retry_slack * RETRY_BUDGET_FRACTION
        self._retry_window = retry_window
        self.zone = zone
        self.proxy_count = 1  # processes that share the retry budgets
        self.services: dict[str, dict[str, Endpoint]] = {}  # by service name and backend id
        self.budgets: dict[str, RetryBudget] = {}  # by service name
        self.sender = ""  # the service of this machine
        self.open_requests: set[OpenRequest] = set()
        self._process_id = os.urandom(PROCESS_ID_BYTES).hex().encode()
        self._reservation_numbers = itertools.count(1)
        self.results: Counter[str] = Counter()  # requests since the start of the process, by result
        self.seconds = Histogram("request_seconds", "Seconds from a request's first byte to its answer, if served.")
        self.failures = FailureLog(lambda: ConfigurationState(0, 0, 0.0), log_nothing)

    def update_endpoints(self, service: str, listings: Mapping[str, EndpointListing]) -> None:
        """Replace the backends of a service, by id; the state of backends that are no longer listed is dropped."""
        known = self.services.get(service, {})
        endpoints: dict[str, Endpoint] = {}
        for ident, listing in listings.items():
            endpoint = known.get(ident) or Endpoint(ident, service, listing.ip, listing.zone)
            endpoint.slow_start_until = listing.slow_start_until
            endpoints[ident] = endpoint
        if endpoints:
            self.services[service] = endpoints
        else:
            self.services.pop(service, None)

    def budget(self, service: str) -> RetryBudget:
        """Return this process's share of the service's retry budget."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(0.0, self._retry_ratio, self._retry_window)
        budget.set_minimum(self._retry_slack / max(1, self.proxy_count))
        return budget

    def reservation_id(self, attempt_id: bytes) -> bytes:
        """Return an id for one reservation of an idempotency key that is unique over all processes and all time.

        This prevents a second run, since a voter grants a key again to its present owner. With the attempt id alone,
        two requests with the same id, or a request of an earlier process on this machine, would count as one owner.
        """
        return b"%b.%b.%d" % (attempt_id, self._process_id, next(self._reservation_numbers))

    def request_opened(self, request: OpenRequest) -> None:
        """Add a request to the open ones."""
        self.open_requests.add(request)

    def request_closed(self, request: OpenRequest) -> None:
        """Remove a request from the open ones: it has a response, or its caller has disconnected."""
        self.open_requests.discard(request)

    def count(self, result: str) -> None:
        """Count a request by its result, or by the reason for which no backend was selected."""
        self.results[result] += 1

    def request_served(self, seconds: float) -> None:
        """Count a request with a successful response, sent `seconds` after the request arrived."""
        self.count(SERVED)
        self.seconds.add(seconds)

    def request_failed(self, attempt_id: bytes, result: str, **facts: Unpack[FailureFacts]) -> None:
        """Count a failed request and add it to the failure log; `facts` are fields of `FailedRequest`."""
        self.count(result)
        self.failures.add(attempt_id, result, **facts)

    def handle(self, request: Request, caller: Responder) -> None:
        """Handle a request; its caller gets exactly one response."""
        try:
            proxied_request = self._accept(request, caller)
        except MeshError as error:
            self.request_failed(loggable_attempt_id(request), error.kind.value)
            reject(caller, error.kind)
            return
        proxied_request.start()

    def _accept(self, request: Request, caller: Responder) -> ProxiedRequest:
        """Validate a request and find its route; raises MeshError if it can't be served."""
        ids = read_ids(request)
        if not request.target.startswith(b"/"):
            raise MeshError(ErrorKind.BAD_REQUEST)
        if not len(self.table):
            raise MeshError(ErrorKind.NOT_READY)
        route = self.table.find(request.headers.get(b"host", b""), request.target)
        if route is None:
            raise MeshError(ErrorKind.NO_ROUTE)
        seconds_left = read_seconds_left(request)
        seconds_left = route.deadline if seconds_left is None else min(route.deadline, seconds_left)
        was_rejected = route.is_returning_caller(seconds_left)
        caller.admit()
        return ProxiedRequest(
            self,
            request,
            caller,
            route,
            deadline=request.arrived + seconds_left,
            attempt_id=ids.attempt_id,
            key=ids.idempotency_key,
            was_rejected=was_rejected,
        )
