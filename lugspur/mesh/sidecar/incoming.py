"""Requests of other machines for the backend of this one: from connections dialled here to the concurrency limiter."""

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
    """The process at the other end of one connection."""

    __slots__ = ("delay", "highest_number", "incarnation")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.highest_number = 0  # of its requests on this connection
        self.delay = ExcessDelayEstimator()


class IncomingExchanges:
    """All requests of other machines that are in flight here, by connection and number.

    A connection lies between one incarnation of a process and one of another: what came on it belongs to no other.
    Requests are taken only after a Hello, which names the incarnation, and with rising numbers: none is taken twice.
    """

    def __init__(self, limiter: ConcurrencyLimiter, uploads: UploadScheduler[Link], hello: Hello) -> None:
        """`hello`: what this process answers to who dials it."""
        self._loop = asyncio.get_running_loop()
        self._limiter, self.uploads, self._hello = limiter, uploads, hello
        self._admitted: dict[tuple[Link, int], AdmittedRequest] = {}
        self._senders: dict[Link, _Sender] = {}
        self._unrun_requests = UnrunRequests()

    def receive(self, link: Link, message: Message) -> None:
        """Take a message of a process that has dialled this one."""
        if isinstance(message, Hello):
            self._greet(link, message)
        elif isinstance(message, ForwardRequest):
            self._take(link, message)
        elif isinstance(message, BodyChunk):
            self._take_chunk(link, message)
        elif isinstance(message, CancelRequest):
            self._cancel(link, message.number)
        elif isinstance(message, WithdrawRequest):
            self._withdraw(link, message.number)
        elif isinstance(message, FetchOutcomes):
            self._send_outcomes(link, message)

    def _greet(self, link: Link, message: Hello) -> None:
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

    def _take(self, link: Link, forward: ForwardRequest) -> None:
        """Take a request, or the announcement of one whose body is sent in chunks."""
        sender = self._senders.get(link)
        if sender is None or forward.number <= sender.highest_number:
            events.warn("forward", peer=link.peer, n=forward.number)
            link.close()
            return
        sender.highest_number = forward.number
        if forward.key:
            self._unrun_requests.received(sender.incarnation, forward.number)
        # Guards against running what was delayed (by a partition, or while this process was paused) until nobody waits
        # for it any more.
        excess = sender.delay.observe(self._loop.time(), forward.sent_at)
        forward.seconds_left -= excess
        forward.latency_target_left -= excess
        if forward.seconds_left <= 0.0:
            self._reject(link, forward.number, FailureCause.EXPIRED)
        elif forward.body_bytes:
            self._offer_upload(link, forward)
        else:
            self._run(link, forward)

    def _run(self, link: Link, forward: ForwardRequest) -> None:
        """Hand a complete request to the limiter."""
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
        """Reply to a request that was not handed to the limiter."""
        self._unrun_requests.did_not_run(self._senders[link].incarnation, number)
        link.send(self._limiter.reject(number, cause))

    def _cancel(self, link: Link, number: int) -> None:
        """Nobody waits for a request any more: it is ended."""
        admitted = self._admitted.pop((link, number), None)
        if admitted is not None:
            self._limiter.cancel(admitted)
        elif self.uploads.drop(UploadKey(link, number)):
            self._grant()

    def _withdraw(self, link: Link, number: int) -> None:
        """Nobody waits for a request that may not be cancelled: it is not started if it has not been."""
        admitted = self._admitted.get((link, number))
        if admitted is not None:
            self._limiter.withdraw(admitted)
        elif self.uploads.drop(UploadKey(link, number)):
            self._reject(link, number, FailureCause.CANCELLED)
            self._grant()

    # ---- proofs that a request did not run -------------------------------------------------

    def _keep_proof(self, link: Link, incarnation: str, response: ForwardResponse) -> None:
        """Keep the proof for a sender that may not receive it, and send it where that has connected anew."""
        self._unrun_requests.did_not_run(incarnation, response.number)
        if not link.is_open:
            for other in self._links_of(incarnation):
                other.send(response)

    def _links_of(self, incarnation: str) -> list[Link]:
        return [link for link, sender in self._senders.items() if sender.incarnation == incarnation]

    def _send_outcomes(self, link: Link, message: FetchOutcomes) -> None:
        """Send which requests of lost connections are proven not to have run."""
        sender = self._senders.get(link)
        if sender is None:
            events.warn("outcomes", peer=link.peer)
            link.close()
            return
        # Guards the proof: nothing that is unread on a former connection may be taken after it.
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
        """Have the body of a request scheduled, or reject the request where it would come too late."""
        now, number = self._loop.time(), forward.number
        urgency, seconds = urgency_of(now, forward), self._limiter.service_times.expected(forward.route)
        if self._limiter.has_capacity(forward) and self.uploads.offer(
            now, UploadKey(link, number), forward, urgency, seconds
        ):
            self._grant()
        else:
            self._reject(link, number, FailureCause.UPLOAD_TOO_LATE)

    def _take_chunk(self, link: Link, message: BodyChunk) -> None:
        try:
            complete = self.uploads.receive(self._loop.time(), UploadKey(link, message.number), message.data)
        except ValueError as fault:
            events.warn("part", peer=link.peer, fault=str(fault))
            link.close()
            return
        if complete is not None:
            self._run(link, complete)
        self._grant()

    def _grant(self) -> None:
        """Let the senders whose turn it is send their next bytes."""
        for grant in self.uploads.grant(self._loop.time()):
            grant.key.source.send(GrantBody(grant.key.number, grant.up_to_offset))

    # ---- the end of connections and of time ------------------------------------------------

    def link_ended(self, link: Link) -> None:
        """A connection that was dialled to here has ended."""
        sender = self._senders.pop(link, None)
        for upload_key in self.uploads.keys_from(link):
            self.uploads.drop(upload_key)
            if sender is not None:
                self._unrun_requests.did_not_run(sender.incarnation, upload_key.number)
        for key in [key for key in self._admitted if key[0] is link]:
            admitted = self._admitted.pop(key)
            if admitted.forward.is_safe:  # nobody receives its answer; those of others may be stored for a repeat
                self._limiter.cancel(admitted)

    def tick(self, now: float) -> None:
        """End bodies whose time is over."""
        if len(self.uploads):
            for link, number in self.uploads.drop_expired(now):
                self._reject(link, number, FailureCause.UPLOAD_TOO_LATE)
            self._grant()
