"""HTTP/2 requests and responses larger than `[limits] hold` are forwarded as they arrive, like those of HTTP/1.1."""

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
from lugspur.standins.grpc.caller import Caller, Response

CONFIG = HTTP2.replace("sockets = 1024", 'sockets = 1024\nhold = "64KiB"\nbody = "8MiB"')
ROUTES = route("book", "/book", 'pool = "a"\nclass = "book"\nfallback = ["b"]') + route(
    "read", "/read", 'pool = "a"\nclass = "read"'
)
NOT_PROCESSED = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def daemon_for(*addresses: str, head: str = CONFIG, connect: str = "") -> AsyncIterator[Served]:
    """Run a daemon with these backends in its pools `a` and `b`."""
    text = pool("a", *addresses, more=connect) + pool("b", *addresses) + ROUTES
    async with served(text, head) as up:
        yield up


async def connect_caller(up: Served, window: int | None = None) -> Caller:
    return await Caller(window).connect(HOST, up.port())


def begin_request(caller: Caller, path: str, *more: tuple[str, str], method: str = "POST", end: bool = False) -> int:
    """Send the headers of a plain request; return its stream id."""
    stream = int(caller.h2.get_next_available_stream_id())
    head = [(":method", method), (":scheme", "http"), (":path", path), (":authority", "h.example"), *more]
    caller.h2.send_headers(stream, head, end_stream=end)
    caller.responses[stream] = Response()
    caller.flush()
    return stream


async def post(caller: Caller, path: str, body: bytes, *more: tuple[str, str]) -> Response:
    """Send a request with a body; return its response."""
    stream = begin_request(caller, path, *more)
    await soon(caller.write(stream, body, end=True))
    return await soon(caller.response(stream))


def held_bytes(up: Served) -> int:
    """Return the bytes of bodies that the daemon's listeners hold."""
    return sum(front.buffered_bytes for front, _ in up.running.listeners.values())


async def assert_released(up: Served) -> None:
    """Assert that the daemon has no open requests left and holds no bytes."""
    await until(lambda: up.in_hand() == 0)
    assert held_bytes(up) == 0
    assert all(cluster.pool.upstream.streamed_bytes == 0 for cluster in up.daemon.clusters.values())


@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, 5 * MAX_BUFFERED_BODY, len(BODY)])
@pytest.mark.parametrize("has_length", [True, False])
def test_a_body_of_any_size_arrives_unchanged(size: int, has_length: bool) -> None:
    async def play() -> None:
        async with serving_backend(respond_with_hash) as address, daemon_for(address) as up:
            caller, body = await connect_caller(up), BODY[:size]
            headers = [("content-length", str(size))] if has_length else []
            for path in ("/book", "/read"):
                response = await post(caller, path, body, *headers)
                assert (response.head[":status"], bytes(response.data)) == (
                    "200",
                    hashlib.sha256(body).hexdigest().encode(),
                )
            await assert_released(up)
            caller.close()

    asyncio.run(play())


async def respond_with_hash(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond with the hash of the body, whichever way the body is framed."""
    while True:
        _, body = await read_request(reader)
        writer.write(answer(hashlib.sha256(body).hexdigest().encode()))


def respond_with(body: bytes, head: str) -> Serve:
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
def test_a_response_of_any_size_and_framing_arrives_unchanged(size: int, head: str, path: str) -> None:
    async def play() -> None:
        body = random_bytes(size)
        async with serving_backend(respond_with(body, head)) as address, daemon_for(address) as up:
            caller = await connect_caller(up)
            for _ in range(3):
                response = await soon(caller.response(begin_request(caller, path, end=True)))
                assert (response.head[":status"], response.head["x-note"], response.ends, response.reset) == (
                    "200",
                    "a",
                    1,
                    None,
                )
                assert bytes(response.data) == body
            await assert_released(up)
            caller.close()

    asyncio.run(play())


def test_a_backend_that_reads_nothing_blocks_its_own_stream_alone() -> None:
    async def play() -> None:
        release = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"x-slow" in head.lower():
                await release.wait()
            size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(size)
            writer.write(answer(hashlib.sha256(body).hexdigest().encode()))
            await reader.read()

        async with serving_backend(slow) as address, daemon_for(address) as up:
            caller = await connect_caller(up)
            body = random_bytes(8 << 20)
            slow_stream = begin_request(caller, "/book", ("x-slow", "1"), ("content-length", str(len(body))))
            sending = asyncio.get_running_loop().create_task(caller.write(slow_stream, body, end=True))
            await until(lambda: caller.sent[slow_stream] >= 2 * MAX_BUFFERED_BODY)
            for _ in range(3):
                response = await post(caller, "/book", BODY, ("content-length", str(len(BODY))))
                assert response.head[":status"] == "200"
            # Sockets buffer some of the body, which depends on the system; the daemon has not read the rest.
            assert caller.sent[slow_stream] < len(body)
            assert held_bytes(up) <= 4 * MAX_BUFFERED_BODY
            release.set()
            await soon(sending)
            response = await soon(caller.response(slow_stream))
            assert bytes(response.data) == hashlib.sha256(body).hexdigest().encode()
            await assert_released(up)
            caller.close()

    asyncio.run(play())


def test_unread_responses_hold_little_memory_and_block_no_other_caller(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http2_front, "STREAM_TIMEOUT", 0.3)

    async def play() -> None:
        async with serving_backend(respond_with(BODY, "length")) as address, daemon_for(address) as up:
            reading_nothing, other = await connect_caller(up), await connect_caller(up)
            reading_nothing.extends_windows = False
            streams = [begin_request(reading_nothing, "/read", end=True) for _ in range(20)]
            upstream = up.daemon.clusters["a"].pool.upstream
            for _ in range(3):
                assert bytes((await soon(other.response(begin_request(other, "/read", end=True)))).data) == BODY
                assert upstream.streamed_bytes <= upstream.max_streamed_bytes + 20 * MAX_BUFFERED_BODY
            for stream in streams:
                response = await soon(reading_nothing.response(stream))
                # CANCEL: the response made no progress and is incomplete.
                assert response.reset == 8 and response.ends == 0
            await assert_released(up)
            for caller in (reading_nothing, other):
                caller.close()

    asyncio.run(play())


@pytest.mark.parametrize("size", [200_000, len(BODY)])
def test_a_caller_that_reads_slowly_gets_the_whole_response(size: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Whether held or forwarded, a response that makes progress is not reset, however long it takes in total.
    monkeypatch.setattr(http2_front, "RESPONSE_READ_TIMEOUT", 0.1)
    monkeypatch.setattr(http2_front, "STREAM_TIMEOUT", 0.1)
    body = BODY[:size]

    async def play() -> None:
        head = CONFIG.replace('hold = "64KiB"', 'hold = "1MiB"')
        async with serving_backend(respond_with(body, "length")) as address, daemon_for(address, head=head) as up:
            caller = await connect_caller(up, window=size // 10)
            caller.extends_windows = False
            stream = begin_request(caller, "/read", end=True)
            response, started_at = caller.responses[stream], asyncio.get_running_loop().time()
            acknowledged = 0
            while not response.ended.is_set():
                await asyncio.sleep(0.03)
                if len(response.data) > acknowledged:
                    caller.h2.acknowledge_received_data(len(response.data) - acknowledged, stream)
                    acknowledged = len(response.data)
                    caller.flush()
            assert (response.reset, bytes(response.data)) == (None, body)
            assert asyncio.get_running_loop().time() - started_at > 0.2  # longer than both timeouts
            caller.close()

    asyncio.run(play())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_truncated_response_ends_with_a_reset(form: str) -> None:
    async def break_off(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        if form == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"a" * 100_000)
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + b"a" * 100_000 + b"\r\n")
        await writer.drain()

    async def play() -> None:
        async with serving_backend(break_off) as address, daemon_for(address) as up:
            caller = await connect_caller(up)
            response = await soon(caller.response(begin_request(caller, "/book", end=True)))
            assert (response.head[":status"], response.ends, response.reset) == ("200", 0, 2)  # INTERNAL_ERROR
            await assert_released(up)
            caller.close()

    asyncio.run(play())


def test_a_large_response_before_the_end_of_the_request_is_forwarded_whole_and_once() -> None:
    async def respond_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(MAX_BUFFERED_BODY)
        writer.write(answer(BODY))
        await reader.read()

    async def play() -> None:
        async with serving_backend(respond_early) as address, daemon_for(address) as up:
            caller = await connect_caller(up)
            stream = begin_request(caller, "/book")
            await soon(caller.write(stream, random_bytes(3 * MAX_BUFFERED_BODY)))
            response = await soon(caller.response(stream))
            assert (response.head[":status"], bytes(response.data)) == ("200", BODY)
            await assert_released(up)
            caller.close()

    asyncio.run(play())


def test_a_cancelled_upload_releases_everything_and_never_runs() -> None:
    async def play() -> None:
        async with backend(digest) as one, daemon_for(one.address) as up:
            for way in ("reset", "close"):
                caller = await connect_caller(up)
                stream = begin_request(caller, "/book", ("content-length", str(len(BODY))))
                await soon(caller.write(stream, BODY[: 3 * MAX_BUFFERED_BODY]))
                await until(lambda: up.in_hand() == 1)
                if way == "reset":
                    caller.cancel(stream)
                    await assert_released(up)
                caller.close()
                await assert_released(up)
            await until(lambda: one.ended.qsize() == 2)
            assert one.got.empty()

    asyncio.run(play())


def test_a_rejected_attempt_is_retried_while_the_whole_body_is_kept() -> None:
    async def play() -> None:
        async def reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(NOT_PROCESSED)
            await reader.read()

        async with serving_backend(reject) as first, backend(digest) as second, daemon_for(first, second.address) as up:
            caller = await connect_caller(up)
            for _ in range(6):  # some of them reach the first backend
                body = random_bytes(MAX_BUFFERED_BODY + 1000)
                response = await post(caller, "/book", body, ("content-length", str(len(body))))
                assert bytes(response.data) == hashlib.sha256(body).hexdigest().encode()
            assert second.got.qsize() == 6
            await assert_released(up)
            caller.close()

    asyncio.run(play())


def test_a_body_that_is_too_large_or_too_slow_is_rejected_midway(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http2_front, "BODY_RATE_GRACE", 0.1)

    async def play() -> None:
        head = CONFIG.replace("[limits]", '[limits]\nread = "100ms"')
        received_requests = []

        async def record(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received_requests.append(await read_request(reader))

        async with serving_backend(record) as address, daemon_for(address, head=head) as up:
            caller = await connect_caller(up)
            response = await soon(caller.response(begin_request(caller, "/book", ("content-length", str(9 << 20)))))
            assert response.head[":status"] == "413"  # rejected by its content-length alone
            response = await post(caller, "/book", bytes(9 << 20))
            assert response.head[":status"] == "413"
            stream = begin_request(caller, "/book")
            await soon(caller.write(stream, BODY[: MAX_BUFFERED_BODY + 1]))
            response = await soon(caller.response(stream))  # the body stops, and at least 24 kB a second are required
            assert response.head[":status"] == "408"
            await assert_released(up)
            assert not received_requests
            caller.close()

    asyncio.run(play())


def test_a_slow_body_is_accepted_and_the_deadline_counts_from_its_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http2_front, "MIN_BODY_RATE", 1 << 20)  # the body arrives faster than that
    assert fronts.MIN_BODY_RATE < 64_000  # slow callers may send as little as 64 kB a second

    async def play() -> None:
        head = CONFIG.replace("[limits]", '[limits]\nread = "100ms"').replace(
            '[classes.book]\naim = "30s"\ndeadline = "30s"', '[classes.book]\naim = "200ms"\ndeadline = "200ms"'
        )
        async with backend(digest) as one, daemon_for(one.address, head=head) as up:
            caller, body = await connect_caller(up), random_bytes(5 * MAX_BUFFERED_BODY)
            stream = begin_request(caller, "/book", ("content-length", str(len(body))))
            for at in range(0, len(body), MAX_BUFFERED_BODY):
                await soon(
                    caller.write(stream, body[at : at + MAX_BUFFERED_BODY], end=at + MAX_BUFFERED_BODY >= len(body))
                )
                await asyncio.sleep(0.08)
            response = await soon(caller.response(stream))
            assert bytes(response.data) == hashlib.sha256(body).hexdigest().encode()
            caller.close()

    asyncio.run(play())


def test_a_grpc_backend_gets_a_large_body_whole() -> None:
    async def play() -> None:
        head = HTTP2.replace("sockets = 1024", 'sockets = 1024\nhold = "16KiB"')
        async with boxed(1, head=head) as world:
            caller = await world.caller()
            response = await post(caller, "/book/a", b"x" * 200_000)
            assert response.head[":status"] == "200"
            assert world.ran() == 1
            await until(lambda: world.up.in_hand() == 0)

    asyncio.run(play())
