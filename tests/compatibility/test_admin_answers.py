"""The answers of the second address, byte for byte, its log lines and its bounds: operators' scripts are built on them.

The texts of `/metrics` and `/failures` are held by test_metrics_names.py, those below `/fleet` by
test_persisted_state.py and test_gossip_counters.py.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import pytest
from daemonic import pool, route, served
from loopback import HOST, entry, running, soon

from lugspur.daemon.admin.actions import admin_actions
from lugspur.daemon.admin.listener import AdminListener


def answer(status: str, line: str, head: str = "") -> bytes:
    """An answer of one line."""
    return (
        f"HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{head}Content-Length: {len(line) + 1}\r\n"
        f"Connection: close\r\n\r\n{line}\n"
    ).encode()


def request(method: str, path: str, body: bytes = b"") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


TOO_LARGE = f"413 {HTTPStatus(413).phrase}"  # the library's words, which differ by its version
DISABLE, ENABLE = "/backends/disable", "/backends/enable"
READY = answer("200 OK", "ready")
NO_ID = answer("400 Bad Request", "the body has to be a backend's id")
NOT_LISTED = answer("404 Not Found", "no backend 's-9' was ever listed")
NO_SUCH_CALL = answer("404 Not Found", "no such call")
MALFORMED = answer("400 Bad Request", "the call is malformed")
BODY_TOO_LARGE = answer(TOO_LARGE, "the body is too large")

#: Requests in the order in which they are sent, and their answers.
EXCHANGES = [
    (request("GET", "/ready"), READY),
    (b"GET /ready?now HTTP/1.0\r\n\r\n", READY),
    (request("POST", DISABLE, b" s-1\n"), answer("200 OK", "backend 's-1' is disabled")),
    (request("POST", ENABLE, b"s-1"), answer("200 OK", "backend 's-1' is enabled")),
    (request("POST", DISABLE, b"s-9"), NOT_LISTED),
    (request("POST", ENABLE, b"s-9"), NOT_LISTED),
    (request("POST", DISABLE), NO_ID),
    (request("POST", DISABLE, b"i" * 128), answer("404 Not Found", f"no backend '{'i' * 128}' was ever listed")),
    (request("POST", DISABLE, b"i" * 129), NO_ID),
    (request("POST", DISABLE, b"s\t1"), NO_ID),
    (request("POST", DISABLE, b"\xff\xfe"), answer("400 Bad Request", "the body is not text")),
    (request("POST", DISABLE, b"i" * 256), NO_ID),
    (request("POST", DISABLE, b"i" * 257), BODY_TOO_LARGE),
    (request("POST", "/drain"), answer("200 OK", "drained: clients are sent away")),
    (request("POST", "/undrain"), answer("200 OK", "drained no more: clients are taken")),
    (request("POST", "/none"), NO_SUCH_CALL),
    (request("POST", "/ready"), answer("405 Method Not Allowed", "no such method here", "Allow: GET\r\n")),
    (request("GET", "/drain"), answer("405 Method Not Allowed", "no such method here", "Allow: POST\r\n")),
    (b"nonsense\r\n\r\n", MALFORMED),
    (
        b"GET /ready HTTP/1.1\r\nX: " + b"p" * 10_240,
        answer("431 Request Header Fields Too Large", "the call is too large"),
    ),
    (
        b"POST /drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 10_240,
        answer(TOO_LARGE, "the call is too large"),
    ),
]
LOGGED = [
    "lugspur: management: backend 's-1' is disabled",
    "lugspur: management: backend 's-1' is enabled",
    "lugspur: management: drained: clients are sent away",
    "lugspur: management: drained no more: clients are taken",
]


async def exchanged(port: int, data: bytes) -> bytes:
    """All that is answered on one connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    found = await soon(reader.read())
    writer.close()
    return found


async def check_exchanges(port: int) -> None:
    for data, expected in EXCHANGES:
        assert (data[:80], await exchanged(port, data)) == (data[:80], expected)


def test_answers_and_log_lines_of_the_platforms_proxy(capsys: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with running([entry("s-1", f"{HOST}:9")]) as up:
            up.proxy.front.ready = True
            listener = AdminListener((HOST, 0), admin_actions(up.proxy))
            await listener.open()
            await check_exchanges(listener.port)
            listener.close()

    asyncio.run(play())
    assert capsys.readouterr().err.splitlines() == LOGGED


def test_answers_and_log_lines_of_the_daemon(capsys: pytest.CaptureFixture[str]) -> None:
    text = '[pools.p]\nmembers = [{ name = "s-1", address = "127.0.0.1:9" }]\n'
    text += route("r", "/*", 'pool = "p"\nclass = "read"') + '[management]\naddress = "127.0.0.1:0"\n'

    async def play() -> None:
        async with served(text) as up:
            admin = up.running.admin
            assert admin is not None
            await check_exchanges(admin.port())

    asyncio.run(play())
    assert [line for line in capsys.readouterr().err.splitlines() if "management:" in line] == LOGGED


def test_a_process_that_takes_no_clients_yet_is_not_ready() -> None:
    async def play() -> None:
        async with running([]) as up:
            listener = AdminListener((HOST, 0), admin_actions(up.proxy))
            await listener.open()
            expected = answer("503 Service Unavailable", "not ready")
            assert await exchanged(listener.port, request("GET", "/ready")) == expected
            listener.close()

    asyncio.run(play())


def test_what_has_no_fleet_has_no_calls_of_it() -> None:
    async def play() -> None:
        text = pool("p", f"{HOST}:9") + route("r", "/*", 'pool = "p"\nclass = "read"')
        async with served(text + '[management]\naddress = "127.0.0.1:0"\n') as up:
            admin = up.running.admin
            assert admin is not None
            for method, path in (("GET", "members"), ("GET", "view"), ("GET", "duties"), ("POST", "may")):
                assert await exchanged(admin.port(), request(method, f"/fleet/{path}")) == NO_SUCH_CALL

    asyncio.run(play())


def test_24_connections_are_served_at_once_and_the_oldest_that_says_nothing_goes_first() -> None:
    async def play() -> None:
        async with running([]) as up:
            up.proxy.front.ready = True
            listener = AdminListener((HOST, 0), admin_actions(up.proxy))
            await listener.open()
            silent = [await asyncio.open_connection(HOST, listener.port) for _ in range(24)]
            for reader, _ in silent:
                assert not reader.at_eof()
            assert await exchanged(listener.port, request("GET", "/ready")) == READY
            assert await soon(silent[0][0].read()) == b""
            for reader, _ in silent[1:]:
                assert not reader.at_eof()
            for _, writer in silent:
                writer.close()
            listener.close()

    asyncio.run(play())
