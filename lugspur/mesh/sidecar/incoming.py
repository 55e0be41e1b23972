"""Requests of other machines for the local backend: from incoming connections to the concurrency limiter."""

from __future__ import annotations

import asyncio

from lugspur.mesh import events
from lugspur.mesh.control.messages import (
    BodyChunk,
    CancelRequest,
    FetchOutcomes,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    Hello,
    Message,
    WithdrawRequest,
)
from lugspur.mesh.dataplane.admitted_request import AdmittedRequest
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.delay_estimation import ExcessDelayEstimator
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.upload_scheduler import UploadKey, UploadScheduler
from lugspur.mesh.dataplane.urgency import urgency_of
from lugspur.mesh.sidecar.unrun_requests import UnrunRequests
from lugspur.mesh.transport.link import Link


class _Sender:
    """The state of the process at the other end of one connection."""

    __slots__ = ("delay", "highest_number", "incarnation")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.highest_number = 0  # highest number of its requests on this connection
        self.delay = ExcessDelayEstimator()


class IncomingExchanges:
    """All requests of other machines that are in flight on this one, by connection and number.

    A connection belongs to one incarnation of a process at each end, and so do all messages on it. Requests are
    accepted only after a Hello, which names the incarnation, and only with increasing numbers, so that none is
    accepted twice.
    """

    def __init__(self, limiter: ConcurrencyLimiter, uploads: UploadScheduler[Link], hello: Hello) -> None:
        """`hello`: the reply of this process to the Hello of a connecting peer."""
        self._loop = asyncio.get_running_loop()
        self._limiter, self.uploads, self._hello = limiter, uploads, hello
        self._admitted: dict[tuple[Link, int], AdmittedRequest] = {}
        self._senders: dict[Link, _Sender] = {}
        self._unrun_requests = UnrunRequests()
        uploads.on_room = self._grant

    def receive(self, link: Link, message: Message) -> None:
        """Handle a message on an incoming connection."""
        if isinstance(message, Hello):
            self._receive_hello(link, message)
        elif isinstance(message, ForwardRequest):
            self._receive_request(link, message)
        elif isinstance(message, BodyChunk):
            self._receive_chunk(link, message)
        elif isinstance(message, CancelRequest):
            self._cancel(link, message.number)
        elif isinstance(message, WithdrawRequest):
            self._withdraw(link, message.number)
        elif isinstance(message, FetchOutcomes):
            self._send_outcomes(link, message)

    def _receive_hello(self, link: Link, message: Hello) -> None:
        link.peer = message.ip
        sender = self._senders.setdefault(link, _Sender(message.incarnation))
        if message.incarnation != sender.incarnation:
            events.warn("life", peer=link.peer, life=message.incarnation)
            link.close()
        elif message.sent_at:
            sender.delay.observe(self._loop.time(), message.sent_at)
        else:
            link.send(self._hello)

    # ---- requests --------------------------------------------------------------------------

    def _receive_request(self, link: Link, forward: ForwardRequest) -> None:
        """Handle a request, or the announcement of a request whose body is sent in chunks."""
        sender = self._senders.get(link)
        if sender is None or forward.number <= sender.highest_number:
            events.warn("forward", peer=link.peer, n=forward.number)
            link.close()
            return
        sender.highest_number = forward.number
        if forward.key:
            self._unrun_requests.record_received(sender.incarnation, forward.number)
        # A request that was delayed, by a partition or a pause of this process, must not run after its caller has given
        # up.
        excess = sender.delay.observe(self._loop.time(), forward.sent_at)
        forward.seconds_left -= excess
        forward.latency_target_left -= excess
        if forward.seconds_left <= 0.0:
            self._reject(link, forward.number, FailureCause.EXPIRED)
        elif forward.body_bytes:
            self._offer_upload(link, forward)
        elif not self.uploads.count_received(forward):
            self._reject(link, forward.number, FailureCause.QUEUE_FULL)
        else:
            self._submit(link, forward)

    def _submit(self, link: Link, forward: ForwardRequest) -> None:
        """Submit a complete request to the limiter."""
        number, incarnation = forward.number, self._senders[link].incarnation

        def respond(response: ForwardResponse) -> None:
            self._admitted.pop((link, number), None)
            if forward.key and response.outcome == RequestOutcome.NOT_RUN:
                self._keep_proof(link, incarnation, response)
            link.send(response)

        admitted = self._limiter.submit(forward, respond)
        if admitted is not None and not admitted.is_finished:
            self._admitted[link, number] = admitted

    def _reject(self, link: Link, number: int, cause: FailureCause) -> None:
        """Reject a request that was not submitted to the limiter."""
        self._unrun_requests.record_unrun(self._senders[link].incarnation, number)
        link.send(self._limiter.reject(number, cause))

    def _cancel(self, link: Link, number: int) -> None:
        """Cancel a request whose caller no longer waits."""
        admitted = self._admitted.pop((link, number), None)
        if admitted is not None:
            self._limiter.cancel(admitted)
        elif self.uploads.drop(UploadKey(link, number)):
            self._grant()

    def _withdraw(self, link: Link, number: int) -> None:
        """Prevent a request from being started if it has not been; once started, it may not be cancelled."""
        admitted = self._admitted.get((link, number))
        if admitted is not None:
            self._limiter.withdraw(admitted)
        elif self.uploads.drop(UploadKey(link, number)):
            self._reject(link, number, FailureCause.CANCELLED)
            self._grant()

    # ---- proofs that a request did not run -------------------------------------------------

    def _keep_proof(self, link: Link, incarnation: str, response: ForwardResponse) -> None:
        """Store the proof, since the reply may be lost; if its connection has ended, use the sender's others."""
        self._unrun_requests.record_unrun(incarnation, response.number)
        if not link.is_open:
            for other in self._links_of(incarnation):
                other.send(response)

    def _links_of(self, incarnation: str) -> list[Link]:
        return [link for link, sender in self._senders.items() if sender.incarnation == incarnation]

    def _send_outcomes(self, link: Link, message: FetchOutcomes) -> None:
        """Send proofs for those requests of lost connections that have not run."""
        sender = self._senders.get(link)
        if sender is None:
            events.warn("outcomes", peer=link.peer)
            link.close()
            return
        # A request that is still unread on a former connection must not be accepted after the proof that it never runs.
        for other in self._links_of(sender.incarnation):
            if other is not link:
                other.close()
        for number in message.numbers:
            if self._unrun_requests.is_proven_unrun(sender.incarnation, number):
                link.send(
                    ForwardResponse(number, RequestOutcome.NOT_RUN, None, False, cause=FailureCause.NEVER_RECEIVED)
                )

    # ---- bodies in chunks ------------------------------------------------------------------

    def _offer_upload(self, link: Link, forward: ForwardRequest) -> None:
        """Schedule the body of a request, or reject the request if its body would arrive too late."""
        now, number = self._loop.time(), forward.number
        urgency, service_time = urgency_of(now, forward), self._limiter.service_times.expected(forward.route)
        if self._limiter.has_capacity(forward) and self.uploads.offer(
            now, UploadKey(link, number), forward, urgency, service_time
        ):
            self._grant()
        else:
            self._reject(link, number, FailureCause.UPLOAD_TOO_LATE)

    def _receive_chunk(self, link: Link, message: BodyChunk) -> None:
        try:
            complete = self.uploads.receive(self._loop.time(), UploadKey(link, message.number), message.data)
        except ValueError as fault:
            events.warn("part", peer=link.peer, fault=str(fault))
            link.close()
            return
        if complete is not None:
            self._submit(link, complete)
        self._grant()

    def _grant(self) -> None:
        """Send grants to the senders whose bodies are next."""
        for grant in self.uploads.grant(self._loop.time()):
            grant.key.source.send(GrantBody(grant.key.number, grant.up_to_offset))

    # ---- lost connections and time-outs ----------------------------------------------------

    def link_ended(self, link: Link) -> None:
        """Handle the end of an incoming connection."""
        sender = self._senders.pop(link, None)
        for upload_key in self.uploads.keys_from(link):
            self.uploads.drop(upload_key)
            if sender is not None:
                self._unrun_requests.record_unrun(sender.incarnation, upload_key.number)
        for key in [key for key in self._admitted if key[0] is link]:
            admitted = self._admitted.pop(key)
            if admitted.forward.is_safe:  # An unsafe request goes on: its response may be stored for a repeat.
                self._limiter.cancel(admitted)

    def tick(self, now: float) -> None:
        """Reject requests whose bodies have not arrived by their deadline, and grant more bytes."""
        if len(self.uploads):
            for link, number in self.uploads.drop_expired(now):
                self._reject(link, number, FailureCause.UPLOAD_TOO_LATE)
            self._grant()
