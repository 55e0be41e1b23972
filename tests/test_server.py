"""The listener for callers on loopback sockets: invalid requests, limits, start and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK,
    WIDE,
    WIRE,
    Client,
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

from lugspur.bench.sockets import free_port
from lugspur.daemon.proxy import Proxy
from lugspur.daemon.service import drain
from lugspur.http1.front import Caller

ROOT = Path(__file__).parent.parent
CHUNKED = book(Content_Length="", Transfer_Encoding="chunked", body=b"2\r\nro\r\n2\r\nom\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (book(X_Priority_Class="odd"), 400),
        (book(X_Priority_Class=""), 400),
        (book(X_Tenant_Id="odd"), 400),
        (book(X_Request_ID=""), 400),
        (book().replace(b"POST", b"PUT"), 400),
        (book().replace(b"POST", b"GET"), 400),
        (book(X_Priority_Class="once"), 400),
        (book(X_Priority_Class="once", Idempotency_Key="k"), 200),
        *((book(timeout=time), 400) for time in ("", "soon", "nan", "inf", "-1", "1e9", "1_0")),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost h\r\n\r\n", 400),
        (book().replace(b"/api/k", b"/apis"), 404),
        (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (book(body=b"x" * (64 * 1024 + 1)), 200),
        (book(body=b"x" * (1 << 20)), 200),
        (book().replace(b"Content-Length: 4", b"Content-Length: 50000000"), 413),
        (book(body=b"x" * (1 << 20)).replace(b"X-Tenant-Id: acme", b"X-Tenant-Id: odd"), 400),
        (book(X_Priority_Class="book\t ", X_Tenant_Id="acme "), 200),
        (book().replace(b"/api/k", b"HTTP://h:1/api/k?a=http://b"), 200),
        (book(timeout="0.000"), 503),
        (read(target="/api"), 200),
        (CHUNKED, 200),
        (CHUNKED.replace(b"chunked", b"gzip, chunked"), 400),
        (CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n", 1), 400),
        (book().replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 4"), 400),
        (book().replace(b"Content-Length: 4", b"Content-Length: -4"), 400),
        (book().replace(b"Content-Length: 4", b"Content-Length: 3000000000"), 413),
        (book(X_Pad="p" * (17 << 10)), 431),
        (book(X_Pad="p" * (300 << 10)), 431),
        (b"GET /api/k HTTP/1.1\r\n" + b"X-Pad: p\r\n" * 4000, 431),
        (book().replace(b"\r\nX-Timeout", b"\r\nX-Request-Id: id2\r\nX-Timeout"), 400),
        (book(X_Request_ID="id 1"), 400),
        (book(X_Request_ID="i" * 65), 400),
        (book(X_Note="\xff"), 400),
        (book(Connection="X-Request-ID"), 400),
        (book(Connection="upgrade", Upgrade="h2c"), 400),
        (b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (book().replace(b"Host: h\r\n", b""), 400),
        (book().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
        (read(target="/api/k#part"), 400),
        (b"".join(read(number) for number in range(200)), 400),
    ],
)
def test_request_gets_one_response_and_proxy_continues(request_: bytes, expected: int) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            answer = await client.ask(request_)
            assert status(answer) == expected
            assert answer.count(b"\n", answer.index(b"\r\n\r\n") + 4) <= 1, "more than one line of reason"
            if expected not in (200, 503):
                assert await soon(client.reader.read()) == b""  # half closed, not reset
            assert one.got.qsize() == (expected == 200)
            if request_ is CHUNKED:
                assert one.got.get_nowait().endswith(b"Content-Length: 4\r\n\r\nroom")
            assert status(await (await up.client()).ask(book(2))) == 200

    asyncio.run(play())


def test_split_and_pipelined_requests_are_answered_in_order() -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request[request.index(b"id") + 2 :][:1]

        async with backend(script) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            whole = book(1) + read(2) + CHUNKED.replace(b"id1", b"id3")
            client.writer.write(whole)
            assert [(await client.answer())[-1:] for _ in range(3)] == [b"1", b"2", b"3"]
            for at in range(len(whole)):
                client.writer.write(whole[at : at + 1])
                await asyncio.sleep(0)
            assert [(await client.answer())[-1:] for _ in range(3)] == [b"1", b"2", b"3"]
            last = await client.ask(book(4, Connection="close"))
            assert b"Connection: close\r\n" in last and await soon(client.reader.read()) == b""

    asyncio.run(play())


@pytest.mark.parametrize("sent", [b"", b"\r\n", b"POST /api/k HT", book(body=b"room")[:-1], CHUNKED[:-4]])
def test_incomplete_request_times_out(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(sent)
            got = await soon(client.reader.read())
            assert got.startswith(b"HTTP/1.1 408 ") if len(sent) > 2 else got == b""
            assert one.got.empty()
            client.writer.close()
            await until(lambda: not up.proxy.front.callers and not up.proxy.front.leaving)

    monkeypatch.setattr("lugspur.http1.front.FIRST_REQUEST_TIMEOUT", 0.5)
    asyncio.run(play())


def test_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(book())) == 200
            assert await soon(client.reader.read()) == b""
            assert not up.proxy.front.callers

    monkeypatch.setattr("lugspur.http1.front.IDLE_TIMEOUT", 0.1)
    asyncio.run(play())


def test_incomplete_bodies_are_limited_by_memory() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            async with running([entry("a", one.address)], memory=400 << 10) as up:  # 100 KiB for incomplete bodies
                whole = [book(number, body=b"x" * (60 << 10)) for number in range(2)]
                first, second = await up.client(), await up.client()
                first.writer.write(whole[0][:-1])
                await until(lambda: up.proxy.front.buffered_bytes > 60_000)
                assert status(await second.ask(whole[1][:-1])) == 503
                assert status(await first.ask(whole[0][-1:])) == 200
                await until(lambda: up.proxy.front.buffered_bytes == 0)
                assert one.got.qsize() == 1

    asyncio.run(play())


def test_silent_connections_are_closed_before_good_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            async with running([entry("a", one.address)], sockets=48 + 8) as up:  # 4 callers
                front = up.proxy.front
                good, half = await up.client(), await up.client()
                assert status(await good.ask(book(1))) == 200
                half.writer.write(book(2)[:-1])
                await until(lambda: bool(front.reading))
                bad = await up.client()
                assert status(await bad.ask(b"nonsense\r\n\r\n")) == 400
                silent = [await up.client() for _ in range(12)]  # far more than the limit
                await until(lambda: not front.leaving and len(front.callers) == 4)
                for client in silent[:-2]:
                    assert await soon(client.reader.read()) == b""
                assert status(await good.ask(book(3))) == 200
                assert status(await half.ask(book(2)[-1:])) == 200

    for name in ("FIRST_REQUEST_TIMEOUT", "REQUEST_HEAD_TIMEOUT", "MIN_IDLE_TIMEOUT", "IDLE_TIMEOUT", "CLOSE_TIMEOUT"):
        monkeypatch.setattr(f"lugspur.http1.front.{name}", 3 * WIDE)
    monkeypatch.setattr("lugspur.http1.front.FIRST_BYTES_GRACE", 0.0)
    asyncio.run(play())


def test_open_request_id_is_not_forwarded_again() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client, other = await up.client(), await up.client()
            client.writer.write(book(1))
            await soon(one.got.get())
            assert status(await other.ask(book(1))) == 409
            for writer in one.open:
                writer.write(OK)
            assert status(await client.answer()) == 200
            client.writer.write(book(1))  # the first request is complete
            assert b"id1" in await soon(one.got.get())

    asyncio.run(play())


def test_connection_options_and_trailers_are_not_forwarded() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            hops = book(1, Connection="keep-alive, X-Hop", X_Hop="1", X_End="2")
            assert status(await client.ask(hops)) == 200
            sent = await soon(one.got.get())
            assert b"X-Hop" not in sent and b"X-End: 2" in sent
            trailed = CHUNKED.replace(b"0\r\n\r\n", b"0\r\nX-Request-ID: id7\r\n\r\n")
            trailed = trailed.replace(b"X-Tenant", b"Transfer_Encoding: a\r\nX-Tenant")
            assert status(await client.ask(trailed)) == 200
            sent = await soon(one.got.get())
            assert b"id7" not in sent and b"Transfer" not in sent

    asyncio.run(play())


def test_unread_responses_delay_further_requests() -> None:
    async def play() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65536
        async with backend(lambda _: large) as one, running([entry("a", one.address)]) as up:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (HOST, up.port))
            await until(lambda: bool(up.proxy.front.callers))
            [caller] = up.proxy.front.callers
            assert isinstance(caller, Caller)
            number = 0
            while not caller._writing_paused:
                sock.send(read(number := number + 1))
                await until(lambda sent=number: caller._writing_paused or one.got.qsize() == sent)  # type: ignore[misc]
            assert caller._transport.get_write_buffer_size() < 3 * 65536
            sock.close()

    asyncio.run(play())


def test_limit_on_callers() -> None:
    async def play() -> None:
        async with backend(lambda request: OK if b"id1" in request else None) as one:
            async with running([entry("a", one.address)], sockets=48 + 8) as up:  # 4 callers
                idle = await up.client()
                assert status(await idle.ask(book(1))) == 200
                busy = []
                for number in range(4):
                    busy.append(await up.client())
                    busy[-1].writer.write(book(20 + number))
                    await soon(one.got.get())
                assert await soon(idle.reader.read()) == b"", "the idle connection was not closed"
                refused = await (await up.client()).ask(book(3))
                assert status(refused) == 503 and b"Connection: close\r\n" in refused
                busy[0].writer.close()
                front = up.proxy.front
                await until(lambda: len(front.callers) - len(front.leaving) == 3)
                assert status(await (await up.client()).ask(book(1))) == 200

    asyncio.run(play())


def environment(path: Path, listen: str, discovery: str, known: list[dict[str, object]]) -> dict[str, str]:
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": listen,
                "discovery": discovery,
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"index": 3, "snapshot": True, "endpoints": known},
                "settings": WIRE,
            }
        )
    )
    return {**os.environ, "RELAY_CONFIG": str(path), "RELAY_LISTEN": listen, "RELAY_DISCOVERY": discovery}


async def connect(port: int) -> Client:
    return Client(*await asyncio.open_connection(HOST, port))


async def up_and_ready(port: int) -> None:
    """Wait until a process responds that it is ready."""
    async with asyncio.timeout(WIDE):
        while True:
            try:
                client = await connect(port)
                if status(await client.ask(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")) == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)


def test_accepted_requests_finish_after_sigterm(tmp_path: Path) -> None:
    async def play() -> None:
        async with watches() as registry, backend(lambda _: None) as one:
            port = free_port()
            env = environment(
                tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{registry.port}", [entry("a", one.address)]
            )
            process = await asyncio.create_subprocess_exec(sys.executable, "-m", "lugspur", cwd=ROOT, env=env)
            await up_and_ready(port)
            idle, early = await connect(port), await connect(port)
            early.writer.write(book(1, timeout="15"))
            await soon(one.got.get())
            process.send_signal(signal.SIGTERM)
            late = await connect(port)  # new connections are still accepted for a moment
            late.writer.write(book(2, timeout="15"))
            await soon(one.got.get())
            assert await soon(idle.reader.read()) == b""
            for writer in one.open:
                writer.write(OK)
            for client in (early, late):
                answer = await client.answer()
                assert status(answer) == 200 and b"Connection: close\r\n" in answer
            assert await soon(process.wait()) == 0

    asyncio.run(play())


def test_sighup_moves_watch_without_lost_updates(tmp_path: Path) -> None:
    async def play() -> None:
        async with watches() as old, watches() as new, backend(lambda _: OK) as one:
            port, path = free_port(), tmp_path / "c.json"
            env = environment(path, f"{HOST}:{port}", f"{HOST}:{old.port}", [])
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lugspur", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
            )
            assert process.stderr is not None
            await soon(old.asked.get())
            old.say(4, [entry("b", f"{HOST}:9", "terminating")])
            await up_and_ready(port)
            path.write_text("{")
            process.send_signal(signal.SIGHUP)  # unreadable: one line is logged and the configuration stays
            assert (await soon(process.stderr.readline())).startswith(b"lugspur: reload: ")
            environment(path, f"{HOST}:{port}", f"{HOST}:{new.port}", [])
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
            assert await soon(new.asked.get()) == "/v1/servers?follow=1&since=0"
            assert old.ended.empty(), "the old watch ended before the new one delivered anything"
            old.say(5, [entry("a", one.address)])  # the old watch still counts
            client = await connect(port)
            number = 0
            while status(await client.ask(read(number := number + 1))) != 200:
                await asyncio.sleep(0.01)
            new.say(6, [entry("a", one.address)], snapshot=True)
            await soon(old.ended.get())
            assert status(await client.ask(read(number + 1))) == 200
            assert new.asked.empty() and old.asked.empty()
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            assert await soon(process.wait()) == 0

    asyncio.run(play())


def test_proxy_out_of_file_descriptors_logs_little_and_recovers(tmp_path: Path) -> None:
    async def play() -> None:
        port = free_port()
        env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:9", [entry("a", f"{HOST}:9")])
        with open(tmp_path / "log", "wb") as log:
            process = await asyncio.create_subprocess_shell(
                f"ulimit -n 30; exec {sys.executable} -m lugspur", cwd=ROOT, env=env, stderr=log
            )
        await up_and_ready(port)
        many = [socket.create_connection((HOST, port)) for _ in range(60)]
        await until(lambda: b"out of system resource" in (tmp_path / "log").read_bytes())
        for sock in many:
            sock.close()
        await up_and_ready(port)
        process.send_signal(signal.SIGTERM)
        assert await soon(process.wait()) == 0
        assert (tmp_path / "log").read_bytes().count(b"out of system resource") < 500

    asyncio.run(play())


ODD_LIST = {
    "name": "n0",
    "listen": f"{HOST}:0",
    "discovery": f"{HOST}:9",
    "seed": "1",
    "limits": {"sockets": 64},
    "known": {"index": 1, "endpoints": [{"name": "a"}]},
    "settings": WIRE,
}


def test_drain_serves_queued_and_new_connections() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            front = Proxy(config([entry("a", one.address)])).front
            listener = await front.listen()
            port = listener.getsockname()[1]
            ending = asyncio.create_task(drain(front, listener))
            await asyncio.sleep(0)  # lets the drain begin
            client = await connect(port)
            assert status(await client.ask(book(1))) == 200
            assert status(await client.ask(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")) == 503
            await soon(ending)
            assert await soon(client.reader.read()) == b""
            with pytest.raises(ConnectionRefusedError):
                await connect(port)

    asyncio.run(play())


def test_closing_listener_keeps_queued_connections() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            front = Proxy(config([entry("a", one.address)])).front
            listener = await front.listen()
            queued = [socket.create_connection(listener.getsockname()) for _ in range(20)]
            await front.stop_listening(listener)
            for sock in queued:
                client = Client(*await asyncio.open_connection(sock=sock))
                assert status(await client.ask(book())) == 200

    asyncio.run(play())


@pytest.mark.parametrize("text", ["", "{}", "[]", '{"settings":{}}', json.dumps(ODD_LIST)])
def test_invalid_configuration_ends_with_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    for more in ({"RELAY_CONFIG": str(path)}, {"RELAY_CONFIG": str(path / "none")}, {}):
        done = subprocess.run(
            [sys.executable, "-m", "lugspur"],
            cwd=ROOT,
            env=env | more,
            timeout=WIDE,
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2 and done.stdout == ""
        [line] = done.stderr.splitlines()
        assert line.startswith("lugspur: ")
