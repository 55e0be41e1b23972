"""Request coalescing over real sockets: which callers share a call, and what happens when it fails."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest
from daemonic import HEAD, Served, answer, ask, backend, fields, pool, route, served, until
from grpcpeers import HTTP2, World, boxed
from loopback import CLOSE, MAY_HAVE_RUN, NEVER_RAN, OK, Backend, Client, soon, status

from lugspur.daemon import request_coalescing
from lugspur.load_balancing import Reject
from lugspur.standins.grpc.backend import Call
from lugspur.standins.grpc.script import Script

WIDE = 'within = "10s"'  # long, since the machine may be slow
TENANTS = "[tenants.a]\n[tenants.b]\n[tenants.c]\n"
ACROSS = f'join = {{ {WIDE}, ignore = ["User-Agent"], across-tenants = true }}\ntenant = {{ header = "X-Agency" }}'


def reads(join: str = f"join = {{ {WIDE} }}", more: str = "") -> str:
    return route("read", "/*", f'pool = "a"\nclass = "read"\n{join}\n{more}')


def play(
    text: str,
    body: Callable[[Served, Backend], Awaitable[None]],
    script: bytes | None = None,
    head: str = HEAD,
    of_pool: str = "",
) -> None:
    """Run `body` with a daemon of this text in front of one backend that responds with the script."""

    async def run() -> None:
        async with backend(lambda _: script) as one, served(pool("a", one.address, more=of_pool) + text, head) as up:
            await body(up, one)
            await until(lambda: up.in_hand() == 0)
            flight_table = up.daemon.coalescer.flight_table
            await until(lambda: not up.daemon.coalescer._waiting)
            assert (
                not flight_table.members
                and not flight_table.flights
                and not flight_table._open
                and not flight_table.waiting
                and not flight_table.waiting_count
            )
            assert not up.daemon.coalescer._shared_calls and up.daemon._request_slots.held_by("a") == 0

    asyncio.run(run())


async def send_requests(up: Served, *requests: bytes) -> list[Client]:
    """Return one caller for each request, after the daemon has received all of them."""
    clients = []
    for request in requests:
        received = up.daemon.coalescer._request_count
        clients.append(await up.client())
        clients[-1].writer.write(request)
        await until(lambda received=received: up.daemon.coalescer._request_count > received)  # type: ignore[misc]
    return clients


def respond(one: Backend, raw: bytes) -> None:
    """Send a response on all connections of the backend."""
    for writer in one.open:
        writer.write(raw)


def test_200_equal_reads_are_one_call_and_each_gets_a_response() -> None:
    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask(target="/h/1", X_Request_ID=f"r{n}") for n in range(200)))
        assert one.got.qsize() == 1 and up.in_hand() == 1
        respond(one, answer(b"rooms", X_Request_ID="r0"))
        got = [await client.answer() for client in clients]
        assert all(status(each) == 200 and each.endswith(b"rooms") for each in got)
        assert [fields(each)["x-request-id"] for each in got] == [f"r{n}" for n in range(200)]
        assert one.got.qsize() == 1

    play(reads(), body)


def test_other_reads_have_calls_of_their_own() -> None:
    async def body(up: Served, one: Backend) -> None:
        await send_requests(
            up,
            ask(target="/h/1"),
            ask(target="/h/2"),
            ask("HEAD", target="/h/1"),
            ask(target="/h/1", Accept="text/x"),
            ask(target="/h/1", Cache_Control="no-cache"),
        )
        await until(lambda: one.got.qsize() == 5)
        respond(one, OK)

    play(reads(), body)


def test_head_requests_are_coalesced_and_have_no_body() -> None:
    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, ask("HEAD"), ask("HEAD"))
        respond(one, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        for client in clients:
            assert (await soon(client.reader.readuntil(b"\r\n\r\n"))).find(b"Content-Length: 9\r\n") > 0
        assert one.got.qsize() == 1

    play(reads(), body)


def test_short_deadline_is_kept_and_delays_no_other_caller() -> None:
    async def body(up: Served, one: Backend) -> None:
        short, long, longest = await send_requests(up, ask(X_Timeout="1.5"), ask(X_Timeout="9"), ask(X_Timeout="20"))
        assert status(await short.answer()) == 504 and not one.got.empty()
        [call] = up.daemon.clusters["a"].pool.calls.values()
        assert call.deadline - asyncio.get_running_loop().time() > 9.0  # extended by the longest deadline
        [shared_call] = up.daemon.coalescer._shared_calls.values()
        assert shared_call.context.deadline == call.deadline  # extended too, for a fallback pool
        respond(one, OK)
        assert status(await long.answer()) == status(await longest.answer()) == 200
        assert one.got.qsize() == 1

    play(reads(), body)


def test_call_whose_first_caller_times_out_is_retried_for_the_others() -> None:
    async def run() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: OK) as two:
            async with served(pool("a", one.address, two.address) + reads()) as up:
                while one.got.empty():  # until the silent backend has a call
                    clients = await send_requests(up, ask(X_Timeout="1.5"), ask(X_Timeout="20"))
                    async with asyncio.timeout(10):
                        await clients[0].answer()
                # The backend that got a timeout of 0.3 s fails the attempt after it: the call is retried elsewhere.
                respond(one, MAY_HAVE_RUN)
                assert status(await clients[1].answer()) == 200

    asyncio.run(run())


def test_each_caller_gets_one_time_out_when_all_deadlines_pass() -> None:
    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask(X_Timeout=f"0.{n}") for n in (4, 2, 3)))
        assert {status(await client.answer()) for client in clients} <= {503, 504}
        respond(one, OK)
        assert not [each for each in (client.reader._buffer for client in clients) if each]  # type: ignore[attr-defined]

    play(reads(), body)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (answer(b"gone", "410 Gone"), 410),
        (answer(b"oh", "500 Oh"), 503),
        (CLOSE, 503),
        (b"nonsense cut", 503),
        (MAY_HAVE_RUN, 503),
        (NEVER_RAN, 503),
    ],
)
def test_failure_reaches_every_caller(script: bytes, expected: int) -> None:
    """A read that may be retried is rejected in the end, whether its call is shared or not."""

    async def body(up: Served, one: Backend) -> None:
        alone = await up.client()
        if script not in (CLOSE,):
            one.script = lambda _: script
            assert status(await alone.ask(ask(target="/alone"))) == expected
        one.script = lambda _: None
        while not one.got.empty():
            one.got.get_nowait()
        clients = await send_requests(up, *(ask() for _ in range(20)))
        await until(lambda: one.got.qsize() == 1)
        one.script = lambda _: script
        for writer in one.open:
            writer.write(script)
            if script == CLOSE or b"cut" in script:
                writer.close()
        got = [status(await client.answer()) for client in clients]
        assert set(got) == {expected}
        assert one.got.qsize() <= 3  # attempts of one call

    play(reads(), body, of_pool="attempts = 3")


def test_first_caller_may_disconnect_and_the_last_one_cancels_the_call() -> None:
    async def body(up: Served, one: Backend) -> None:
        first, second = await send_requests(up, ask(target="/x"), ask(target="/x"))
        first.writer.transport.abort()
        await until(lambda: len(up.daemon.coalescer._waiting) == 1)
        assert one.ended.empty()
        third, fourth = await send_requests(up, ask(target="/y"), ask(target="/y"))
        for client in (third, fourth):
            client.writer.transport.abort()
        await soon(one.ended.get())  # the call is cancelled at the backend
        respond(one, OK)
        assert status(await second.answer()) == 200

    play(reads(), body)


@pytest.mark.parametrize("mark", [{"Cache_Control": "private"}, {"Set_Cookie": "s=1"}, {"Vary": "*"}])
def test_answer_for_one_caller_reaches_no_other(mark: dict[str, str]) -> None:
    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask(target="/x") for _ in range(5)))
        one.script = lambda _: answer(b"own", **mark)
        respond(one, answer(b"first", **mark))
        got = [await client.answer() for client in clients]
        assert [each.rpartition(b"\n")[2] for each in got] == [b"first"] + [b"own"] * 4
        assert one.got.qsize() == 5
        one.script = lambda _: None
        clients = await send_requests(up, *(ask(target="/x") for _ in range(3)))
        await until(lambda: one.got.qsize() == 8)  # the key is known now: no read waits for another
        respond(one, OK)

    play(reads(), body)


def test_a_response_that_varies_by_an_ignored_header_is_fetched_once_for_each_value() -> None:
    async def body(up: Served, one: Backend) -> None:
        def by_agent(sent: bytes) -> bytes:
            return answer(fields(sent)["user-agent"].encode(), Vary="User-Agent")

        agents = ["x", "y", "x", "y", "z"]
        clients = await send_requests(up, *(ask(User_Agent=agent, X_Agency="a") for agent in agents))
        one.script = by_agent
        respond(one, by_agent(await soon(one.got.get())))
        got = [await client.answer() for client in clients]
        assert [each.rpartition(b"\n")[2].decode() for each in got] == agents
        assert one.got.qsize() == 2

    play(TENANTS + reads(ACROSS), body)


@pytest.mark.parametrize("code", ["401 Who", "403 No"])
def test_status_about_the_caller_reaches_its_own_tenant_only(code: str) -> None:
    async def body(up: Served, one: Backend) -> None:
        def judge(sent: bytes) -> bytes:
            return answer(b"no", code) if fields(sent)["x-agency"] == "a" else OK

        clients = await send_requests(up, *(ask(X_Agency=name) for name in "aabcb"))
        one.script = judge
        respond(one, judge(await soon(one.got.get())))
        got = [status(await client.answer()) for client in clients]
        assert got == [int(code[:3])] * 2 + [200] * 3
        assert one.got.qsize() == 2

    play(TENANTS + reads(ACROSS), body)


def test_a_backend_that_is_too_busy_for_one_tenant_fails_no_other() -> None:
    async def body(up: Served, one: Backend) -> None:
        def judge(sent: bytes) -> bytes:
            return answer(b"", "429 Slow") if fields(sent)["x-agency"] == "a" else OK

        clients = await send_requests(up, *(ask(X_Agency=name) for name in "aab"))
        one.script = judge
        respond(one, judge(await soon(one.got.get())))
        got = [status(await client.answer()) for client in clients]
        assert got[0] == got[1] != 200 and got[2] == 200

    play(TENANTS + reads(ACROSS), body)


def test_tenants_do_not_share_unless_the_file_says_so() -> None:
    async def body(up: Served, one: Backend) -> None:
        await send_requests(up, *(ask(X_Agency=name) for name in "aabb"))
        await until(lambda: one.got.qsize() == 2)
        respond(one, OK)

    join = f'join = {{ {WIDE} }}\ntenant = {{ header = "X-Agency" }}'
    play(TENANTS + reads(join), body)


@pytest.mark.parametrize(("writer", "reader", "joins"), [("a", "a", False), ("b", "a", True)])
def test_a_read_after_a_write_of_its_tenant_gets_no_older_response(writer: str, reader: str, joins: bool) -> None:
    async def body(up: Served, one: Backend) -> None:
        first = (await send_requests(up, ask(target="/r", X_Agency="c")))[0]
        one.script = lambda sent: OK if sent.startswith(b"POST") else None
        client = await up.client()
        assert status(await client.ask(ask("POST", "/w", b"x", X_Agency=writer))) == 200
        second = (await send_requests(up, ask(target="/r", X_Agency=reader)))[0]
        if not joins:
            await until(lambda: one.got.qsize() == 3)
        assert one.got.qsize() == (2 if joins else 3)
        respond(one, OK)
        assert status(await first.answer()) == status(await second.answer()) == 200

    write = route("write", "/w", 'pool = "a"\nclass = "book"\nmethods = ["POST"]\ntenant = { header = "X-Agency" }')
    play(TENANTS + reads(ACROSS) + write, body)


def test_a_busy_tenant_does_not_crowd_out_the_others() -> None:
    async def body(up: Served, one: Backend) -> None:
        busy = await send_requests(up, *(ask(X_Agency="a") for _ in range(12)))
        quiet = await send_requests(up, *(ask(X_Agency=name) for name in "bcbc"))
        await until(lambda: sum(bool(client.reader._buffer) for client in busy) == 7)  # type: ignore[attr-defined]
        respond(one, OK)
        got = Counter([status(await client.answer()) for client in busy])
        assert got == {200: 5, 503: 7}
        assert {status(await client.answer()) for client in quiet} == {200}
        assert one.got.qsize() == 1

    head = HEAD.replace("sockets = 1024", "sockets = 1024\njoined = 8")
    play(TENANTS + reads(ACROSS), body, head=head)


def test_rejection_of_one_tenant_does_not_reach_the_others() -> None:
    async def body(up: Served, one: Backend) -> None:
        def by_agent(sent: bytes) -> bytes:
            return answer(fields(sent)["x-agency"].encode(), Vary="User-Agent")

        pool = up.daemon.clusters["a"].pool
        submit, asked = pool.balancer.request, list[str]()

        def refuse_a(now: float, rid: str, kind: int, tenant: int, *more: Any) -> object:
            name = pool.settings.tenants[tenant].name
            asked.append(name)
            return [Reject(rid)] if name == "a" else submit(now, rid, kind, tenant, *more)

        clients = await send_requests(
            up,
            ask(User_Agent="x", X_Agency="c"),
            *(
                ask(User_Agent="y", X_Agency=name, X_Timeout=left)
                for name, left in (("a", "20"), ("a", "9"), ("b", "9"))
            ),
        )
        pool.balancer.request = refuse_a  # type: ignore[method-assign, assignment]
        one.script = by_agent
        respond(one, by_agent(await soon(one.got.get())))
        assert [status(await client.answer()) for client in clients] == [200, 503, 503, 200]
        assert asked == ["a", "b"]

    play(TENANTS + reads(ACROSS), body)


def test_each_tenant_is_rejected_once_where_a_cluster_has_no_capacity() -> None:
    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask(User_Agent=agent, X_Agency=name) for agent, name in ("xc", "ya", "yb")))
        up.daemon._request_slots.can_acquire = lambda *_: False  # type: ignore[method-assign]
        respond(one, answer(b"", Vary="User-Agent"))
        got = [await client.answer() for client in clients]
        assert [status(each) for each in got] == [200, 503, 503]
        assert fields(got[1])["retry-after"] == fields(got[2])["retry-after"] == "1"

    play(TENANTS + reads(ACROSS), body)


def test_failed_call_is_not_retried_for_other_tenants() -> None:
    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask(X_Agency=name) for name in "abc"))
        one.script = lambda _: answer(b"", "500 Oh")
        respond(one, answer(b"", "500 Oh"))
        assert {status(await client.answer()) for client in clients} == {503}
        assert one.got.qsize() == 1

    play(TENANTS + reads(ACROSS), body, of_pool="attempts = 3")


def test_each_pool_of_a_split_has_its_own_calls() -> None:
    async def run() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: None) as two:
            split = route("r", "/*", f'split = {{ a = 1, b = 1 }}\nclass = "read"\njoin = {{ {WIDE} }}')
            async with served(pool("a", one.address) + pool("b", two.address) + split) as up:
                clients = await send_requests(up, *(ask() for _ in range(24)))
                assert one.got.qsize() == two.got.qsize() == 1
                respond(one, answer(b"1"))
                respond(two, answer(b"2"))
                got = Counter([(await client.answer())[-1:] for client in clients])
                assert got.keys() == {b"1", b"2"} and got.total() == 24

    asyncio.run(run())


def test_reads_of_trusting_and_other_listeners_are_not_coalesced() -> None:
    head = HEAD + '[listeners.inner]\naddress = "127.0.0.1:0"\ntrust-forwarded = true\n'

    async def body(up: Served, one: Backend) -> None:
        outer, inner = await up.client(), await up.client("inner")
        for client in (outer, inner):
            client.writer.write(ask(X_Forwarded_Proto="https"))
        await until(lambda: one.got.qsize() == 2)
        respond(one, OK)

    play(reads(), body, head=head)


def test_answer_that_is_too_late_for_one_caller_is_a_time_out_for_it(monkeypatch: pytest.MonkeyPatch) -> None:
    def slow(head: bytes, rid: bytes | None) -> bytes:
        time.sleep(2.2)  # blocks the loop while responses are written
        return head

    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask(X_Timeout="2") for _ in range(2)))
        monkeypatch.setattr(request_coalescing, "with_request_id", slow)
        respond(one, OK)
        assert sorted([status(await client.answer()) for client in clients]) == [200, 504]

    play(reads(), body)


def test_a_few_responses_are_written_in_each_turn_of_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_coalescing, "MAX_RESPONSES_PER_TURN", 3)

    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask() for _ in range(20)))
        up.daemon.coalescer._write_next_responses()  # without effect, since no response is pending yet
        respond(one, OK)
        clients[-1].writer.transport.abort()  # disconnects before its response is written
        assert {status(await client.answer()) for client in clients[:-1]} == {200}

    play(reads(), body)


def test_copies_of_a_large_answer_stay_within_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_coalescing, "COPIES_MEMORY_SHARE", 2.5 / (1 << 8))  # of 256 MiB: two and a half MiB

    async def body(up: Served, one: Backend) -> None:
        clients = await send_requests(up, *(ask() for _ in range(4)))
        large = answer(b"x" * (1 << 20))
        one.script = lambda _: large
        respond(one, large)
        assert {status(await client.answer()) for client in clients} == {200}
        assert one.got.qsize() == 3  # two shared the first response, two got their own

    play(reads(), body)


def test_reload_keeps_calls_for_their_callers_and_adds_nobody_to_them() -> None:
    async def body(up: Served, one: Backend) -> None:
        old = await send_requests(up, ask(), ask())
        text = pool("a", one.address) + reads(more='response = { set = { X-New = "1" }, remove = ["X-Old"] }')
        await up.reload(text)
        new = await send_requests(up, ask(), ask())
        await until(lambda: one.got.qsize() == 2)
        respond(one, OK)
        assert all(["x-new" not in fields(await client.answer()) for client in old])
        for client in new:
            assert status(await client.answer()) == 200
        await up.reload(pool("a", one.address) + reads("", ""))
        last = [await up.client() for _ in range(2)]
        for client in last:
            client.writer.write(ask())
        await until(lambda: one.got.qsize() == 4)  # reads are no longer coalesced
        respond(one, OK)

    play(reads(), body)


def test_fallback_cluster_answers_all() -> None:
    async def run() -> None:
        async with backend(lambda _: OK) as two:
            more = 'fallback = ["b"]'
            async with served(pool("a", "127.0.0.1:9") + pool("b", two.address) + reads(more=more)) as up:
                clients = [await up.client() for _ in range(10)]
                got = await asyncio.gather(*(client.ask(ask()) for client in clients))
                assert {status(each) for each in got} == {200}
                await until(lambda: up.in_hand() == 0 and not up.daemon.coalescer._waiting)

    asyncio.run(run())


def test_many_keys_over_kept_connections_get_their_own_answers() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            backends = [
                await stack.enter_async_context(backend(lambda sent: answer(sent.split()[1]))) for _ in range(2)
            ]
            up = await stack.enter_async_context(
                served(pool("a", *(each.address for each in backends)) + reads("join = {}"))
            )
            clients = [await up.client() for _ in range(20)]

            async def work(client: Client, seed: int) -> None:
                for n in range(30):
                    target = f"/h/{(seed + n) % 5}"
                    got = await client.ask(ask(target=target))
                    assert status(got) == 200 and got.endswith(target.encode())

            await asyncio.gather(*(work(client, n % 3) for n, client in enumerate(clients)))
            assert sum(each.got.qsize() for each in backends) <= 600
            await until(lambda: not up.daemon.coalescer._waiting)

    asyncio.run(run())


# ---- gRPC ----------------------------------------------------------------------------------------


def grpc(body: Callable[[World], Awaitable[None]], work: Callable[[Call, Script], Awaitable[None]]) -> None:
    async def run() -> None:
        async with boxed(work=work, text=reads(), head=HTTP2) as world:
            await body(world)
            await until(lambda: not world.up.daemon.coalescer._waiting and not world.up.daemon.coalescer._shared_calls)

    asyncio.run(run())


def test_unary_calls_share_one_and_get_its_message_and_trailers() -> None:
    gate = asyncio.Event()

    async def work(call: Call, _: Script) -> None:
        got = await call.message()
        await gate.wait()
        await call.send(b"for " + (got or b""))
        call.finish(0, "", ("x-seen", "1"))

    async def body(world: World) -> None:
        one, two = await world.caller(), await world.caller()
        streams = [(caller, caller.begin("/read/Get")) for caller in (one, two, one, two)]
        for caller, stream in streams:
            await caller.send(stream, b"q", end=True)
        await until(lambda: world.up.daemon.coalescer._request_count == 4)
        await until(lambda: world.ran() == 1)
        gate.set()
        for caller, stream in streams:
            got = await soon(caller.response(stream))
            assert got.status == 0 and got.data[5:] == b"for q" and got.trailers["x-seen"] == "1"
        assert world.ran() == 1

    grpc(body, work)


def test_streamed_answer_goes_to_the_caller_that_the_call_was_made_for() -> None:
    async def work(call: Call, _: Script) -> None:
        await call.message()
        for n in range(3):
            await call.send(b"%d" % n)
        call.finish()

    async def body(world: World) -> None:
        caller = await world.caller()
        streams = [caller.begin("/read/List") for _ in range(3)]
        for stream in streams:
            await caller.send(stream, b"q", end=True)
        for stream in streams:
            got = await soon(caller.response(stream))
            assert got.status == 0 and bytes(got.data)[5::6] == b"012"
        assert world.ran() == 3

    grpc(body, work)


def test_separated_stream_ends_with_its_callers_deadline_or_disconnection() -> None:
    async def work(call: Call, _: Script) -> None:
        await call.message()
        for n in range(2):
            await call.send(b"%d" % n)
        await asyncio.Event().wait()

    async def body(world: World) -> None:
        for leaves in (False, True):
            one, two = await world.caller(), await world.caller()
            path = f"/read/List{leaves}"
            first = one.begin(path, ("grpc-timeout", "29S" if leaves else "2S"))
            second = two.begin(path, ("grpc-timeout", "28S"))
            received = world.up.daemon.coalescer._request_count
            await one.send(first, b"q", end=True)
            await until(lambda received=received: world.up.daemon.coalescer._request_count > received)  # type: ignore[misc]
            await two.send(second, b"q", end=True)
            await until(lambda one=one, first=first: bool(one.responses[first].data))  # type: ignore[misc]
            if leaves:
                one.cancel(first)
            else:
                assert (await soon(one.response(first))).status == 4  # DEADLINE_EXCEEDED
            await until(lambda: world.up.in_hand() == 1)  # the second caller's own call
            two.cancel(second)
            await until(lambda: world.up.in_hand() == 0)

    grpc(body, work)
