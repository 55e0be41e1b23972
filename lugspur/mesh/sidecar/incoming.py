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
from lugspur.mesh.dataplane.upload_scheduler import UploadScheduler
from lugspur.mesh.dataplane.urgency import urgency_of
from lugspur.mesh.sidecar.request_outcomes import RequestOutcomes
from lugspur.mesh.transport.link import Link


class _Caller:
    """Who dialled, on one connection."""

    __slots__ = ("delay", "latest", "life")

    def __init__(self, life: str) -> None:
        self.life = life
        self.latest = 0  # the highest number of its requests
        self.delay = ExcessDelayEstimator()


class IncomingExchanges:
    """All requests of others that are in hand here, by connection and number.

    A connection lies between one life of a process and one of another: what came on it belongs to no other. Requests
    are taken only behind a Hello, which names the life, and by rising numbers: none is taken twice.
    """

    def __init__(self, limiter: ConcurrencyLimiter, uploads: UploadScheduler, hello: Hello) -> None:
        """`hello`: what this process says of itself to who dials it."""
        self._loop = asyncio.get_running_loop()
        self._limiter, self.uploads, self._hello = limiter, uploads, hello
        self.expired = 0  # requests whose time was over when they were read
        self._admitted: dict[tuple[Link, int], AdmittedRequest] = {}
        self._callers: dict[Link, _Caller] = {}
        self._outcomes = RequestOutcomes()

    def heard(self, link: Link, message: Message) -> None:
        """Something from one who dialled."""
        if isinstance(message, Hello):
            self._greeted(link, message)
        elif isinstance(message, ForwardRequest):
            self._forwarded(link, message)
        elif isinstance(message, BodyChunk):
            self._part(link, message)
        elif isinstance(message, CancelRequest):
            admitted = self._admitted.pop((link, message.number), None)
            if admitted is not None:
                self._limiter.cancel(admitted)
            elif self.uploads.drop((link, message.number)):
                self._grant()
        elif isinstance(message, WithdrawRequest):
            self._withdrawn(link, message.number)
        elif isinstance(message, FetchOutcomes):
            self._asked_outcomes(link, message)

    def _greeted(self, link: Link, message: Hello) -> None:
        link.peer = message.ip
        caller = self._callers.setdefault(link, _Caller(message.incarnation))
        if message.incarnation != caller.life:
            events.warn("life", peer=link.peer, life=message.incarnation)
            link.close()
        elif message.sent_at:
            caller.delay.observe(self._loop.time(), message.sent_at)
        else:
            link.send(self._hello)

    def _forwarded(self, link: Link, forward: ForwardRequest) -> None:
        """A request, or the word that one with a large body waits to be sent."""
        caller = self._callers.get(link)
        if caller is None or forward.number <= caller.latest:
            events.warn("forward", peer=link.peer, n=forward.number)
            link.close()
            return
        caller.latest = forward.number
        if forward.key:
            self._outcomes.came(caller.life, forward.number)
        # Guards against running what was held up on its way (a cut, or this process frozen) until nobody waits for it.
        excess = caller.delay.observe(self._loop.time(), forward.sent_at)
        forward.seconds_left -= excess
        forward.latency_target_left -= excess
        if forward.seconds_left <= 0.0:
            self.expired += 1
            self._turn_away(link, forward.number, FailureCause.EXPIRED)
        elif forward.body_bytes:
            self._offered(link, forward)
        else:
            self._run(link, forward)

    def _run(self, link: Link, forward: ForwardRequest) -> None:
        """A whole request for this machine's backend."""
        n, life = forward.number, self._callers[link].life

        def respond(said: ForwardResponse) -> None:
            self._admitted.pop((link, n), None)
            if forward.key and said.outcome == RequestOutcome.NOT_RUN:
                self._proved_unrun(link, life, said)
            link.send(said)

        admitted = self._limiter.submit(forward, respond)
        if admitted is not None and not admitted.is_finished:
            self._admitted[link, n] = admitted

    def _proved_unrun(self, link: Link, life: str, said: ForwardResponse) -> None:
        """Keep the proof for a sender that may not hear it; one that has connected anew is told there."""
        self._outcomes.did_not_run(life, said.number)
        if not link.is_open:
            for other in self._connections_of(life):
                other.send(said)

    def _connections_of(self, life: str) -> list[Link]:
        return [link for link, caller in self._callers.items() if caller.life == life]

    def _asked_outcomes(self, link: Link, message: FetchOutcomes) -> None:
        """Tell which requests of lost connections are proven not to have run."""
        caller = self._callers.get(link)
        if caller is None:
            events.warn("outcomes", peer=link.peer)
            link.close()
            return
        # Guards the proof: nothing that waits unread on a former connection may come after it.
        for other in self._connections_of(caller.life):
            if other is not link:
                other.close()
        for number in message.numbers:
            if self._outcomes.proven_unrun(caller.life, number):
                link.send(
                    ForwardResponse(number, RequestOutcome.NOT_RUN, None, False, cause=FailureCause.NEVER_RECEIVED)
                )

    def _withdrawn(self, link: Link, number: int) -> None:
        """Nobody waits for one that may not be cancelled: it is not begun any more."""
        admitted = self._admitted.get((link, number))
        if admitted is not None:
            self._limiter.withdraw(admitted)
        elif self.uploads.drop((link, number)):
            self._turn_away(link, number, FailureCause.CANCELLED)
            self._grant()

    def _part(self, link: Link, message: BodyChunk) -> None:
        try:
            whole = self.uploads.receive(self._loop.time(), (link, message.number), message.data)
        except ValueError as fault:
            events.warn("part", peer=link.peer, fault=str(fault))
            link.close()
            return
        if whole is not None:
            self._run(link, whole)
        self._grant()

    def _offered(self, link: Link, forward: ForwardRequest) -> None:
        """A request whose body would come in parts."""
        now, n = self._loop.time(), forward.number
        urgency, pace = urgency_of(now, forward), self._limiter.service_times.expected(forward.route)
        if self._limiter.has_capacity(forward) and self.uploads.offer(now, (link, n), forward, urgency, pace):
            self._grant()
        else:
            self._turn_away(link, n, FailureCause.UPLOAD_TOO_LATE)

    def _turn_away(self, link: Link, number: int, cause: FailureCause) -> None:
        """Reply to one that was not handed to the limiter."""
        self._outcomes.did_not_run(self._callers[link].life, number)
        link.send(self._limiter.reject(number, cause))

    def _grant(self) -> None:
        """Let those send whose turn it is."""
        for key, upto in self.uploads.grant(self._loop.time()):
            link, n = key
            link.send(GrantBody(n, upto))

    def ended(self, link: Link) -> None:
        """A connection that was dialled to here has ended."""
        caller = self._callers.pop(link, None)
        for key in self.uploads.keys_from(link):
            self.uploads.drop(key)
            if caller is not None:
                self._outcomes.did_not_run(caller.life, key[1])
        for key in [key for key in self._admitted if key[0] is link]:
            admitted = self._admitted.pop(key)
            if admitted.forward.is_safe:  # nobody hears its answer; others' may be kept for a repeat
                self._limiter.cancel(admitted)

    def look(self, now: float) -> None:
        """RequestOutcome bodies whose time is over."""
        if len(self.uploads):
            for link, n in self.uploads.drop_expired(now):
                self._turn_away(link, n, FailureCause.UPLOAD_TOO_LATE)
            self._grant()
