"""The concurrency limiter with a backend over loopback: admission, the queue, and the outcomes of responses."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.dataplane import concurrency_limiter
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.request_outcome import RequestOutcome

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: %b\r\nLugspur-Postmark: p\r\nContent-Length: 2\r\n\r\nhi"


class ScriptedBackend:
    """A backend whose script returns the bytes of each response, or None to close the connection."""

    def __init__(self, script: Callable[[bytes], bytes | None]) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.accepted = 0
        self.hold: asyncio.Event | None = None

    async def __aenter__(self) -> ScriptedBackend:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            length = [int(line[16:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length: ")]
            head += await reader.readexactly(length[0] if length else 0)
            self.heads.append(head)
            if self.hold is not None:
                await self.hold.wait()
            response = self.script(attempt_of(head))
            if response is None:
                break
            writer.write(response)
        writer.close()


def attempt_of(head: bytes) -> bytes:
    return next(line[20:] for line in head.split(b"\r\n") if line.startswith(b"Lugspur-Attempt-Id: "))


def forward(
    n: int,
    attempt: bytes = b"",
    seconds_left: float = 2.0,
    latency_target: float = 1.0,
    is_safe: bool = False,
    key: bytes = b"",
    priority: int = 0,
    body: bytes = b"",
    route: str = "r",
    was_rejected: bool = False,
) -> ForwardRequest:
    attempt = attempt or b"a%d" % n
    lines = [b"Host: h\r\n", b"Lugspur-Attempt-Id: %b\r\n" % attempt]
    return ForwardRequest(
        n,
        "i-1",
        b"POST",
        b"/p?q=1",
        lines,
        body,
        seconds_left,
        latency_target,
        attempt,
        priority,
        is_safe,
        route,
        key,
        attempt,
        was_rejected,
    )


def make_limiter(memory_bytes: int = 64 << 20) -> ConcurrencyLimiter:
    """Create a limiter with callbacks that do nothing."""
    return ConcurrencyLimiter(
        memory_bytes=memory_bytes,
        max_connections=64,
        drain_seconds=2.0,
        on_completed=lambda forward, response, on_stored: on_stored(True),
        on_unreachable=lambda local: None,
    )


class Rig:
    """A limiter with its backend, which records replies and callbacks."""

    def __init__(self, backend: ScriptedBackend, drain: float = 2.0) -> None:
        self.completed: list[tuple[bytes, BackendResponse]] = []
        self.replies: dict[int, asyncio.Future[ForwardResponse]] = {}
        self.unreachable: list[LocalBackend] = []
        self.limiter = ConcurrencyLimiter(
            memory_bytes=64 << 20,
            max_connections=64,
            drain_seconds=drain,
            on_completed=self._completed,
            on_unreachable=self.unreachable.append,
        )
        self.local = LocalBackend("i-1", "s", backend.address, asyncio.get_running_loop().time())
        self.limiter.local_backend = self.local

    def _completed(self, forward: ForwardRequest, response: BackendResponse, on_stored: Callable[[bool], None]) -> None:
        self.completed.append((forward.key, response))
        on_stored(True)

    def run(self, message: ForwardRequest) -> asyncio.Future[ForwardResponse]:
        reply: asyncio.Future[ForwardResponse] = asyncio.get_running_loop().create_future()
        self.replies[message.number] = reply
        self.limiter.submit(message, reply.set_result)
        return reply


def run_scenario(
    script: Callable[[bytes], bytes | None], scenario: Callable[[Rig, ScriptedBackend], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with asyncio.timeout(10.0), ScriptedBackend(script) as backend:
            await scenario(Rig(backend), backend)

    asyncio.run(run())


def test_a_request_reaches_the_backend_unchanged_but_for_its_recipient_and_time_left() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        reply = await rig.run(forward(1, key=b"k", body=b"body"))
        assert (reply.outcome, reply.was_sent) == (RequestOutcome.ANSWERED, True) and reply.response is not None
        assert (reply.response.status, reply.response.body) == (
            200,
            b"hi",
        ) and b"Lugspur-Postmark: p" in reply.response.head
        [head] = backend.heads
        assert head.startswith(b"POST /p?q=1 HTTP/1.1\r\nHost: h\r\n") and head.endswith(b"\r\n\r\nbody")
        assert b"Lugspur-Deliver-To: i-1\r\n" in head and b"Lugspur-Deliver-By-Ms: 1" in head
        assert [key for key, _ in rig.completed] == [b"k"]
        await rig.run(forward(2))
        assert backend.accepted == 1  # Consecutive requests use one connection.

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_only_a_refusal_by_the_backend_or_no_connection_proves_that_nothing_ran() -> None:
    responses = {
        b"shed": b"HTTP/1.1 503 X\r\nLugspur-Attempt-Id: shed\r\nLugspur-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n",
        b"other": b"HTTP/1.1 421 X\r\nLugspur-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
        b"own": b"HTTP/1.1 503 X\r\nLugspur-Attempt-Id: own\r\nContent-Length: 0\r\n\r\n",
        b"fails": b"HTTP/1.1 500 X\r\nLugspur-Attempt-Id: fails\r\nContent-Length: 0\r\n\r\n",
        b"cut": b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: cut\r\nLugspur-Postmark: p\r\nContent-Length: 9\r\n\r\nhi",
        b"close": None,
        b"noise": b"\x00\x01 not an answer\r\n\r\n",
        b"bare": b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: bare\r\nContent-Length: 2\r\n\r\nhi",
        b"coded": OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nContent-Encoding: gzip\r\n\r\n") % b"coded",
        b"nobody": b"HTTP/1.1 200 OK\r\nLugspur-Postmark: p\r\nContent-Length: 2\r\n\r\nhi",
    }
    outcomes = {
        b"shed": RequestOutcome.NOT_RUN,
        b"other": RequestOutcome.NOT_RUN,
        b"own": RequestOutcome.ANSWERED,
        b"fails": RequestOutcome.ANSWERED,
        b"cut": RequestOutcome.UNKNOWN,
        b"close": RequestOutcome.UNKNOWN,
        b"noise": RequestOutcome.UNKNOWN,
        b"bare": RequestOutcome.INVALID_RESPONSE,
        b"coded": RequestOutcome.INVALID_RESPONSE,
        b"nobody": RequestOutcome.INVALID_RESPONSE,
    }

    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        for n, (name, outcome) in enumerate(outcomes.items()):
            reply = await rig.run(forward(n, name, seconds_left=0.25))
            assert (name, RequestOutcome(reply.outcome), reply.was_sent) == (name, outcome, True)
        backend.server.close()
        await backend.server.wait_closed()
        rig.limiter.local_backend = LocalBackend("i-1", "s", backend.address, asyncio.get_running_loop().time())
        reply = await rig.run(forward(99))
        assert (reply.outcome, reply.was_sent) == (RequestOutcome.NOT_RUN, False) and len(rig.unreachable) == 1
        again = await rig.run(forward(100))  # The backend gets no requests until its next heartbeat.
        assert (again.outcome, again.was_sent) == (RequestOutcome.NOT_RUN, False) and len(rig.unreachable) == 1

    run_scenario(lambda a: responses[a], scenario)


def test_a_response_to_another_request_is_ignored() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        reply = await rig.run(forward(1))
        assert (
            reply.outcome == RequestOutcome.ANSWERED
            and reply.response is not None
            and b"Attempt-Id: a1" in reply.response.head
        )
        await rig.run(forward(2))
        assert backend.accepted == 2  # The connection of the stray response is not reused.

    run_scenario(lambda a: OK_RESPONSE % b"stray" + OK_RESPONSE % a, scenario)


def test_bytes_after_a_response_reach_no_later_request() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        for n in (1, 2, 3):
            reply = await rig.run(forward(n))
            assert reply.response is not None and b"Attempt-Id: a%d" % n in reply.response.head

    run_scenario(lambda a: OK_RESPONSE % a + OK_RESPONSE % b"extra", scenario)


def test_the_queue_is_served_by_urgency_and_evicts_the_least_urgent() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        running = [rig.run(forward(n)) for n in (1, 2)]  # One runs, and one waits at the backend.
        patient = [rig.run(forward(n, latency_target=1.0, priority=1)) for n in (3, 4)]
        urgent = rig.run(forward(5, latency_target=0.1, priority=1))
        # The queue is full, so the least urgent request is evicted.
        assert (await patient[1]).outcome == RequestOutcome.NOT_RUN
        rejected = await rig.run(forward(6, latency_target=1.0, priority=1))
        assert (rejected.outcome, rejected.was_sent) == (RequestOutcome.NOT_RUN, False)
        highest = rig.run(forward(7, latency_target=1.9, priority=0))  # A better priority outweighs a later deadline.
        assert (await patient[0]).outcome == RequestOutcome.NOT_RUN
        backend.hold.set()
        await asyncio.gather(*running, urgent, highest)
        assert [attempt_of(head) for head in backend.heads] == [b"a1", b"a2", b"a7", b"a5"]

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_a_closing_backend_gets_no_new_request_and_another_incarnation_no_old_one() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        now = asyncio.get_running_loop().time()
        rig.local.closing_at = now - 0.1
        # The update may not have reached the sender yet.
        assert (await rig.run(forward(1))).outcome == RequestOutcome.ANSWERED
        rig.local.closing_at = now - 0.5
        reply = await rig.run(forward(2))
        assert (reply.outcome, reply.was_sent, len(backend.heads)) == (RequestOutcome.NOT_RUN, False, 1)
        rig.limiter.local_backend = LocalBackend("i-2", "s", backend.address, now)
        assert (await rig.run(forward(3))).outcome == RequestOutcome.NOT_RUN
        assert len(backend.heads) == 1

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_a_cancelled_request_is_ended_at_the_backend_or_never_sent() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        admitted_requests = [rig.limiter.submit(forward(n), lambda reply: None) for n in (1, 2, 3)]
        while len(backend.heads) < 2:
            await asyncio.sleep(0)
        for admitted in reversed(admitted_requests):
            assert admitted is not None
            rig.limiter.cancel(admitted)
        backend.hold.set()
        reply = await rig.run(forward(4))
        assert reply.outcome == RequestOutcome.ANSWERED and [attempt_of(h) for h in backend.heads] == [
            b"a1",
            b"a2",
            b"a4",
        ]
        assert rig.limiter.in_flight == 0

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_expected_service_times_are_kept_by_route() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        slow = [rig.run(forward(n, route="slow", seconds_left=9.0, latency_target=9.0)) for n in (1, 2)]
        await asyncio.sleep(0.15)  # The service time of the slow route.
        rig.limiter.service_times.by_route["slow"], rig.limiter.service_times.average = 0.15, 0.08
        backend.hold.set()
        await asyncio.gather(*slow, rig.run(forward(3, route="short")))
        backend.hold = asyncio.Event()
        running = [rig.run(forward(n, route="short")) for n in (4, 5)]
        waits = [
            rig.run(forward(n, route=route, seconds_left=0.2, latency_target=0.06))
            for n, route in ((6, "short"), (7, "slow"))
        ]
        assert (await waits[1]).outcome == RequestOutcome.NOT_RUN and not waits[0].done()
        backend.hold.set()
        await asyncio.gather(*running)
        assert (await waits[0]).outcome == RequestOutcome.ANSWERED

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_a_late_request_is_rejected_at_once_unless_it_was_rejected_before_or_is_short() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        rig.local.concurrency = 1
        rig.limiter.service_times.by_route.update(long=0.3, short=0.05)
        rig.limiter.service_times.average = 0.3
        backend.hold = asyncio.Event()
        running = [rig.run(forward(n, route="long")) for n in (1, 2)]
        fresh = await rig.run(forward(3, route="long", seconds_left=5.0, latency_target=0.5))
        # The request would wait for 0.3 s and be late.
        assert (fresh.outcome, fresh.was_sent) == (RequestOutcome.NOT_RUN, False)
        returning = await rig.run(forward(6, route="long", seconds_left=5.0, latency_target=0.5, was_rejected=True))
        assert (returning.outcome, returning.was_sent) == (RequestOutcome.NOT_RUN, False)  # Late all the same.
        fresh = await rig.run(forward(7, route="long", seconds_left=5.0, latency_target=0.7))
        assert (fresh.outcome, fresh.was_sent) == (RequestOutcome.NOT_RUN, False)
        returned = rig.run(forward(4, route="long", seconds_left=5.0, latency_target=0.7, was_rejected=True))
        # The caller of a short request may occupy a backend elsewhere.
        short = rig.run(forward(5, route="short", seconds_left=5.0, latency_target=0.2))
        assert not returned.done() and not short.done()
        backend.hold.set()
        replies = await asyncio.gather(*running, returned, short)
        assert {reply.outcome for reply in replies} == {RequestOutcome.ANSWERED}

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


@pytest.mark.parametrize("line", [b"503 X\r\nLugspur-Not-Delivered: 1", b"421 X\r\nLugspur-Delivered-By: i-2"])
def test_a_refusal_without_an_attempt_id_is_proof_only_on_a_new_connection(line: bytes) -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        first = await rig.run(forward(1, b"refused"))
        assert first.outcome == RequestOutcome.NOT_RUN  # No other request was sent on the connection.
        assert (await rig.run(forward(2))).outcome == RequestOutcome.ANSWERED and backend.accepted == 2
        late = await rig.run(forward(3, b"refused"))
        # The refusal may be a late response to an earlier request.
        assert late.outcome == RequestOutcome.UNKNOWN and backend.accepted == 2
        assert (await rig.run(forward(4))).outcome == RequestOutcome.ANSWERED and backend.accepted == 3

    refusal = b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % line
    run_scenario(lambda a: refusal if a == b"refused" else OK_RESPONSE % a, scenario)


def test_a_reset_does_not_complete_a_response_without_length() -> None:
    async def run() -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            response = (OK_RESPONSE % attempt_of(head)).replace(b"Content-Length: 2\r\n", b"")
            writer.write(response)
            await bytes_read.wait()  # A reset would discard unread bytes.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        bytes_read = asyncio.Event()
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        limiter = make_limiter()
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        limiter.local_backend = LocalBackend("i-1", "s", address, asyncio.get_running_loop().time())
        reply: asyncio.Future[ForwardResponse] = asyncio.get_running_loop().create_future()
        admitted = limiter.submit(forward(1), reply.set_result)
        assert admitted is not None
        while (
            admitted.exchange is None or admitted.exchange.connection is None or not admitted.exchange.connection._body
        ):
            await asyncio.sleep(0)
        bytes_read.set()
        assert (await reply).outcome == RequestOutcome.UNKNOWN
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_headers_of_an_interim_response_are_ignored() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        reply = await rig.run(forward(1))
        assert reply.outcome == RequestOutcome.ANSWERED
        other = await rig.run(forward(2, b"nameless"))
        assert other.outcome == RequestOutcome.INVALID_RESPONSE

    interim = b"HTTP/1.1 103 X\r\nLugspur-Not-Delivered: 1\r\nLugspur-Attempt-Id: %b\r\n\r\n"
    nameless = (OK_RESPONSE % b"x").replace(b"Lugspur-Attempt-Id: x\r\n", b"")
    run_scenario(lambda a: interim % a + (nameless if a == b"nameless" else OK_RESPONSE % a), scenario)


@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (b"Lugspur-Attempt-Id: a1\r\nLugspur-Postmark: p\r\n", RequestOutcome.ANSWERED),
        (b"X-Told: Lugspur-Attempt-Id: a1\r\nLugspur-Postmark: p\r\n", RequestOutcome.INVALID_RESPONSE),
        (
            b"Lugspur-Attempt-Id: a2\r\nLugspur-Attempt-Id: a1\r\nLugspur-Postmark: p\r\n",
            RequestOutcome.INVALID_RESPONSE,
        ),
        (b"Lugspur-Attempt-Id: a1\r\nX-Told: Lugspur-Postmark: p\r\n", RequestOutcome.INVALID_RESPONSE),
    ],
)
def test_response_headers_are_matched_by_name(head: bytes, outcome: RequestOutcome) -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        assert (await rig.run(forward(1))).outcome == outcome

    run_scenario(lambda a: b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 2\r\n\r\nhi", scenario)


def test_an_expired_request_is_rejected_and_never_sent() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        for seconds_left in (0.0, -0.01, -30.0):
            reply = await rig.run(forward(1, seconds_left=seconds_left))
            assert (reply.outcome, reply.was_sent, reply.cause, backend.heads) == (
                RequestOutcome.NOT_RUN,
                False,
                FailureCause.EXPIRED,
                [],
            )
        assert rig.limiter.causes == {FailureCause.EXPIRED: 3}

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_a_freeze_within_a_turn_of_the_loop_sends_no_expired_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        # The connection is kept, so the next request is sent immediately.
        assert (await rig.run(forward(1))).outcome == RequestOutcome.ANSWERED
        loop = asyncio.get_running_loop()
        now = loop.time()
        monkeypatch.setattr(concurrency_limiter, "monotonic", lambda: now + 30.0)
        reply = await rig.run(forward(2))
        assert (reply.outcome, reply.was_sent, len(backend.heads), rig.limiter.in_flight) == (
            RequestOutcome.NOT_RUN,
            False,
            1,
            0,
        )
        assert reply.cause == FailureCause.TOO_LITTLE_TIME

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_a_cancelled_request_is_replied_to_once_also_while_it_waits() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        replies: list[tuple[int, RequestOutcome]] = []
        admitted_requests = [
            rig.limiter.submit(forward(n), lambda r: replies.append((r.number, RequestOutcome(r.outcome))))
            for n in (1, 2, 3)
        ]
        for admitted in admitted_requests[::-1] * 2:  # The queued one comes first, while it still waits.
            assert admitted is not None
            rig.limiter.cancel(admitted)
        # The sender counts its requests in flight, so each one needs its reply.
        assert sorted(replies) == [(n, RequestOutcome.UNKNOWN) for n in (1, 2, 3)]

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_a_request_withdrawn_while_it_waits_is_proven_not_to_have_run() -> None:
    async def scenario(rig: Rig, backend: ScriptedBackend) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        replies: list[tuple[int, RequestOutcome, bool]] = []
        admitted_requests = [
            rig.limiter.submit(forward(n), lambda r: replies.append((r.number, RequestOutcome(r.outcome), r.was_sent)))
            for n in (1, 2, 3)
        ]
        while len(backend.heads) < 2:
            await asyncio.sleep(0)
        for admitted in admitted_requests:
            assert admitted is not None
            rig.limiter.withdraw(admitted)
        assert replies == [(3, RequestOutcome.NOT_RUN, False)]
        backend.hold.set()
        while len(replies) < 3:
            await asyncio.sleep(0.001)
        assert sorted(replies[1:]) == [(1, RequestOutcome.ANSWERED, True), (2, RequestOutcome.ANSWERED, True)]
        assert [attempt_of(head) for head in backend.heads] == [b"a1", b"a2"] and rig.limiter.in_flight == 0

    run_scenario(lambda a: OK_RESPONSE % a, scenario)


def test_an_early_response_to_a_long_body_mixes_no_bytes_of_two_requests() -> None:
    """The backend keeps the connection and reads on later; it must then read the rest of the same body."""
    body = bytes(range(256)) * (64 << 10)  # 16 MiB exceed the socket buffers.
    streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def respond_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        streams.append((reader, writer))
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(OK_RESPONSE % attempt_of(head))

    async def run() -> None:
        server = await asyncio.start_server(respond_early, "127.0.0.1", 0, limit=1 << 16)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        replies: list[ForwardResponse] = []
        limiter = make_limiter(256 << 20)
        limiter.local_backend = LocalBackend("i-1", "s", address, asyncio.get_running_loop().time())
        limiter.submit(forward(1, body=body, seconds_left=5.0), replies.append)
        while not replies:
            await asyncio.sleep(0.001)
        limiter.submit(forward(2), replies.append)
        while len(replies) < 2:
            await asyncio.sleep(0.001)
        assert [reply.outcome for reply in replies] == [RequestOutcome.ANSWERED] * 2 and len(streams) == 2
        remaining = bytearray()
        with suppress(ConnectionError):
            while data := await streams[0][0].read(1 << 16):
                remaining += data
        assert bytes(remaining) == body[: len(remaining)]
        for _, writer in streams:
            writer.close()
        server.close()

    asyncio.run(asyncio.wait_for(run(), 20.0))
