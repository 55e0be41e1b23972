"""The caller's side: all requests that start on one machine, by the design's breakers and pick."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any

from lugspur.load_balancing.retry_budget import RetryBudget
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.dataplane.endpoints import Endpoint, EndpointListing
from lugspur.mesh.dataplane.interfaces import KeyReservations, OpenRequest, RequestCarrier
from lugspur.mesh.dataplane.proxied_request import BY_MS, ProxiedRequest
from lugspur.mesh.dataplane.rejection import reject
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.observability.failures import FailureLog, Standing, keep_only
from lugspur.observability.metrics import Histogram
from lugspur.seams import Answerable, Request

ATTEMPT, KEY = b"lugspur-attempt-id", b"lugspur-operation-key"
ID_MOST = 256  # bytes of an id or a key
BUDGET_PART = 0.5  # of the retry budget that is used: nested calls of what runs twice count too, and views lag


class Proxy:
    """All requests that start on this machine."""

    def __init__(
        self,
        table: RouteTable,
        carrier: RequestCarrier,
        keys: KeyReservations,
        rng: Random,
        ratio: float,
        slack: float,
        span: float,
        zone: str,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.table, self.carrier, self.keys, self.rng = table, carrier, keys, rng
        self._ratio, self._slack, self._span = ratio * BUDGET_PART, slack * BUDGET_PART, span
        self.zone = zone
        self.proxies = 1  # how many share the budget
        self.services: dict[str, dict[str, Endpoint]] = {}  # by the backend's id
        self.budgets: dict[str, RetryBudget] = {}
        self.sender = ""  # the service of this machine
        self.open_requests: set[OpenRequest] = set()
        self._life = os.urandom(8).hex().encode()
        self._claims = itertools.count(1)
        self.ended: Counter[str] = Counter()  # requests since the start, by how they ended
        self.seconds = Histogram("request_seconds", "Seconds from a request's first byte to its answer, if served.")
        self.failures = FailureLog(lambda: Standing(0, 0, 0.0), keep_only)

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
        """This process's part of the service's retry budget."""
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = RetryBudget(0.0, self._ratio, self._span)
        found.set_minimum(self._slack / max(1, self.proxies))
        return found

    def reservation_id(self, attempt: bytes) -> bytes:
        """Names one claim of an operation key: no other claim, of whatever process at whatever time, has this name.

        Guards against a second run: a voter grants a key again to whom it has granted it. By the attempt's id alone
        two requests that bear one id, or a request of a former life of this process, would count as one claim.
        """
        return b"%b.%b.%d" % (attempt, self._life, next(self._claims))

    def request_opened(self, request: OpenRequest) -> None:
        """One more has no answer yet."""
        self.open_requests.add(request)

    def request_closed(self, request: OpenRequest) -> None:
        """One has been answered, or its caller has left."""
        self.open_requests.discard(request)

    def count(self, ending: str) -> None:
        """Count a request by how it ended, or by why it could not go on."""
        self.ended[ending] += 1

    def request_served(self, seconds: float) -> None:
        """One more was answered by a backend's success."""
        self.count("answered")
        self.seconds.add(seconds)

    def request_failed(self, attempt: bytes, ending: str, **facts: Any) -> None:
        """Count a request that failed and keep an account of it; `facts` are fields of `FailedRequest`."""
        self.count(ending)
        self.failures.add(attempt, ending, **facts)

    def handle(self, request: Request, caller: Answerable) -> None:
        """Take one request; its caller gets one answer."""
        try:
            proxied_request = self._take(request, caller)
        except MeshError as fault:
            self.request_failed(request.headers.get(ATTEMPT, b"")[:ID_MOST], fault.kind.value)
            reject(caller, fault.kind)
            return
        proxied_request.begin()

    def _take(self, request: Request, caller: Answerable) -> ProxiedRequest:
        headers = request.headers
        attempt, key = headers.get(ATTEMPT, b""), headers.get(KEY, b"")
        # Guards what must run once against two readings of one id: repeated headers are joined by commas.
        if not 0 < len(attempt) <= ID_MOST or b"," in attempt or len(key) > ID_MOST or not request.target[:1] == b"/":
            raise MeshError(ErrorKind.BAD_REQUEST)
        if not len(self.table):
            raise MeshError(ErrorKind.NOT_READY)
        route = self.table.find(headers.get(b"host", b""), request.target)
        if route is None:
            raise MeshError(ErrorKind.NO_ROUTE)
        left = route.deadline
        told = headers.get(BY_MS)
        if told is not None:
            if not told.isdigit() or len(told) > 9:
                raise MeshError(ErrorKind.BAD_REQUEST)
            left = min(left, int(told) / 1000.0)
        back = route.is_returning_caller(left)
        caller.admit()
        return ProxiedRequest(self, request, caller, route, request.arrived + left, attempt, key, back)
