"""Plain HTTP/2 requests and answers beyond `[limits] hold` pass through the daemon as they come, like HTTP/1.1 ones."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from daemonic import Served, answer, backend, pool, route, served
from grpcpeers import HTTP2, boxed
from loopback import HOST, soon, until
from test_large_bodies import BODY, digest
from test_streams import Serve, random_bytes, read_request, serving_backend

from lugspur.http1 import front as fronts
from lugspur.http1.body import MAX_BUFFERED_BODY
from lugspur.http2 import front as http2_front
from lugspur.standins.grpc.caller import Answer, Caller

LARGE = HTTP2.replace("sockets = 1024", 'sockets = 1024\nhold = "64KiB"\nbody = "8MiB"')
ROUTES = route("book", "/book", 'pool = "a"\nclass = "book"\nfallback = ["b"]') + route(
    "read", "/read", 'pool = "a"\nclass = "read"'
)
NEVER_RAN = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def before(*addresses: str, head: str = LARGE, connect: str = "") -> AsyncIterator[Served]:
    """A daemon before these boxes."""
    text = pool("a", *addresses, more=connect) + pool("b", *addresses) + ROUTES
    async with served(text, head) as up:
        yield up


async def caller_of(up: Served, window: int | None = None) -> Caller:
    return await Caller(window).connect(HOST, up.port())


def begin(caller: Caller, path: str, *more: tuple[str, str], method: str = "POST", end: bool = False) -> int:
    """A plain request's head; gives its stream."""
    stream = int(caller.h2.get_next_available_stream_id())
    head = [(":method", method), (":scheme", "http"), (":path", path), (":authority", "h.example"), *more]
    caller.h2.send_headers(stream, head, end_stream=end)
    caller.answers[stream] = Answer()
    caller.flush()
    return stream


async def post(caller: Caller, path: str, body: bytes, *more: tuple[str, str]) -> Answer:
    """A whole request with a body, and its answer."""
    stream = begin(caller, path, *more)
    await soon(caller.write(stream, body, end=True))
    return await soon(caller.answer(stream))


def held(up: Served) -> int:
    """Bytes of bodies that the daemon counts."""
    return sum(front.buffered_bytes for front, _ in up.running.listeners.values())


async def empty(up: Served) -> None:
    """Nothing is left in the daemon's hands."""
    await until(lambda: up.in_hand() == 0)
    assert held(up) == 0
    assert all(cluster.pool.upstream.streamed_bytes == 0 for cluster in up.daemon.clusters.values())


@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, 5 * MAX_BUFFERED_BODY, len(BODY)])
@pytest.mark.parametrize("told", [True, False])
def test_a_body_of_any_size_arrives_as_it_was(size: int, told: bool) -> None:
    async def play() -> None:
        async with serving_backend(echo) as address, before(address) as up:
            caller, body = await caller_of(up), BODY[:size]
            lines = [("content-length", str(size))] if told else []
            for path in ("/book", "/read"):
                got = await post(caller, path, body, *lines)
                assert (got.head[":status"], bytes(got.data)) == ("200", hashlib.sha256(body).hexdigest().encode())
            await empty(up)
            caller.close()

    asyncio.run(play())


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers with the body's hash, however the body is framed."""
    while True:
        _, body = await read_request(reader)
        writer.write(answer(hashlib.sha256(body).hexdigest().encode()))


def large(body: bytes, head: str) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_request(reader)
            if head == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Note: a\r\n\r\n" % len(body) + body)
            elif head == "chunks":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Note: a\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nX-Note: a\r\n\r\n" + body)
            await writer.drain()
            if head == "end":
                return

    return serve


@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, len(BODY)])
@pytest.mark.parametrize("head", ["length", "chunks", "end"])
@pytest.mark.parametrize("path", ["/read", "/book"])
def test_an_answer_of_any_size_and_form_arrives_as_it_was(size: int, head: str, path: str) -> None:
    async def play() -> None:
        body = random_bytes(size)
        async with serving_backend(large(body, head)) as address, before(address) as up:
            caller = await caller_of(up)
            for _ in range(3):
                got = await soon(caller.answer(begin(caller, path, end=True)))
                assert (got.head[":status"], got.head["x-note"], got.ends, got.reset) == ("200", "a", 1, None)
                assert bytes(got.data) == body
            await empty(up)
            caller.close()

    asyncio.run(play())


def test_a_box_that_takes_nothing_stops_its_own_stream_and_no_other() -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"x-slow" in head.lower():
                await go.wait()
            size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(size)
            writer.write(answer(hashlib.sha256(body).hexdigest().encode()))
            await reader.read()

        async with serving_backend(slow) as address, before(address) as up:
            caller = await caller_of(up)
            body = random_bytes(8 << 20)
            stuck = begin(caller, "/book", ("x-slow", "1"), ("content-length", str(len(body))))
            sending = asyncio.get_running_loop().create_task(caller.write(stuck, body, end=True))
            await until(lambda: caller.sent[stuck] >= 2 * MAX_BUFFERED_BODY)
            for _ in range(3):
                got = await post(caller, "/book", BODY, ("content-length", str(len(BODY))))
                assert got.head[":status"] == "200"
            # What the sockets in between hold is the system's matter; the rest has not been let come.
            assert caller.sent[stuck] < len(body)
            assert held(up) <= 4 * MAX_BUFFERED_BODY
            go.set()
            await soon(sending)
            got = await soon(caller.answer(stuck))
            assert bytes(got.data) == hashlib.sha256(body).hexdigest().encode()
            await empty(up)
            caller.close()

    asyncio.run(play())


def test_answers_that_are_not_read_hold_little_and_hold_up_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http2_front, "STREAM_TIMEOUT", 0.3)

    async def play() -> None:
        async with serving_backend(large(BODY, "length")) as address, before(address) as up:
            deaf, other = await caller_of(up), await caller_of(up)
            deaf.credit = False
            streams = [begin(deaf, "/read", end=True) for _ in range(20)]
            upstream = up.daemon.clusters["a"].pool.upstream
            for _ in range(3):
                assert bytes((await soon(other.answer(begin(other, "/read", end=True)))).data) == BODY
                assert upstream.streamed_bytes <= upstream.max_streamed_bytes + 20 * MAX_BUFFERED_BODY
            for stream in streams:
                got = await soon(deaf.answer(stream))
                assert got.reset == 8 and got.ends == 0  # CANCEL: it stood still, and was not all
            await empty(up)
            for caller in (deaf, other):
                caller.close()

    asyncio.run(play())


@pytest.mark.parametrize("size", [200_000, len(BODY)])
def test_a_caller_that_reads_slowly_gets_all_of_it(size: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Held whole or passed on: what moves is not cut off, however long it takes in all.
    monkeypatch.setattr(http2_front, "STUCK", 0.1)
    monkeypatch.setattr(http2_front, "STREAM_TIMEOUT", 0.1)
    body = BODY[:size]

    async def play() -> None:
        head = LARGE.replace('hold = "64KiB"', 'hold = "1MiB"')
        async with serving_backend(large(body, "length")) as address, before(address, head=head) as up:
            caller = await caller_of(up, window=size // 10)
            caller.credit = False
            stream = begin(caller, "/read", end=True)
            got, begun = caller.answers[stream], asyncio.get_running_loop().time()
            read = 0
            while not got.over.is_set():
                await asyncio.sleep(0.03)
                if len(got.data) > read:
                    caller.h2.acknowledge_received_data(len(got.data) - read, stream)
                    read = len(got.data)
                    caller.flush()
            assert (got.reset, bytes(got.data)) == (None, body)
            assert asyncio.get_running_loop().time() - begun > 0.2  # longer than either limit
            caller.close()

    asyncio.run(play())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_an_answer_that_breaks_off_can_be_told_from_a_whole_one(form: str) -> None:
    async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        if form == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"a" * 100_000)
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + b"a" * 100_000 + b"\r\n")
        await writer.drain()

    async def play() -> None:
        async with serving_backend(cut) as address, before(address) as up:
            caller = await caller_of(up)
            got = await soon(caller.answer(begin(caller, "/book", end=True)))
            assert (got.head[":status"], got.ends, got.reset) == ("200", 0, 2)  # INTERNAL_ERROR
            await empty(up)
            caller.close()

    asyncio.run(play())


def test_a_large_answer_before_the_bodys_end_is_passed_on_whole_and_alone() -> None:
    async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(MAX_BUFFERED_BODY)
        writer.write(answer(BODY))
        await reader.read()

    async def play() -> None:
        async with serving_backend(early) as address, before(address) as up:
            caller = await caller_of(up)
            stream = begin(caller, "/book")
            await soon(caller.write(stream, random_bytes(3 * MAX_BUFFERED_BODY)))
            got = await soon(caller.answer(stream))
            assert (got.head[":status"], bytes(got.data)) == ("200", BODY)
            await empty(up)
            caller.close()

    asyncio.run(play())


def test_a_caller_that_gives_up_in_the_middle_leaves_nothing_and_its_request_never_runs() -> None:
    async def play() -> None:
        async with backend(digest) as one, before(one.address) as up:
            for way in ("reset", "close"):
                caller = await caller_of(up)
                stream = begin(caller, "/book", ("content-length", str(len(BODY))))
                await soon(caller.write(stream, BODY[: 3 * MAX_BUFFERED_BODY]))
                await until(lambda: up.in_hand() == 1)
                if way == "reset":
                    caller.cancel(stream)
                    await empty(up)
                caller.close()
                await empty(up)
            await until(lambda: one.ended.qsize() == 2)
            assert one.got.empty()

    asyncio.run(play())


def test_an_attempt_that_was_turned_away_is_followed_by_another_while_all_is_there() -> None:
    async def play() -> None:
        async def full(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(NEVER_RAN)
            await reader.read()

        async with serving_backend(full) as first, backend(digest) as second, before(first, second.address) as up:
            caller = await caller_of(up)
            for _ in range(6):  # the first box is met by some
                body = random_bytes(MAX_BUFFERED_BODY + 1000)
                got = await post(caller, "/book", body, ("content-length", str(len(body))))
                assert bytes(got.data) == hashlib.sha256(body).hexdigest().encode()
            assert second.got.qsize() == 6
            await empty(up)
            caller.close()

    asyncio.run(play())


def test_what_is_too_large_or_too_slow_is_turned_away_in_its_middle(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http2_front, "BODY_RATE_GRACE", 0.1)

    async def play() -> None:
        head = LARGE.replace("[limits]", '[limits]\nread = "100ms"')
        ran = []

        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ran.append(await read_request(reader))

        async with serving_backend(count) as address, before(address, head=head) as up:
            caller = await caller_of(up)
            got = await soon(caller.answer(begin(caller, "/book", ("content-length", str(9 << 20)))))
            assert got.head[":status"] == "413"  # by its length alone
            got = await post(caller, "/book", bytes(9 << 20))
            assert got.head[":status"] == "413"
            stream = begin(caller, "/book")
            await soon(caller.write(stream, BODY[: MAX_BUFFERED_BODY + 1]))
            got = await soon(caller.answer(stream))  # it stops, and 24 kB a second are due
            assert got.head[":status"] == "408"
            await empty(up)
            assert not ran
            caller.close()

    asyncio.run(play())


def test_a_slow_body_is_waited_for_and_its_time_counts_from_its_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http2_front, "MIN_BODY_RATE", 1 << 20)  # of which it keeps ahead
    assert fronts.MIN_BODY_RATE < 64_000  # what callers with little room may need

    async def play() -> None:
        head = LARGE.replace("[limits]", '[limits]\nread = "100ms"').replace(
            '[classes.book]\naim = "30s"\ndeadline = "30s"', '[classes.book]\naim = "200ms"\ndeadline = "200ms"'
        )
        async with backend(digest) as one, before(one.address, head=head) as up:
            caller, body = await caller_of(up), random_bytes(5 * MAX_BUFFERED_BODY)
            stream = begin(caller, "/book", ("content-length", str(len(body))))
            for at in range(0, len(body), MAX_BUFFERED_BODY):
                await soon(
                    caller.write(stream, body[at : at + MAX_BUFFERED_BODY], end=at + MAX_BUFFERED_BODY >= len(body))
                )
                await asyncio.sleep(0.08)
            got = await soon(caller.answer(stream))
            assert bytes(got.data) == hashlib.sha256(body).hexdigest().encode()
            caller.close()

    asyncio.run(play())


def test_a_grpc_box_gets_a_large_body_whole() -> None:
    async def play() -> None:
        head = HTTP2.replace("sockets = 1024", 'sockets = 1024\nhold = "16KiB"')
        async with boxed(1, head=head) as world:
            caller = await world.caller()
            got = await post(caller, "/book/a", b"x" * 200_000)
            assert got.head[":status"] == "200"
            assert world.ran() == 1
            await until(lambda: world.up.in_hand() == 0)

    asyncio.run(play())
