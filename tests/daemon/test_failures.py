"""Fallbacks, splits and reserved shares when pools fail."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from contextlib import AsyncExitStack

import pytest
from daemonic import answer, ask, backend, fields, pool, route, served, until
from loopback import CLOSE, MAY_HAVE_RUN, NEVER_RAN, OK, entry, soon, status, watches

from lugspur.routing.splits import order_by_key

BOTH = 'pool = "a"\nfallback = ["b"]\n'
BOOK, READ = route("book", "/book", BOTH + 'class = "book"'), route("read", "/read", BOTH + 'class = "read"')
UNREACHABLE = "127.0.0.1:9"  # no process listens at this address


@pytest.mark.parametrize("path", ["/book", "/read"])
def test_requests_fail_over_from_an_unreachable_pool(path: str) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as two:
            async with served(pool("a", UNREACHABLE) + pool("b", two.address) + BOOK + READ) as up:
                client = await up.client()
                for _ in range(4):
                    assert status(await client.ask(ask("POST", path, b"x"))) == 200
                assert two.got.qsize() == 4
                await until(lambda: up.in_hand() == 0)
                assert up.daemon._request_slots.held_by("a") == up.daemon._request_slots.held_by("b") == 0

    asyncio.run(play())


@pytest.mark.parametrize("left", ["drained", "gone"])
def test_requests_fail_over_from_a_pool_without_backends_in_service_and_return(left: str) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            a = '[pools.a]\nfile = "a.json"\n'
            async with served(a + pool("b", two.address) + BOOK) as up:
                entry = {"name": "one", "address": one.address, "status": "in_service"}
                listed = up.file.with_name("a.json")

                def write_list(*entries: dict[str, str]) -> None:
                    listed.with_suffix(".new").write_text(json.dumps({"endpoints": entries}))
                    listed.with_suffix(".new").rename(listed)

                client = await up.client()
                assert status(await client.ask(ask("POST", "/book", b"x"))) == 200 and two.got.qsize() == 1
                write_list(entry)
                await until(lambda: not up.daemon.clusters["a"].health.is_empty())
                assert status(await client.ask(ask("POST", "/book", b"x"))) == 200 and one.got.qsize() == 1
                write_list(*([entry | {"status": "terminating"}] if left == "drained" else []))
                await until(up.daemon.clusters["a"].health.is_empty)
                assert status(await client.ask(ask("POST", "/book", b"x"))) == 200 and two.got.qsize() == 2
                listed.write_text("{ not a list")
                write_list(entry)
                await until(lambda: not up.daemon.clusters["a"].health.is_empty())

    asyncio.run(play())


@pytest.mark.parametrize("script", [CLOSE, MAY_HAVE_RUN, b"nonsense cut", answer(b"", "500 Oh")])
@pytest.mark.parametrize("path", ["/book", "/read"])
def test_a_request_that_may_have_run_is_never_sent_to_the_fallback(script: bytes, path: str) -> None:
    async def play() -> None:
        async with backend(lambda _: script) as one, backend(lambda _: OK) as two:
            async with served(pool("a", one.address) + pool("b", two.address) + BOOK + READ) as up:
                client = await up.client()
                got = status(await client.ask(ask("POST", path, b"x")))
                assert got in ((500, 502) if path == "/book" else (503,))
                assert one.got.qsize() == 1 and two.got.empty()

    asyncio.run(play())


@pytest.mark.parametrize(("path", "expected"), [("/book", 502), ("/read", 503)])
def test_a_request_that_may_have_run_stays_though_the_pool_then_died(path: str, expected: int) -> None:
    async def play() -> None:
        async with AsyncExitStack() as stack:
            one = await stack.enter_async_context(backend(lambda _: None))
            two = await stack.enter_async_context(backend(lambda _: OK))
            async with served(pool("a", one.address) + pool("b", two.address) + BOOK + READ) as up:
                client = await up.client()
                client.writer.write(ask("POST", path, b"x"))
                await soon(one.got.get())
                cluster = up.daemon.clusters["a"]
                for server in cluster.pool.backends:
                    cluster.health.mark_unreachable(asyncio.get_running_loop().time(), server)
                one.open[0].close()
                assert status(await client.answer()) == expected and two.got.empty()

    asyncio.run(play())


def test_requests_do_not_fail_over_from_an_overloaded_pool() -> None:
    async def play() -> None:
        async with backend(lambda _: NEVER_RAN) as one, backend(lambda _: OK) as two:
            async with served(pool("a", one.address) + pool("b", two.address) + BOOK) as up:
                client = await up.client()
                got = await client.ask(ask("POST", "/book", b"x"))
                assert status(got) == 503 and float(fields(got)["retry-after"]) > 0.0 and two.got.empty()

    asyncio.run(play())


def test_response_has_retry_after_if_no_pool_has_a_backend() -> None:
    async def play() -> None:
        empty = '[pools.a]\nfile = "none"\n[pools.b]\nfile = "none"\n'
        async with served(empty + BOOK) as up:
            client = await up.client()
            got = await client.ask(ask("POST", "/book", b"x"))
            assert status(got) == 503 and fields(got)["retry-after"] == "1" and "connection" not in fields(got)

    asyncio.run(play())


def test_a_hung_pool_leaves_other_pools_their_slots_and_sockets() -> None:
    """All backends of one pool hang at full load: the other pool keeps its slots and sockets, and serves."""
    text = route("hung", "/hung", 'pool = "a"\nclass = "read"') + route("well", "/well", 'pool = "b"\nclass = "read"')
    small = '[limits]\nsockets = 128\n[listeners.main]\naddress = "127.0.0.1:0"\n'
    classes = '[classes.read]\naim = "20s"\ndeadline = "20s"\nrepeat = "safe"\n'

    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: OK) as two:
            async with served(classes + pool("a", one.address) + pool("b", two.address) + text, small) as up:
                daemon = up.daemon
                hung = [await up.client() for _ in range(36)]  # of 40 callers
                for client in hung[:30]:
                    client.writer.write(ask(target="/hung"))
                # The pool uses its reserved 10 slots, and all that are not reserved.
                await until(lambda: daemon._request_slots.held_by("a") == 30)
                for client in hung[30:]:
                    rejected = await client.ask(ask(target="/hung"))
                    assert status(rejected) == 503 and fields(rejected)["retry-after"] == "1"
                    assert rejected.endswith(b"no place\n")  # the daemon's rejection, not the balancer's
                assert daemon._sockets.held_by("a") <= 30
                well = [await up.client() for _ in range(8)]
                for _ in range(5):
                    got = await asyncio.gather(*(client.ask(ask(target="/well")) for client in well))
                    assert [status(one) for one in got] == [200] * 8
                assert daemon._sockets.held_by("b") >= 1 and two.got.qsize() == 40
                for client in hung:
                    client.writer.close()
                await until(lambda: daemon._request_slots.held_by("a") == daemon._sockets.held_by("a") == 0)

    asyncio.run(play())


def test_a_sticky_split_follows_its_weights_while_they_change_under_load() -> None:
    def split(weight: int) -> str:
        return route(
            "r", "/{k}", f'split = {{ a = {100 - weight}, b = {weight} }}\nkey = {{ path = "k" }}\nclass = "read"'
        )

    async def play() -> None:
        async with backend(lambda _: answer(b"a")) as one, backend(lambda _: answer(b"b")) as two:
            pools = pool("a", one.address) + pool("b", two.address)
            async with served(pools + split(10)) as up:
                clients, stop, seen = [await up.client() for _ in range(4)], asyncio.Event(), Counter[str]()

                async def load(at: int) -> None:
                    number = at
                    while not stop.is_set():
                        number += 1
                        got = await clients[at].ask(ask(target=f"/key-{number % 200}"))
                        assert status(got) == 200
                        seen[got[-1:].decode()] += 1

                async with asyncio.TaskGroup() as group:
                    for at in range(3):
                        group.create_task(load(at))
                    for weight in (20, 30, 40, 50, 60, 50, 40, 30, 20, 10):
                        await up.reload(pools + split(weight))
                        for number in range(30):
                            got = await clients[3].ask(ask(target=f"/key-{number}"))
                            wanted = order_by_key(
                                [("a", 100.0 - weight), ("b", float(weight))], f"key-{number}".encode()
                            )
                            assert got[-1:].decode() == wanted[0]
                    stop.set()
                assert seen["a"] > seen["b"] > 0

    asyncio.run(play())


def test_a_key_moves_to_the_next_pool_while_its_own_is_unreachable() -> None:
    text = route("r", "/{k}", 'split = { a = 50, b = 50 }\nkey = { path = "k" }\nclass = "read"')

    async def play() -> None:
        async with backend(lambda _: answer(b"b")) as two:
            key = next(k for k in map(str, range(99)) if order_by_key([("a", 50.0), ("b", 50.0)], k.encode())[0] == "a")
            async with served(pool("a", UNREACHABLE) + pool("b", two.address) + text) as up:
                client = await up.client()
                assert (await client.ask(ask(target=f"/{key}"))).endswith(b"b")
            async with backend(lambda _: answer(b"a")) as one:
                async with served(pool("a", one.address) + pool("b", two.address) + text) as up:
                    client = await up.client()
                    assert (await client.ask(ask(target=f"/{key}"))).endswith(b"a")

    asyncio.run(play())


def test_a_pool_follows_the_http_watch() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, watches() as discovery:
            text = f'[pools.a]\nwatch = "127.0.0.1:{discovery.port}"\n' + route("r", "/", 'pool = "a"')
            async with served(text) as up:
                client = await up.client()
                assert await soon(discovery.asked.get()) == "/v1/servers?follow=1&since=0"
                assert status(await client.ask(ask())) == 503
                discovery.say(3, [entry("one", one.address)], snapshot=True)
                health = up.daemon.clusters["a"].health
                await until(lambda: not health.is_empty())
                assert status(await client.ask(ask())) == 200
                discovery.say(4, [entry("one", one.address, "terminating")])
                await until(health.is_empty)
                assert status(await client.ask(ask())) == 503 and one.got.qsize() == 1
            await soon(discovery.ended.get())  # a daemon closes its watch when it stops

    asyncio.run(play())


def test_a_replaced_endpoint_source_changes_nothing_more() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, watches() as discovery:
            way = route("r", "/", 'pool = "a"')
            async with served(f'[pools.a]\nwatch = "127.0.0.1:{discovery.port}"\n' + way) as up:
                await soon(discovery.asked.get())
                discovery.say(3, [entry("one", UNREACHABLE)], snapshot=True)
                health = up.daemon.clusters["a"].health
                await until(lambda: not health.is_empty())
                await up.reload(pool("a", one.address) + way)
                await soon(discovery.ended.get())
                client = await up.client()
                assert status(await client.ask(ask("POST", "/", b"x"))) == 200
                assert len(up.daemon.clusters["a"].pool.backends) == 1

    asyncio.run(play())


def test_malformed_lists_change_nothing_and_are_logged_once(capsys: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            async with served('[pools.a]\nfile = "a.json"\n' + route("r", "/", 'pool = "a"')) as up:
                listed, health = up.file.with_name("a.json"), up.daemon.clusters["a"].health
                listed.write_text(json.dumps({"endpoints": [entry("one", one.address)]}))
                await until(lambda: not health.is_empty())
                assert capsys.readouterr().err.count("\n") == 1  # one line says that there was no list at first
                for malformed in ("[]", '{"endpoints": [{"name": "x"}]}', '{"endpoints": 7}', "\x00"):
                    logged_bytes = len(capsys.readouterr().err)
                    listed.write_text(malformed)
                    complaints: list[str] = []
                    await until(
                        lambda seen=complaints: bool(  # type: ignore[misc]
                            seen.append(capsys.readouterr().err) or "".join(seen)
                        )
                    )
                    assert logged_bytes == 0 and "the last list stays" in "".join(complaints)
                    assert not health.is_empty()
                client = await up.client()
                assert status(await client.ask(ask())) == 200

    asyncio.run(play())
