"""Requests of local callers for the local backend, which go to its limiter without a connection."""

from __future__ import annotations

from lugspur.mesh.dataplane.admitted_request import AdmittedRequest
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter


class LocalRequest:
    """The handle of a request for the local backend."""

    __slots__ = ("_admitted", "_limiter")

    def __init__(self, limiter: ConcurrencyLimiter, admitted: AdmittedRequest | None) -> None:
        """`admitted`: None if the limiter has rejected the request."""
        self._limiter, self._admitted = limiter, admitted

    def cancel(self) -> None:
        """Cancel the request, whose caller no longer waits."""
        if self._admitted is not None:
            self._limiter.cancel(self._admitted)

    def withdraw(self) -> None:
        """Prevent the request from being started if it has not been; its caller no longer waits."""
        if self._admitted is not None:
            self._limiter.withdraw(self._admitted)
