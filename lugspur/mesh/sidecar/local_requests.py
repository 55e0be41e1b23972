"""Requests of this machine's callers for this machine's own backend: they go to its limiter without a connection."""

from __future__ import annotations

from lugspur.mesh.dataplane.admitted_request import AdmittedRequest
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter


class LocalRequest:
    """A request for the backend of this machine, as its sender handles it."""

    __slots__ = ("_admitted", "_limiter")

    def __init__(self, limiter: ConcurrencyLimiter, admitted: AdmittedRequest | None) -> None:
        """`admitted`: none where the limiter has rejected it."""
        self._limiter, self._admitted = limiter, admitted

    def cancel(self) -> None:
        """Nobody waits for it: it is ended."""
        if self._admitted is not None:
            self._limiter.cancel(self._admitted)

    def withdraw(self) -> None:
        """Nobody waits for it: it is not started if it has not been."""
        if self._admitted is not None:
            self._limiter.withdraw(self._admitted)
