"""Names of the metrics, fields of the accounts of failed requests, and names of the invariants.

Dashboards, alerts and scripts of operators are built on them. Names in the code may change; these literals may not.
"""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

import orjson
import pytest
from daemonic import ask, pool, route, served
from loopback import CLOSE, HOST, Backend, backend, book, entry, running, soon, status

from lugspur import invariants
from lugspur.daemon.admin.actions import admin_actions
from lugspur.daemon.admin.listener import AdminListener
from lugspur.load_balancing.model import Outcome
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.observability.failures import AttemptRecord, BreakerRejection, FailedRequest, SelectionSummary
from lugspur.observability.metrics import Histogram, render

METRICS = b"""\
# HELP lugspur_requests_total Requests taken up, by pool.
# TYPE lugspur_requests_total counter
lugspur_requests_total{pool="%b"} 1.0
# HELP lugspur_attempts_total Attempts at backends, by how they ended.
# TYPE lugspur_attempts_total counter
lugspur_attempts_total{outcome="broken"} 1.0
# HELP lugspur_answers_total Final answers, by status; large ones that are passed on are not here.
# TYPE lugspur_answers_total counter
lugspur_answers_total{status="502"} 1.0
# HELP lugspur_rejections_total Requests that could not be read or taken, by status.
# TYPE lugspur_rejections_total counter
# HELP lugspur_callers_gone_total Requests whose callers left first.
# TYPE lugspur_callers_gone_total counter
lugspur_callers_gone_total 0.0
# HELP lugspur_requests_open Requests that an answer or an attempt is out for.
# TYPE lugspur_requests_open gauge
lugspur_requests_open 0.0
# HELP lugspur_backend_connections Connections to backends.
# TYPE lugspur_backend_connections gauge
lugspur_backend_connections 0.0
# HELP lugspur_callers Connections of callers.
# TYPE lugspur_callers gauge
lugspur_callers 1.0
# HELP lugspur_held_bytes Bytes of bodies that are not whole.
# TYPE lugspur_held_bytes gauge
lugspur_held_bytes 0.0
# HELP lugspur_invariant_violations_total Invariants that were found violated; \
anything above 0 is a fault of the program.
# TYPE lugspur_invariant_violations_total counter
lugspur_invariant_violations_total{invariant="one-answer"} 0.0
lugspur_invariant_violations_total{invariant="sent-while-open"} 0.0
lugspur_invariant_violations_total{invariant="run-once"} 0.0
lugspur_invariant_violations_total{invariant="tries"} 0.0
lugspur_invariant_violations_total{invariant="claim-won"} 0.0
lugspur_invariant_violations_total{invariant="released-unrun"} 0.0
lugspur_invariant_violations_total{invariant="in-flight"} 0.0
lugspur_invariant_violations_total{invariant="offered-once"} 0.0
lugspur_invariant_violations_total{invariant="proven-unrun"} 0.0
lugspur_invariant_violations_total{invariant="one-exchange"} 0.0
lugspur_invariant_violations_total{invariant="index-rises"} 0.0
lugspur_invariant_violations_total{invariant="editions-rise"} 0.0
lugspur_invariant_violations_total{invariant="epochs-rise"} 0.0
lugspur_invariant_violations_total{invariant="one-voter-at-a-time"} 0.0
lugspur_invariant_violations_total{invariant="confirmed-stands"} 0.0
lugspur_invariant_violations_total{invariant="row-fits"} 0.0
lugspur_invariant_violations_total{invariant="one-holder"} 0.0
lugspur_invariant_violations_total{invariant="fences-rise"} 0.0
lugspur_invariant_violations_total{invariant="numbers-rise"} 0.0
lugspur_invariant_violations_total{invariant="revisions-rise"} 0.0
lugspur_invariant_violations_total{invariant="one-change"} 0.0
"""

HISTOGRAM = b"""\
# HELP lugspur_request_seconds Seconds.
# TYPE lugspur_request_seconds histogram
lugspur_request_seconds_bucket{le="0.005"} 0.0
lugspur_request_seconds_bucket{le="0.01"} 0.0
lugspur_request_seconds_bucket{le="0.025"} 0.0
lugspur_request_seconds_bucket{le="0.05"} 0.0
lugspur_request_seconds_bucket{le="0.1"} 0.0
lugspur_request_seconds_bucket{le="0.25"} 0.0
lugspur_request_seconds_bucket{le="0.5"} 1.0
lugspur_request_seconds_bucket{le="1.0"} 1.0
lugspur_request_seconds_bucket{le="2.5"} 1.0
lugspur_request_seconds_bucket{le="5.0"} 1.0
lugspur_request_seconds_bucket{le="10.0"} 1.0
lugspur_request_seconds_bucket{le="+Inf"} 1.0
lugspur_request_seconds_count 1.0
lugspur_request_seconds_sum 0.375
"""

FAILURE = (
    '[{"at":TIME,"attempt":"id1","how":"502","route":"ROUTE","service":"","keyed":false,"claim":"","took_s":TIME,'
    '"had_s":TIME,"sends":1,"turned_away":0,"waited_for":[],"edition":0,"index":0,"epoch":0,"news_age_s":0.0,'
    '"steps":[{"backend":"ADDRESS","sent_s":TIME,"took_s":TIME,"how":"broken","cause":""}],"pick":null}]'
)
TIMES = re.compile(r'("(?:at|took_s|had_s|sent_s)":)[0-9.e+-]+')


async def answer_of(port: int, path: str) -> bytes:
    """What the operators' address answers a call with."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    head, _, body = (await soon(reader.read())).partition(b"\r\n\r\n")
    writer.close()
    assert status(head) == 200
    return body


async def check_answers(port: int, closing: Backend, pool_name: bytes, route_name: str) -> None:
    """What operators read after one request whose backend closed the connection."""
    assert (await answer_of(port, "/metrics")).strip() == (METRICS % pool_name).strip()
    failures = TIMES.sub(r"\1TIME", (await answer_of(port, "/failures")).decode().strip())
    assert failures == FAILURE.replace("ROUTE", route_name).replace("ADDRESS", closing.address)


def test_metrics_and_failures_of_the_platforms_proxy() -> None:
    async def play() -> None:
        async with backend(lambda _: CLOSE) as closing, running([entry("s-1", closing.address)]) as up:
            listener = AdminListener((HOST, 0), admin_actions(up.proxy))
            sock = await listener.open()
            client = await up.client()
            assert status(await client.ask(book(1))) == 502
            await check_answers(sock.getsockname()[1], closing, b"", "class-1")
            listener.close()

    asyncio.run(play())


def test_metrics_and_failures_of_the_daemon() -> None:
    async def play() -> None:
        async with backend(lambda _: CLOSE) as closing:
            text = pool("main", closing.address) + route("main", "/", 'class = "book"\npool = "main"')
            async with served(text + '[management]\naddress = "127.0.0.1:0"\n') as up:
                client = await up.client()
                assert status(await client.ask(ask("POST", "/", b"room", X_Request_ID="id1"))) == 502
                assert up.running.admin is not None
                await check_answers(up.running.admin.port(), closing, b"main", "class-2")

    asyncio.run(play())


def test_the_fields_of_an_account_of_a_failed_request() -> None:
    account = FailedRequest(
        1.5,
        "a-1",
        "no-backend",
        route="read",
        service="channel",
        keyed=True,
        claim="won",
        took_s=0.25,
        had_s=2.0,
        sends=1,
        turned_away=2,
        waited_for=("b-2",),
        edition=3,
        index=4,
        epoch=5,
        news_age_s=0.5,
        steps=(AttemptRecord("10.0.0.7:9001", 0.125, 0.0625, "maybe", "broken"),),
        pick=SelectionSummary(6, 1, 2, 3, (BreakerRejection("b-3", 0.75, "latency"),)),
    )
    assert orjson.dumps(account) == (
        b'{"at":1.5,"attempt":"a-1","how":"no-backend","route":"read","service":"channel","keyed":true,"claim":"won",'
        b'"took_s":0.25,"had_s":2.0,"sends":1,"turned_away":2,"waited_for":["b-2"],"edition":3,"index":4,"epoch":5,'
        b'"news_age_s":0.5,"steps":[{"backend":"10.0.0.7:9001","sent_s":0.125,"took_s":0.0625,"how":"maybe",'
        b'"cause":"broken"}],"pick":{"known":6,"tried":1,"unreachable":2,"resting":3,"refusals":[{"backend":"b-3",'
        b'"chance":0.75,"term":"latency"}]}}'
    )
    assert account.pick is not None
    assert account.pick.text() == "6/1/2/3/b-3:latency:0.75"


def test_the_text_of_a_histogram() -> None:
    histogram = Histogram("request_seconds", "Seconds.")
    histogram.add(0.375)
    assert render([], [histogram]) == HISTOGRAM


def test_the_line_of_a_violated_invariant(capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(invariants, "_listeners", [])
    invariants.add_listener(invariants.log_to_standard_error)
    invariants.check(False, invariants.Invariant("run-once"), attempt="a-1", sent=2)
    invariants.violations.clear()
    assert capsys.readouterr().err == "lugspur: invariant violated: run-once attempt=a-1 sent=2\n"


def test_the_values_of_how_an_attempt_ended_in_the_daemon_and_the_platforms_proxy() -> None:
    assert [outcome.value for outcome in Outcome] == [
        "ok",
        "error",
        "full",
        "timeout",
        "unreachable",
        "broken",
        "cancelled",
        "void",
    ]


def test_the_values_of_how_and_cause_of_an_attempt_in_the_mesh() -> None:
    shown: dict[str, Any] = {
        "how": {member.value: member.label for member in RequestOutcome},
        "cause": {member.value: member.label for member in FailureCause},
    }
    assert json.dumps(shown) == (
        '{"how": {"0": "answered", "1": "not_run", "2": "maybe", "3": "spoilt"}, "cause": {"0": "none", "1": "expired",'
        ' "2": "not_taken", "3": "no_room", "4": "evicted", "5": "hopeless", "6": "refused", "7": "unreachable",'
        ' "8": "timed_out", "9": "broken", "10": "spoilt", "11": "cancelled", "12": "link_lost", "13": "upload",'
        ' "14": "never_came"}}'
    )
