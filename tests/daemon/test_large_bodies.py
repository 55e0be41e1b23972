"""Bodies and answers beyond `[limits] hold` pass through the daemon as they come; gRPC boxes get them whole."""

from __future__ import annotations

import asyncio
import hashlib

import pytest
from daemonic import HEAD, answer, ask, backend, pool, route, served, until
from grpcpeers import HTTP2, boxed
from loopback import HOST, soon, status

from lugspur.http1.body import MAX_BUFFERED_BODY

LARGE = HEAD.replace("sockets = 1024", 'sockets = 1024\nhold = "64KiB"\nbody = "8MiB"')
ROUTES = route("book", "/book", 'pool = "a"\nclass = "book"\nfallback = ["b"]') + route(
    "read", "/read", 'pool = "a"\nclass = "read"'
)
BODY = bytes(range(256)) * 12_000  # 3 MB


def digest(request: bytes) -> bytes:
    return answer(hashlib.sha256(request.partition(b"\r\n\r\n")[2]).hexdigest().encode())


def test_a_large_body_is_passed_on_and_the_request_is_judged_as_ever() -> None:
    async def play() -> None:
        async with backend(digest) as one:
            async with served(pool("a", one.address) + pool("b", one.address) + ROUTES, LARGE) as up:
                client = await up.client()
                for _ in range(2):
                    got = await client.ask(ask("POST", "/book", BODY))
                    assert got.endswith(hashlib.sha256(BODY).hexdigest().encode())
                assert status(await (await up.client()).ask(ask("POST", "/none", BODY))) == 404
                assert status(await (await up.client()).ask(ask("POST", "/book", BODY * 3))) == 413
                assert up.in_hand() == 0

    asyncio.run(play())


def test_a_large_body_goes_to_the_next_pool_while_all_of_it_is_there() -> None:
    async def play() -> None:
        gone = await asyncio.start_server(lambda _, writer: writer.close(), HOST, 0)
        dead = f"{HOST}:{gone.sockets[0].getsockname()[1]}"
        gone.close()
        await gone.wait_closed()
        async with backend(digest) as one:
            async with served(pool("a", dead) + pool("b", one.address) + ROUTES, LARGE) as up:
                client = await up.client()
                sent = ask("POST", "/book", BODY)
                client.writer.write(sent[: MAX_BUFFERED_BODY + 3000])
                await until(lambda: bool(up.daemon.clusters["b"].pool.calls))
                client.writer.write(sent[MAX_BUFFERED_BODY + 3000 :])
                assert (await client.answer()).endswith(hashlib.sha256(BODY).hexdigest().encode())

    asyncio.run(play())


@pytest.mark.parametrize("target", ["/read", "/book"])
def test_a_large_answer_is_passed_on_with_the_routes_changes(target: str) -> None:
    async def play() -> None:
        more = '\nresponse = { set = { "X-Front" = "lugspur" } }'
        async with backend(lambda _: answer(BODY, X_Note="a")) as one:
            routes = ROUTES.replace('class = "read"', f'class = "read"{more}')
            text = pool("a", one.address) + pool("b", one.address) + routes
            async with served(text, LARGE) as up:
                client = await up.client()
                for _ in range(3):
                    got = await client.ask(ask("GET" if target == "/read" else "POST", target))
                    assert got.endswith(BODY)
                    assert b"X-Note: a\r\n" in got
                    assert (b"X-Front: lugspur\r\n" in got) == (target == "/read")
                await until(lambda: up.in_hand() == 0)
                assert up.daemon.clusters["a"].pool.upstream.streamed_bytes == 0

    asyncio.run(play())


def test_an_answer_beyond_the_limit_is_spoilt_before_it_is_begun() -> None:
    async def play() -> None:
        async with backend(lambda _: answer(BODY)) as one:
            small = LARGE.replace('hold = "64KiB"', 'hold = "64KiB"\nanswer = "1MiB"')
            async with served(pool("a", one.address) + pool("b", one.address) + ROUTES, small) as up:
                client = await up.client()
                assert status(await client.ask(ask("POST", "/book"))) == 502

    asyncio.run(play())


def test_a_grpc_box_gets_a_large_body_whole() -> None:
    async def play() -> None:
        head = HTTP2.replace("sockets = 1024", 'sockets = 1024\nhold = "16KiB"')
        async with boxed(1, head=head) as world:
            client = await world.up.client()
            got = await client.ask(ask("POST", "/book/a", b"x" * 200_000))
            assert status(got) == 200
            assert world.ran() == 1
            left = await world.up.client()
            left.writer.write(ask("POST", "/book/a", b"x" * 200_000)[:100_000])
            await asyncio.sleep(0.05)
            left.writer.close()
            await until(lambda: world.up.in_hand() == 0)
            assert world.ran() == 1
            assert await soon(client.ask(ask("POST", "/book/a", b"hi")))

    asyncio.run(play())
