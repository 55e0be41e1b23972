"""The proxy on loopback sockets: forwarded requests, returned responses, and the outcomes of failures."""

from __future__ import annotations

import asyncio
import errno
import gc
import random
import socket
import time
from typing import Any

import pytest
from loopback import (
    CLOSE,
    HOST,
    MAY_HAVE_RUN,
    NEVER_RAN,
    OK,
    WIDE,
    WIRE,
    Backend,
    backend,
    book,
    config,
    entry,
    read,
    running,
    soon,
    status,
    until,
    watches,
)

from lugspur.daemon.pool import Call
from lugspur.daemon.proxy import Proxy
from lugspur.http1.dial import Dial
from lugspur.http1.front import Caller
from lugspur.http1.request_parser import RequestParser
from lugspur.http1.upstream import STALL_TIMEOUT, Connection, Exchange, Upstream
from lugspur.http1.upstream import Backend as UpstreamBackend
from lugspur.interfaces import Response
from lugspur.load_balancing.adapter import read_settings
from lugspur.load_balancing.model import Outcome, Reject, Settings
from lugspur.routing.shares import SharedLimit


def test_request_is_forwarded_unchanged_and_response_returned() -> None:
    body = bytes(range(256)) * 256  # 64 KiB

    async def play() -> None:
        answer = b"HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        async with backend(lambda _: answer) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            got = await client.ask(book(body=body, timeout="25", X_Odd="kept"))
            assert status(got) == 200 and got.endswith(b"\r\n\r\n" + body) and b"X-Note: n" in got
            sent = await soon(one.got.get())
            assert sent.startswith(b"POST /api/k HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\n" + body)
            assert b"X-Request-ID: id1\r\n" in sent and b"X-Odd: kept\r\n" in sent
            [left] = [line for line in sent.split(b"\r\n") if line.startswith(b"X-Timeout: ")]
            assert 5.0 < float(left.partition(b":")[2]) < 25.0
            await client.ask(book(3, X_Priority_Class="once", Idempotency_Key="k1"))
            assert b"Idempotency-Key: k1\r\n" in await soon(one.got.get())
            await client.ask(read(2, target="/api/k%20y?q=a+b&c"))
            assert (await soon(one.got.get())).startswith(b"GET /api/k%20y?q=a+b&c HTTP/1.1\r\n")

    asyncio.run(play())


def respond_first_with(answer: bytes | None) -> Any:
    """Return a script for several backends: this response to the first request, then OK."""
    left = [answer]
    return lambda _: left.pop() if left else OK


@pytest.mark.parametrize(
    ("answer", "expected", "sent"),
    [
        (OK, 200, 1),
        (NEVER_RAN, 200, 2),
        (MAY_HAVE_RUN, 502, 1),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", 502, 1),
        (CLOSE, 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 502, 1),
        (b"HTTP/1.1 200 OK\r\n\r\ncut", 200, 1),  # the end of the connection ends the body (RFC 9112 6.3)
        (b"nonsense cut", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 502, 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 2000, 502, 1),
        (b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 200000, 502, 1),
        (b"HTTP/1.1 101 Other\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 502, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 40, 502, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Note: a\r\n\r\n" + OK, 200, 1),
        (OK + OK, 200, 1),
        (OK + b"\x16\xcb noise\r\n\r\n", 200, 1),
        (OK.replace(b"\r\n", b"\r\nX-Server-Load: {\r\nX-Server-Load: \xff=,\r\n", 1), 200, 1),
        (b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", 400, 1),
        (b"HTTP/1.1 499 Odd\r\nContent-Length: 0\r\n\r\n", 499, 1),
        (b"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", 502, 1),
    ],
)
def test_unsafe_request_is_retried_only_if_it_never_ran(answer: bytes, expected: int, sent: int) -> None:
    async def play() -> None:
        script = respond_first_with(answer)
        async with backend(script) as one, backend(script) as two:
            async with running([entry("a", one.address), entry("b", two.address)]) as up:
                client = await up.client()
                assert status(await client.ask(book())) == expected
                assert one.got.qsize() + two.got.qsize() == sent

    asyncio.run(play())


def test_request_on_refused_connection_is_retried() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as gone:
            pass
        async with backend(lambda _: OK) as one:
            async with running([entry("a", one.address), entry("b", gone.address)]) as up:
                client = await up.client()
                for number in range(6):
                    assert status(await client.ask(book(number))) == 200
        assert one.got.qsize() == 6

    asyncio.run(play())


def test_dead_reused_connection_does_not_cause_retry_of_unsafe_request() -> None:
    async def play() -> None:
        answers = [OK, CLOSE, OK]
        async with backend(lambda _: answers.pop(0)) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert [status(await client.ask(book(n))) for n in range(3)] == [200, 502, 200]
            assert one.got.qsize() == 3

    asyncio.run(play())


def test_timeout_applies_when_backend_is_silent() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(book(timeout="0.2"))) == 504
            await soon(one.ended.get())  # the attempt was cancelled by closing its connection

    asyncio.run(play())


def test_timeout_applies_when_balancer_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            with monkeypatch.context() as patch:
                patch.setattr(up.proxy.pool.balancer, "request", lambda *_: [])
                client = await up.client()
                assert status(await client.ask(book(timeout="0.1"))) == 504
            assert status(await client.ask(book(2))) == 200

    asyncio.run(play())


def test_exception_of_balancer_fails_one_request(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fault(*_: object) -> None:
        raise RuntimeError("odd")

    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            for event in ("request", "finish_attempt"):
                with monkeypatch.context() as patch:
                    patch.setattr(up.proxy.pool.balancer, event, fault)
                    # A response that arrived before the error stands.
                    assert status(await client.ask(book())) == (500 if event == "request" else 200)
            assert status(await client.ask(book(2))) == 200
            assert not up.proxy.pool.calls

    asyncio.run(play())
    assert capsys.readouterr().err.count("RuntimeError: odd") == 1  # the error is logged only once


def test_timeout_starts_at_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        deadlines: list[float] = []
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            ask = up.proxy.pool.balancer.request

            def request(*args: Any) -> Any:
                deadlines.append(args[4])
                return ask(*args)

            monkeypatch.setattr(up.proxy.pool.balancer, "request", request)
            client = await up.client()
            client.writer.write(book()[:30])
            await until(lambda: bool(up.proxy.front.reading))
            await asyncio.sleep(0.05)
            seen = time.time()
            assert status(await client.ask(book()[30:])) == 200
            assert seen + 29.99 < deadlines[0] < seen + 35.0

    asyncio.run(play())


def test_balancer_and_endpoint_list_share_a_clock() -> None:
    async def play() -> None:
        async with running([]) as up:
            assert abs(up.proxy.pool.now() - time.time()) < 5.0

    asyncio.run(play())


@pytest.mark.parametrize("change", ["drained", "left", "late"])
def test_request_is_not_sent_if_obsolete_after_connecting(change: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            loop = asyncio.get_running_loop()
            ready, dialled = Dial._ready, asyncio.Event()
            held: list[Dial[Exchange]] = []

            def slow(dial: Dial[Exchange]) -> None:
                assert dial.sock is not None
                loop.remove_writer(dial.sock.fileno())
                held.append(dial)
                dialled.set()

            client = await up.client()
            monkeypatch.setattr(Dial, "_ready", slow)
            client.writer.write(book(timeout="0.3" if change == "late" else "30"))
            await soon(dialled.wait())
            if change == "drained":
                up.tell([entry("a", one.address, "terminating")])
            elif change == "left":
                client.writer.close()
                await until(lambda: not up.proxy.pool.calls)
            else:
                assert status(await client.answer()) >= 500
            for dial in held:
                ready(dial)
            if change == "drained":
                assert status(await client.answer()) == 503
            pool = up.proxy.pool.upstream
            await until(lambda: pool.sockets() == 0)
            assert one.got.empty()

    asyncio.run(play())


def test_attempt_is_cancelled_when_caller_disconnects() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(book())
            await soon(one.got.get())
            client.writer.close()
            await soon(one.ended.get())
            await until(lambda: not up.proxy.pool.calls and not up.proxy.pool.balancer.requests)

    asyncio.run(play())


@pytest.mark.parametrize(
    "changed",
    [
        {"since_ms": 5_000},
        {"status": "terminated"},
        {"address": f"{HOST}:9"},
    ],
)
def test_idle_connections_to_replaced_process_are_closed(changed: dict[str, Any]) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(book())) == 200
            assert one.ended.empty()
            up.tell([entry("a", one.address) | changed])
            await soon(one.ended.get())

    asyncio.run(play())


def test_healthz_is_ready_only_with_endpoint_list() -> None:
    async def play() -> None:
        async with watches() as registry, backend(lambda _: OK) as one:
            async with running([], discovery=registry.port) as up:
                client = await up.client()
                probe = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
                assert status(await client.ask(probe)) == 503
                assert await soon(registry.asked.get()) == "/v1/servers?follow=1&since=7"
                registry.say(8, [entry("a", one.address)])
                await until(lambda: up.proxy.front.ready)
                assert status(await client.ask(probe)) == 200
                assert status(await client.ask(book())) == 200

    asyncio.run(play())


def test_ended_watch_resumes_at_its_index() -> None:
    async def play() -> None:
        async with watches() as registry, running([], discovery=registry.port) as up:
            await soon(registry.asked.get())
            registry.say(12, [entry("a", f"{HOST}:1"), entry("b", f"{HOST}:2")], snapshot=True)
            await until(lambda: len(up.proxy.pool.backends) == 2)
            assert registry.writer is not None
            registry.writer.close()
            assert await soon(registry.asked.get()) == "/v1/servers?follow=1&since=12"
            registry.say(13, [entry("b", f"{HOST}:2")], snapshot=True)
            await until(lambda: sum(b.in_service for b in up.proxy.pool.backends.values()) == 1)
            registry.say(14, [entry("a", "nowhere")])  # malformed: the list is kept, the watch is renewed
            assert await soon(registry.asked.get()) == "/v1/servers?follow=1&since=13"

    asyncio.run(play())


def test_rejection_has_retry_after(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with running([]) as up:
            client = await up.client()
            assert b"Retry-After" not in await client.ask(book())
            monkeypatch.setattr(up.proxy.pool.balancer, "request", lambda now, rid, *_: [Reject(rid, 0.25)])
            answer = await client.ask(book(2))
            assert status(answer) == 503 and b"Retry-After: 0.250\r\n" in answer

    asyncio.run(play())


class Exchanges:
    """The exchanges of one pool and the outcome of each."""

    def __init__(self, one: Backend, most: int = 9, conn_idle: float = 60.0) -> None:
        self.upstream = Upstream(SharedLimit(most, {}), "", conn_idle, WIDE, 8 << 20)
        host, _, port = one.address.rpartition(":")
        self.known = UpstreamBackend((host, int(port)))
        self.upstream.update(self.known, self.known.address, 0.0, True)
        self.ended: asyncio.Queue[Outcome] = asyncio.Queue()

    def start(self, data: bytes = b"") -> Exchange:
        """Start an exchange."""

        def report(exchange: Exchange, outcome: Outcome, response: Response | None) -> None:
            self.ended.put_nowait(outcome)

        now = asyncio.get_running_loop().time()
        exchange = Exchange(self.known, now, now + 3 * WIDE, lambda left: data or book(), report)
        self.upstream.start(exchange)
        return exchange


def test_cancel_closes_connection_and_reports_one_outcome() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            exchanges = Exchanges(one)
            exchange = exchanges.start()
            await soon(one.got.get())
            exchange.end(Outcome.CANCELLED)
            exchange.end(Outcome.CANCELLED)
            await soon(one.ended.get())
            await until(lambda: exchanges.upstream.sockets() == 0)
            assert [exchanges.ended.get_nowait(), exchanges.ended.empty()] == [Outcome.CANCELLED, True]

    asyncio.run(play())


def test_partly_sent_request_never_ran() -> None:
    async def play() -> None:
        async def shut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            writer.transport.abort()

        server = await asyncio.start_server(shut, HOST, 0, limit=1)
        one = Backend(lambda _: None)
        one.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        exchanges = Exchanges(one)
        exchanges.start(b"x" * (64 << 20))  # more than the socket buffers take
        assert await soon(exchanges.ended.get()) is Outcome.UNREACHABLE
        server.close()

    asyncio.run(play())


def test_connection_limit_of_pool() -> None:
    async def play() -> None:
        async with backend(lambda request: OK if b"id1" in request else None) as one:
            exchanges = Exchanges(one, most=1)
            exchanges.start(book(1))
            assert await soon(exchanges.ended.get()) is Outcome.OK
            other = UpstreamBackend(exchanges.known.address)
            exchanges.upstream.update(other, other.address, 0.0, True)
            exchanges.known = other
            exchanges.start(book(2))  # the idle connection to the first backend is closed for it
            await soon(one.ended.get())
            exchanges.start(book(3))
            assert await soon(exchanges.ended.get()) is Outcome.UNREACHABLE

    asyncio.run(play())


def test_most_recent_connection_is_reused_and_old_ones_are_closed() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            exchanges = Exchanges(one)
            for _ in range(2):
                exchanges.start()
            for _ in range(2):
                assert await soon(exchanges.ended.get()) is Outcome.OK
            [older, newer] = exchanges.known.idle
            exchanges.start()
            assert exchanges.known.idle == [older]
            assert await soon(exchanges.ended.get()) is Outcome.OK
            assert exchanges.known.idle == [older, newer] and one.ended.empty()
            older.idle_since -= 31.0
            exchanges.upstream._sweep()
            await soon(one.ended.get())
            assert exchanges.known.idle == [newer]

    asyncio.run(play())


def test_ended_exchange_sends_nothing() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            exchanges = Exchanges(one)
            exchanges.start(book(1))
            assert await soon(exchanges.ended.get()) is Outcome.OK
            [idle] = exchanges.known.idle
            ended = exchanges.start(book(2))
            assert await soon(exchanges.ended.get()) is Outcome.OK
            exchanges.known.idle.remove(idle)
            exchanges.upstream._transmit(ended, idle)
            exchanges.start(book(3))
            assert await soon(exchanges.ended.get()) is Outcome.OK
            assert [b"id%d" % n in one.got.get_nowait() for n in (1, 2, 3)] == [True] * 3

    asyncio.run(play())


def test_unsolicited_response_is_dropped() -> None:
    async def play() -> None:
        async with backend(lambda _: OK + OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(book())) == 200
            await soon(one.ended.get())

    asyncio.run(play())


def test_unsafe_request_gets_new_connection() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            for number in range(3):
                assert status(await client.ask(read(number))) == 200
            assert len(one.open) == 1
            for number in range(3, 6):
                assert status(await client.ask(book(number))) == 200
            assert len(one.open) == 4
            await until(lambda: one.ended.qsize() == 2)  # no more than two idle connections are kept

    asyncio.run(play())


def test_reuse_is_suspended_after_dead_reused_connection() -> None:
    async def play() -> None:
        answers = [OK, OK, CLOSE, OK, OK]
        async with backend(lambda _: answers.pop(0)) as one:
            exchanges = Exchanges(one)
            for expected in (Outcome.OK, Outcome.OK, Outcome.INTERRUPTED, Outcome.OK, Outcome.OK):
                exchanges.start()
                assert await soon(exchanges.ended.get()) is expected
            assert len(one.open) == 3 and not exchanges.known.idle

    asyncio.run(play())


def test_connection_with_unread_input_is_not_reused() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            exchanges = Exchanges(one)
            exchanges.start()
            assert await soon(exchanges.ended.get()) is Outcome.OK
            [idle] = exchanges.known.idle
            # As on a busy loop, input stays unread from here on.
            asyncio.get_running_loop().remove_reader(idle.sock.fileno())
            one.open[0].write(OK)
            await until(lambda: not idle.is_usable())
            exchanges.start()
            assert await soon(exchanges.ended.get()) is Outcome.OK
            assert len(one.open) == 2

    asyncio.run(play())


def test_client_errors_do_not_count_against_backends() -> None:
    async def play() -> None:
        async with backend(lambda _: b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n") as one:
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                for number in range(30):
                    assert status(await client.ask(read(number))) == 400
                assert one.got.qsize() == 30  # neither retried nor rejected by the circuit breaker
                assert (
                    not up.proxy.pool.calls and not up.proxy.pool.balancer.requests and not up.proxy._open_request_ids
                )

    asyncio.run(play())


def test_terminated_backends_are_removed() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            for number in range(50):
                up.tell([entry(f"b{number}", one.address, since_ms=1000)])
                assert status(await client.ask(read(number))) == 200
                up.tell([entry(f"b{number}", one.address, "terminated", since_ms=1000)])
            assert len(up.proxy.pool.backends) == len(up.proxy.pool.balancer.table.servers) == 1
            await until(lambda: up.proxy.pool.upstream.sockets() <= 1)

    asyncio.run(play())


def test_closed_connections_leave_no_objects() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            gc.collect()
            gc.disable()  # objects that only a collection would free count as leaked
            try:
                kinds = (Caller, RequestParser, Call, Exchange, Connection)
                for number in range(20):
                    client = await up.client()
                    assert status(await client.ask(read(number, Connection="close"))) == 200
                    bad = await up.client()
                    assert status(await bad.ask(b"nonsense\r\n\r\n")) == 400
                    bad.writer.close()
                await until(lambda: not up.proxy.front.callers)
                await asyncio.sleep(0)
                left = [thing for thing in gc.get_objects() if isinstance(thing, kinds)]
                assert len(left) <= 8, left
            finally:
                gc.enable()

    asyncio.run(play())


def test_proxy_starts_without_endpoint_list() -> None:
    async def play() -> None:
        proxy = Proxy(config([]))
        assert not proxy.front.healthy()

    asyncio.run(play())


def settings_with(**changed: Any) -> Settings:
    """Return the usual settings with these changed."""
    return read_settings(WIRE | changed)


def test_malformed_responses_do_not_cause_rejections() -> None:
    async def play() -> None:
        answers = [OK, OK, b"nonsense"] * 20
        services = [row | {"Credit": 5.0 if row["Name"] == "read" else 1.0} for row in WIRE["Services"]]
        async with backend(lambda _: answers.pop()) as one:
            async with running([entry("a", one.address)], settings=settings_with(Services=services)) as up:
                client = await up.client()
                got = [status(await client.ask(book(number))) for number in range(60)]
                assert got == [502, 200, 200] * 20

    asyncio.run(play())


def test_idle_server_outside_busy_subset_is_used() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: None) as two:
            listed = [entry("a", one.address), entry("b", two.address)]
            # Each instance has one of the two servers.
            async with running(listed, settings=settings_with(Instances=2)) as up:
                clients = [await up.client() for _ in range(2)]
                for number, client in enumerate(clients):
                    client.writer.write(book(number))
                assert await soon(one.got.get()) and await soon(two.got.get())

    asyncio.run(play())


def test_unsafe_requests_avoid_failing_server() -> None:
    async def play() -> None:
        services = [row | {"Aim": 0.001} for row in WIRE["Services"]]  # an error counts as late as a response
        bad = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
        async with backend(lambda _: bad) as one, backend(lambda _: OK) as two:
            listed = [entry("a", one.address), entry("b", two.address)]
            async with running(listed, settings=settings_with(Services=services)) as up:
                client = await up.client()
                got = [status(await client.ask(book(number))) for number in range(24)]
                assert got.count(502) <= 4 and got.count(502) + got.count(200) == 24
                assert one.got.qsize() == got.count(502)

    asyncio.run(play())


def test_response_larger_than_request_limit_is_returned() -> None:
    async def play() -> None:
        body = bytes(range(256)) * 1400  # 350 KB
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        async with backend(lambda _: answer) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            for number in range(40):  # more than the buffer limit in total: forwarded bytes are released
                got = await client.ask(book(number))
                assert status(got) == 200 and got.endswith(b"\r\n\r\n" + body)
            assert up.proxy.pool.upstream.buffered_bytes == 0

    asyncio.run(play())


def test_large_responses_are_limited_by_memory() -> None:
    async def play() -> None:
        # An error response is not streamed.
        part = b"HTTP/1.1 500 Oh\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 900000
        async with backend(lambda _: part) as one:
            async with running([entry("a", one.address)], memory=2 << 20) as up:  # 256 KiB for responses
                client = await up.client()
                assert status(await client.ask(book())) == 502
                await until(lambda: up.proxy.pool.upstream.buffered_bytes == 0)

    asyncio.run(play())


@pytest.mark.parametrize("part", [OK[:12], OK[:-2]])
def test_stalled_response_leaves_time_for_retry(part: bytes) -> None:
    async def play() -> None:
        script = respond_first_with(part)
        async with backend(script) as one, backend(script) as two:
            async with running([entry("a", one.address), entry("b", two.address)]) as up:
                client = await up.client()
                assert status(await client.ask(read())) == 200
                assert one.got.qsize() + two.got.qsize() == 2

    asyncio.run(play())


@pytest.mark.parametrize(("request_bytes", "begins"), [(book(), OK[:-2]), (read(), b"HTTP/1.1 102 Processing\r\n\r\n")])
def test_slow_response_to_unsafe_request_is_awaited(request_bytes: bytes, begins: bytes) -> None:
    async def play() -> None:
        async with backend(lambda _: begins) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(request_bytes)
            await soon(one.got.get())
            await asyncio.sleep(3.0 * STALL_TIMEOUT)
            one.open[0].write(OK[-2:] if begins == OK[:-2] else OK)
            assert (await client.answer()).endswith(b"\r\n\r\ndone")

    asyncio.run(play())


def test_host_name_is_resolved_and_addresses_tried_in_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as gone:
            pass
        async with backend(lambda _: OK) as one:
            dead, live = (int(stub.address.rpartition(":")[2]) for stub in (gone, one))

            async def found(*_: Any, **__: Any) -> list[Any]:
                return [(socket.AF_INET, 0, 0, "", (HOST, port)) for port in (dead, live)]

            exchanges = Exchanges(one)
            exchanges.upstream.update(exchanges.known, ("backend.local", 1), 0.0, True)
            with monkeypatch.context() as patch:
                patch.setattr(asyncio.get_running_loop(), "getaddrinfo", found)
                exchanges.start()
                assert await soon(exchanges.ended.get()) is Outcome.OK
            assert exchanges.upstream.sockets() == 1

    asyncio.run(play())


@pytest.mark.parametrize("how", ["unknown", "cancelled"])
def test_failed_or_cancelled_name_resolution_leaves_no_socket(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        asked = asyncio.Event()

        async def look(*_: Any, **__: Any) -> list[Any]:
            asked.set()
            if how == "cancelled":
                await asyncio.Event().wait()
            raise socket.gaierror(socket.EAI_NONAME, "no such name")

        async with backend(lambda _: OK) as one:
            exchanges = Exchanges(one)
            exchanges.upstream.update(exchanges.known, ("backend.local", 1), 0.0, True)
            with monkeypatch.context() as patch:
                patch.setattr(asyncio.get_running_loop(), "getaddrinfo", look)
                exchange = exchanges.start()
                await soon(asked.wait())
                if how == "cancelled":
                    exchange.end(Outcome.CANCELLED)
                wanted = Outcome.CANCELLED if how == "cancelled" else Outcome.UNREACHABLE
                assert await soon(exchanges.ended.get()) is wanted
            assert exchanges.upstream.sockets() == 0 and one.got.empty()

    asyncio.run(play())


def test_connection_attempt_times_out() -> None:
    """A full accept queue doesn't respond, like a machine that is cut off."""

    async def play() -> None:
        with socket.socket() as full:
            full.bind((HOST, 0))
            full.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            dialled: list[tuple[int, bool]] = []
            pool = Upstream(SharedLimit(9, {}), "", 60.0, 0.2, 1 << 20, on_dialled=lambda *what: dialled.append(what))
            known, ended = UpstreamBackend(full.getsockname(), 7), asyncio.Queue[Outcome]()
            pool.update(known, known.address, 0.0, True)
            now = asyncio.get_running_loop().time()
            pool.start(Exchange(known, now, now + 3 * WIDE, lambda left: b"", lambda _, how, __: ended.put_nowait(how)))
            assert await soon(ended.get()) is Outcome.UNREACHABLE
            assert pool.sockets() == 0 and dialled == [(7, False)]
            for filler in fillers:
                filler.close()

    asyncio.run(play())


def test_request_larger_than_socket_buffer_is_sent_whole() -> None:
    async def play() -> None:
        gate, body = asyncio.Event(), random.Random(1).randbytes(8 << 20)  # no repeated part

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            got = await reader.readexactly(len(body))
            writer.write(OK if got == body else CLOSE)

        server = await asyncio.start_server(slow, HOST, 0, limit=1 << 16)
        async with backend(lambda _: OK) as one:
            exchanges = Exchanges(one)
            exchanges.upstream.update(exchanges.known, server.sockets[0].getsockname(), 0.0, True)
            exchange = exchanges.start(body)
            await until(lambda: exchange.connection is not None)
            connection = exchange.connection
            assert connection is not None and not connection.request_sent  # so the request certainly has not run
            gate.set()
            assert await soon(exchanges.ended.get()) is Outcome.OK
            assert connection.request_sent
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize(
    "sent", [b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n", b"GET /heal"], ids=["behind", "slow"]
)
def test_disconnect_during_rejection_raises_nothing(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    def not_connected(_: asyncio.Transport) -> None:  # as the system reports after a reset
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    monkeypatch.setattr("asyncio.selector_events._SelectorSocketTransport.write_eof", not_connected)

    async def play() -> None:
        contexts: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: contexts.append(context))
        async with running([]) as up:
            up.proxy.front.first_request_timeout = up.proxy.front.request_head_timeout = 0.1
            client = await up.client()
            client.writer.write(sent)
            await until(lambda: up.proxy.front.rejections.total() == 1)
            client.writer.close()
            await until(lambda: not up.proxy.front.callers)
        assert not contexts, contexts

    asyncio.run(play())
