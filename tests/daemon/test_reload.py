"""Reloads during requests: an open request keeps the configuration that it began with."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from daemonic import HEAD, answer, ask, backend, fields, pool, route, served, until
from loopback import CLOSE, OK, soon, status


@pytest.mark.parametrize("change", ["the route's", "its own"])
def test_an_open_request_keeps_its_class_when_the_class_becomes_safe(change: str) -> None:
    """The only attempt fails after the reload: the request may have run, and must not be retried."""

    async def play() -> None:
        scripts: list[bytes | None] = [None]

        def respond(_: bytes) -> bytes | None:
            return scripts.pop() if scripts else OK

        async with backend(respond) as one, backend(respond) as two:
            text = pool("a", one.address, two.address) + route("r", "/", 'pool = "a"\nclass = "book"')
            async with served(text) as up:
                client, other = await up.client(), await up.client()
                client.writer.write(ask("POST", "/", b"x"))
                await until(lambda: one.got.qsize() + two.got.qsize() == 1)
                first = two if one.got.empty() else one
                if change == "its own":
                    await up.reload(text, HEAD.replace("[classes.book]", '[classes.book]\nrepeat = "safe"'))
                else:
                    await up.reload(text.replace('class = "book"', 'class = "read"'))
                first.open[0].close()
                assert status(await client.answer()) == 502
                assert one.got.qsize() + two.got.qsize() == 1
                scripts.append(CLOSE)  # a new request is retried
                assert status(await other.ask(ask("POST", "/", b"x"))) == 200
                assert one.got.qsize() + two.got.qsize() == 3

    asyncio.run(play())


def test_a_request_whose_body_is_arriving_goes_where_its_head_was_routed() -> None:
    async def play() -> None:
        async with backend(lambda _: answer(b"1")) as one, backend(lambda _: answer(b"2")) as two:
            a, b = pool("a", one.address), pool("b", two.address)
            async with served(a + route("r", "/", 'pool = "a"\nclass = "book"')) as up:
                client, other = await up.client(), await up.client()
                client.writer.write(ask("POST", "/", b"body")[:-2])
                [front] = [front for front, _ in up.running.listeners.values()]
                await until(lambda: bool(front.reading))
                await up.reload(b + route("r", "/", 'pool = "b"'))  # removes the pool and changes the route's target
                assert (await other.ask(ask("POST", "/", b"x"))).endswith(b"2")
                got = await client.ask(b"dy")
                assert status(got) == 200 and got.endswith(b"1")
                assert (await client.ask(ask("POST", "/", b"x"))).endswith(b"2")

    asyncio.run(play())


def test_a_renamed_pool_finishes_its_open_requests() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            async with served(pool("a", one.address) + route("r", "/", 'pool = "a"')) as up:
                client, new = await up.client(), await up.client()
                client.writer.write(ask())
                await soon(one.got.get())
                old = up.daemon.clusters["a"]
                await up.reload(pool("b", one.address) + route("r", "/", 'pool = "b"'))
                assert list(up.daemon.clusters) == ["b"]
                new.writer.write(ask())
                await soon(one.got.get())
                for writer in one.open:
                    writer.write(OK)
                assert status(await client.answer()) == 200 == status(await new.answer())
                await until(lambda: not old.pool.calls)

    asyncio.run(play())


def test_a_pool_that_stays_keeps_what_it_learned_and_its_connections() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            text = pool("a", one.address) + route("r", "/", 'pool = "a"\nclass = "read"')
            async with served(text) as up:
                client = await up.client()
                assert status(await client.ask(ask())) == 200
                cluster = up.daemon.clusters["a"]
                [server] = cluster.pool.balancer.table.servers.values()
                learned = server.latency
                await up.reload(text + route("s", "/s", 'pool = "a"'), HEAD.replace('aim = "30s"', 'aim = "29s"'))
                assert up.daemon.clusters["a"] is cluster and server.latency == learned > 0.0
                assert status(await client.ask(ask())) == 200
                assert len(one.open) == 1
                assert cluster.pool.settings.classes[1].latency_target == 29.0

    asyncio.run(play())


def test_members_of_a_fixed_list_change_and_drain() -> None:
    async def play() -> None:
        async with backend(lambda _: answer(b"1")) as one, backend(lambda _: answer(b"2")) as two:
            way = route("r", "/", 'pool = "a"\nclass = "read"')
            async with served(pool("a", one.address) + way) as up:
                client = await up.client()
                assert (await client.ask(ask())).endswith(b"1")
                await up.reload(pool("a", two.address) + way)
                for _ in range(5):
                    assert (await client.ask(ask())).endswith(b"2")
                both = (
                    f'[pools.a]\nmembers = [{{ address = "{one.address}" }}, '
                    f'{{ address = "{two.address}", drain = true }}]\n'
                )
                await up.reload(both + way)
                for _ in range(5):
                    assert (await client.ask(ask())).endswith(b"1")

    asyncio.run(play())


def test_a_listener_moves_and_the_old_one_finishes() -> None:
    def head(name: str) -> str:
        return HEAD.replace("[listeners.main]", f"[listeners.{name}]")

    async def play() -> None:
        async with backend(lambda _: None) as one:
            text = pool("a", one.address) + route("r", "/", 'pool = "a"')
            async with served(text) as up:
                client, idle = await up.client(), await up.client()
                client.writer.write(ask())
                await soon(one.got.get())
                old = up.port()
                await up.reload(text, head("other"))
                assert up.port("other") != old
                moved = await up.client("other")
                moved.writer.write(ask())
                await soon(one.got.get())
                for writer in one.open:
                    writer.write(OK)
                assert status(await moved.answer()) == 200
                assert status(await client.answer()) == 200
                assert await soon(idle.reader.read()) == b"" and await soon(client.reader.read()) == b""
                await until(lambda: not up.running._drain_tasks)
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection("127.0.0.1", old)

    asyncio.run(play())


def test_a_listener_changes_its_settings_and_keeps_its_address() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            text = pool("a", one.address) + route("r", "/", 'pool = "a"')
            async with served(text) as up:
                first = HEAD.replace("127.0.0.1:0", f"127.0.0.1:{up.port()}")
                old = up.port()
                await up.reload(text, first)  # the file now has the port number
                trusting = first.replace("[classes.read]", "trust-forwarded = true\n[classes.read]")
                await up.reload(text, trusting)
                await until(lambda: not up.running._drain_tasks)
                assert up.port() == old
                client = await up.client()
                assert status(await client.ask(ask(X_Real_IP="6.6.6.6"))) == 200
                assert fields(await soon(one.got.get()))["x-real-ip"] == "6.6.6.6"

    asyncio.run(play())


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[pools", "lugspur.toml:"),
        (route("q", "/q", 'pool = "none"'), 'pool "none" is not in this file'),
        ('[listeners.more]\naddress = "127.0.0.1:PORT"\n', "listener more can't bind 127.0.0.1:"),
    ],
)
def test_an_invalid_file_changes_nothing_and_logs_why(
    text: str, expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            good = pool("a", one.address) + route("r", "/", 'pool = "a"')
            async with served(good) as up:
                before = up.daemon.configuration
                await up.reload(good + text.replace("PORT", one.address.rpartition(":")[2]))
                assert up.daemon.configuration is before and list(up.running.listeners) == ["main"]
                [line] = capsys.readouterr().err.splitlines()
                assert line.startswith("lugspur: reload: nothing is changed: ") and expected in line
                client = await up.client()
                assert status(await client.ask(ask())) == 200

    asyncio.run(play())


def test_fifty_reloads_under_load_lose_repeat_and_misroute_no_request() -> None:
    async def play() -> None:
        seen = Counter[bytes]()

        def script(mark: bytes):  # type: ignore[no-untyped-def]
            def respond(request: bytes) -> bytes:
                seen[request.split(b" ", 2)[1]] += 1
                return answer(mark)

            return respond

        async with backend(script(b"1")) as one, backend(script(b"2")) as two:
            a, b = pool("a", one.address), pool("b", two.address)

            def text(n: int) -> str:
                """Return a file in which pool names, class values and routes depend on `n`."""
                x, y = ("a", "b") if n % 2 else ("c", "d")
                more = "".join(route(f"m{n}x{i}", f"/m{n}/{i}", f'pool = "{x}"') for i in range(n % 5))
                return (
                    a.replace("pools.a", f"pools.{x}")
                    + b.replace("pools.b", f"pools.{y}")
                    + route("one", "/1/{k}", f'pool = "{x}"\nclass = "{("book", "read")[n % 2]}"')
                    + route("two", "/2/{k}", f'pool = "{y}"\nclass = "book"')
                    + more
                )

            async with served(text(0)) as up:
                stop, counts = asyncio.Event(), Counter[str]()

                async def load(at: int) -> None:
                    client = await up.client()
                    while not stop.is_set():
                        which = 1 + counts["asked"] % 2
                        counts["asked"] += 1
                        got = await client.ask(ask("POST", f"/{which}/{at}-{counts['asked']}", b"x"))
                        assert status(got) == 200 and got.endswith(b"%d" % which)
                        counts["served"] += 1

                async with asyncio.TaskGroup() as group:
                    for at in range(6):
                        group.create_task(load(at))
                    for n in range(1, 51):
                        await up.reload(text(n), HEAD.replace('aim = "30s"', f'aim = "{30 - n % 7}s"'))
                    stop.set()
                assert counts["asked"] == counts["served"] == len(seen) > 50
                assert set(seen.values()) == {1}
                assert len(up.daemon.clusters) == 2
                classes = next(iter(up.daemon.clusters.values())).pool.settings.classes
                assert len(classes) <= 8

    asyncio.run(play())
