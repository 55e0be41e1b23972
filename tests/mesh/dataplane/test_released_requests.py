"""A request that is done is freed at once, with its body; the collector would go by the number of objects alone."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Callable
from contextlib import suppress

import pytest
from garbage import collector_off
from simulatedproxy import OK, Caller, SimulatedProxy
from test_concurrency_limiter import OK_RESPONSE, ScriptedBackend, attempt_of, forward, make_limiter

from lugspur.http1.front import Front
from lugspur.http1.request_parser import Sizes
from lugspur.http1.upstream import Exchange
from lugspur.interfaces import Request, Responder
from lugspur.mesh.control.messages import ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import Acquired
from lugspur.mesh.dataplane.admitted_request import AdmittedRequest
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.proxied_request import ProxiedRequest
from lugspur.mesh.dataplane.request_outcome import RequestOutcome

BODY_BYTES = 4 << 20
FREED_BYTES = 1 << 20  # what may be in use beyond the start: much less than one body

ENDINGS: dict[str, Callable[[bytes], bytes | None]] = {
    "answered": lambda attempt: OK_RESPONSE % attempt,
    "rejected": lambda attempt: (
        b"HTTP/1.1 503 X\r\nLugspur-Attempt-Id: %b\r\nLugspur-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n" % attempt
    ),
    "invalid": lambda attempt: b"garbage\r\n\r\n",
    "closed": lambda attempt: None,
}


class DiscardingBackend(ScriptedBackend):
    """A scripted backend that keeps nothing of the bodies that it reads."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                missing = next(int(line[16:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length: "))
                while missing:
                    missing -= len(await reader.read(min(missing, 1 << 16)))
                response = self.script(attempt_of(head))
                if response is None:
                    break
                writer.write(response)
        writer.close()


async def settled() -> None:
    """Let the callbacks that are due run."""
    for _ in range(5):
        await asyncio.sleep(0.002)


@pytest.mark.parametrize("ending", ENDINGS)
def test_an_ended_upload_leaves_nothing_in_the_proxy_beside_the_backend(ending: str) -> None:
    """Guards against proxies that are killed for the memory of uploads that have been answered (review/7)."""

    async def run() -> None:
        async with DiscardingBackend(ENDINGS[ending]) as backend:
            limiter = make_limiter(256 << 20)
            limiter.local_backend = LocalBackend("i-1", "s", backend.address, asyncio.get_running_loop().time())
            with collector_off(AdmittedRequest, ForwardRequest, Exchange) as living:
                tracemalloc.start()
                for number in range(3):
                    replies: list[ForwardResponse] = []
                    limiter.submit(forward(number, body=bytes(BODY_BYTES), seconds_left=5.0), replies.append)
                    while not replies:
                        await asyncio.sleep(0.002)
                    await settled()
                    assert living() == []
                used, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
            assert used < FREED_BYTES

    asyncio.run(asyncio.wait_for(run(), 20.0))


def end_by_cancellation(limiter: ConcurrencyLimiter, running: AdmittedRequest, queued: AdmittedRequest) -> None:
    limiter.cancel(running)
    limiter.cancel(queued)


def end_by_withdrawal(limiter: ConcurrencyLimiter, running: AdmittedRequest, queued: AdmittedRequest) -> None:
    limiter.withdraw(queued)
    limiter.cancel(running)


@pytest.mark.parametrize("end", [end_by_cancellation, end_by_withdrawal])
def test_a_request_whose_caller_has_left_is_freed_while_others_run_on(
    end: Callable[[ConcurrencyLimiter, AdmittedRequest, AdmittedRequest], None],
) -> None:
    async def run() -> None:
        async with ScriptedBackend(lambda attempt: OK_RESPONSE % attempt) as backend:
            backend.hold = asyncio.Event()
            limiter = make_limiter()
            limiter.local_backend = LocalBackend("i-1", "s", backend.address, asyncio.get_running_loop().time())
            with collector_off(AdmittedRequest, ForwardRequest, Exchange) as living:
                requests = [
                    limiter.submit(forward(n, seconds_left=5.0, latency_target=5.0, body=b"b" * n), lambda reply: None)
                    for n in range(1, 5)
                ]
                while len(backend.heads) < 2:  # the backend runs one, and one is sent ahead
                    await asyncio.sleep(0.002)
                running, queued = requests[0], requests[3]
                assert running is not None and queued is not None
                end(limiter, running, queued)
                requests[0] = requests[3] = running = queued = None
                await settled()
                left = [request.forward.number for request in requests if request is not None]
                assert left == [2, 3] and living().count("AdmittedRequest") == 2
                backend.hold.set()
                requests.clear()
                while limiter.in_flight:
                    await asyncio.sleep(0.002)
                await settled()
                assert living() == []

    asyncio.run(asyncio.wait_for(run(), 20.0))


def test_an_unreachable_backend_or_a_missed_deadline_keeps_no_request() -> None:
    async def run() -> None:
        async with ScriptedBackend(lambda attempt: OK_RESPONSE % attempt) as backend:
            backend.hold = asyncio.Event()
            now = asyncio.get_running_loop().time()
            for address in (backend.address, "127.0.0.1:9"):
                limiter, replies = make_limiter(), list[ForwardResponse]()
                limiter.local_backend = LocalBackend("i-1", "s", address, now)
                with collector_off(AdmittedRequest, ForwardRequest, Exchange) as living:
                    limiter.submit(forward(1, seconds_left=0.05), replies.append)
                    while not replies:
                        await asyncio.sleep(0.002)
                    await settled()
                    assert replies[0].outcome in (RequestOutcome.UNKNOWN, RequestOutcome.NOT_RUN)
                    assert living() == []

    asyncio.run(asyncio.wait_for(run(), 20.0))


def grant_reservations(rig: SimulatedProxy) -> None:
    while rig.reservations:
        rig.reservations.pop()[1](Acquired())


def abort_requests(rig: SimulatedProxy) -> None:
    for request in list(rig.proxy.open_requests):
        request.abort()


def disconnect(caller: Caller) -> None:
    on_disconnect, caller.on_disconnect = caller.on_disconnect, None
    if on_disconnect is not None:
        on_disconnect()


@pytest.mark.parametrize("kind", ["safe", "unsafe", "tracked"])
@pytest.mark.parametrize("ending", ["answered", "retried", "lost", "left", "aborted"])
def test_a_finished_request_of_a_caller_is_freed(kind: str, ending: str) -> None:
    async def run() -> None:
        rig = SimulatedProxy(kind)
        with collector_off(ProxiedRequest, Request, ForwardRequest) as living:
            caller = rig.ask(lugspur_operation_key="k")
            grant_reservations(rig)
            if ending == "retried":
                rig.reply(RequestOutcome.NOT_RUN)
            if ending == "left":
                disconnect(caller)
            if ending == "aborted":
                abort_requests(rig)
            rig.reply(RequestOutcome.UNKNOWN if ending == "lost" else RequestOutcome.ANSWERED, OK)
            if ending == "lost" and kind == "safe":
                rig.reply(RequestOutcome.ANSWERED, OK)
            caller.on_disconnect = None  # as the connection does with its response
            rig.sent.clear()
            await settled()
            assert living() == []

    asyncio.run(asyncio.wait_for(run(), 20.0))


def test_an_answered_upload_leaves_nothing_on_a_connection_that_its_caller_keeps() -> None:
    """Guards against the pieces of a body that the parser kept until the next request of the connection (review/8)."""

    def respond(request: Request, caller: Responder) -> None:
        caller.respond(200, b"", b"%d" % len(request.body))

    async def run() -> None:
        front = Front(("127.0.0.1", 0), 8, 64 << 20, respond)
        front.sizes = Sizes(body=2 * BODY_BYTES, ordinary=True)
        sock = await front.listen()
        reader, writer = await asyncio.open_connection(*sock.getsockname())
        with collector_off(Request) as living:
            body = bytes(BODY_BYTES)
            tracemalloc.start()
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
            writer.write(body)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"200" in head and await reader.readexactly(7) == b"%d" % BODY_BYTES
            await settled()
            used, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert used < FREED_BYTES and living() == []
        writer.close()
        front.close()

    asyncio.run(asyncio.wait_for(run(), 20.0))
