"""Overload protection of a daemon: load signals on real sockets, and what happens to rejected requests."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest
from daemonic import HEAD, Served, answer, ask, backend, fields, pool, route, served, target_of, until
from loopback import OK, Backend, soon, status

from lugspur.daemon import load_signals
from lugspur.daemon.load_signals import LoadSignals, TimedEventLoop, TimedSelector
from lugspur.guard import limiter
from lugspur.guard.limiter import READ_PAUSE_SECONDS, WINDOW, Limiter, Sample

GUARDED = HEAD.replace("[classes.read]", "[guard]\non = true\n[classes.cheap]\nworth = 0.1\n[classes.read]")
ROUTES = (
    route("book", "/book", 'pool = "a"\nclass = "book"')
    + route("cheap", "/cheap", 'pool = "a"\nclass = "cheap"')
    + route("read", "/*", 'pool = "a"\nclass = "read"')
)


def run(body: Coroutine[Any, Any, None]) -> None:
    """In a loop whose turns can be felt."""
    with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
        runner.run(body)


def play(body: Callable[[Served, Backend], Awaitable[None]], script: bytes | None = OK, head: str = GUARDED) -> None:
    async def with_backend() -> None:
        async with backend(lambda _: script) as one, served(pool("a", one.address) + ROUTES, head) as up:
            await body(up, one)
            await until(lambda: up.in_hand() == 0)

    run(with_backend())


def turn_away(up: Served, cheap: bool) -> None:
    """As it would be after too long a wait: the cheapest class, or everything."""
    protection = up.daemon.overload_protection
    assert protection is not None
    protection.close()  # no sample comes between
    protection.signals._next_sample_at = float("inf")
    for level in protection.limiter._levels:
        if not cheap or level.value < 1.0:
            level.share = [0.0] * len(level.share)


def test_protection_is_off_by_default_and_a_reload_turns_it_on_and_off() -> None:
    async def body(up: Served, one: Backend) -> None:
        [(front, _)] = up.running.listeners.values()
        assert up.daemon.overload_protection is None and front.arrival_time is None and front.descriptors is None
        text = pool("a", one.address) + ROUTES
        await up.reload(text, GUARDED)
        protection = up.daemon.overload_protection
        assert protection is not None and front.arrival_time is not None and front.descriptors is not None
        client = await up.client()
        assert status(await client.ask(ask())) == 200 and len(front.descriptors) == 1
        await up.reload(text, GUARDED.replace("worth = 0.1", "worth = 0.2"))
        assert (
            up.daemon.overload_protection is protection
            and min(level.value for level in protection.limiter._levels) == 0.2
        )
        await up.reload(text, GUARDED.replace("on = true", "on = false"))
        assert up.daemon.overload_protection is None and status(await client.ask(ask())) == 200

    play(body, head=GUARDED.replace("on = true", "on = false"))


def test_low_value_request_is_rejected_at_once_and_reaches_no_backend() -> None:
    async def body(up: Served, one: Backend) -> None:
        turn_away(up, cheap=True)
        client, dear = await up.client(), await up.client()
        got = await client.ask(ask(target="/cheap"))
        assert status(got) == 503 and fields(got)["retry-after"] == "1" and got.endswith(b"too busy\n")
        assert one.got.empty() and up.in_hand() == 0 and up.daemon._request_slots.held_by("a") == 0
        assert status(await dear.ask(ask("POST", "/book", b"x"))) == 200 == status(await dear.ask(ask()))
        assert status(await client.ask(ask("POST", "/book", b"x"))) == 200  # the connection lives, after a rest

    play(body)


def test_rejected_caller_is_not_read_from_for_a_moment() -> None:
    async def body(up: Served, one: Backend) -> None:
        protection = up.daemon.overload_protection
        assert protection is not None
        turn_away(up, cheap=False)
        client = await up.client()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for _ in range(3):
            await client.ask(ask(target="/cheap"))
        assert loop.time() - begun >= 2.0 * READ_PAUSE_SECONDS and protection.limiter.rejected_count == 3
        await client.ask(ask(target="/cheap"))
        client.writer.transport.abort()  # gone while it is not heard: no harm
        front = up.running.listeners["main"][0]
        await until(lambda: not front.callers)
        assert not front.descriptors
        await until(lambda: front.buffered_bytes == 0)

    play(body)


def test_bytes_of_a_paused_caller_keep_their_arrival_time_and_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limiter, "MAX_READ_PAUSE_SECONDS", 3.0)  # on a slow machine what is sent meanwhile comes later

    async def body(up: Served, one: Backend) -> None:
        turn_away(up, cheap=True)
        protection = up.daemon.overload_protection
        assert protection is not None
        client = await up.client()
        assert status(await client.ask(ask(target="/cheap"))) == 503
        begun = asyncio.get_running_loop().time()
        client.writer.write(ask("POST", "/book", b"x" * 200_000, X_Timeout="20"))
        front = up.running.listeners["main"][0]
        await until(lambda: front.buffered_bytes > 0)
        assert front.buffered_bytes <= 64 << 10  # one read, however much comes
        assert status(await client.answer()) == 200
        spent = asyncio.get_running_loop().time() - begun
        assert spent >= 1.0 and front.buffered_bytes == 0  # all of its class is turned away: the longer rest
        sent = fields(await soon(one.got.get()))
        assert 20.0 - spent - 0.1 <= float(sent["x-timeout"]) <= 19.0

    play(body)


def test_no_bytes_of_a_paused_caller_are_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limiter, "MAX_READ_PAUSE_SECONDS", 3.0)  # on a slow machine what is sent meanwhile comes later

    async def body(up: Served, one: Backend) -> None:
        turn_away(up, cheap=True)
        client = await up.client()
        # The second is in hand when the first is turned away; its answer makes the proxy read on.
        client.writer.write(ask(target="/cheap") + ask(target="/one"))
        assert status(await client.answer()) == 503
        await soon(one.got.get())
        client.writer.write(ask(target="/two"))
        front = up.running.listeners["main"][0]
        await until(lambda: front.buffered_bytes > 0)
        for writer in one.open:
            writer.write(answer(b"one"))
        assert (await client.answer()).endswith(b"one")
        client.writer.write(ask(target="/three"))
        seen = []
        for _ in range(2):
            seen.append(target_of(await soon(one.got.get())))
            for writer in one.open:
                writer.write(answer(seen[-1].encode()))
            assert (await client.answer()).endswith(seen[-1].encode())
        assert seen == ["/two", "/three"] and front.buffered_bytes == 0

    play(body, script=None)


def test_request_that_a_backend_has_is_never_rejected() -> None:
    async def body(up: Served, one: Backend) -> None:
        client = await up.client()
        client.writer.write(ask("POST", "/book", b"x"))
        await soon(one.got.get())
        turn_away(up, cheap=False)
        for writer in one.open:
            writer.write(OK)
        assert status(await client.answer()) == 200

    play(body, script=None)


def test_request_that_lay_unread_past_its_deadline_is_answered_and_not_sent() -> None:
    async def body(up: Served, one: Backend) -> None:
        old, new = await up.client(), await up.client()
        assert status(await old.ask(ask())) == status(await new.ask(ask())) == 200
        while not one.got.empty():
            one.got.get_nowait()
        sock = old.writer.get_extra_info("socket")
        raw = socket.socket(fileno=socket.dup(sock.fileno()))
        raw.send(ask(target="/cheap", X_Timeout="0.3"))
        time.sleep(0.6)  # the process stands still
        got = await old.answer()
        assert status(got) == 504 and one.got.empty()
        raw.send(ask(target="/cheap", X_Timeout="9"))
        time.sleep(0.2)
        assert status(await old.answer()) == 200
        sent = fields(await soon(one.got.get()))
        assert float(sent["x-timeout"]) < 8.9  # the time that it lay is gone
        raw.close()

    play(body)


def test_wait_of_a_new_connection_to_be_accepted_counts() -> None:
    async def body(up: Served, one: Backend) -> None:
        with socket.socket() as raw:
            raw.connect(("127.0.0.1", up.port()))
            raw.send(ask(target="/cheap", X_Timeout="0.3"))
            time.sleep(0.6)
            raw.setblocking(False)
            got = await soon(asyncio.get_running_loop().sock_recv(raw, 1 << 16))
            assert status(got) == 504 and one.got.empty()

    play(body)


def test_selector_returns_answers_before_new_requests() -> None:
    selector = TimedSelector()
    pairs = [socket.socketpair() for _ in range(6)]
    for ours, theirs in pairs:
        selector.register(ours, 1)
        theirs.send(b"x")
    selector.caller_descriptors.update(ours.fileno() for ours, _ in pairs[:3])
    shown = [key.fd in selector.caller_descriptors for key, _ in selector.select(0)]
    assert shown == [False] * 3 + [True] * 3
    for pair in pairs:
        for sock in pair:
            sock.close()
    selector.close()


def test_events_returned_without_a_wait_may_date_from_the_last_poll() -> None:
    selector = TimedSelector()
    ours, theirs = socket.socketpair()
    selector.register(ours, 1)
    took = float("inf")
    # A process that lost its core within the call can't be told from one that waited.
    while took > load_signals.MIN_BLOCKED_SECONDS:
        selector.select(0)
        asked = time.monotonic()
        theirs.send(b"x")
        time.sleep(0.05)
        began = time.monotonic()
        selector.select(1.0)
        took = time.monotonic() - began
        ours.recv(1)
    assert selector.earliest_arrival <= asked
    selector.select(0.05)  # it had to wait: what comes then is news
    assert selector.earliest_arrival > asked + 0.05 and selector.idle_seconds >= 0.04
    ours.close()
    theirs.close()
    selector.close()


def test_memory_signal_is_a_share_of_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        felt = LoadSignals(1 << 30).sample().memory
        assert 0.01 < felt < 1.0 and LoadSignals(0).sample().memory == 0.0
        monkeypatch.setattr(load_signals, "Path", lambda _: (_ for _ in ()).throw(OSError()))
        assert LoadSignals(1 << 30).sample().memory == 0.0  # what can't be felt is no reason

    asyncio.run(body())


def test_plain_loop_measures_the_delay_of_its_samples() -> None:
    async def body() -> None:
        signals = LoadSignals(0)
        time.sleep(WINDOW + 0.1)
        sample = signals.sample()
        assert sample.lag >= 0.09 and sample.idle == 1.0 and 0.0 < sample.starved <= 1.0

    asyncio.run(body())


def test_long_turn_of_the_loop_is_sampled(monkeypatch: pytest.MonkeyPatch) -> None:
    taken: list[float] = []
    sample = Limiter.sample

    def noted(self: Limiter, now: float, state: Sample) -> str | None:
        taken.append(now)
        return sample(self, now, state)

    async def body(up: Served, one: Backend) -> None:
        protection = up.daemon.overload_protection
        assert protection is not None
        monkeypatch.setattr(Limiter, "sample", noted)
        for _ in range(3):  # no timer can come between
            time.sleep(2.5 * WINDOW)
            protection.admits(0, "caller", 0)
        assert len(taken) == 3

    play(body)


def test_run_prints_one_line_when_it_rejects(tmp_path: Any) -> None:
    file = tmp_path / "f.toml"
    file.write_text(GUARDED + pool("a", "127.0.0.1:9") + ROUTES)
    code = (
        "import sys\nfrom lugspur.guard import limiter\n"
        "limiter.Limiter.sample = lambda self, now, state: 'turned away: cheap: requests wait 60 ms'\n"
        "sys.argv = ['lugspur', 'run', sys.argv[1]]\nfrom lugspur.__main__ import main\nmain()"
    )
    process = subprocess.Popen([sys.executable, "-c", code, str(file)], stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    try:
        lines = [process.stderr.readline() for _ in range(2)]
        assert "lugspur: guard: turned away: cheap: requests wait 60 ms\n" in lines
    finally:
        process.terminate()
        process.wait(20)
        process.stderr.close()


def test_platform_proxy_imports_nothing_of_it() -> None:
    code = (
        "import sys, lugspur.daemon.service\n"
        "ours = ('lugspur.guard', 'lugspur.joining', 'lugspur.emulator', 'lugspur.daemon.load_signals')\n"
        "print([name for name in sys.modules if name.startswith(ours)])"
    )
    said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True)
    assert said.stdout == "[]\n"
