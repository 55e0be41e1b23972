"""The proxy for all requests that start on one machine: it accepts, counts and keeps them until they are answered."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Unpack

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
from lugspur.seams import Answerable, Request

# Of the service's retry budget, which rules allow: retries within nested calls count, too, and what this process knows
# of the others lags behind.
RETRY_BUDGET_FRACTION = 0.5
PROCESS_ID_BYTES = 8
SERVED = "answered"  # how a request is counted that a backend answered successfully


class Proxy:
    """All requests that start on this machine (see `RequestHost` for what they need of it)."""

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
        """Make a proxy that knows no backends.

        Each service's retry budget over `retry_window` seconds is `retry_ratio` of its requests plus `retry_slack`,
        which all proxies share. `zone`: of this machine.
        """
        self.loop = asyncio.get_running_loop()
        self.table, self.carrier, self.keys, self.rng = table, carrier, keys, rng
        self._retry_ratio = retry_ratio * RETRY_BUDGET_FRACTION
        self._retry_slack = retry_slack * RETRY_BUDGET_FRACTION
        self._retry_window = retry_window
        self.zone = zone
        self.proxy_count = 1  # processes that share the retry budgets
        self.services: dict[str, dict[str, Endpoint]] = {}  # by the backend's id
        self.budgets: dict[str, RetryBudget] = {}  # by service
        self.sender = ""  # the service of this machine
        self.open_requests: set[OpenRequest] = set()
        self._process_id = os.urandom(PROCESS_ID_BYTES).hex().encode()
        self._reservation_numbers = itertools.count(1)
        self.ended: Counter[str] = Counter()  # requests since the start, by how they ended
        self.seconds = Histogram("request_seconds", "Seconds from a request's first byte to its answer, if served.")
        self.failures = FailureLog(lambda: ConfigurationState(0, 0, 0.0), log_nothing)

    def update_endpoints(self, service: str, listings: Mapping[str, EndpointListing]) -> None:
        """Replace the backends of a service that accept requests, by id; what was learned of others is forgotten."""
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
        """Return this process's part of the service's retry budget."""
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = RetryBudget(0.0, self._retry_ratio, self._retry_window)
        found.set_minimum(self._retry_slack / max(1, self.proxy_count))
        return found

    def reservation_id(self, attempt_id: bytes) -> bytes:
        """Return a name for one reservation of an idempotency key that none has had, of any process at any time.

        Guards against a second run: a voter grants a key again to the owner that it has granted it to. By the attempt
        id alone two requests that bear one id, or a request of a former process here, would count as one reservation.
        """
        return b"%b.%b.%d" % (attempt_id, self._process_id, next(self._reservation_numbers))

    def request_opened(self, request: OpenRequest) -> None:
        """Note a request that has no answer yet."""
        self.open_requests.add(request)

    def request_closed(self, request: OpenRequest) -> None:
        """Note that a request has been answered, or that its caller has disconnected."""
        self.open_requests.discard(request)

    def count(self, ending: str) -> None:
        """Count a request by how it ended, or by why it could not go on."""
        self.ended[ending] += 1

    def request_served(self, seconds: float) -> None:
        """Count a request that a backend answered successfully, `seconds` after it arrived."""
        self.count(SERVED)
        self.seconds.add(seconds)

    def request_failed(self, attempt_id: bytes, ending: str, **facts: Unpack[FailureFacts]) -> None:
        """Count a request that failed and keep an account of it; `facts` are fields of `FailedRequest`."""
        self.count(ending)
        self.failures.add(attempt_id, ending, **facts)

    def handle(self, request: Request, caller: Answerable) -> None:
        """Take a request; its caller gets exactly one answer."""
        try:
            proxied_request = self._accept(request, caller)
        except MeshError as error:
            self.request_failed(loggable_attempt_id(request), error.kind.value)
            reject(caller, error.kind)
            return
        proxied_request.start()

    def _accept(self, request: Request, caller: Answerable) -> ProxiedRequest:
        """Check a request and find its route; raises MeshError for one that can't be served."""
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
