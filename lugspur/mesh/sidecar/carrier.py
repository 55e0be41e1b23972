"""Sends requests to the concurrency limiter of a backend, on this machine or another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from lugspur.mesh.control.messages import ForwardRequest, ForwardResponse
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.interfaces import SentRequest
from lugspur.mesh.sidecar.backend_status import BackendStatus
from lugspur.mesh.sidecar.local_requests import LocalRequest
from lugspur.mesh.sidecar.outgoing import OutgoingExchanges
from lugspur.mesh.transport.dialer import Dialer


class MeshRequestCarrier:
    """Implements `lugspur.mesh.dataplane.interfaces.RequestCarrier` with local calls and connections to peers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ip: str,
        *,
        peers: Mapping[str, Dialer],
        backends: Mapping[str, BackendStatus],
        limiter: ConcurrencyLimiter,
        outgoing: OutgoingExchanges,
    ) -> None:
        """`ip`: this machine's address; `peers` and `backends`: by IP address; `limiter`: of the local backend."""
        self._loop, self._ip = loop, ip
        self._peers, self._backends = peers, backends
        self._limiter, self._outgoing = limiter, outgoing

    def is_reachable(self, ip: str) -> bool:
        """Whether the machine can be reached now."""
        if ip == self._ip:
            return True
        dialer = self._peers.get(ip)
        return dialer is not None and dialer.link is not None and dialer.link.has_received_hello

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> SentRequest:
        """Send a request to the limiter of a machine's backend; `respond` is called with its result."""
        if ip == self._ip:
            return LocalRequest(self._limiter, self._limiter.submit(forward, respond))
        link = self._peers[ip].link
        assert link is not None
        status = self._backends.get(ip)
        rate = 0.0 if status is None else status.link_rate
        return self._outgoing.send(self._loop.time(), ip, link, rate, forward, respond)
