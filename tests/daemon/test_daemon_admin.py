"""The daemon's second address: bans over all pools, of gRPC boxes too, and drains over all listeners."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from daemonic import HEAD, Served, answer, ask, backend, pool, route, served, until
from grpcpeers import HTTP2, boxed
from loopback import HOST, soon, status

from lugspur.http1 import front as fronts

MANAGED = '[management]\naddress = "127.0.0.1:0"\n'


async def call(up: Served, method: str, path: str, body: str = "") -> int:
    """One call's status."""
    assert up.running.admin is not None
    reader, writer = await asyncio.open_connection(HOST, up.running.admin.port())
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    told = await soon(reader.read())
    writer.close()
    return status(told)


@asynccontextmanager
async def two_pools(more: str = MANAGED) -> AsyncIterator[tuple[Served, list[int]]]:
    """Pools `a` and `b` of the same two boxes, and how many requests each box got."""
    got = [0, 0]

    def script(at: int) -> bytes:
        got[at] += 1
        return answer()

    async with backend(lambda _: script(0)) as one, backend(lambda _: script(1)) as two:
        text = "".join(
            pool(name, one.address, two.address) + route(name, f"/{name}", f'pool = "{name}"\nclass = "read"')
            for name in "ab"
        )
        names = f'name = "one", address = "{one.address}"', f'name = "two", address = "{two.address}"'
        for address, named in zip((one.address, two.address), names, strict=True):
            text = text.replace(f'address = "{address}"', named)
        async with served(text + more) as up:
            yield up, got


def test_a_disabled_box_is_out_of_all_pools_and_of_those_a_reload_brings() -> None:
    async def play() -> None:
        async with two_pools() as (up, got):
            client = await up.client()
            assert await call(up, "GET", "/ready") == 200
            assert await call(up, "POST", "/backends/disable", "three") == 404
            assert await call(up, "POST", "/backends/disable", "one") == 200
            text = up.file.read_text().removeprefix(HEAD)
            for number in range(10):
                assert status(await client.ask(ask(target=f"/{'ab'[number % 2]}"))) == 200
            await up.reload(
                text
                + text[text.index("[pools.b]") : text.index("[management]")]
                .replace("[pools.b]", "[pools.c]")
                .replace("[routes.b]", "[routes.c]")
                .replace('"/b"', '"/c"')
                .replace('pool = "b"', 'pool = "c"')
            )
            for _ in range(5):
                assert status(await client.ask(ask(target="/c"))) == 200
            assert got[0] == 0
            assert await call(up, "POST", "/backends/enable", "one") == 200
            assert await call(up, "POST", "/backends/disable", "two") == 200
            for name in "abc":
                assert status(await client.ask(ask(target=f"/{name}"))) == 200
            assert got == [3, 15]

    asyncio.run(play())


def test_a_disabled_grpc_box_gets_no_call() -> None:
    async def play() -> None:
        async with boxed(2, more="") as world:
            await world.up.reload(world.up.file.read_text().removeprefix(HTTP2) + MANAGED, HTTP2)
            names = [box.address for box in world.boxes]
            assert await call(world.up, "POST", "/backends/disable", names[0]) == 200
            caller = await world.caller()
            for _ in range(8):
                assert (await soon(caller.call("/read/a", b"hi"))).status == 0
            assert world.boxes[0].ran.total() == 0
            assert world.boxes[1].ran.total() == 8

    asyncio.run(play())


def test_a_drain_reaches_all_listeners_and_http2_callers_get_goaway(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fronts, "DRAIN_IDLE_DELAY", 0.05)

    async def play() -> None:
        async with boxed(1) as world:
            await world.up.reload(world.up.file.read_text().removeprefix(HTTP2) + MANAGED, HTTP2)
            caller = await world.caller()
            assert (await soon(caller.call("/read/a", b"hi"))).status == 0
            assert await call(world.up, "POST", "/drain") == 200
            [(front, _)] = world.up.running.listeners.values()
            assert not front.healthy()
            await until(lambda: bool(caller.goaways))
            assert caller.goaways[0][1] == 0  # no fault of its own
            second = HTTP2.replace("[listeners.main]", '[listeners.other]\naddress = "127.0.0.1:0"\n[listeners.main]')
            await world.up.reload(world.up.file.read_text().removeprefix(HTTP2), second)
            assert all(front.drain_started_at is not None for front, _ in world.up.running.listeners.values())
            assert await call(world.up, "POST", "/undrain") == 200
            assert all(front.healthy() for front, _ in world.up.running.listeners.values())

    asyncio.run(play())


def test_the_second_address_moves_with_the_file_and_one_that_is_taken_changes_nothing() -> None:
    async def play() -> None:
        async with two_pools("") as (up, _):
            assert up.running.admin is None
            text = up.file.read_text().removeprefix(HEAD)
            await up.reload(text + MANAGED)
            assert up.running.admin is not None
            before = up.running.admin.port()
            assert await call(up, "GET", "/ready") == 200
            taken = await asyncio.start_server(lambda _, writer: writer.close(), HOST, 0)
            port = taken.sockets[0].getsockname()[1]
            await up.reload(text + MANAGED.replace(":0", f":{port}"))
            assert up.running.admin.port() == before
            assert await call(up, "GET", "/ready") == 200
            taken.close()
            await taken.wait_closed()
            await up.reload(text + MANAGED.replace(":0", f":{port}"))
            assert up.running.admin.port() == port
            assert await call(up, "GET", "/ready") == 200
            await up.reload(text)
            assert up.running.admin.port() == 0

    asyncio.run(play())
