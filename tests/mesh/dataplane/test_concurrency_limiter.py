"""The concurrency limiter with a backend over loopback: admission, the queue, and what an answer proves."""

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

GOOD = b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: %b\r\nLugspur-Postmark: p\r\nContent-Length: 2\r\n\r\nhi"


class Scripted:
    """A backend that answers each request with what its script returns; None: it closes."""

    def __init__(self, script: Callable[[bytes], bytes | None]) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.accepted = 0
        self.hold: asyncio.Event | None = None

    async def __aenter__(self) -> Scripted:
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
            answer = self.script(attempt_of(head))
            if answer is None:
                break
            writer.write(answer)
        writer.close()


def attempt_of(head: bytes) -> bytes:
    return next(line[20:] for line in head.split(b"\r\n") if line.startswith(b"Lugspur-Attempt-Id: "))


def forward(
    n: int,
    attempt: bytes = b"",
    left: float = 2.0,
    aim: float = 1.0,
    safe: bool = False,
    key: bytes = b"",
    priority: int = 0,
    body: bytes = b"",
    route: str = "r",
    back: bool = False,
) -> ForwardRequest:
    attempt = attempt or b"a%d" % n
    lines = [b"Host: h\r\n", b"Lugspur-Attempt-Id: %b\r\n" % attempt]
    return ForwardRequest(
        n, "i-1", b"POST", b"/p?q=1", lines, body, left, aim, attempt, priority, safe, route, key, attempt, back
    )


def make_limiter(memory_bytes: int = 64 << 20) -> ConcurrencyLimiter:
    """A limiter whose answers and losses are noted by nobody."""
    return ConcurrencyLimiter(
        memory_bytes=memory_bytes,
        max_connections=64,
        drain_seconds=2.0,
        on_completed=lambda forward, answer: None,
        on_unreachable=lambda local: None,
    )


class Rig:
    """A limiter, its backend, and what it replied."""

    def __init__(self, backend: Scripted, drain: float = 2.0) -> None:
        self.done: list[tuple[bytes, BackendResponse]] = []
        self.replies: dict[int, asyncio.Future[ForwardResponse]] = {}
        self.downs: list[LocalBackend] = []
        self.limiter = ConcurrencyLimiter(
            memory_bytes=64 << 20,
            max_connections=64,
            drain_seconds=drain,
            on_completed=lambda f, a: self.done.append((f.key, a)),
            on_unreachable=self.downs.append,
        )
        self.local = LocalBackend("i-1", "s", backend.address, asyncio.get_running_loop().time())
        self.limiter.local_backend = self.local

    def run(self, message: ForwardRequest) -> asyncio.Future[ForwardResponse]:
        found: asyncio.Future[ForwardResponse] = asyncio.get_running_loop().create_future()
        self.replies[message.number] = found
        self.limiter.submit(message, found.set_result)
        return found


def play(script: Callable[[bytes], bytes | None], what: Callable[[Rig, Scripted], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(10.0), Scripted(script) as backend:
            await what(Rig(backend), backend)

    asyncio.run(run())


def test_a_request_reaches_the_backend_unchanged_but_for_its_recipient_and_time_left() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        reply = await rig.run(forward(1, key=b"k", body=b"body"))
        assert (reply.outcome, reply.was_sent) == (RequestOutcome.ANSWERED, True) and reply.response is not None
        assert (reply.response.status, reply.response.body) == (
            200,
            b"hi",
        ) and b"Lugspur-Postmark: p" in reply.response.head
        [head] = backend.heads
        assert head.startswith(b"POST /p?q=1 HTTP/1.1\r\nHost: h\r\n") and head.endswith(b"\r\n\r\nbody")
        assert b"Lugspur-Deliver-To: i-1\r\n" in head and b"Lugspur-Deliver-By-Ms: 1" in head
        assert [key for key, _ in rig.done] == [b"k"]
        await rig.run(forward(2))
        assert backend.accepted == 1  # one connection serves what comes one after another

    play(lambda a: GOOD % a, what)


def test_only_a_refusal_by_the_backend_or_no_connection_proves_that_nothing_ran() -> None:
    answers = {
        b"shed": b"HTTP/1.1 503 X\r\nLugspur-Attempt-Id: shed\r\nLugspur-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n",
        b"other": b"HTTP/1.1 421 X\r\nLugspur-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
        b"own": b"HTTP/1.1 503 X\r\nLugspur-Attempt-Id: own\r\nContent-Length: 0\r\n\r\n",
        b"fails": b"HTTP/1.1 500 X\r\nLugspur-Attempt-Id: fails\r\nContent-Length: 0\r\n\r\n",
        b"cut": b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: cut\r\nLugspur-Postmark: p\r\nContent-Length: 9\r\n\r\nhi",
        b"close": None,
        b"noise": b"\x00\x01 not an answer\r\n\r\n",
        b"bare": b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: bare\r\nContent-Length: 2\r\n\r\nhi",
        b"coded": GOOD.replace(b"\r\n\r\n", b"\r\nContent-Encoding: gzip\r\n\r\n") % b"coded",
        b"nobody": b"HTTP/1.1 200 OK\r\nLugspur-Postmark: p\r\nContent-Length: 2\r\n\r\nhi",
    }
    ends = {
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

    async def what(rig: Rig, backend: Scripted) -> None:
        for n, (name, end) in enumerate(ends.items()):
            reply = await rig.run(forward(n, name, left=0.25))
            assert (name, RequestOutcome(reply.outcome), reply.was_sent) == (name, end, True)
        backend.server.close()
        await backend.server.wait_closed()
        rig.limiter.local_backend = LocalBackend("i-1", "s", backend.address, asyncio.get_running_loop().time())
        reply = await rig.run(forward(99))
        assert (reply.outcome, reply.was_sent) == (RequestOutcome.NOT_RUN, False) and len(rig.downs) == 1
        again = await rig.run(forward(100))  # until its next beat nobody is sent there
        assert (again.outcome, again.was_sent) == (RequestOutcome.NOT_RUN, False) and len(rig.downs) == 1

    play(lambda a: answers[a], what)


def test_an_answer_to_another_request_is_ignored() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        reply = await rig.run(forward(1))
        assert (
            reply.outcome == RequestOutcome.ANSWERED
            and reply.response is not None
            and b"Attempt-Id: a1" in reply.response.head
        )
        await rig.run(forward(2))
        assert backend.accepted == 2  # a connection that brought one is not kept

    play(lambda a: GOOD % b"stray" + GOOD % a, what)


def test_bytes_after_an_answer_reach_no_later_request() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        for n in (1, 2, 3):
            reply = await rig.run(forward(n))
            assert reply.response is not None and b"Attempt-Id: a%d" % n in reply.response.head

    play(lambda a: GOOD % a + GOOD % b"extra", what)


def test_the_queue_is_served_by_urgency_and_evicts_the_least_urgent() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        running = [rig.run(forward(n)) for n in (1, 2)]  # one at work and one ready beside it
        patient = [rig.run(forward(n, aim=1.0, priority=1)) for n in (3, 4)]
        urgent = rig.run(forward(5, aim=0.1, priority=1))
        assert (await patient[1]).outcome == RequestOutcome.NOT_RUN  # the queue is full: whoever is due last goes
        late = await rig.run(forward(6, aim=1.0, priority=1))
        assert (late.outcome, late.was_sent) == (RequestOutcome.NOT_RUN, False)
        highest = rig.run(forward(7, aim=1.9, priority=0))  # however long it may take
        assert (await patient[0]).outcome == RequestOutcome.NOT_RUN
        backend.hold.set()
        await asyncio.gather(*running, urgent, highest)
        assert [attempt_of(head) for head in backend.heads] == [b"a1", b"a2", b"a7", b"a5"]

    play(lambda a: GOOD % a, what)


def test_a_closing_backend_gets_no_new_request_and_another_incarnation_no_old_one() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        now = asyncio.get_running_loop().time()
        rig.local.closing_at = now - 0.1
        assert (await rig.run(forward(1))).outcome == RequestOutcome.ANSWERED  # news is on its way
        rig.local.closing_at = now - 0.5
        reply = await rig.run(forward(2))
        assert (reply.outcome, reply.was_sent, len(backend.heads)) == (RequestOutcome.NOT_RUN, False, 1)
        rig.limiter.local_backend = LocalBackend("i-2", "s", backend.address, now)
        assert (await rig.run(forward(3))).outcome == RequestOutcome.NOT_RUN
        assert len(backend.heads) == 1

    play(lambda a: GOOD % a, what)


def test_a_cancelled_request_is_ended_at_the_backend_or_never_sent() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
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

    play(lambda a: GOOD % a, what)


def test_expected_service_times_are_kept_by_route() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        slow = [rig.run(forward(n, route="slow", left=9.0, aim=9.0)) for n in (1, 2)]
        await asyncio.sleep(0.15)  # what the slow route takes
        rig.limiter.service_times.by_route["slow"], rig.limiter.service_times.average = 0.15, 0.08
        backend.hold.set()
        await asyncio.gather(*slow, rig.run(forward(3, route="short")))
        backend.hold = asyncio.Event()
        running = [rig.run(forward(n, route="short")) for n in (4, 5)]
        waits = [rig.run(forward(n, route=route, left=0.2, aim=0.06)) for n, route in ((6, "short"), (7, "slow"))]
        assert (await waits[1]).outcome == RequestOutcome.NOT_RUN and not waits[0].done()
        backend.hold.set()
        await asyncio.gather(*running)
        assert (await waits[0]).outcome == RequestOutcome.ANSWERED

    play(lambda a: GOOD % a, what)


def test_a_late_request_is_rejected_at_once_unless_it_was_before_or_is_short() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        rig.local.concurrency = 1
        rig.limiter.service_times.by_route.update(long=0.3, short=0.05)
        rig.limiter.service_times.average = 0.3
        backend.hold = asyncio.Event()
        running = [rig.run(forward(n, route="long")) for n in (1, 2)]
        fresh = await rig.run(forward(3, route="long", left=5.0, aim=0.5))
        assert (fresh.outcome, fresh.was_sent) == (RequestOutcome.NOT_RUN, False)  # it would wait for 0.3 s and be late
        late = await rig.run(forward(6, route="long", left=5.0, aim=0.5, back=True))
        assert (late.outcome, late.was_sent) == (RequestOutcome.NOT_RUN, False)  # not even then
        fresh = await rig.run(forward(7, route="long", left=5.0, aim=0.7))
        assert (fresh.outcome, fresh.was_sent) == (RequestOutcome.NOT_RUN, False)
        back = rig.run(forward(4, route="long", left=5.0, aim=0.7, back=True))
        short = rig.run(forward(5, route="short", left=5.0, aim=0.2))  # its caller may hold a berth elsewhere
        assert not back.done() and not short.done()
        backend.hold.set()
        ends = await asyncio.gather(*running, back, short)
        assert {reply.outcome for reply in ends} == {RequestOutcome.ANSWERED}

    play(lambda a: GOOD % a, what)


@pytest.mark.parametrize("line", [b"503 X\r\nLugspur-Not-Delivered: 1", b"421 X\r\nLugspur-Delivered-By: i-2"])
def test_a_refusal_without_an_attempt_id_is_proof_only_on_a_new_connection(line: bytes) -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        first = await rig.run(forward(1, b"refused"))
        assert first.outcome == RequestOutcome.NOT_RUN  # nothing else was ever asked on it
        assert (await rig.run(forward(2))).outcome == RequestOutcome.ANSWERED and backend.accepted == 2
        late = await rig.run(forward(3, b"refused"))
        assert late.outcome == RequestOutcome.UNKNOWN and backend.accepted == 2  # it may be a late answer to one before
        assert (await rig.run(forward(4))).outcome == RequestOutcome.ANSWERED and backend.accepted == 3

    refusal = b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % line
    play(lambda a: refusal if a == b"refused" else GOOD % a, what)


def test_a_reset_does_not_complete_an_answer_without_length() -> None:
    async def run() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            told = (GOOD % attempt_of(head)).replace(b"Content-Length: 2\r\n", b"")
            writer.write(told)
            await heard.wait()  # its bytes have been read: else the reset would take them away
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        heard = asyncio.Event()
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        limiter = make_limiter()
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        limiter.local_backend = LocalBackend("i-1", "s", address, asyncio.get_running_loop().time())
        found: asyncio.Future[ForwardResponse] = asyncio.get_running_loop().create_future()
        admitted = limiter.submit(forward(1), found.set_result)
        assert admitted is not None
        while (
            admitted.exchange is None or admitted.exchange.connection is None or not admitted.exchange.connection._body
        ):
            await asyncio.sleep(0)
        heard.set()
        assert (await found).outcome == RequestOutcome.UNKNOWN
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_headers_of_an_interim_answer_are_ignored() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        reply = await rig.run(forward(1))
        assert reply.outcome == RequestOutcome.ANSWERED
        other = await rig.run(forward(2, b"nameless"))
        assert other.outcome == RequestOutcome.INVALID_RESPONSE

    interim = b"HTTP/1.1 103 X\r\nLugspur-Not-Delivered: 1\r\nLugspur-Attempt-Id: %b\r\n\r\n"
    nameless = (GOOD % b"x").replace(b"Lugspur-Attempt-Id: x\r\n", b"")
    play(lambda a: interim % a + (nameless if a == b"nameless" else GOOD % a), what)


@pytest.mark.parametrize(
    ("head", "end"),
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
def test_an_answers_headers_are_read_by_their_names(head: bytes, end: RequestOutcome) -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        assert (await rig.run(forward(1))).outcome == end

    play(lambda a: b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 2\r\n\r\nhi", what)


def test_an_expired_request_is_rejected_and_never_sent() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        for left in (0.0, -0.01, -30.0):
            reply = await rig.run(forward(1, left=left))
            assert (reply.outcome, reply.was_sent, reply.cause, backend.heads) == (
                RequestOutcome.NOT_RUN,
                False,
                FailureCause.EXPIRED,
                [],
            )
        assert rig.limiter.causes == {FailureCause.EXPIRED: 3}

    play(lambda a: GOOD % a, what)


def test_a_freeze_within_a_turn_of_the_loop_sends_no_expired_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        assert (
            await rig.run(forward(1))
        ).outcome == RequestOutcome.ANSWERED  # its connection is kept: the next goes out at once
        loop = asyncio.get_running_loop()
        stands = loop.time()
        monkeypatch.setattr(concurrency_limiter, "monotonic", lambda: stands + 30.0)
        reply = await rig.run(forward(2))
        assert (reply.outcome, reply.was_sent, len(backend.heads), rig.limiter.in_flight) == (
            RequestOutcome.NOT_RUN,
            False,
            1,
            0,
        )
        assert reply.cause == FailureCause.TOO_LITTLE_TIME

    play(lambda a: GOOD % a, what)


def test_a_cancelled_request_is_replied_to_once_also_while_it_waits() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
        backend.hold = asyncio.Event()
        rig.local.concurrency = 1
        replies: list[tuple[int, RequestOutcome]] = []
        admitted_requests = [
            rig.limiter.submit(forward(n), lambda r: replies.append((r.number, RequestOutcome(r.outcome))))
            for n in (1, 2, 3)
        ]
        for admitted in admitted_requests[::-1] * 2:  # the one that waits first: else it would not wait any more
            assert admitted is not None
            rig.limiter.cancel(admitted)
        assert sorted(replies) == [
            (n, RequestOutcome.UNKNOWN) for n in (1, 2, 3)
        ]  # who sent it counts what it has under way

    play(lambda a: GOOD % a, what)


def test_a_request_withdrawn_while_it_waits_is_proven_not_to_have_run() -> None:
    async def what(rig: Rig, backend: Scripted) -> None:
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

    play(lambda a: GOOD % a, what)


def test_an_early_answer_to_a_long_body_mixes_no_bytes_of_two_requests() -> None:
    """It keeps the connection, and reads on later: what it then reads must be the rest of that body."""
    body = bytes(range(256)) * (64 << 10)  # 16 MiB: more than the system takes unread
    streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        streams.append((reader, writer))
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(GOOD % attempt_of(head))

    async def run() -> None:
        server = await asyncio.start_server(answer_early, "127.0.0.1", 0, limit=1 << 16)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        replies: list[ForwardResponse] = []
        limiter = make_limiter(256 << 20)
        limiter.local_backend = LocalBackend("i-1", "s", address, asyncio.get_running_loop().time())
        limiter.submit(forward(1, body=body, left=5.0), replies.append)
        while not replies:
            await asyncio.sleep(0.001)
        limiter.submit(forward(2), replies.append)
        while len(replies) < 2:
            await asyncio.sleep(0.001)
        assert [reply.outcome for reply in replies] == [RequestOutcome.ANSWERED] * 2 and len(streams) == 2
        late = bytearray()
        with suppress(ConnectionError):
            while data := await streams[0][0].read(1 << 16):
                late += data
        assert bytes(late) == body[: len(late)]
        for _, writer in streams:
            writer.close()
        server.close()

    asyncio.run(asyncio.wait_for(run(), 20.0))
