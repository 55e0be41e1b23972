"""Large bodies in both directions on loopback: at the pace of the slower side, in little memory, without duplicates."""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import pytest
from garbage import collector_off
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import HOST, OK, Client, Running, backend, book, entry, read, running, soon, status, until

from lugspur.daemon.pool import Call
from lugspur.http1 import body as bodies
from lugspur.http1.body import MAX_BUFFERED_BODY, WINDOW, Body
from lugspur.http1.request_parser import PLATFORM, RejectionError, RequestParser
from lugspur.http1.upstream import MIN_STREAM_BUFFER, READ_SIZE
from lugspur.interfaces import Request
from lugspur.pipe import Pipe

LARGE = 3 << 20
MAX_REPLAYED = bodies.REPLAY_FACTOR * MAX_BUFFERED_BODY
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def random_bytes(size: int) -> bytes:
    return random.Random(size).randbytes(size)


@asynccontextmanager
async def serving_backend(serve: Serve) -> AsyncIterator[str]:
    """Run a backend that handles each connection with `serve`; yields its address."""
    tasks = set()

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(one, HOST, 0, limit=1 << 20)
    try:
        yield f"{HOST}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            if task is not None:
                task.cancel()


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a request; returns its head and its body in either framing."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"chunked" in head:
        body = b""
        while size := int((await reader.readline()).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return head, body
    length = 0
    for line in head.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head, await reader.readexactly(length)


async def respond_with_digest(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to each request with the hash of its body."""
    while True:
        _, body = await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + hashlib.sha256(body).hexdigest().encode())


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    framed = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts)
    head = book(Content_Length="", Transfer_Encoding="chunked", body=b"")
    return head + framed + b"0\r\nX-Trailer: a\r\n\r\n"


@pytest.mark.parametrize(
    "size", [MAX_BUFFERED_BODY - 1, MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, WINDOW + MAX_BUFFERED_BODY, LARGE]
)
@pytest.mark.parametrize("form", ["length", "chunks", "small chunks"])
def test_request_body_arrives_unchanged(size: int, form: str) -> None:
    async def play() -> None:
        body = random_bytes(size)
        async with serving_backend(respond_with_digest) as address, running([entry("a", address)]) as up:
            client = await up.client()
            sent = book(body=body) if form == "length" else chunked(body, 100_000 if form == "chunks" else 700)
            answer = await client.ask(sent)
            assert answer.endswith(hashlib.sha256(body).hexdigest().encode())
            assert status(await client.ask(book(2))) == 200  # the connection stays usable
            assert up.proxy.front.buffered_bytes == 0
            assert not up.proxy.pool.calls

    asyncio.run(play())


def test_timeout_of_slow_body_starts_at_last_byte() -> None:
    async def play() -> None:
        body = random_bytes(MAX_BUFFERED_BODY + 40_000)
        async with serving_backend(respond_with_digest) as address, running([entry("a", address)]) as up:
            client = await up.client()
            sent = book(body=body, timeout="0.3")
            for at in range(0, len(sent), 4096):
                client.writer.write(sent[at : at + 4096])
                await asyncio.sleep(0.02)  # in total longer than the timeout of the request
            assert (await client.answer()).endswith(hashlib.sha256(body).hexdigest().encode())

    asyncio.run(play())


def test_stalled_body_is_rejected_and_request_never_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lugspur.http1.front.BODY_RATE_GRACE", 0.0)
    monkeypatch.setattr("lugspur.http1.front.MIN_BODY_RATE", 1 << 30)

    async def play() -> None:
        async with serving_backend(respond_with_digest) as address, running([entry("a", address)]) as up:
            up.proxy.front.request_head_timeout = 0.2
            client = await up.client()
            client.writer.write(book(body=random_bytes(LARGE))[: MAX_BUFFERED_BODY + 20_000])
            assert status(await client.answer()) == 408
            assert not up.proxy.pool.calls
            assert up.proxy.pool.upstream.sockets() == 0  # a connection with an incomplete request is not reused

    asyncio.run(play())


def test_disconnect_during_body_releases_everything() -> None:
    async def play() -> None:
        async with serving_backend(respond_with_digest) as address, running([entry("a", address)]) as up:
            client = await up.client()
            client.writer.write(book(body=random_bytes(LARGE))[: 2 * MAX_BUFFERED_BODY])
            await until(lambda: bool(up.proxy.pool.calls))
            client.writer.close()
            await until(lambda: not up.proxy.pool.calls and up.proxy.pool.upstream.sockets() == 0)
            assert up.proxy.front.buffered_bytes == 0

    asyncio.run(play())


def test_attempt_is_retried_while_body_is_buffered() -> None:
    async def play() -> None:
        body, seen = random_bytes(MAX_BUFFERED_BODY + 5000), []

        async def break_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            if len(seen) > 1:
                got = await reader.readexactly(len(body))
                digest = hashlib.sha256(got).hexdigest().encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + digest)
                await writer.drain()

        async with serving_backend(break_first) as one, serving_backend(break_first) as two:
            async with running([entry("a", one), entry("b", two)]) as up:
                client = await up.client()
                sent = book(body=body)
                client.writer.write(sent[:-4000])
                # The first attempt never ran, so an unsafe request is retried elsewhere.
                await until(lambda: len(seen) == 2)
                client.writer.write(sent[-4000:])
                assert (await client.answer()).endswith(hashlib.sha256(body).hexdigest().encode())

    asyncio.run(play())


def test_attempt_is_not_retried_after_body_was_dropped() -> None:
    async def play() -> None:
        seen = []

        async def break_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            await reader.readexactly(MAX_REPLAYED + MAX_BUFFERED_BODY)

        async with serving_backend(break_late) as one, serving_backend(break_late) as two:
            async with running([entry("a", one), entry("b", two)]) as up:
                client = await up.client()
                client.writer.write(book(body=random_bytes(LARGE))[: MAX_REPLAYED + 2 * MAX_BUFFERED_BODY])
                assert status(await client.answer()) == 503  # the request certainly never ran
                assert len(seen) == 1

    asyncio.run(play())


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", 503),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", 503),  # before the last byte, so the request never ran
        (OK, 200),
    ],
)
def test_early_response_is_forwarded_and_rest_of_body_dropped(answer: bytes, expected: int) -> None:
    async def play() -> None:
        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(2 * MAX_BUFFERED_BODY)
            writer.write(answer)
            await reader.read()

        async with serving_backend(early) as address, running([entry("a", address)]) as up:
            client = await up.client()
            sent = book(body=random_bytes(LARGE))
            client.writer.write(sent[: 4 * MAX_BUFFERED_BODY])
            assert status(await client.answer()) == expected
            client.writer.write(sent[4 * MAX_BUFFERED_BODY :])  # the client has not seen the response yet
            client.writer.write_eof()
            assert await soon(client.reader.read()) == b""
            assert not up.proxy.pool.calls

    asyncio.run(play())


def large_response(size: int, head: str = "length") -> Serve:
    """Return a handler that responds to each request with `size` bytes."""
    body = random_bytes(size)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_request(reader)
            if head == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d \r\n\r\n" % size + body)
            elif head == "chunks":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n")
                for at in range(0, size, 50_000):
                    part = body[at : at + 50_000]
                    writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
                await writer.drain()
                return
            await writer.drain()

    return serve


async def read_response(client: Client) -> tuple[bytes, bytes]:
    """Read a response; returns its head and its body in any framing."""
    head = (await soon(client.reader.readuntil(b"\r\n\r\n"))).lower()
    if b"chunked" in head:
        body = b""
        while size := int((await soon(client.reader.readline())).strip(), 16):
            body += await soon(client.reader.readexactly(size))
            await client.reader.readexactly(2)
        await client.reader.readexactly(2)
        return head, body
    for line in head.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return head, await soon(client.reader.readexactly(int(line.partition(b":")[2])))
    return head, await soon(client.reader.read())


@pytest.mark.parametrize("head", ["length", "chunks"])
def test_large_early_response_is_forwarded_whole(head: str) -> None:
    async def play() -> None:
        answer = random_bytes(8 * MAX_BUFFERED_BODY)

        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(2 * MAX_BUFFERED_BODY)
            if head == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(answer), answer))
            await reader.read()

        async with serving_backend(early) as address, running([entry("a", address)]) as up:
            client = await up.client()
            client.writer.write(book(body=random_bytes(LARGE))[: 4 * MAX_BUFFERED_BODY])
            response_head, body = await read_response(client)
            assert response_head.startswith(b"http/1.1 200 ")
            assert body == answer
            assert b"connection: close" in response_head
            client.writer.write_eof()
            assert await soon(client.reader.read()) == b""
            await until(lambda: not up.proxy.pool.calls)
            assert up.proxy.front.buffered_bytes == 0

    asyncio.run(play())


@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, LARGE])
@pytest.mark.parametrize("head", ["length", "chunks", "end"])
@pytest.mark.parametrize("request_", [read(), book()], ids=["safe", "unsafe"])
def test_response_body_arrives_unchanged(size: int, head: str, request_: bytes) -> None:
    async def play() -> None:
        async with serving_backend(large_response(size, head)) as address, running([entry("a", address)]) as up:
            client = await up.client()
            for _ in range(2):
                client.writer.write(request_)
                _, body = await read_response(client)
                assert body == random_bytes(size)
            await until(lambda: not up.proxy.pool.calls)
            assert up.proxy.pool.upstream.streamed_bytes == 0
            old = await up.client()
            old.writer.write(request_.replace(b"HTTP/1.1", b"HTTP/1.0"))
            response_head, body = await read_response(old)
            assert body == random_bytes(size)
            assert b"chunked" not in response_head

    asyncio.run(play())


def test_large_response_is_streamed_beyond_deadline() -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"a" * 100_000)
            await go.wait()
            writer.write(b"b" * 100_000)
            await writer.drain()

        async with serving_backend(slow) as address, running([entry("a", address)]) as up:
            client = await up.client()
            client.writer.write(read(timeout="0.2"))
            assert b"200 OK" in await soon(client.reader.readuntil(b"\r\n\r\n"))
            assert await soon(client.reader.readexactly(100_000)) == b"a" * 100_000
            await asyncio.sleep(0.3)
            go.set()
            assert await soon(client.reader.readexactly(100_000)) == b"b" * 100_000

    asyncio.run(play())


def test_truncated_response_is_distinguishable() -> None:
    async def play() -> None:
        async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head, _ = await read_request(reader)
            form = b"Content-Length: 300000" if b"id1" in head else b"Transfer-Encoding: chunked"
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % form)
            writer.write(b"a" * 100_000 if b"id1" in head else b"186a0\r\n" + b"a" * 100_000 + b"\r\n")
            await writer.drain()

        async with serving_backend(cut) as address, running([entry("a", address)]) as up:
            for number in (1, 2):
                client = await up.client()
                client.writer.write(book(number))
                got = await soon(client.reader.read())  # until the connection is closed
                assert got.count(b"a" * 1000) >= 100
                assert not got.endswith(b"0\r\n\r\n")
            assert not up.proxy.pool.calls

    asyncio.run(play())


def test_short_response_with_long_length_is_retried() -> None:
    async def play() -> None:
        seen = []

        async def send_truncated(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            seen.append(1)
            if len(seen) > 1:
                writer.write(OK)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\ndone")
            await reader.read()

        async with serving_backend(send_truncated) as one, serving_backend(send_truncated) as two:
            async with running([entry("a", one), entry("b", two)]) as up:
                client = await up.client()
                assert (await client.ask(read())).endswith(b"done")
                assert len(seen) == 2

    asyncio.run(play())


def test_callers_that_read_nothing_use_little_memory_and_delay_nobody() -> None:
    async def play() -> None:
        async def both(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                if b"get /api/large" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
                    for _ in range(512):
                        writer.write(bytes(64 << 10))
                        await writer.drain()
                else:
                    writer.write(OK)

        async with serving_backend(both) as address, running([entry("a", address)], memory=32 << 20) as up:
            upstream = up.proxy.pool.upstream
            socks = []
            for number in range(100):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, (HOST, up.port))
                sock.send(read(number, target="/api/large"))
                socks.append(sock)
            await until(lambda: upstream.streamed_bytes > upstream.max_streamed_bytes // 2)
            client = await up.client()
            for number in range(200, 260):
                assert status(await client.ask(read(number))) == 200
                assert upstream.streamed_bytes <= upstream.max_streamed_bytes + 100 * (MIN_STREAM_BUFFER + READ_SIZE)
            for sock in socks:
                sock.close()
            await until(lambda: upstream.streamed_bytes == 0 and not up.proxy.pool.calls)

    asyncio.run(play())


def test_slow_backend_pauses_request_body() -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def stuck(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            await go.wait()
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            await respond_with_digest(reader, writer)

        async with serving_backend(stuck) as address, running([entry("a", address)]) as up:
            client: Client = await up.client()
            body = random_bytes(16 << 20)
            client.writer.write(book(body=body))
            front = up.proxy.front
            await until(lambda: any(getattr(caller, "_paused_at", 0.0) for caller in front.callers))
            assert front.buffered_bytes <= MAX_REPLAYED + 2 * WINDOW
            go.set()
            assert (await client.answer()).endswith(hashlib.sha256(body).hexdigest().encode())

    asyncio.run(play())


def test_five_hundred_large_exchanges_leave_no_buffered_bytes() -> None:
    async def play() -> None:
        async with (
            serving_backend(large_response(MAX_BUFFERED_BODY + 500)) as address,
            running([entry("a", address)]) as up,
        ):
            client = await up.client()
            for number in range(500):
                client.writer.write(book(number, body=random_bytes(MAX_BUFFERED_BODY + 300)))
                _, body = await read_response(client)
                assert len(body) == MAX_BUFFERED_BODY + 500
            front, upstream = up.proxy.front, up.proxy.pool.upstream
            counted = (front.buffered_bytes, upstream.buffered_bytes, upstream.streamed_bytes, len(up.proxy.pool.calls))
            assert counted == (0, 0, 0, 0)
            assert not front.streaming and not front.reading
            assert upstream.sockets() <= 2

    asyncio.run(play())


def test_an_answered_stream_is_freed_at_once() -> None:
    """Guards against requests that keep their bodies until the cyclic garbage collector runs."""

    async def play() -> None:
        async with (
            serving_backend(large_response(MAX_BUFFERED_BODY + 500)) as address,
            running([entry("a", address)]) as up,
        ):
            client = await up.client()
            with collector_off(Body, Call, Pipe, Request) as living:
                for number in range(3):
                    client.writer.write(book(number, body=random_bytes(MAX_BUFFERED_BODY + 300)))
                    await read_response(client)
                await until(lambda: not up.proxy.pool.calls)
                assert living() == []

    asyncio.run(play())


def test_expect_100_continue_is_answered() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            sent = book(Expect="100-continue ")
            client.writer.write(sent[:-4])
            assert await soon(client.reader.readuntil(b"\r\n\r\n")) == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(sent[-4:])
            assert status(await client.answer()) == 200

    asyncio.run(play())


def test_pipelined_requests_wait_behind_a_large_body() -> None:
    async def play(up: Running | None = None) -> None:
        async with serving_backend(respond_with_digest) as address, running([entry("a", address)]) as up:
            client = await up.client()
            bodies = [random_bytes(MAX_BUFFERED_BODY + 9000), b"a", random_bytes(2 * MAX_BUFFERED_BODY)]
            client.writer.write(b"".join(book(n, body=body) for n, body in enumerate(bodies)))
            for body in bodies:
                assert (await client.answer()).endswith(hashlib.sha256(body).hexdigest().encode())

    asyncio.run(play())


def parse(pieces: list[bytes]) -> tuple[list[tuple[bytes, bytes]], str]:
    """Parse these bytes; returns the target and body of each complete request, and the reason of a rejection."""
    got: list[Request] = []
    whole: list[tuple[bytes, bytes]] = []
    parser = RequestParser(got.append, PLATFORM)
    kept: list[tuple[Request, bytearray]] = []
    for piece in pieces:
        parser.feed(memoryview(piece), 1.0)
        for request in got:
            kept.append((request, bytearray(request.body)))
        got.clear()
        for request, body in kept:
            if request.stream is not None:
                body += request.stream.read(len(body))
                while len(body) < request.stream.received:
                    body += request.stream.read(len(body))
                request.stream.mark_forwarded(len(body))
    for request, body in kept:
        if request.stream is None or request.stream.ended:
            whole.append((request.target, bytes(body)))
    return whole, "" if parser.rejection is None else parser.rejection.reason


INPUTS = [
    book(body=random_bytes(MAX_BUFFERED_BODY + 300)) + read(2),
    chunked(random_bytes(MAX_BUFFERED_BODY + 999), 7000) + book(3),
    chunked(b"abc" * 50, 1),
    chunked(random_bytes(MAX_BUFFERED_BODY + 999), 9000).replace(b";note=1\r\n", b"\r\n", 1)[:-5] + b"zz\r\n",
    book(body=random_bytes(MAX_BUFFERED_BODY))[:-1],
]


def test_pipelined_request_is_not_charged_for_previous_bytes() -> None:
    sent = INPUTS[0]
    assert parse([sent[:1], sent[1:-20], sent[-20:]]) == parse([sent])


@given(st.sampled_from(INPUTS), st.data())
@settings(max_examples=60, deadline=None)
def test_parsing_does_not_depend_on_split(sent: bytes, data: st.DataObject) -> None:
    cuts = sorted(data.draw(st.lists(st.integers(1, len(sent) - 1), max_size=30)))
    pieces = [sent[a:b] for a, b in zip([0, *cuts], [*cuts, len(sent)], strict=True) if a < b]
    assert parse(pieces) == parse([sent])


def test_body_over_limit_is_rejected_while_received() -> None:
    sizes = type(PLATFORM)(body=2 * MAX_BUFFERED_BODY, max_buffered_body=MAX_BUFFERED_BODY)
    got: list[Request] = []
    parser = RequestParser(got.append, sizes)
    for at in range(0, 4 * MAX_BUFFERED_BODY, 5000):
        piece = chunked(random_bytes(4 * MAX_BUFFERED_BODY), 5000)[at : at + 5000]
        parser.feed(memoryview(piece), 1.0)
        for request in got:
            assert request.stream is not None
            request.stream.mark_forwarded(request.stream.received)
            assert request.stream.buffered <= MAX_REPLAYED + 5000
    assert isinstance(parser.rejection, RejectionError)
    assert parser.rejection.status == 413


@given(st.lists(st.tuples(st.integers(0, 90_000), st.integers(0, 90_000)), max_size=12))
@settings(deadline=None)  # a loaded machine is not an error
def test_body_buffers_no_more_than_needed(steps: list[tuple[int, int]]) -> None:
    sent, at, room = bytearray(), 0, []
    body = Body(None, lambda: room.append(1))
    body.start_attempt(lambda: None)
    for come, go in steps:
        if not body.full:
            piece = random_bytes(come)
            sent += piece
            body.put(piece)
        piece = body.read(at)[:go]
        assert piece == bytes(sent[at : at + len(piece)])
        at += len(piece)
        body.mark_forwarded(at)
        assert body.received == len(sent)
        assert body.buffered <= MAX_REPLAYED + WINDOW + 90_000
        assert body.is_partly_dropped == (at > MAX_REPLAYED)
        if not body.is_partly_dropped:
            assert body.read(0)[:at] == bytes(sent[: min(at, 64 << 10)])
    body.drop()
    assert body.buffered == 0
