"""Exchanges between sidecars: messages of other connections or incarnations, delayed requests, and proofs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lugspur.http1.body_memory import BodyMemory
from lugspur.mesh.control.messages import (
    BackendResponse,
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
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.upload_scheduler import CHUNK_BYTES, UploadScheduler
from lugspur.mesh.sidecar.incoming import IncomingExchanges
from lugspur.mesh.sidecar.outgoing import MAX_UNPROVEN_REQUESTS, MAX_UNSENT_CHUNK_BYTES, OutgoingExchanges
from lugspur.mesh.sidecar.unrun_requests import MAX_UNRUN_REQUESTS, UnrunRequests
from lugspur.mesh.transport.link import Link

OWN = Hello("127.0.0.9", "own", False)


class Wire:
    """One end of a connection, which records the messages sent on it."""

    def __init__(self, peer: str = "", incarnation: str = "") -> None:
        self.peer, self.peer_incarnation, self.is_open = peer, incarnation, True
        self.sent: list[Message] = []
        self.unsent_bytes = 0
        self.on_writable: Callable[[Link], None] | None = None

    def send(self, message: Message) -> None:
        if self.is_open:
            self.sent.append(message)

    def close(self) -> None:
        self.is_open = False

    @property
    def replies(self) -> list[tuple[int, RequestOutcome]]:
        return [(m.number, RequestOutcome(m.outcome)) for m in self.sent if isinstance(m, ForwardResponse)]


class Rig:
    """The incoming exchanges, with a limiter whose requests the test finishes itself."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.admitted: list[AdmittedRequest] = []
        self.limiter = ConcurrencyLimiter(
            memory_bytes=64 << 20,
            max_connections=64,
            drain_seconds=2.0,
            on_completed=lambda forward, response, on_stored: on_stored(True),
            on_unreachable=lambda local: None,
        )
        self.now = asyncio.get_running_loop().time()
        self.limiter.local_backend = LocalBackend("i-1", "s", "127.0.0.1:9", self.now)
        self.limiter.local_backend.concurrency = 99
        self.limiter._start = self._start  # type: ignore[method-assign]
        memory = BodyMemory(1 << 20, asyncio.get_running_loop().call_soon)
        self.incoming = IncomingExchanges(self.limiter, UploadScheduler(330_000.0, memory), OWN)

    def _start(self, request: AdmittedRequest) -> None:
        self.started.append(request.forward.attempt_id)
        self.admitted.append(request)

    def receive(self, wire: Wire, *messages: Message) -> None:
        for message in messages:
            self.incoming.receive(wire, message)  # type: ignore[arg-type]

    def connect(self, incarnation: str = "one", hello_age: float | None = None) -> Wire:
        """Return a new incoming connection on which both Hellos have been received."""
        wire = Wire()
        self.receive(
            wire,
            Hello("127.0.0.2", incarnation, False),
            Hello("127.0.0.2", incarnation, False, self.stamp(hello_age or 0.0)),
        )
        return wire

    def stamp(self, age: float = 0.0) -> float:
        """Return the time `age` seconds ago on the clock of the peer, which differs from the local one."""
        return asyncio.get_running_loop().time() + 5000.0 - age


def forward(n: int, sent_at: float, seconds_left: float = 2.0, size: int = 0, key: bytes = b"") -> ForwardRequest:
    attempt = b"a%d" % n
    return ForwardRequest(
        n,
        "i-1",
        b"POST",
        b"/p",
        [],
        b"",
        seconds_left,
        seconds_left,
        attempt,
        0,
        False,
        "r",
        key,
        body_bytes=size,
        sent_at=sent_at,
    )


def run_scenario(scenario: Callable[[Rig], Awaitable[None] | None]) -> None:
    async def run() -> None:
        async with asyncio.timeout(10.0):
            coroutine = scenario(Rig())
            if coroutine is not None:
                await coroutine

    asyncio.run(run())


def test_a_request_is_accepted_only_after_a_hello_and_once() -> None:
    def scenario(rig: Rig) -> None:
        stranger = Wire()
        rig.receive(stranger, forward(1, rig.stamp()))
        assert not stranger.is_open and rig.started == []
        wire = rig.connect()
        assert wire.sent == [OWN]  # The second Hello, which has a time stamp, gets no reply.
        rig.receive(wire, forward(1, rig.stamp()), forward(3, rig.stamp()))
        assert rig.started == [b"a1", b"a3"] and wire.is_open
        for repeated in (3, 2):
            wire = rig.connect()
            rig.receive(wire, forward(3, rig.stamp()))
            rig.started.clear()
            rig.receive(wire, forward(repeated, rig.stamp()))
            assert rig.started == [] and not wire.is_open

    run_scenario(scenario)


def test_requests_of_two_incarnations_at_one_address_may_have_the_same_number() -> None:
    def scenario(rig: Rig) -> None:
        before, after = rig.connect("one"), rig.connect("two")
        rig.receive(before, forward(1, rig.stamp(), size=20_000))
        rig.receive(after, forward(1, rig.stamp(), size=30_000))
        # These messages concern request 1 of their own connection only.
        rig.receive(before, BodyChunk(1, bytes(CHUNK_BYTES)), CancelRequest(1))
        rig.incoming.link_ended(before)  # type: ignore[arg-type]
        for n in range(4):
            rig.receive(after, BodyChunk(1, bytes(min(CHUNK_BYTES, 30_000 - n * CHUNK_BYTES))))
        assert rig.started == [b"a1"] and before.replies == [] and after.is_open
        rig.receive(after, Hello("127.0.0.2", "three", False))
        assert not after.is_open  # A connection belongs to one incarnation.

    run_scenario(scenario)


@pytest.mark.parametrize("delay", [0.0, 1.0, 1.9, 2.1, 30.0])
def test_a_request_delayed_for_longer_than_it_had_is_rejected_as_not_run(delay: float) -> None:
    def scenario(rig: Rig) -> None:
        wire = rig.connect()
        rig.receive(wire, forward(1, rig.stamp(delay)), forward(2, rig.stamp(delay), size=50_000))
        if delay < 2.0:
            assert rig.started == [b"a1"] and wire.replies == []
        else:
            assert rig.started == [] and wire.replies == [(1, RequestOutcome.NOT_RUN), (2, RequestOutcome.NOT_RUN)]
        rig.receive(wire, forward(3, rig.stamp()))
        assert rig.started[-1] == b"a3"

    run_scenario(scenario)


def test_a_request_whose_body_ends_after_its_deadline_does_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(rig: Rig) -> None:
        loop, wire = asyncio.get_running_loop(), rig.connect()
        rig.receive(wire, forward(1, rig.stamp(), size=CHUNK_BYTES))
        [grant] = [m for m in wire.sent if isinstance(m, GrantBody)]
        now = loop.time()
        # After a freeze the chunk is read before any timer has run.
        monkeypatch.setattr(loop, "time", lambda: now + 30.0)
        rig.receive(wire, BodyChunk(1, bytes(grant.up_to_offset)))
        assert rig.started == [] and wire.replies == [(1, RequestOutcome.NOT_RUN)]
        monkeypatch.undo()

    run_scenario(scenario)


def test_a_message_about_a_number_on_another_connection_is_ignored() -> None:
    async def scenario() -> None:
        outgoing, replies = OutgoingExchanges(), list[tuple[str, ForwardResponse]]()
        first, second, other = Wire("10.0.0.1"), Wire("10.0.0.1"), Wire("10.0.0.2")

        def carry(name: str, wire: Wire, body: int = 0) -> int:
            message = forward(0, 0.0)
            message.body = bytes(body)
            rate = 330_000.0 if body else 0.0
            outgoing.send(1.0, wire.peer, wire, rate, message, lambda r: replies.append((name, r)))  # type: ignore[arg-type]
            return message.number

        old = carry("old", first)
        outgoing.disconnected(first.peer)
        assert [(name, RequestOutcome(r.outcome)) for name, r in replies] == [("old", RequestOutcome.UNKNOWN)]
        new, large = carry("new", second), carry("large", second, 50_000)
        assert len({old, new, large}) == 3
        replies.clear()
        for wire in (first, other):  # A late reply on the old connection, and one of another machine.
            for n in (old, new, large):
                outgoing.receive_response(wire, ForwardResponse(n, RequestOutcome.NOT_RUN))  # type: ignore[arg-type]
            outgoing.receive_grant(wire, GrantBody(large, CHUNK_BYTES))  # type: ignore[arg-type]
        outgoing.receive_response(second, ForwardResponse(old, RequestOutcome.NOT_RUN))  # type: ignore[arg-type]
        assert replies == [] and not [m for m in second.sent if isinstance(m, BodyChunk)]
        outgoing.receive_response(second, ForwardResponse(new, RequestOutcome.ANSWERED))  # type: ignore[arg-type]
        outgoing.receive_response(second, ForwardResponse(new, RequestOutcome.ANSWERED))  # type: ignore[arg-type]
        assert [name for name, _ in replies] == ["new"]
        outgoing.disconnected(second.peer)
        assert [(name, RequestOutcome(r.outcome)) for name, r in replies] == [
            ("new", RequestOutcome.ANSWERED),
            ("large", RequestOutcome.NOT_RUN),
        ]

    asyncio.run(scenario())


def test_proofs_for_requests_of_a_lost_connection_are_sent_on_the_new_one() -> None:
    def scenario(rig: Rig) -> None:
        former = rig.connect()
        rig.receive(former, *(forward(n, rig.stamp(), key=b"k%d" % n) for n in (1, 2, 3)))
        rig.receive(former, forward(4, rig.stamp(), size=50_000, key=b"k4"))  # Its body never arrives completely.
        never_ran, answered, running = rig.admitted
        rig.limiter._finish(never_ran, RequestOutcome.NOT_RUN, FailureCause.EVICTED)
        rig.limiter._finish(answered, RequestOutcome.ANSWERED, FailureCause.NONE, BackendResponse(200, b"", b""))
        former.close()
        rig.incoming.link_ended(former)  # type: ignore[arg-type]
        after = rig.connect()
        rig.receive(after, FetchOutcomes([1, 2, 3, 4, 5]))
        # Request 5 has never arrived.
        assert after.replies == [
            (1, RequestOutcome.NOT_RUN),
            (4, RequestOutcome.NOT_RUN),
            (5, RequestOutcome.NOT_RUN),
        ]
        rig.limiter._finish(running, RequestOutcome.NOT_RUN, FailureCause.TOO_LITTLE_TIME)
        assert after.replies[3:] == [(3, RequestOutcome.NOT_RUN)]  # The proof is sent once it exists.

    run_scenario(scenario)


def test_a_request_that_was_proven_unrun_does_not_run_when_it_arrives_after_all() -> None:
    def scenario(rig: Rig) -> None:
        former, after = rig.connect(), rig.connect()
        rig.receive(former, forward(1, rig.stamp(), key=b"k1"))
        rig.receive(after, FetchOutcomes([2]))
        assert after.replies == [(2, RequestOutcome.NOT_RUN)]
        assert not former.is_open  # Nothing more may be read on it.
        other = rig.connect("two")
        rig.receive(other, FetchOutcomes([1, 2]))  # It is unknown, so it closes no connection.
        assert other.replies == [] and after.is_open

    run_scenario(scenario)


def test_a_peer_without_a_hello_can_fetch_no_outcomes() -> None:
    def scenario(rig: Rig) -> None:
        stranger = Wire()
        rig.receive(stranger, FetchOutcomes([1]))
        assert stranger.sent == [] and not stranger.is_open

    run_scenario(scenario)


def test_nothing_is_proven_about_requests_that_are_no_longer_remembered() -> None:
    outcomes = UnrunRequests()
    assert not outcomes.is_proven_unrun("incarnation", 1)  # No request of it is remembered.
    for number in range(1, MAX_UNRUN_REQUESTS + 2):
        outcomes.record_received("incarnation", number)
        outcomes.record_unrun("incarnation", number)
    assert not outcomes.is_proven_unrun("incarnation", 1) and outcomes.is_proven_unrun("incarnation", 2)
    assert outcomes.is_proven_unrun("incarnation", MAX_UNRUN_REQUESTS + 2)


def test_the_proof_for_a_lost_request_is_fetched_and_reaches_its_sender() -> None:
    def scenario(_: Rig) -> None:
        outgoing, replies = OutgoingExchanges(), list[tuple[int, RequestOutcome]]()
        former = Wire("10.0.0.1", "theirs")

        def carry(key: bytes) -> int:
            message = forward(0, 0.0, key=key)

            def record(reply: ForwardResponse) -> None:
                replies.append((reply.number, RequestOutcome(reply.outcome)))

            outgoing.send(1.0, former.peer, former, 0.0, message, record)  # type: ignore[arg-type]
            return message.number

        one, two, unkeyed = carry(b"k1"), carry(b"k2"), carry(b"")
        outgoing.disconnected(former.peer)
        assert replies == [(n, RequestOutcome.UNKNOWN) for n in (one, two, unkeyed)]
        replies.clear()
        after, elsewhere = Wire("10.0.0.1", "theirs"), Wire("10.0.0.2", "theirs")
        for wire in (elsewhere, after):
            outgoing.hello_received(wire)  # type: ignore[arg-type]
        assert elsewhere.sent == [] and after.sent == [FetchOutcomes([one, two])]
        outgoing.receive_response(elsewhere, ForwardResponse(one, RequestOutcome.NOT_RUN))  # type: ignore[arg-type]
        assert replies == []
        for _repetition in range(2):
            outgoing.receive_response(after, ForwardResponse(one, RequestOutcome.NOT_RUN))  # type: ignore[arg-type]
        assert replies == [(one, RequestOutcome.NOT_RUN)]  # It is reported once.
        outgoing.hello_received(Wire("10.0.0.1", "another incarnation"))  # type: ignore[arg-type]
        outgoing.receive_response(after, ForwardResponse(two, RequestOutcome.NOT_RUN))  # type: ignore[arg-type]
        assert replies == [(one, RequestOutcome.NOT_RUN)]  # The incarnation that knew the outcome has ended.

    run_scenario(scenario)


def test_requests_whose_outcomes_are_fetched_are_bounded() -> None:
    outgoing, former = OutgoingExchanges(), Wire("10.0.0.1", "theirs")
    for _ in range(MAX_UNPROVEN_REQUESTS + 10):
        outgoing.send(1.0, former.peer, former, 0.0, forward(0, 0.0, key=b"k"), lambda r: None)  # type: ignore[arg-type]
    outgoing.disconnected(former.peer)
    after = Wire("10.0.0.1", "theirs")
    outgoing.hello_received(after)  # type: ignore[arg-type]
    [message] = after.sent
    assert isinstance(message, FetchOutcomes) and len(message.numbers) == MAX_UNPROVEN_REQUESTS


def test_a_withdrawn_request_is_not_started_and_one_that_runs_goes_on() -> None:
    def scenario(rig: Rig) -> None:
        wire = rig.connect()
        rig.receive(wire, forward(1, rig.stamp()), forward(2, rig.stamp(), size=50_000))
        rig.admitted[0].exchange = object()  # type: ignore[assignment]  # The backend is running it.
        rig.receive(wire, WithdrawRequest(1), WithdrawRequest(2), WithdrawRequest(3))
        assert wire.replies == [(2, RequestOutcome.NOT_RUN)] and wire.is_open
        rig.receive(wire, BodyChunk(2, bytes(CHUNK_BYTES)))  # A chunk that was in transit.
        assert rig.started == [b"a1"] and wire.is_open
        rig.limiter._finish(rig.admitted[0], RequestOutcome.ANSWERED, FailureCause.NONE, BackendResponse(200, b"", b""))
        assert wire.replies[1:] == [(1, RequestOutcome.ANSWERED)]

    run_scenario(scenario)


def test_a_body_is_granted_no_byte_before_there_is_memory_for_all_of_it() -> None:
    """Guards the memory of the proxy beside a backend: bodies wait at their senders (review/8)."""

    async def scenario(rig: Rig) -> None:
        wire, size = rig.connect(), 600_000  # the rig's memory has room for one of them

        def granted() -> list[int]:
            return [message.number for message in wire.sent if isinstance(message, GrantBody)]

        def send_all(number: int) -> None:
            sent = 0
            while sent < size:
                last = max(m.up_to_offset for m in wire.sent if isinstance(m, GrantBody) and m.number == number)
                rig.receive(wire, BodyChunk(number, bytes(last - sent)))
                sent = last

        for number in (1, 2):
            request = forward(number, rig.stamp(), seconds_left=30.0, size=size)
            request.latency_target_left = 30.0
            rig.receive(wire, request)
        assert set(granted()) == {1} and wire.replies == []
        send_all(1)
        assert rig.started == [b"a1"] and set(granted()) == {1}
        rig.admitted.pop().forward.body = b""  # as it is once the backend has it
        await asyncio.sleep(0.01)
        assert set(granted()) == {1, 2}
        send_all(2)
        assert rig.started == [b"a1", b"a2"] and wire.replies == []
        # A body that comes unannounced counts too, and is rejected with a proof where there is no memory for it.
        for number in (3, 4, 5):
            request = forward(number, rig.stamp(), seconds_left=30.0)
            request.body = bytes(250_000)
            rig.receive(wire, request)
        assert rig.started[2:] == [b"a3"] and wire.replies == [(4, RequestOutcome.NOT_RUN), (5, RequestOutcome.NOT_RUN)]

    run_scenario(scenario)


def test_granted_chunks_are_copied_only_as_fast_as_the_connection_takes_them() -> None:
    """Guards the memory of the caller's proxy: what is granted may be a whole body, and each unsent chunk is a copy."""

    class SlowWire(Wire):
        def send(self, message: Message) -> None:
            super().send(message)
            self.unsent_bytes += len(message.data) if isinstance(message, BodyChunk) else 0

    def scenario(rig: Rig) -> None:
        outgoing, wire, size = OutgoingExchanges(), SlowWire("127.0.0.2", "one"), 3 << 20
        body = bytes(range(256)) * (size // 256)
        for number in (1, 2):
            request = forward(number, rig.stamp())
            request.body = body
            outgoing.send(rig.now, wire.peer, wire, 330_000.0, request, lambda reply: None)  # type: ignore[arg-type]
            outgoing.receive_grant(wire, GrantBody(number, size))  # type: ignore[arg-type]
        turns = 0
        while wire.on_writable is not None:
            assert wire.unsent_bytes <= MAX_UNSENT_CHUNK_BYTES + CHUNK_BYTES
            wire.unsent_bytes, turns = 0, turns + 1
            on_writable, wire.on_writable = wire.on_writable, None
            on_writable(wire)  # type: ignore[arg-type]
        assert turns >= 2 * size // (MAX_UNSENT_CHUNK_BYTES + CHUNK_BYTES)
        for number in (1, 2):
            assert b"".join(m.data for m in wire.sent if isinstance(m, BodyChunk) and m.number == number) == body

    run_scenario(scenario)
