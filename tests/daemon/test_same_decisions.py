"""No caller can tell from the decisions which protocol a box speaks: the same outcomes give the same trace."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import astuple
from typing import Any

import pytest
from daemonic import HEAD, ask, route, served
from grpcpeers import HTTP2
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loopback import HOST, soon, status

from lugspur.daemon import pool as pools
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import Action, Outcome
from lugspur.standins.grpc.backend import Call, GrpcBackend
from lugspur.standins.grpc.caller import Caller
from lugspur.standins.grpc.script import Script

STEP = 0.01  # seconds of the module's time for each event: the machine's own time must not decide anything
BOXES = 3
OUTCOMES = ("ok", "missing", "error", "gone", "full", "broken", "cut", "spoilt")
ROUTES = "".join(route(name, f"/{name}/*", f'pool = "a"\nclass = "{name}"') for name in ("read", "book", "once"))
Plans = Sequence[tuple[str, tuple[str, ...]]]  # of each request its class, and how its attempts end


class Traced(Balancer):
    """The decision module by a clock of its own, with all that goes in and comes out."""

    def __init__(self, settings: Any, seed: int) -> None:
        super().__init__(settings, seed)
        self.clock = 0.0
        self.trace: list[tuple[Any, ...]] = []
        TRACED.append(self)

    def _note(self, what: str, given: tuple[Any, ...], actions: list[Action]) -> list[Action]:
        self.trace.append((what, given, [(type(action).__name__, astuple(action)) for action in actions]))
        return actions

    def _tick(self) -> float:
        self.clock += STEP
        return self.clock

    def request(
        self,
        now: float,
        rid: str,
        kind: int = 0,
        tenant: int = 0,
        deadline: float | None = None,
        cost: float = 0.0,
        retry: bool = False,
        partial: bool = False,
    ) -> list[Action]:
        now = self._tick()
        actions = super().request(now, rid, kind, tenant, now + 20.0, cost, retry, partial)
        return self._note("request", (rid, kind), actions)

    def finish_attempt(
        self, now: float, rid: str, number: int, how: Outcome, latency: float, last: bool = False
    ) -> list[Action]:
        actions = super().finish_attempt(self._tick(), rid, number, how, STEP, last)
        return self._note("outcome", (rid, number, how, last), actions)

    def bind_to_attempt(self, now: float, rid: str, number: int) -> list[Action]:
        return self._note("bind", (rid, number), super().bind_to_attempt(self._tick(), rid, number))

    def begin_response(self, now: float, rid: str, number: int) -> list[Action]:
        return self._note("begun", (rid, number), super().begin_response(self._tick(), rid, number))

    def cancel_request(self, now: float, rid: str) -> list[Action]:
        return self._note("gone", (rid,), super().cancel_request(self._tick(), rid))


TRACED: list[Traced] = []


class Planned:
    """What each attempt of each request comes to, whichever box it reaches."""

    def __init__(self, plans: Plans) -> None:
        self._plans = plans
        self._seen: Counter[int] = Counter()

    def next(self, rid: str) -> str:
        at = int(rid)
        self._seen[at] += 1
        outcomes = self._plans[at][1]
        return outcomes[min(self._seen[at], len(outcomes)) - 1]


STATUSES = {"ok": 200, "missing": 404, "error": 500, "gone": 503}


class Plain:
    """An HTTP/1.1 box."""

    def __init__(self, planned: Planned) -> None:
        self._planned = planned
        self.address = ""

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                told = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
                await reader.readexactly(int(told.get(b"content-length", b"0")))
                writer.write(self._answer(self._planned.next(told[b"x-request-id"].decode())))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            writer.close()

    def _answer(self, outcome: str) -> bytes:
        if outcome in ("broken", "cut"):
            raise EOFError
        if outcome == "spoilt":
            return b"garbage\r\n\r\n"
        mark = b"X-Not-Processed: 1\r\n" * (outcome == "full")
        return b"HTTP/1.1 %d So\r\n%bContent-Length: 1\r\n\r\nx" % (STATUSES.get(outcome, 503), mark)

    def kill(self) -> None:
        self._server.close()


def speaking(planned: Planned) -> GrpcBackend:
    """A gRPC box."""
    codes = {"missing": 5, "error": 13, "gone": 14}

    async def work(call: Call, _: Script) -> None:
        await call.message()
        outcome = planned.next(call.rid)
        if outcome == "ok":
            await call.send(b"x")
            call.finish()
        elif outcome == "full":
            call.finish(14, "", ("x-not-processed", "1"))
        elif outcome == "broken":
            call.reset(2)
        elif outcome == "cut":
            call.connection.kill()
        elif outcome == "spoilt":
            call.connection.tail(call.stream, [(":status", "200")])
        else:
            call.finish(codes[outcome])

    return GrpcBackend(work)


async def traced(plans: Plans, grpc: Sequence[bool], over_grpc: bool) -> tuple[list[Any], list[bool]]:
    """The module's trace, and whether each request was served; `grpc`: what each box speaks."""
    planned = Planned(plans)
    boxes: list[Plain | GrpcBackend] = [speaking(planned) if each else Plain(planned) for each in grpc]
    for box in boxes:
        await box.listen()
    members = ", ".join(
        f'{{ address = "{box.address}", name = "box-{at}", protocol = "{"grpc" if grpc[at] else "http"}" }}'
        for at, box in enumerate(boxes)
    )
    text = f'[pools.a]\nmembers = [{members}]\nconnect = "5s"\n{ROUTES}'
    TRACED.clear()
    served_: list[bool] = []
    try:
        async with served(text, HTTP2) as up:
            caller = await Caller().connect(HOST, up.port()) if over_grpc else None
            for at, (kind, _) in enumerate(plans):
                named = {"x-request-id": str(at), "idempotency-key": f"k{at}"}
                if caller is not None:
                    got = await caller.call(f"/{kind}/Do", b"x", metadata=list(named.items()))
                    served_.append(got.status == 0)
                else:
                    client = await up.client()
                    reply = await client.ask(ask("POST", f"/{kind}/Do", b"x", **named))
                    served_.append(status(reply) == 200)
                    client.writer.close()
            if caller is not None:
                caller.close()
                await soon(caller.closed.wait())
    finally:
        for box in boxes:
            box.kill()
    [one] = TRACED
    return one.trace, served_


@pytest.fixture(autouse=True)
def seeded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pools, "Balancer", Traced)
    monkeypatch.setattr("lugspur.daemon.cluster.os.urandom", lambda size: b"\7" * size)


PLANS = st.lists(
    st.tuples(
        st.sampled_from(("read", "book", "once")),
        st.lists(st.sampled_from(OUTCOMES), min_size=1, max_size=4).map(tuple),
    ),
    min_size=1,
    max_size=12,
)


@given(PLANS)
@settings(max_examples=12, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_the_same_outcomes_give_the_same_decisions_over_either_protocol(plans: Plans) -> None:
    first, served_ = asyncio.run(traced(plans, [False] * BOXES, over_grpc=False))
    assert len([each for each in first if each[0] == "request"]) == len(plans)
    for grpc, over_grpc in (
        ([True] * BOXES, True),
        ([True] * BOXES, False),
        ([False] * BOXES, True),
        ([True, False, True], True),
    ):
        assert asyncio.run(traced(plans, grpc, over_grpc)) == (first, served_)


def test_one_id_asked_over_both_protocols_at_once_is_two_requests_that_each_get_their_answer() -> None:
    """As over two HTTP/1.1 connections: an id is the caller's, and each request is its own."""

    async def play() -> None:
        planned = Planned([("book", ("ok", "ok"))])
        boxes: list[Plain | GrpcBackend] = [speaking(planned), Plain(planned)]
        for box in boxes:
            await box.listen()
        members = f'{{ address = "{boxes[0].address}", protocol = "grpc" }}, {{ address = "{boxes[1].address}" }}'
        async with served(f"[pools.a]\nmembers = [{members}]\n{ROUTES}", HTTP2) as up:
            caller, client = await Caller().connect(HOST, up.port()), await up.client()
            over_grpc, over_http = await asyncio.gather(
                caller.call("/book/Do", b"x", metadata=[("x-request-id", "0")]),
                client.ask(ask("POST", "/book/Do", b"x", X_Request_ID="0")),
            )
            assert (over_grpc.status, over_grpc.ends, status(over_http)) == (0, 1, 200)
            caller.close()
        for box in boxes:
            box.kill()

    asyncio.run(play())


def test_the_head_of_the_file_is_the_same_but_for_http2() -> None:
    assert HTTP2.replace("http2 = true\n", "") == HEAD
