"""Requests of ordinary clients over real sockets: routes, header lines, statuses and bodies."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable

import httpx
import pytest
import requests
from daemonic import Served, answer, ask, backend, fields, pool, route, served, target_of
from loopback import CLOSE, MAY_HAVE_RUN, NEVER_RAN, OK, soon, status, until

from lugspur.http1.request_parser import MAX_BODY

ALL = route("all", "/*", 'pool = "a"\nclass = "read"')


def test_a_request_is_forwarded_with_the_headers_that_a_proxy_adds() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, served(pool("a", one.address) + ALL) as up:
            client = await up.client()
            got = await client.ask(
                ask(
                    "PUT",
                    "/k/../a%7Eb?q=%20+",
                    b"body",
                    Host="H.Example.:81",
                    X_Odd="kept",
                    Connection="X-Hop",
                    X_Hop="1",
                    X_Forwarded_For="6.6.6.6",
                    X_Real_IP="6.6.6.6",
                    X_Forwarded_Proto="https",
                    TE="trailers",
                )
            )
            assert status(got) == 200
            sent = await soon(one.got.get())
            assert sent.startswith(b"PUT /a~b?q=%20+ HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\nbody")
            seen = fields(sent)
            assert seen["host"] == "h.example:81" and seen["x-odd"] == "kept" and seen["via"] == "1.1 lugspur"
            assert seen["x-forwarded-for"] == "127.0.0.1" and seen["x-forwarded-proto"] == "http"
            assert not {"x-hop", "te", "x-real-ip", "connection"} & seen.keys()
            assert len(seen["x-request-id"]) == 16 and 20.0 < float(seen["x-timeout"]) <= 30.0
            await client.ask(ask(X_Request_ID="trace-1", X_Timeout="9"))
            seen = fields(await soon(one.got.get()))
            assert seen["x-request-id"] == "trace-1" and float(seen["x-timeout"]) <= 9.0

    asyncio.run(play())


def test_forwarding_headers_of_a_trusted_caller_are_kept_and_appended_to() -> None:
    async def play() -> None:
        head = '[listeners.main]\naddress = "127.0.0.1:0"\ntrust-forwarded = true\n'
        async with backend(lambda _: OK) as one:
            async with served(pool("a", one.address) + route("all", "/*", 'pool = "a"'), head) as up:
                client = await up.client()
                await client.ask(ask(X_Forwarded_For="6.6.6.6", X_Forwarded_Proto="https", X_Real_IP="6.6.6.6"))
                seen = fields(await soon(one.got.get()))
                assert seen["x-forwarded-for"] == "6.6.6.6, 127.0.0.1" and seen["x-forwarded-proto"] == "https"
                assert seen["x-real-ip"] == "6.6.6.6"

    asyncio.run(play())


def test_a_hop_by_hop_header_selects_no_route_and_no_tenant() -> None:
    text = (
        ALL
        + route("beta", "/*", 'pool = "b"\nheaders = { X-Beta = "1" }')
        + route("of", "/of", 'pool = "a"\ntenant = { header = "X-Tenant" }')
        + "[tenants.acme]\n"
    )

    async def play() -> None:
        async with backend(lambda _: answer(b"a")) as one, backend(lambda _: answer(b"b")) as two:
            async with served(pool("a", one.address) + pool("b", two.address) + text) as up:
                client = await up.client()
                assert (await client.ask(ask(X_Beta="1"))).endswith(b"b")
                assert (await client.ask(ask(X_Beta="1", Connection="keep-alive, x-beta"))).endswith(b"a")
                assert status(await client.ask(ask(target="/of", X_Tenant="acme", Connection="X-Tenant"))) == 403

    asyncio.run(play())


def test_a_route_changes_paths_and_header_lines() -> None:
    text = route(
        "r",
        "/v1/{id}/x/*",
        """pool = "a"
rewrite = "/{id}/*"
request = { set = { X-A = "1" }, remove = ["x-b"] }
response = { set = { X-C = "2" }, remove = ["X-D"] }""",
    )

    async def play() -> None:
        async with backend(lambda _: answer(X_C="old", X_D="d", X_E="e")) as one:
            async with served(pool("a", one.address) + text) as up:
                client = await up.client()
                got = fields(await client.ask(ask("POST", "/v1/7;v=1/x/y//z/?q", X_A="0", X_B="b")))
                sent = await soon(one.got.get())
                assert target_of(sent) == "/7;v=1/y/z/?q"
                assert fields(sent)["x-a"] == "1" and "x-b" not in fields(sent) and sent.count(b"X-A:") == 1
                assert got["x-c"] == "2" and got["x-e"] == "e" and "x-d" not in got

    asyncio.run(play())


CLOSED = route("closed", "/admin/*", 'pool = "closed"\nhosts = ["h.example"]\nclass = "read"')


@pytest.mark.parametrize(
    "spelling",
    [
        "/admin/x",
        "//admin//x",
        "/./admin/x",
        "/o/../admin/x",
        "/%61dmin/x",
        "/o/%2e%2e/admin/x",
        "/o/%2E./admin/./x",
        "http://h.example/admin/x",
        "HTTP://H.EXAMPLE:80/o/../admin/x",
    ],
)
def test_the_route_decided_on_is_the_one_that_the_backend_sees(spelling: str) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            async with served(pool("a", one.address) + pool("closed", two.address) + CLOSED + ALL) as up:
                client = await up.client()
                host = "other.example" if spelling.lower().startswith("http") else "H.example."
                assert status(await client.ask(ask(target=spelling, Host=host))) == 200
                sent = await soon(two.got.get())
                assert target_of(sent) == "/admin/x" and one.got.empty()
                assert fields(sent)["host"].split(":")[0] == "h.example"

    asyncio.run(play())


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (ask(target="/a%2fb"), 400),
        (ask(target="/..;/admin"), 400),
        (ask(target="/%00"), 400),
        (ask(target="/../x"), 400),
        (ask(Host="h/x"), 400),
        (ask(target="/a\\b"), 400),
        (ask("TRACE"), 501),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.0\r\n\r\n", 200),
        (ask(X_Timeout="soon"), 400),
        (ask(Expect="a-miracle"), 417),
        (ask("PUT", body=b"x" * (MAX_BODY + 1)), 200),
        (ask("PUT", body=b"x" * ((1 << 20) + 1)), 413),
        (ask(X_Pad="p" * (17 << 10)), 431),
        (ask("POST", "/once", b"x"), 400),
        (ask("POST", "/once", b"x", Idempotency_Key="k"), 200),
        (ask(target="/of"), 403),
        (ask(target="/of", X_Tenant="acme"), 200),
        (ask(target="/of", X_Tenant="(no tenant)"), 403),
        (ask("DELETE", "/only"), 405),
        (ask("PATCH", "/only"), 200),
        (ask(target="/none/at/all", Host="x"), 200),
    ],
)
def test_status_of_valid_and_invalid_requests(request_: bytes, expected: int) -> None:
    text = (
        "[tenants.acme]\nquota = 5\n"
        + ALL
        + route("once", "/once", 'pool = "a"\nclass = "once"')
        + route("of", "/of", 'pool = "a"\ntenant = { header = "X-Tenant" }')
        + route("only", "/only", 'pool = "a"\nmethods = ["PATCH", "GET"]\nhosts = ["h.example"]')
        + route("no", "/only", "reply = { status = 405 }")
    )

    async def play() -> None:
        async with backend(lambda _: OK) as one, served(pool("a", one.address) + text) as up:
            client = await up.client()
            assert status(await client.ask(request_)) == expected

    asyncio.run(play())


def test_misses_replies_and_redirects() -> None:
    text = (
        route("a", "/a", 'pool = "a"\nmethods = ["GET", "PUT"]')
        + route("r", "/old/{id}/*", 'redirect = { to = "https://new.example/{id}/*", status = 308 }')
        + route("t", "/text", 'reply = { status = 418, body = "tea", headers = { Content-Type = "text/plain" } }')
    )

    async def play() -> None:
        async with backend(lambda _: OK) as one, served(pool("a", one.address) + text) as up:
            client = await up.client()  # all requests use one connection
            got = await client.ask(ask("DELETE", "/a"))
            assert status(got) == 405 and fields(got)["allow"] == "GET, PUT"
            assert status(await client.ask(ask(target="/b"))) == 404
            got = await client.ask(ask(target="/old/7/x/?q=1"))
            assert status(got) == 308 and fields(got)["location"] == "https://new.example/7/x/?q=1"
            got = await client.ask(ask(target="/text"))
            assert status(got) == 418 and got.endswith(b"tea") and fields(got)["content-type"] == "text/plain"

    asyncio.run(play())


def test_a_head_response_has_no_body_and_the_connection_stays_usable() -> None:
    def script(request: bytes) -> bytes:
        return (
            answer(b"", "200 OK").replace(b"Content-Length: 0", b"Content-Length: 12345")
            if request.startswith(b"HEAD")
            else OK
        )

    async def play() -> None:
        async with backend(script) as one, served(pool("a", one.address) + ALL) as up:
            client = await up.client()
            client.writer.write(ask("HEAD"))
            head = await soon(client.reader.readuntil(b"\r\n\r\n"))
            assert fields(head)["content-length"] == "12345"
            for _ in range(3):
                assert (await client.ask(ask())).endswith(b"done")

    asyncio.run(play())


def test_a_body_in_a_head_response_is_not_the_response_to_the_next_request() -> None:
    def script(request: bytes) -> bytes:
        return answer(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil") if request.startswith(b"HEAD") else OK

    async def play() -> None:
        async with backend(script) as one, served(pool("a", one.address) + ALL) as up:
            client = await up.client()
            for _ in range(5):
                client.writer.write(ask("HEAD"))
                await soon(client.reader.readuntil(b"\r\n\r\n"))
                await soon(one.ended.get())  # otherwise the body could still arrive on a reused connection
                assert (await client.ask(ask())).endswith(b"done")

    asyncio.run(play())


def test_a_caller_that_expects_100_continue_gets_it() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, served(pool("a", one.address) + ALL) as up:
            client = await up.client()
            client.writer.write(ask("PUT", "/x", Expect="100-continue", Content_Length="4"))
            assert await soon(client.reader.readuntil(b"\r\n\r\n")) == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert one.got.empty()
            assert status(await client.ask(b"body")) == 200
            sent = await soon(one.got.get())
            assert sent.endswith(b"\r\n\r\nbody") and "expect" not in fields(sent)
            rejected = await up.client()
            got = await rejected.ask(ask("PUT", "/x", Expect="100-continue", Content_Length=str(9 << 20)))
            assert status(got) == 413  # without a 100 Continue before it

    asyncio.run(play())


@pytest.mark.parametrize(
    ("script", "safe", "unsafe", "sent"),
    [
        (OK, 200, 200, 1),
        (answer(b"no", "404 No", X_N="1"), 404, 404, 1),
        (answer(b"", "204 None"), 204, 204, 1),
        (answer(b"oh", "500 Oh"), 200, 500, 1),  # a safe request is retried
        (NEVER_RAN, 200, 200, 2),
        (MAY_HAVE_RUN, 200, 502, 1),  # a 503 would say that nothing ran, which is not known
        (answer(b"", "429 Slow"), 200, 502, 1),
        (CLOSE, 200, 502, 1),
        (b"nonsense cut", 200, 502, 1),
    ],
)
def test_final_status_by_the_backends_response(script: bytes, safe: int, unsafe: int, sent: int) -> None:
    text = route("r", "/r", 'pool = "a"\nclass = "read"') + route("b", "/b", 'pool = "a"\nclass = "book"')

    async def play(path: str, expected: int) -> int:
        scripts = [script]

        def respond(_: bytes) -> bytes:
            return scripts.pop() if scripts else OK

        async with backend(respond) as one, backend(respond) as two:
            async with served(pool("a", one.address, two.address) + text) as up:
                client = await up.client()
                client.writer.write(ask("POST", path, b"x"))
                head = await soon(client.reader.readuntil(b"\r\n\r\n"))
                assert status(head) == expected
                if expected == 404:
                    assert fields(head)["x-n"] == "1"
                return one.got.qsize() + two.got.qsize()

    asyncio.run(play("/r", safe))
    assert asyncio.run(play("/b", unsafe)) == sent


def test_the_deadline_of_the_route_and_the_callers_shorter_one() -> None:
    text = route("r", "/r", 'pool = "a"\nclass = "book"\ndeadline = "300ms"') + route("b", "/b", 'pool = "a"')

    async def play() -> None:
        loop = asyncio.get_running_loop()
        async with backend(lambda _: None) as one, served(pool("a", one.address) + text) as up:
            for request in (ask("POST", "/r"), ask("POST", "/b", X_Timeout="0.3")):
                client, begun = await up.client(), loop.time()
                assert status(await client.ask(request)) == 504
                assert 0.25 <= loop.time() - begun < 4.0
            assert one.got.qsize() == 2

    asyncio.run(play())


# ---- ordinary clients -------------------------------------------------------------------------


def echo(request: bytes) -> bytes:
    head, _, body = request.partition(b"\r\n\r\n")
    method, target = head.split(b" ")[:2]
    whole = b"" if method == b"HEAD" else b"%b %b %b" % (method, target, body)
    return answer(whole, X_Echo=target.decode())


def run_in_thread(up: Served, play: Callable[[str], None]) -> asyncio.Future[None]:
    """Run a blocking client in a thread, next to the daemon's event loop."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[None] = loop.create_future()

    def run() -> None:
        try:
            play(up.url)
        except BaseException as error:
            loop.call_soon_threadsafe(done.set_exception, error)
        else:
            loop.call_soon_threadsafe(done.set_result, None)

    threading.Thread(target=run, daemon=True).start()
    return done


def with_requests(url: str) -> None:
    with requests.Session() as session:
        session.trust_env = False
        for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"):
            got = session.request(method, url + "/a%20b?x=1", data=b"body", timeout=20)
            assert got.status_code == 200 and got.content == f"{method} /a%20b?x=1 body".encode()
        assert session.head(url + "/h", timeout=20).headers["X-Echo"] == "/h"
        got = session.post(url + "/up", data=iter([b"one ", b"two ", b"three"]), timeout=20)
        assert got.content == b"POST /up one two three"
        assert session.get(url + "/gone", timeout=20).status_code == 200


def with_httpx(url: str) -> None:
    with httpx.Client(trust_env=False, timeout=20) as client:
        for method in ("GET", "PUT", "PATCH", "DELETE", "POST"):
            assert client.request(method, url + "/x", content=b"y").content == f"{method} /x y".encode()
        assert client.head(url + "/h").headers["x-echo"] == "/h"
        assert client.post(url + "/up", content=iter([b"a" * 70_000, b"b" * 70_000])).content[-1:] == b"b"
        assert client.get(url + "/x" * 10, headers={"X-Request-ID": "same"}).status_code == 200


@pytest.mark.parametrize("client", [with_requests, with_httpx])
def test_ordinary_clients_are_served(client: Callable[[str], None]) -> None:
    async def play() -> None:
        def script(request: bytes) -> bytes:
            return echo(request)

        async with backend(script) as one, served(pool("a", one.address) + ALL) as up:
            await soon(run_in_thread(up, client))
            await until(lambda: up.in_hand() == 0)
            assert len(one.open) < 12 and one.got.qsize() >= 8

    asyncio.run(play())
