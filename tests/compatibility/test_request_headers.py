"""The bytes of the mesh's request path that callers, backends and operators read: frozen, whatever the code calls them.

The literals were written by the build of December 2026. A name of the code may change at any time; none of these may.
"""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Awaitable, Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import logbook
import msgspec
import pytest
from daemonic import pool, served
from daemonic import route as daemon_route
from loopback import NEVER_RAN, OK, entry, read, running
from loopback import backend as scripted
from meshcalls import call, route

from lugspur.discovery.endpoints import read_address
from lugspur.http1.front import Front
from lugspur.http1.request_parser import Sizes
from lugspur.interfaces import Request
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.endpoints import EndpointListing
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.dataplane.rejection import reject
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.mesh.http_api import fail
from lugspur.mesh.sidecar.metrics import log_failure, sidecar_metrics
from lugspur.observability.failures import ConfigurationState, FailureLog
from lugspur.observability.metrics import render

#: `Reply.how` as it goes between processes, and as an account of a failed request has it.
ENDS = {0: "answered", 1: "not_run", 2: "maybe", 3: "spoilt"}

#: `Reply.cause` as it goes between processes, and as accounts and the metric `gate_unanswered_total` have it.
CAUSES = {
    0: "",
    1: "expired",
    2: "not_taken",
    3: "no_room",
    4: "evicted",
    5: "hopeless",
    6: "refused",
    7: "unreachable",
    8: "timed_out",
    9: "broken",
    10: "spoilt",
    11: "cancelled",
    12: "link_lost",
    13: "upload",
    14: "never_came",
}

#: What a caller of the request path is told of each fault: its status, and the range of seconds in `Retry-After`, or
#: none; the body is the name and a line feed. The same statuses go to callers of the API.
FAULTS: dict[str, tuple[int, tuple[float, float] | None]] = {
    "no-route": (404, None),
    "bad-request": (400, None),
    "bad-config": (400, None),
    "too-large": (413, None),
    "conflict": (409, None),
    "no-call": (404, None),
    "not-ready": (503, (0.125, 0.375)),
    "no-backend": (503, (0.125, 0.375)),
    "no-quorum": (503, (0.125, 0.375)),
    "unclear": (504, None),
    "too-many": (429, (0.125, 0.375)),
    "lock-held": (409, None),
    "lock-lost": (409, None),
    "key-missing": (404, None),
    "history-gone": (410, None),
    "key-busy": (409, (0.125, 0.375)),
    "key-spent": (503, (0.125, 0.375)),
    "maybe-ran": (502, None),
    "bad-answer": (502, None),
    "too-late": (504, None),
    "leaving": (503, (0.125, 0.375)),
    "settings": (500, None),
    "state": (500, None),
}

FAILURE = (
    b'{"at":%,"attempt":"t1","how":"maybe-ran","route":"r","service":"s","keyed":true,"claim":"won","took_s":%,'
    b'"had_s":%,"sends":1,"turned_away":1,"waited_for":[],"edition":7,"index":41,"epoch":3,"news_age_s":%,"steps":'
    b'[{"backend":"i-0","sent_s":%,"took_s":%,"how":"not_run","cause":"no_room"},'
    b'{"backend":"i-1","sent_s":%,"took_s":%,"how":"maybe","cause":"link_lost"}],"pick":null}'
)

#: The same account as a line of the log; `%` stands for a figure that differs from run to run.
FAILURE_LINE = (
    "event=request-failed attempt=t1 how=maybe-ran route=r service=s claim=won took=% had=% sends=1 turned_away=1 "
    'waited_for="" pick="" edition=7 index=41 epoch=3 news_age=% '
    "steps=i-0@%+%:not_run:no_room;i-1@%+%:maybe:link_lost untold=0"
)

PICK = b'"pick":{"known":1,"tried":1,"unreachable":0,"resting":0,"refusals":[]}}'

AT_BACKEND = (
    b"POST /r/1?q=1 HTTP/1.1\r\n"
    b"Content-Type: text/plain\r\n"
    b"Lugspur-Attempt-Id: t1\r\n"
    b"Lugspur-Operation-Key: k\r\n"
    b"X-Other: kept\r\n"
    b"Host: a.example\r\n"
    b"X-Request-Id: q1\r\n"
    b"X-Forwarded-For: 10.1.2.3\r\n"
    b"X-Forwarded-Proto: https\r\n"
    b"Lugspur-Sender: mine\r\n"
    b"Lugspur-Deliver-By-Ms: %\r\n"
    b"Lugspur-Deliver-To: i-0\r\n"
    b"Content-Length: 4\r\n"
    b"\r\n"
    b"body"
)

FROM_CALLER = (
    b"POST /r/1?q=1 HTTP/1.1\r\n"
    b"Host: a.example\r\n"
    b"Content-Type: text/plain\r\n"
    b"Content-Length: 4\r\n"
    b"Lugspur-Attempt-Id: t1\r\n"
    b"Lugspur-Operation-Key: k\r\n"
    b"Lugspur-Deliver-By-Ms: 300\r\n"
    b"Lugspur-Sender: forged\r\n"
    b"Lugspur-Deliver-To: i-9\r\n"
    b"X-Request-Id: q1\r\n"
    b"X-Forwarded-For: 10.1.2.3\r\n"
    b"X-Forwarded-Proto: https\r\n"
    b"X-Other: kept\r\n"
    b"\r\n"
    b"body"
)


def matches(template: bytes, found: bytes) -> bool:
    """Whether these are the frozen bytes; `%` in the template stands for a number."""
    return re.fullmatch(re.escape(template).replace(b"%", rb"\d+(?:\.\d+)?(?:e-\d+)?"), found) is not None


def in_order(account: bytes) -> bytes:
    """An account whose backends are numbered as they come: which of them is first is drawn."""
    numbers = itertools.count()
    return re.sub(rb"i-\d", lambda name: b"i-%d" % next(numbers), account)


class Caller:
    """Who waits for one answer."""

    peer = ""

    def __init__(self) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self.answers: list[tuple[int, bytes, bytes]] = []

    def admit(self) -> None:
        pass

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.answers.append((status, head, body))

    def streaming_receiver(self) -> None:
        return None


class SentRequest:
    """A request that was handed to the played gates."""

    def cancel(self) -> None:
        pass

    def withdraw(self) -> None:
        pass


def make_limiter() -> ConcurrencyLimiter:
    """A limiter of a machine whose backend is still to be set."""
    return ConcurrencyLimiter(
        memory_bytes=64 << 20,
        max_connections=64,
        drain_seconds=2.0,
        on_completed=lambda forward, answer, on_stored: on_stored(True),
        on_unreachable=lambda local: None,
    )


class Mesh:
    """A proxy behind a real listener; limiters and keys are played, unless there is a real limiter."""

    def __init__(self, kind: str = "tracked", backends: int = 2) -> None:
        self.sent: list[tuple[ForwardRequest, Callable[[ForwardResponse], None]]] = []
        self.claims: list[Callable[[ReservationOutcome], None]] = []
        self.limiter: ConcurrencyLimiter | None = None
        table = RouteTable()
        for item in read_changes(call(route("r", mail_class=kind, deadline_ms=30_000, target_ms=200))):
            table.apply(item)
        self.proxy = Proxy(
            table, self, self, Random(1), retry_ratio=0.2, retry_slack=20.0, retry_window=10.0, zone="z0"
        )
        self.proxy.sender = "mine"
        self.proxy.failures = FailureLog(lambda: ConfigurationState(41, 3, 0.25), log_failure)
        self.proxy.update_endpoints("s", {f"i-{n}": EndpointListing(f"10.0.0.{n}", f"z{n}") for n in range(backends)})

    def is_reachable(self, ip: str) -> bool:
        return True

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> SentRequest:
        self.sent.append((forward, respond))
        if self.limiter is not None:
            self.limiter.submit(forward, respond)
        return SentRequest()

    def reserve(
        self,
        key: bytes,
        owner: bytes,
        seconds_left: float,
        timeout: float,
        on_outcome: Callable[[ReservationOutcome], None],
    ) -> None:
        self.claims.append(on_outcome)

    def release(self, key: bytes, owner: bytes) -> None:
        pass

    def store_answer(
        self, key: bytes, owner: bytes, response: BackendResponse, timeout: float, on_stored: Callable[[bool], None]
    ) -> None:
        on_stored(True)

    def abandon(self, key: bytes, owner: bytes) -> None:
        pass

    async def ask(self, request: bytes = FROM_CALLER, answered: Callable[[], None] = lambda: None) -> bytes:
        """Send bytes to the listener; `answered` is called once the request is at the proxy. Returns the raw answer."""
        front = Front(read_address("127.0.0.1:0"), 64, 64 << 20, self.proxy.handle)
        front.sizes = Sizes(ordinary=True)
        sock = await front.listen()
        reader, writer = await asyncio.open_connection(*sock.getsockname())
        writer.write(request)
        while not (self.sent or self.claims or self.proxy.results):
            await asyncio.sleep(0.001)
        answered()
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        assert length is not None
        body = await reader.readexactly(int(length[1]))
        writer.close()
        front.close()
        await front.stop_listening(sock)
        return head + body

    def ask_at_once(self, request: bytes = FROM_CALLER) -> Caller:
        """The same request without a connection."""
        head, _, body = request.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        caller, now = Caller(), self.proxy.loop.time()
        method, target, _ = first.split(b" ")
        ends = [b"%b\r\n" % line for line in lines]
        self.proxy.handle(Request(method, target, headers, ends, body, now, True), caller)
        return caller

    def failures(self) -> bytes:
        """The body of /mesh/failures."""
        return msgspec.json.Encoder().encode(self.proxy.failures.latest())


def play(what: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(20.0):
            await what()

    asyncio.run(run())


# ---- what backends and callers see ---------------------------------------------------------------


def test_a_request_at_its_backend_and_the_answer_at_its_caller_byte_for_byte() -> None:
    answer = (
        b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: t1\r\nLugspur-Postmark: p\r\nX-Own: o\r\nContent-Length: 2\r\n\r\nhi"
    )

    async def what() -> None:
        async with scripted(lambda request: answer) as stub:
            mesh = Mesh(backends=1)
            mesh.limiter = make_limiter()
            mesh.limiter.local_backend = LocalBackend("i-0", "s", stub.address, mesh.proxy.loop.time())
            told = await mesh.ask(answered=lambda: mesh.claims[0](Acquired()))
            got = stub.got.get_nowait()
        assert matches(AT_BACKEND, got), got
        left = re.search(rb"Lugspur-Deliver-By-Ms: (\d+)", got)
        assert left is not None and 0 < int(left[1]) <= 300
        assert told == (
            b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: t1\r\nLugspur-Postmark: p\r\nX-Own: o\r\n"
            b"Content-Length: 2\r\n\r\nhi"
        )

    play(what)


@pytest.mark.parametrize(
    ("method", "body", "framing"),
    [
        (b"GET", b"", b""),
        (b"POST", b"", b"Content-Length: 0\r\n"),
        (b"PUT", b"", b"Content-Length: 0\r\n"),
        (b"PATCH", b"", b"Content-Length: 0\r\n"),
        (b"DELETE", b"xy", b"Content-Length: 2\r\n"),
    ],
)
def test_how_a_body_is_framed_for_the_backend(method: bytes, body: bytes, framing: bytes) -> None:
    async def what() -> None:
        async with scripted(lambda request: b"HTTP/1.1 204 X\r\nLugspur-Attempt-Id: t1\r\n\r\n") as stub:
            limiter = make_limiter()
            limiter.local_backend = LocalBackend("i-0", "s", stub.address, asyncio.get_running_loop().time())
            limiter.submit(
                ForwardRequest(1, "i-0", method, b"/p", [b"Host: h\r\n"], body, 9.0, 1.0, b"t1", 0, False, "r"),
                lambda reply: None,
            )
            got = await stub.got.get()
        assert matches(
            b"%b /p HTTP/1.1\r\nHost: h\r\nLugspur-Deliver-By-Ms: %%\r\nLugspur-Deliver-To: i-0\r\n%b\r\n%b"
            % (method, framing, body),
            got,
        ), got

    play(what)


@pytest.mark.parametrize(
    ("answer", "how", "cause"),
    [
        (b"200 X\r\nLugspur-Attempt-Id: t1\r\nLugspur-Postmark: p", 0, 0),
        (b"500 X\r\nLugspur-Attempt-Id: t1", 0, 0),
        (b"503 X\r\nLugspur-Attempt-Id: t1\r\nLugspur-Not-Delivered: 1", 1, 6),
        (b"421 X\r\nLugspur-Attempt-Id: t1", 1, 6),
        (b"200 X\r\nLugspur-Attempt-Id: t1", 3, 10),
        (b"200 X\r\nLugspur-Attempt-Id: t2\r\nLugspur-Postmark: p", 2, 8),
        (b"200 X\r\nLugspur-Attempt-Id: t1\r\nLugspur-Postmark: p\r\nContent-Encoding: gzip", 3, 10),
    ],
)
def test_what_each_header_of_a_backend_proves(answer: bytes, how: int, cause: int) -> None:
    async def what() -> None:
        async with scripted(lambda request: b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % answer) as stub:
            limiter = make_limiter()
            limiter.local_backend = LocalBackend("i-0", "s", stub.address, asyncio.get_running_loop().time())
            said: asyncio.Future[ForwardResponse] = asyncio.get_running_loop().create_future()
            limiter.submit(
                ForwardRequest(1, "i-0", b"GET", b"/", [], b"", 0.2, 0.1, b"t1", 0, False, "r"), said.set_result
            )
            fields = msgspec.msgpack.decode(msgspec.msgpack.encode(await said))
        assert fields[:3] == [20, 1, how] and fields[6] == cause  # the tag, the number, how, and the cause

    play(what)


@pytest.mark.parametrize(
    ("key", "wrong", "answer"),
    [
        (b"Lugspur-Attempt-Id: t1\r\n", b"", b"HTTP/1.1 400 Bad Request\r\nContent-Length: 12\r\n\r\nbad-request\n"),
        (
            b"Lugspur-Deliver-By-Ms: 300",
            b"Lugspur-Deliver-By-Ms: soon",
            b"HTTP/1.1 400 Bad Request\r\nContent-Length: 12\r\n\r\nbad-request\n",
        ),
        (
            b"Lugspur-Deliver-By-Ms: 300",
            b"Lugspur-Deliver-By-Ms: 0",
            b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 9\r\n\r\ntoo-late\n",
        ),
        (b"/r/1?", b"/x/1?", b"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nno-route\n"),
    ],
)
def test_a_request_that_lacks_what_it_must_have_is_answered_byte_for_byte(
    key: bytes, wrong: bytes, answer: bytes
) -> None:
    async def what() -> None:
        assert key in FROM_CALLER
        assert await Mesh().ask(FROM_CALLER.replace(key, wrong)) == answer

    play(what)


RETRY, HI = b"Retry-After: %\r\n", b"Content-Length: 2\r\n\r\nhi"


@pytest.mark.parametrize(
    ("how", "answer"),
    [
        (TakenByAnother(True), b"HTTP/1.1 409 Conflict\r\n" + RETRY + b"Content-Length: 9\r\n\r\nkey-busy\n"),
        (
            TakenByAnother(False),
            b"HTTP/1.1 503 Service Unavailable\r\n" + RETRY + b"Content-Length: 10\r\n\r\nkey-spent\n",
        ),
        (Undecided(), b"HTTP/1.1 503 Service Unavailable\r\n" + RETRY + b"Content-Length: 10\r\n\r\nno-quorum\n"),
        (
            AlreadyCompleted(BackendResponse(201, b"X-Own: o\r\n", b"hi")),
            b"HTTP/1.1 201 Created\r\nX-Own: o\r\nContent-Length: 2\r\n\r\nhi",
        ),
    ],
    ids=["busy", "spent", "unsettled", "known"],
)
def test_how_a_claim_ends_is_told_byte_for_byte(how: ReservationOutcome, answer: bytes) -> None:
    async def what() -> None:
        mesh = Mesh()
        found = await mesh.ask(answered=lambda: mesh.claims[0](how))
        assert matches(answer, found), found

    play(what)


@pytest.mark.parametrize(
    ("reply", "answer"),
    [
        (
            ForwardResponse(0, 1, None, False, 0, 3),
            b"HTTP/1.1 503 Service Unavailable\r\n" + RETRY + b"Content-Length: 11\r\n\r\nno-backend\n",
        ),
        (ForwardResponse(0, 2, cause=12), b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 10\r\n\r\nmaybe-ran\n"),
        (ForwardResponse(0, 3, cause=10), b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 10\r\n\r\nmaybe-ran\n"),
    ],
    ids=["not run", "maybe ran", "spoilt"],
)
def test_how_a_send_ends_is_told_byte_for_byte(reply: ForwardResponse, answer: bytes) -> None:
    async def what() -> None:
        mesh = Mesh("unsafe", 1)
        found = await mesh.ask(answered=lambda: mesh.sent[0][1](reply))
        assert matches(answer, found), found

    play(what)


@pytest.mark.parametrize("fault", FAULTS)
def test_each_fault_has_its_status_its_name_and_its_retry_after(fault: str) -> None:
    status, span = FAULTS[fault]
    for _ in range(50):
        caller = Caller()
        reject(caller, ErrorKind(fault))
        [(told, head, body)] = caller.answers
        assert (told, body) == (status, fault.encode() + b"\n")
        if span is None:
            assert head == b""
        else:
            found = re.fullmatch(rb"Retry-After: (\d\.\d{3})\r\n", head)
            assert found is not None and span[0] <= float(found[1]) <= span[1]


def test_all_faults_are_frozen() -> None:
    assert {kind.value for kind in ErrorKind} == set(FAULTS)


def test_where_all_backends_are_full_retry_after_is_a_part_of_the_time_that_is_left() -> None:
    told = set()
    for _ in range(200):
        caller = Caller()
        reject(caller, ErrorKind("no-backend"), 30.0)
        [(_, head, _)] = caller.answers
        found = re.fullmatch(rb"Retry-After: (\d+\.\d{3})\r\n", head)
        assert found is not None
        told.add(float(found[1]))
    assert min(told) >= 6.0 and max(told) <= 10.0 and len(told) > 100
    caller = Caller()
    reject(caller, ErrorKind("no-backend"), 0.001)
    assert caller.answers == [(503, b"Retry-After: 0.050\r\n", b"no-backend\n")]


@pytest.mark.parametrize("fault", FAULTS)
def test_callers_of_the_api_are_told_of_a_fault_byte_for_byte(fault: str) -> None:
    status, span = FAULTS[fault]
    caller = Caller()
    fail(caller, MeshError(ErrorKind(fault), 'what "it" was'))
    head = (b"" if span is None else b"Retry-After: 0.25\r\n") + b"Content-Type: application/json\r\n"
    body = b'{"error":"' + fault.encode() + b'","detail":"what \\"it\\" was"}'
    assert caller.answers == [(status, head, body)]


# ---- what operators see --------------------------------------------------------------------------


def fail_one(mesh: Mesh) -> None:
    """One request that a limiter has no room for, and that is then lost on its way to another."""
    mesh.ask_at_once()
    mesh.claims[0](Acquired())
    for reply in (ForwardResponse(0, 1, None, False, 9, 3), ForwardResponse(0, 2, cause=12)):
        mesh.sent[-1][1](reply)


def test_the_account_of_a_failed_request_byte_for_byte() -> None:
    async def what() -> None:
        mesh = Mesh()
        fail_one(mesh)
        found = in_order(mesh.failures())
        assert matches(b"[" + FAILURE + b"]", found), found

    play(what)


def test_the_line_of_a_failed_request_in_the_log() -> None:
    async def what() -> None:
        with logbook.TestHandler().applicationbound() as log:
            fail_one(Mesh())
        [line] = [record.message for record in log.records if "request-failed" in record.message]
        assert matches(FAILURE_LINE.encode(), in_order(line.encode())), line

    play(what)


@pytest.mark.parametrize("how", [how for how, name in ENDS.items() if name != "answered"])
@pytest.mark.parametrize("cause", CAUSES)
def test_each_end_and_cause_of_the_wire_has_its_name_in_an_account(how: int, cause: int) -> None:
    async def what() -> None:
        mesh = Mesh("unsafe", 1)
        mesh.ask_at_once()
        mesh.sent[0][1](ForwardResponse(0, how, None, how != 1, 0, cause))
        told = f'"how":"{ENDS[how]}","cause":"{CAUSES[cause]}"}}],'.encode()
        assert told in mesh.failures(), mesh.failures()

    play(what)


def test_an_account_says_what_the_pick_saw_and_how_it_was_answered() -> None:
    async def what() -> None:
        mesh = Mesh("unsafe", 1)
        mesh.ask_at_once()
        mesh.sent[0][1](ForwardResponse(0, 1, None, False, 0, 3))
        assert mesh.failures().endswith(PICK + b"]")
        mesh = Mesh("unsafe", 1)
        mesh.ask_at_once()
        mesh.sent[0][1](ForwardResponse(0, 0, BackendResponse(500, b"", b"")))
        assert b'"how":"backend-failed"' in mesh.failures() and b'"how":"answered","cause":""' in mesh.failures()
        caller = mesh.ask_at_once()
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        assert b'"how":"gone","route":"r"' in mesh.failures()
        assert mesh.proxy.results == {"backend-failed": 1, "gone": 1}

    play(what)


@pytest.mark.parametrize(
    ("how", "claim"),
    [
        (TakenByAnother(True), b"taken"),
        (Undecided(), b"unsettled"),
        (AlreadyCompleted(BackendResponse(500, b"", b"")), b"known"),
    ],
)
def test_an_account_says_how_the_claim_ended(how: ReservationOutcome, claim: bytes) -> None:
    async def what() -> None:
        mesh = Mesh()
        mesh.ask_at_once()
        mesh.claims[0](how)
        assert b'"keyed":true,"claim":"%b",' % claim in mesh.failures(), mesh.failures()

    play(what)


@pytest.mark.parametrize(
    ("backends", "how"),
    [(0, {"none-ready": 1, "no-backend": 1}), (1, {"answered": 1})],
)
def test_how_requests_ended_is_counted_under_these_names(backends: int, how: dict[str, int]) -> None:
    async def what() -> None:
        mesh = Mesh("unsafe", backends)
        mesh.ask_at_once()
        if mesh.sent:
            mesh.sent[0][1](ForwardResponse(0, 0, BackendResponse(200, b"", b"")))
        assert dict(mesh.proxy.results) == how

    play(what)


def test_a_refusal_by_breakers_is_counted_under_its_name() -> None:
    async def what() -> None:
        mesh = Mesh("unsafe", 1)
        for _ in range(300):
            mesh.ask_at_once()
            while mesh.proxy.open_requests:
                mesh.sent[-1][1](ForwardResponse(0, 1, None, False, 0, 3))
        assert mesh.proxy.results["breaker-refused"] > 0
        assert b'"refusals":[{"backend":"i-0","chance":' in mesh.failures()
        assert b'"term":"errors"}]' in mesh.failures()

    play(what)


def test_what_ended_without_the_backends_answer_is_counted_by_the_names_of_causes() -> None:
    async def what() -> None:
        mesh = Mesh()
        limiter = make_limiter()
        for cause in list(CAUSES)[1:]:
            limiter.reject(1, FailureCause(cause))
        sidecar: Any = SimpleNamespace(
            loop=mesh.proxy.loop,
            limiter=limiter,
            proxy=mesh.proxy,
            front=SimpleNamespace(rejections={}, callers=()),
            incoming=SimpleNamespace(uploads=()),
            body_memory=SimpleNamespace(used_bytes=0, waiting_bodies=0),
            peers={},
            update_source=SimpleNamespace(selections=0),
            is_leaving=False,
            reservations=(),
            table=(),
            backends=SimpleNamespace(by_ip={}),
            configuration_state=lambda: ConfigurationState(41, 3, 0.25),
        )
        text = render(sidecar_metrics(sidecar), [mesh.proxy.seconds])
        for name in list(CAUSES.values())[1:]:
            assert b'gate_unanswered_total{cause="%b"} 1.0\n' % name.encode() in text
        assert b"request_seconds_bucket" in text

    play(what)


# ---- the daemon's and the platform's request path ------------------------------------------------

DAEMON_FROM_CALLER = (
    b"POST /a?q=1 HTTP/1.1\r\n"
    b"Host: h.example\r\n"
    b"Content-Length: 4\r\n"
    b"Connection: keep-alive, X-Hop\r\n"
    b"X-Hop: 1\r\n"
    b"X-Timeout: 9\r\n"
    b"X-Request-ID: q1\r\n"
    b"X-Retried: 1\r\n"
    b"X-Cost: 10\r\n"
    b"Idempotency-Key: k\r\n"
    b"Forwarded: for=1.2.3.4\r\n"
    b"X-Forwarded-For: 1.2.3.4\r\n"
    b"X-Forwarded-Proto: https\r\n"
    b"X-Forwarded-Host: f.example\r\n"
    b"X-Forwarded-Port: 1\r\n"
    b"X-Forwarded-Prefix: /f\r\n"
    b"X-Real-IP: 1.2.3.4\r\n"
    b"Via: 1.0 other\r\n"
    b"X-Own: o\r\n"
    b"\r\n"
    b"body"
)

DAEMON_AT_BACKEND = (
    b"POST /a?q=1 HTTP/1.1\r\n"
    b"X-Retried: 1\r\n"
    b"X-Cost: 10\r\n"
    b"Idempotency-Key: k\r\n"
    b"Via: 1.0 other\r\n"
    b"X-Own: o\r\n"
    b"Host: h.example\r\n"
    b"X-Request-ID: q1\r\n"
    b"X-Forwarded-For: 127.0.0.1\r\n"
    b"X-Forwarded-Proto: http\r\n"
    b"Via: 1.1 lugspur\r\n"
    b"X-Timeout: %\r\n"
    b"Content-Length: 4\r\n"
    b"\r\n"
    b"body"
)

ONE_ATTEMPT = "attempts = 1"


def test_a_request_of_the_daemon_at_its_backend_byte_for_byte() -> None:
    async def what() -> None:
        async with scripted(lambda request: OK) as stub:
            text = pool("a", stub.address) + daemon_route("r", "/*", 'pool = "a"\nclass = "once"')
            async with served(text) as up:
                client = await up.client()
                assert await client.ask(DAEMON_FROM_CALLER) == OK
            found = stub.got.get_nowait()
        assert matches(DAEMON_AT_BACKEND, found), found

    play(what)


@pytest.mark.parametrize(
    ("request_", "told"),
    [
        (
            b"GET /once HTTP/1.1\r\nHost: h\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\nContent-Length: 43\r\nConnection: close\r\n\r\n"
            b"no Idempotency-Key, which this class needs\n",
        ),
        (
            b"GET /r HTTP/1.1\r\nHost: h\r\nX-Timeout: soon\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\nContent-Length: 23\r\nConnection: close\r\n\r\nX-Timeout is malformed\n",
        ),
        (
            b"GET /r HTTP/1.1\r\nHost: h\r\n\r\n",
            b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 8\r\n\r\nrefused\n",
        ),
        (
            b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n",
            b"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nno route\n",
        ),
    ],
    ids=["no key", "bad time", "refused", "no route"],
)
def test_what_the_daemon_answers_itself_byte_for_byte(request_: bytes, told: bytes) -> None:
    async def what() -> None:
        async with scripted(lambda request: NEVER_RAN) as stub:
            text = pool("a", stub.address, more=ONE_ATTEMPT)
            text += daemon_route("r", "/r", 'pool = "a"\nclass = "read"')
            text += daemon_route("o", "/once", 'pool = "a"\nclass = "once"')
            async with served(text) as up:
                client = await up.client()
                assert await client.ask(request_) == told

    play(what)


PLATFORM_AT_BACKEND = (
    b"GET /api/k HTTP/1.1\r\n"
    b"Host: h\r\n"
    b"X-Request-ID: id1\r\n"
    b"X-Priority-Class: read\r\n"
    b"X-Tenant-Id: acme\r\n"
    b"X-Retried: 1\r\n"
    b"X-Cost: 10\r\n"
    b"X-Timeout: %\r\n"
    b"\r\n"
)


@pytest.mark.parametrize(
    ("said", "told"),
    [(OK, OK), (NEVER_RAN, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\nrefused\n")],
    ids=["served", "refused"],
)
def test_a_request_of_the_platform_and_its_answer_byte_for_byte(said: bytes, told: bytes) -> None:
    async def what() -> None:
        async with scripted(lambda request: said) as stub:
            async with running([entry("b", stub.address)]) as up:
                client = await up.client()
                found = await client.ask(read(timeout="0.5", X_Retried="1", X_Cost="10"))
            got = stub.got.get_nowait()
        assert matches(PLATFORM_AT_BACKEND, got), got
        assert found == told

    play(what)


def rejection(reason: bytes) -> bytes:
    """A platform's caller is told that its request can't be taken."""
    head = b"HTTP/1.1 400 Bad Request\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (len(reason) + 1)
    return head + reason + b"\n"


@pytest.mark.parametrize(
    ("key", "wrong", "told"),
    [
        (b"X-Request-ID: id1", b"X-Request-ID: ", rejection(b"no request id, or a malformed one")),
        (b"X-Priority-Class: read", b"X-Priority-Class: other", rejection(b"unknown class")),
        (b"X-Tenant-Id: acme", b"X-Tenant-Id: other", rejection(b"unknown tenant")),
        (b"X-Timeout: 30", b"X-Timeout: soon", rejection(b"the time is malformed")),
        (b"X-Priority-Class: read", b"X-Priority-Class: once", rejection(b"the method does not fit the class")),
    ],
)
def test_what_the_platform_is_told_of_its_headers_byte_for_byte(key: bytes, wrong: bytes, told: bytes) -> None:
    async def what() -> None:
        async with running([]) as up:
            client = await up.client()
            request = read()
            assert key in request
            assert await client.ask(request.replace(key, wrong)) == told

    play(what)
