"""The admin listener of a running proxy, on loopback: bans, drains, and connections that hang."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from loopback import CLOSE, HOST, OK, WIRE, Client, Running, backend, book, entry, read, running, soon, status, until

from lugspur.daemon.admin.actions import admin_actions
from lugspur.daemon.admin.listener import MAX_CONNECTIONS, AdminListener
from lugspur.http1 import front as fronts

ROOT = Path(__file__).parents[3]


@asynccontextmanager
async def admin_port(up: Running) -> AsyncIterator[int]:
    """Run the admin listener of a proxy, and provide its port."""
    listener = AdminListener((HOST, 0), admin_actions(up.proxy))
    sock = await listener.open()
    try:
        yield sock.getsockname()[1]
    finally:
        listener.close()


async def call(port: int, method: str, path: str, body: str = "") -> int:
    """Send one request and return the status of the response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    answer = await soon(reader.read())
    writer.close()
    return status(answer)


def test_a_disabled_backend_gets_nothing_until_it_is_enabled() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            entries = [entry("s-1", one.address), entry("s-2", two.address)]
            async with running(entries) as up, admin_port(up) as port:
                client = await up.client()
                for number in range(20):
                    assert status(await client.ask(read(number))) == 200
                assert await call(port, "POST", "/backends/disable", "s-1") == 200
                before = one.got.qsize()
                assert before
                for number in range(20, 40):  # Kept connections and newer endpoint lists change nothing.
                    up.tell([entry("s-1", one.address, since_ms=number)])
                    assert status(await client.ask(read(number))) == 200
                assert one.got.qsize() == before
                assert await call(port, "POST", "/backends/enable", "s-1") == 200
                assert await call(port, "POST", "/backends/disable", "s-2") == 200
                for number in range(40, 60):
                    assert status(await client.ask(read(number))) == 200
                assert one.got.qsize() == before + 20
                assert await call(port, "POST", "/backends/disable", "s-1") == 200
                assert status(await client.ask(read(60))) == 503  # no backend is left

    asyncio.run(play())


def test_open_requests_at_a_disabled_backend_finish_and_a_retry_goes_to_another_backend() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: OK) as two:
            async with running([entry("s-1", one.address)]) as up, admin_port(up) as port:
                open_, retried = await up.client(), await up.client()
                open_.writer.write(book(1))
                await soon(one.got.get())
                retried.writer.write(read(2))
                await soon(one.got.get())
                assert await call(port, "POST", "/backends/disable", "s-1") == 200
                up.tell([entry("s-2", two.address)])
                one.open[0].write(OK)
                one.open[1].close()
                assert status(await open_.answer()) == 200
                assert status(await retried.answer()) == 200
                assert two.got.qsize() == 1

    asyncio.run(play())


def test_requests_about_backends_that_were_never_listed_are_rejected() -> None:
    async def play() -> None:
        async with running([entry("s-1", f"{HOST}:9")]) as up, admin_port(up) as port:
            for path in ("/backends/disable", "/backends/enable"):
                assert await call(port, "POST", path, "s-9") == 404
                assert await call(port, "POST", path, "") == 400
                assert await call(port, "POST", path, "s" * 200) == 400
                assert await call(port, "POST", path, "s\t1") == 400
            assert await call(port, "POST", "/backends/enable", "s-1") == 200
            up.tell([entry("s-1", f"{HOST}:9", "terminated")])
            assert await call(port, "POST", "/backends/disable", "s-1") == 200

    asyncio.run(play())


def test_ready_returns_200_once_clients_are_accepted() -> None:
    async def play() -> None:
        async with running([]) as up, admin_port(up) as port:
            assert await call(port, "GET", "/ready") == 503
            up.proxy.front.ready = True
            assert await call(port, "GET", "/ready") == 200

    asyncio.run(play())


def test_connections_that_hang_do_not_lock_operators_out() -> None:
    async def play() -> None:
        async with running([]) as up, admin_port(up) as port:
            up.proxy.front.ready = True
            hung = []
            for number in range(2 * MAX_CONNECTIONS):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"POST /drain HTTP/1.1\r\nHost"[: number % 30])
                hung.append((reader, writer))
                assert await call(port, "GET", "/ready") == 200
            assert up.proxy.front.drain_started_at is None
            assert await soon(hung[0][0].read()) == b""  # The oldest connection was dropped.
            for _, writer in hung:
                writer.close()

    asyncio.run(play())


async def healthy(up: Running) -> int:
    """Return the status of `/healthz`."""
    client = await up.client()
    answer = await client.ask(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
    client.writer.close()
    return status(answer)


def test_a_drain_sends_callers_away_and_cuts_off_no_request() -> None:
    async def play() -> None:
        async with backend(lambda request: None if b"id9" in request else OK) as one:
            async with running([entry("s-1", one.address)]) as up, admin_port(up) as port:
                up.proxy.front.ready = True
                idle, asking, busy = [await up.client() for _ in range(3)]
                assert status(await idle.ask(read(1))) == 200
                assert status(await asking.ask(read(2))) == 200
                busy.writer.write(book(9))
                await until(lambda: one.got.qsize() == 3)
                assert await call(port, "POST", "/drain") == 200
                assert await healthy(up) == 503
                answer = await asking.ask(read(3))
                assert status(answer) == 200
                assert b"Connection: close" in answer
                late = await up.client()  # The load balancer in front has not noticed the drain yet.
                assert status(await late.ask(read(4))) == 200
                assert await soon(idle.reader.read()) == b""  # closed without a byte
                one.open[-1].write(OK)
                one.open[0].write(OK)
                answer = await busy.answer()
                assert status(answer) == 200
                assert b"Connection: close" in answer
                await until(lambda: not up.proxy.front.callers)
                assert await call(port, "POST", "/undrain") == 200
                assert await healthy(up) == 200
                back = await up.client()
                assert b"Connection: close" not in await back.ask(read(5))
                assert await call(port, "GET", "/ready") == 200

    asyncio.run(play())


def test_a_drain_that_ends_early_closes_no_connection() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)]) as up, admin_port(up) as port:
            up.proxy.front.ready = True
            client = await up.client()
            assert status(await client.ask(read(1))) == 200
            for _ in range(3):
                assert await call(port, "POST", "/drain") == 200
                assert await call(port, "POST", "/undrain") == 200
            await asyncio.sleep(fronts.DRAIN_IDLE_DELAY + 2 * fronts.DRAIN_CHECK_INTERVAL)
            assert b"Connection: close" not in await client.ask(read(2))

    asyncio.run(play())


def test_a_connection_with_unread_bytes_stays_open_at_a_drain() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)]) as up:
            client: Client = await up.client()
            assert status(await client.ask(read(1))) == 200
            [connection] = up.proxy.front.callers
            assert connection.has_no_input()
            client.writer.write(read(2))  # The event loop has not read it yet.
            assert not connection.has_no_input()
            up.proxy.front.drain_started_at = 0.0
            up.proxy.front._close_idle_callers(0.0)
            assert status(await client.answer()) == 200

    asyncio.run(play())


def test_an_address_in_use_is_one_clear_error(tmp_path: Path) -> None:
    async def play() -> None:
        taken = await asyncio.start_server(lambda _, writer: writer.close(), HOST, 0)
        port = taken.sockets[0].getsockname()[1]
        raw = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:9",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": WIRE,
            "management": f"{HOST}:{port}",
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw))
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "lugspur"],
            cwd=ROOT,
            text=True,
            env=os.environ | {"RELAY_CONFIG": str(path)},
            capture_output=True,
        )
        taken.close()
        assert done.returncode == 1
        assert done.stderr.startswith(f"lugspur: management {HOST}:{port}: ")
        assert done.stderr.count("\n") == 1

    asyncio.run(play())


def test_a_reset_in_the_middle_of_a_request_has_no_effect_and_leaves_no_connection() -> None:
    async def play() -> None:
        async with running([]) as up:
            up.proxy.front.ready = True
            listener = AdminListener((HOST, 0), admin_actions(up.proxy))
            await listener.open()
            _, writer = await asyncio.open_connection(HOST, listener.port)
            writer.write(b"POST /drain HTTP/1.1\r\nContent-Length: 1\r\n\r\n")
            await until(lambda: len(listener.connections) == 1)
            writer.transport.abort()
            await until(lambda: not listener.connections and not listener.incomplete)
            assert up.proxy.front.drain_started_at is None
            assert await call(listener.port, "GET", "/ready") == 200
            listener.close()

    asyncio.run(play())


def test_a_client_that_disconnects_before_the_end_of_its_response_does_no_harm(monkeypatch: pytest.MonkeyPatch) -> None:
    def not_connected(_: asyncio.Transport) -> None:  # as the system does once a reset has arrived
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    async def play() -> None:
        errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with running([]) as up:
            listener = AdminListener((HOST, 0), admin_actions(up.proxy))
            await listener.open()
            with monkeypatch.context() as patched:
                patched.setattr("asyncio.selector_events._SelectorSocketTransport.write_eof", not_connected)
                reader, writer = await asyncio.open_connection(HOST, listener.port)
                writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
                await until(lambda: not listener.connections and not listener.incomplete)
                with suppress(ConnectionError):
                    await soon(reader.read())
                writer.close()
            up.proxy.front.ready = True
            assert await call(listener.port, "GET", "/ready") == 200
            listener.close()
        assert not errors, errors

    asyncio.run(play())


def test_a_request_body_that_takes_longer_than_a_drain_is_read_completely(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fronts, "DRAIN_IDLE_DELAY", 0.05)

    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)]) as up, admin_port(up) as port:
            up.proxy.front.ready = True
            idle, slow, begun = [await up.client() for _ in range(3)]
            assert status(await idle.ask(read(1))) == 200
            sent, half = book(2, body=bytes(200_000)), book(3)
            slow.writer.write(sent[:100_000])  # forwarded as it arrives
            begun.writer.write(half[:-2])  # buffered until it is complete
            await until(lambda: bool(up.proxy.pool.calls))
            assert await call(port, "POST", "/drain") == 200
            assert await soon(idle.reader.read()) == b""  # All connections that a drain closes are closed by now.
            await asyncio.sleep(2 * fronts.DRAIN_CHECK_INTERVAL)
            slow.writer.write(sent[100_000:])
            begun.writer.write(half[-2:])
            for client in (slow, begun):
                answer = await client.answer()
                assert status(answer) == 200
                assert b"Connection: close" in answer
            await until(lambda: not up.proxy.front.callers)

    asyncio.run(play())


def test_a_request_that_arrives_byte_by_byte_gets_one_response() -> None:
    async def play() -> None:
        async with running([entry("s-1", f"{HOST}:9")]) as up, admin_port(up) as port:
            up.proxy.front.ready = True
            request = b"POST /backends/disable HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\ns-1"
            callers = [await asyncio.open_connection(HOST, port) for _ in range(12)]
            for at in range(len(request)):
                for _, writer in callers:
                    writer.write(request[at : at + 1])
                if at % 16 == 0:
                    assert await call(port, "GET", "/ready") == 200
                await asyncio.sleep(0)
            for reader, writer in callers:
                answer = await soon(reader.read())
                assert answer.startswith(b"HTTP/1.1 200 ") and answer.count(b"HTTP/1.1") == 1
                writer.close()

    asyncio.run(play())


def test_metrics_and_failures_explain_a_failed_request() -> None:
    async def play() -> None:
        async with backend(lambda _: CLOSE) as closing:
            async with running([entry("s-1", closing.address)]) as up, admin_port(up) as port:
                client = await up.client()
                assert status(await client.ask(book(1))) == 502
                metrics = (await body_of_get(port, "/metrics")).decode()
                assert 'lugspur_answers_total{status="502"} 1.0' in metrics
                assert 'lugspur_attempts_total{outcome="broken"} 1.0' in metrics
                [failed] = json.loads(await body_of_get(port, "/failures"))
                assert failed["how"] == "502" and failed["attempt"] and failed["sends"] == 1
                [step] = failed["steps"]
                assert step["how"] == "broken" and step["backend"] == closing.address

    asyncio.run(play())


async def body_of_get(port: int, path: str) -> bytes:
    """Return the body of the response to a GET."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    head, _, body = (await soon(reader.read())).partition(b"\r\n\r\n")
    writer.close()
    assert status(head) == 200
    return body
