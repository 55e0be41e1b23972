"""What operators, callers and backends see of the mesh's processes, by literal names: calls, JSON, headers, metrics.

A small mesh of processes runs once; nearly all here is seen from outside, over sockets, so that names in the code may
change. What is asserted may not: tools, dashboards and settings files of the operators go by it.
"""

from __future__ import annotations

import ast
import asyncio
import dataclasses
import json
import re
import signal
import subprocess
import sys
import tomllib
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest
from sourcetrees import parse_source

from lugspur.bench.mesh import Mesh, call
from lugspur.mesh.control.errors import RESPONSES
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.settings import parse_settings
from lugspur.standins.mesh import MeshBackend

ROOT = Path(__file__).parent.parent.parent
Answer = tuple[int, dict[str, str], bytes]  # status, headers in lower case, body

# ---- a mesh that was looked at ------------------------------------------------------------------


class Backend(MeshBackend):
    """A backend that keeps the headers which it was sent, and refuses what is asked for by the request's id."""

    def __init__(self, service: str, address: str, dispatch: str, zone: str = "z", work: float = 0.0) -> None:
        super().__init__(service, address, dispatch, zone, work)
        self.headers: dict[str, dict[str, str]] = {}

    async def _respond(self, headers: dict[str, str], sent: bytes) -> bytes:
        attempt = headers["lugspur-attempt-id"]
        self.headers[attempt] = headers
        if attempt == "slow":
            await asyncio.sleep(3.0)
        end = f"Lugspur-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        if attempt == "not-delivered":
            return f"HTTP/1.1 503 Busy\r\nLugspur-Not-Delivered: 1\r\n{end}".encode()
        if attempt == "misdirected":
            return f"HTTP/1.1 421 Misdirected Request\r\n{end}".encode()
        if attempt == "failing":
            return f"HTTP/1.1 500 Internal Server Error\r\n{end}".encode()
        if attempt == "unstamped":
            return f"HTTP/1.1 200 OK\r\n{end}".encode()
        return await super()._respond(headers, sent)


class LookedAt(Mesh):
    """A mesh whose backends are of that kind."""

    def new_backend(self, service: str, address: str, dispatch: str, zone: str) -> MeshBackend:
        return Backend(service, address, dispatch, zone)


@dataclass
class Seen:
    """What was seen of it."""

    control_ip: str
    proxy_ip: str
    voters: list[str]
    backend: Backend
    control: dict[str, Answer] = field(default_factory=dict)  # answers of a control node, by a word for the call
    proxy: dict[str, Answer] = field(default_factory=dict)
    asked: dict[str, Answer] = field(default_factory=dict)  # answers to callers, by the request's id
    failures: list[dict[str, Any]] = field(default_factory=list)
    updates: list[Any] = field(default_factory=list)  # frames of a control node to one who subscribes
    greeting: list[Any] = field(default_factory=list)  # of a proxy, to one who dials it
    log: list[str] = field(default_factory=list)
    exit_statuses: list[int] = field(default_factory=list)


def parted(answer: tuple[int, bytes, bytes]) -> Answer:
    status, head, body = answer
    lines = (line.partition(":") for line in head.decode().split("\r\n")[1:])
    return status, {name.lower(): value.strip() for name, _, value in lines}, body


async def frames(ip: str, port: int, *messages: list[Any], wanted: int) -> list[Any]:
    """Send frames on a connection of the inner protocol; the first answer with this tag, as a list of its fields."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        for message in messages:
            data = msgspec.msgpack.encode(message)
            writer.write(len(data).to_bytes(4, "big") + data)
        async with asyncio.timeout(20.0):
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                found: list[Any] = msgspec.msgpack.decode(await reader.readexactly(size))
                if found[0] == wanted:
                    return found
    finally:
        writer.close()


async def look_at(folder: Path) -> Seen:
    """Start a mesh, ask it all that there is to ask, and end it."""
    mesh = LookedAt(folder, 3, ("rooms",))
    try:
        async with asyncio.timeout(100.0):
            await mesh.begin()
            return await look(mesh)
    finally:
        await mesh.close()


async def look(mesh: LookedAt) -> Seen:
    control_ip, proxy_ip = mesh.replica_ips[0], mesh.proxy_ips[0]
    control, proxy = f"{control_ip}:{mesh.dispatch}", f"{proxy_ip}:{mesh.dispatch}"
    [backend] = mesh.backends
    assert isinstance(backend, Backend)
    await mesh.until_reached(proxy_ip, 1, 2)
    async with asyncio.timeout(20.0):
        while len(json.loads((await call(control, "GET", "/mesh/status"))[2])["replicas"]) < 3:
            await asyncio.sleep(0.05)
    seen = Seen(control_ip, proxy_ip, mesh.replica_ips, backend)
    await look_at_requests(mesh, seen)
    look_route = json.dumps(mesh.route("look", "safe", target_ms=1)).encode()
    for word, method, path, body in (
        ("status", "GET", "/mesh/status", b""),
        ("no call", "GET", "/mesh/failures", b""),
        ("read", "GET", "/config/read", b""),
        ("cut short", "POST", "/config/amend", b"{"),
        ("incomplete", "POST", "/config/amend", b'{"upsert":{"routes":[{"name":"x"}]}}'),
        ("reserved", "POST", "/config/amend", b'{"upsert":{"backend":[]}}'),
        ("conflict", "POST", "/config/amend", b'{"upsert":{"routes":[%b]}}' % look_route),
        ("in use", "POST", "/config/amend", b'{"withdraw":{"services":[{"name":"rooms","edition":"0000000f"}]}}'),
        ("too large", "POST", "/config/amend", too_large()),
        ("amend", "POST", "/config/amend", b'{"upsert":{"notes":[{"name":"n","edition":"00000001"}]}}'),
        ("metrics", "GET", "/metrics", b""),
    ):
        seen.control[word] = await settled(control, method, path, body)
    beat = {"service": "rooms", "address": "127.0.0.1:1", "state": "accepting", "sequence": 1}
    for word, method, path, body in (
        ("status", "GET", "/mesh/status", b""),
        ("failures", "GET", "/mesh/failures", b""),
        ("read", "GET", "/config/read?x=1", b""),
        ("amend", "POST", "/config/amend", b"{}"),
        ("no call", "GET", "/config/amend", b""),
        ("metrics", "GET", "/metrics", b""),
        ("bad heartbeat", "POST", "/backends/i-1/heartbeat", b"{}"),
        ("bad address", "POST", "/backends/i-1/heartbeat", json.dumps(beat | {"address": "x"}).encode()),
        ("another's sign-off", "POST", "/backends/i-1/sign-off", b"{}"),
    ):
        seen.proxy[word] = parted(await call(proxy, method, path, body))
    seen.proxy["ready"] = parted(await call(f"{proxy_ip}:{mesh.ready}", "GET", "/readiness"))
    seen.proxy["metrics where readiness is"] = parted(await call(f"{proxy_ip}:{mesh.ready}", "GET", "/metrics"))
    seen.failures = json.loads(seen.proxy["failures"][2])
    hello = [1, "127.0.0.1", "0123456789abcdef", False, 0.0]
    seen.updates = await frames(control_ip, mesh.inner, hello, [2, "", 0], wanted=3)
    seen.greeting = await frames(proxy_ip, mesh.inner, hello, wanted=1)
    await end(mesh, seen)
    return seen


async def settled(address: str, method: str, path: str, body: bytes, **headers: str) -> Answer:
    """The answer to a call, made again where a majority was too slow for it: the machine may be a loaded one."""
    async with asyncio.timeout(20.0):
        while True:
            answer = parted(await call(address, method, path, body, **headers))
            if answer[0] not in (503, 504) or not re.search(rb"no-quorum|unclear", answer[2]):
                return answer


async def look_at_requests(mesh: LookedAt, seen: Seen) -> None:
    """Requests that end in each way that can be brought about from outside."""

    async def ask(attempt: str, path: str, **headers: str) -> None:
        headers = {"Host": "mesh.example"} | ({} if attempt == "unnamed" else {"Lugspur_Attempt_Id": attempt}) | headers
        seen.asked[attempt] = await settled(f"{seen.proxy_ip}:{mesh.outgoing}", "GET", path, b"", **headers)

    spoofed = {"Lugspur_Sender": "me", "Lugspur_Deliver_To": "me", "Lugspur_Deliver_By_Ms": "4000"}
    await ask("served", "/look/1", **spoofed)
    await ask("nowhere", "/nowhere/")
    await ask("unnamed", "/look/1")
    await ask("bad-time", "/look/1", Lugspur_Deliver_By_Ms="soon")
    for attempt in ("not-delivered", "misdirected"):
        await ask(attempt, "/look/1")
    for attempt in ("unstamped", "failing"):
        await ask(attempt, "/book/1")
    await ask("keyed", "/book/1", Lugspur_Operation_Key="k")
    await ask("keyed-again", "/book/1", Lugspur_Operation_Key="k")
    first = asyncio.create_task(ask("slow", "/book/1", Lugspur_Operation_Key="s", Lugspur_Deliver_By_Ms="2500"))
    async with asyncio.timeout(20.0):
        while "slow" not in seen.backend.headers:
            await asyncio.sleep(0.01)
    await ask("repeat", "/book/1", Lugspur_Operation_Key="s")
    await first


async def end(mesh: LookedAt, seen: Seen) -> None:
    """The backend closes and signs off, settings are read again, the proxy loses the majority, and all end."""
    path = mesh.folder / f"{seen.proxy_ip}.toml"
    path.write_text(path.read_text().replace("memory_mb = 200", "memory_mb = 201"))
    seen.backend.state = "closing"
    await seen.backend.send_heartbeat()
    await seen.backend.sign_off()
    async with asyncio.timeout(20.0):
        while "event=settings" not in mesh.log(seen.proxy_ip) or "event=requests" not in mesh.log(seen.proxy_ip):
            await asyncio.sleep(0.02)
    seen.exit_statuses.append(mesh.end(seen.proxy_ip, signal.SIGTERM))
    for ip in mesh.replica_ips[1:]:
        mesh.end(ip)
    for word, method, where, body in (
        ("read alone", "GET", "/config/read", b""),
        ("amend alone", "POST", "/config/amend", b'{"upsert":{"notes":[{"name":"n","edition":"00000002"}]}}'),
    ):
        seen.control[word] = parted(await call(f"{seen.control_ip}:{mesh.dispatch}", method, where, body))
    seen.exit_statuses.append(mesh.end(seen.control_ip, signal.SIGTERM))
    seen.log = [line for ip in (seen.control_ip, seen.proxy_ip) for line in mesh.log(ip).splitlines()]


def too_large() -> bytes:
    """More than a sixth of what the smallest disk takes."""
    notes = [{"name": f"n{n}", "edition": "00000001", "text": "x" * 100_000} for n in range(70)]
    return json.dumps({"upsert": {"notes": notes}}).encode()


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Seen]:
    yield asyncio.run(look_at(tmp_path_factory.mktemp("mesh")))


# ---- JSON ---------------------------------------------------------------------------------------


def words(text: str) -> list[str]:
    return text.split()


def types_of(value: Any) -> Any:
    """The types of a JSON value: of a list that of its first element, of an object those of its members."""
    if isinstance(value, dict):
        return {name: types_of(member) for name, member in value.items()}
    return [types_of(value[0])] if isinstance(value, list) and value else type(value)


def told(answer: Answer) -> Any:
    status, headers, body = answer
    assert status == 200 and headers["content-type"] == "application/json"
    return json.loads(body)


def test_the_status_of_a_control_node(seen: Seen) -> None:
    status = told(seen.control["status"])
    assert list(status) == words(
        "node role ip zone uid epoch index voter complete pending voters voters_wanted age_s replicas entries "
        "configuration_bytes claims subscribers disk coordination"
    )
    about = {"uid": str, "zone": str, "leaving": bool, "failing": bool, "disk_bytes": int}
    assert types_of(status) == {
        **dict.fromkeys(("node", "role", "ip", "zone", "uid"), str),
        **dict.fromkeys(("epoch", "index", "voters_wanted", "configuration_bytes", "claims", "subscribers"), int),
        **dict.fromkeys(("voter", "complete", "pending"), bool),
        "voters": [str],
        "age_s": float,
        "replicas": dict.fromkeys(seen.voters, about),
        "entries": dict.fromkeys(("backend", "control", "membership", "routes", "services"), int),
        "disk": {"commits": int, "fault": str},
        "coordination": {
            **dict.fromkeys(("index", "locks", "numbers", "keys", "watches"), int),
            **{"leader": str, "leading": bool, "complete": bool},
        },
    }
    assert (status["role"], status["uid"], status["voters"]) == ("control", "genesis", seen.voters)
    assert status["entries"] == {"backend": 1, "control": 3, "membership": 1, "routes": 2, "services": 1}


def test_the_status_of_a_proxy(seen: Seen) -> None:
    status = told(seen.proxy["status"])
    assert list(status) == words(
        "node role ip zone sender leaving known epoch voters source age_s routes open busy backend backends"
    )
    endpoint = {
        **dict.fromkeys(("id", "service", "ip", "zone"), str),
        "reached": bool,
        "in_flight": int,
        "latency": float,
        "refuses": {"look": float, "book": float},
    }
    assert types_of(status) == {
        **dict.fromkeys(("node", "role", "ip", "zone", "sender", "source"), str),
        **dict.fromkeys(("leaving", "known"), bool),
        **dict.fromkeys(("epoch", "routes", "open", "busy"), int),
        "voters": [str],
        "age_s": float,
        "backend": {"id": str, "service": str, "state": str, "berths": int, "down": bool},
        "backends": [endpoint],
    }
    assert (status["role"], status["sender"], status["backend"]["state"]) == ("proxy", "rooms", "accepting")


def test_the_failures_of_a_proxy(seen: Seen) -> None:
    found = [  # but for those before all was ready, and those that were made again
        record
        for record in told(seen.proxy["failures"])
        if record["attempt"] != "warm" and record["how"] != "no-quorum"
    ]
    assert [record["attempt"] for record in found] == [
        *("nowhere", "", "bad-time", "not-delivered", "misdirected", "unstamped", "failing", "repeat", "slow"),
    ]
    names = words(
        "at attempt how route service keyed claim took_s had_s sends turned_away waited_for edition index epoch "
        "news_age_s steps pick"
    )
    assert all(list(record) == names for record in found)
    records = {record["attempt"]: record for record in found}
    step = {"backend": str, "sent_s": float, "took_s": float, "how": str, "cause": str}
    assert types_of(records["not-delivered"]) == {
        **dict.fromkeys(("attempt", "how", "route", "service", "claim"), str),
        **dict.fromkeys(("at", "took_s", "had_s", "news_age_s"), float),
        **dict.fromkeys(("sends", "turned_away", "edition", "index", "epoch"), int),
        "keyed": bool,
        "waited_for": list,
        "steps": [step],
        "pick": {"known": int, "tried": int, "unreachable": int, "resting": int, "refusals": list},
    }
    assert records["nowhere"]["steps"] == [] and records["nowhere"]["pick"] is None
    assert {
        name: (r["how"], r["claim"], *((s["how"], s["cause"]) for s in r["steps"])) for name, r in records.items()
    } == {
        "nowhere": ("no-route", ""),
        "": ("bad-request", ""),
        "bad-time": ("bad-request", ""),
        "not-delivered": ("no-backend", "", ("not_run", "refused")),
        "misdirected": ("no-backend", "", ("not_run", "refused")),
        "unstamped": ("maybe-ran", "", ("spoilt", "spoilt")),
        "failing": ("backend-failed", "", ("answered", "")),
        "repeat": ("key-busy", "taken"),
        "slow": ("too-late", "won"),
    }
    assert records["slow"]["waited_for"] == [seen.backend.id]


# ---- calls --------------------------------------------------------------------------------------


def test_what_operators_get_for_each_call(seen: Seen) -> None:
    bodies = {word: (answer[0], answer[2].decode()) for word, answer in seen.control.items()}
    assert {word: bodies[word] for word in bodies if word not in ("status", "metrics", "read")} == {
        "no call": (404, '{"error":"no-call","detail":"GET /mesh/failures"}'),
        "cut short": (400, '{"error":"bad-config","detail":"Input data was truncated"}'),
        "incomplete": (400, '{"error":"bad-config","detail":"Object missing required field `edition`"}'),
        "reserved": (400, '{"error":"bad-config","detail":"no items of kind \'backend\'"}'),
        "conflict": (
            409,
            '{"error":"conflict","detail":"routes \'look\' has another content under that edition"}',
        ),
        "in use": (
            400,
            '{"error":"bad-config","detail":"route \'look\' names the unknown service \'rooms\'"}',
        ),
        "too large": bodies["too large"],
        "amend": (200, "{}"),
        "read alone": (503, '{"error":"no-quorum","detail":"too few voters answered"}'),
        "amend alone": bodies["amend alone"],
    }
    assert bodies["too large"][0] == 413 and json.loads(bodies["too large"][1])["error"] == "too-large"
    # What becomes of it depends on whether a voter answered before it was gone.
    alone = json.loads(bodies["amend alone"][1])
    assert (bodies["amend alone"][0], alone["error"]) in ((503, "no-quorum"), (504, "unclear"))
    assert set(alone) == {"error", "detail"}
    assert seen.control["read alone"][1]["retry-after"] == "0.25"
    assert all(answer[1]["content-type"] == "application/json" for w, answer in seen.control.items() if w != "metrics")
    read = told(seen.control["read"])
    assert list(read) == ["routes", "services"] and [route["name"] for route in read["routes"]] == ["look", "book"]
    assert read["routes"][0] == Mesh.route("look", "safe")


def test_what_backends_and_operators_get_from_a_proxy(seen: Seen) -> None:
    bodies = {word: (answer[0], answer[2].decode()) for word, answer in seen.proxy.items()}
    assert {word: bodies[word] for word in bodies if word not in ("status", "failures") and "metrics" not in word} == {
        "read": (307, "{}"),
        "amend": (307, "{}"),
        "no call": (404, '{"error":"no-call","detail":"GET /config/amend"}'),
        "bad heartbeat": (400, '{"error":"bad-request","detail":"Object missing required field `service`"}'),
        "bad address": (
            400,
            '{"error":"bad-request","detail":"\'x\' is not an address of the form host:port"}',
        ),
        "another's sign-off": (200, "{}"),
        "ready": (200, "{}"),
    }
    locations = {word: seen.proxy[word][1]["location"] for word in ("read", "amend")}
    hosts = {word: re.fullmatch(r"http://([\d.]+):\d+(/.*)", found) for word, found in locations.items()}
    assert all(found and found[1] in seen.voters for found in hosts.values())
    assert {word: found and found[2] for word, found in hosts.items()} == {
        "read": "/config/read?x=1",
        "amend": "/config/amend",
    }
    assert seen.proxy["metrics where readiness is"][0] == 200
    assert seen.exit_statuses == [0, 0]


def test_the_status_of_each_error() -> None:
    assert {
        kind.value: (row.status, row.retry_after_seconds, row.spreads_retries) for kind, row in RESPONSES.items()
    } == {
        "no-route": (404, 0.0, False),
        "bad-request": (400, 0.0, False),
        "bad-config": (400, 0.0, False),
        "too-large": (413, 0.0, False),
        "conflict": (409, 0.0, False),
        "no-call": (404, 0.0, False),
        "not-ready": (503, 0.25, False),
        "no-backend": (503, 0.25, True),
        "no-quorum": (503, 0.25, False),
        "unclear": (504, 0.0, False),
        "too-many": (429, 0.25, False),
        "lock-held": (409, 0.0, False),
        "lock-lost": (409, 0.0, False),
        "key-missing": (404, 0.0, False),
        "history-gone": (410, 0.0, False),
        "key-busy": (409, 0.25, False),
        "key-spent": (503, 0.25, False),
        "maybe-ran": (502, 0.0, False),
        "bad-answer": (502, 0.0, False),
        "too-late": (504, 0.0, False),
        "leaving": (503, 0.25, False),
        "settings": (500, 0.0, False),
        "state": (500, 0.0, False),
    }


# ---- headers ------------------------------------------------------------------------------------


def test_the_reserved_headers_of_requests(seen: Seen) -> None:
    assert {name: (status, body) for name, (status, _, body) in seen.asked.items() if status != 200} == {
        "nowhere": (404, b"no-route\n"),
        "unnamed": (400, b"bad-request\n"),
        "bad-time": (400, b"bad-request\n"),
        "not-delivered": (503, b"no-backend\n"),
        "misdirected": (503, b"no-backend\n"),
        "unstamped": (502, b"maybe-ran\n"),
        "failing": (500, b""),
        "slow": (504, b"too-late\n"),
        "repeat": (409, b"key-busy\n"),
    }
    assert {name for name, (_, headers, _) in seen.asked.items() if "retry-after" in headers} == {
        "not-delivered",
        "misdirected",
        "repeat",
    }
    sent = seen.backend.headers["served"]  # what a caller says of itself is set anew
    assert {name: value for name, value in sent.items() if name.startswith("lugspur-")} == {
        "lugspur-attempt-id": "served",
        "lugspur-sender": "rooms",
        "lugspur-deliver-to": seen.backend.id,
        "lugspur-deliver-by-ms": sent["lugspur-deliver-by-ms"],
    }
    assert 0 < int(sent["lugspur-deliver-by-ms"]) <= 4000 and sent["host"] == "mesh.example"
    assert seen.backend.headers["keyed"]["lugspur-operation-key"] == "k"
    assert "keyed-again" not in seen.backend.headers  # it got the answer that the first one had
    assert seen.asked["keyed-again"] == seen.asked["keyed"]
    assert {name for name in seen.asked["served"][1] if name.startswith("lugspur-")} == {
        "lugspur-attempt-id",
        "lugspur-postmark",
        "lugspur-delivered-by",
    }


# ---- metrics ------------------------------------------------------------------------------------

INVARIANTS = {
    *("one-answer", "sent-while-open", "run-once", "tries", "claim-won", "released-unrun", "in-flight", "offered-once"),
    *("proven-unrun", "one-exchange", "index-rises", "editions-rise", "epochs-rise", "one-voter-at-a-time"),
    *("confirmed-stands", "row-fits", "one-holder"),
    *("fences-rise", "numbers-rise", "revisions-rise", "one-change"),
}


def metrics_of(answer: Answer) -> tuple[dict[str, str], dict[str, set[str]]]:
    """The type of each metric, and the values of its label, as `name{label}`."""
    assert answer[0] == 200 and answer[1]["content-type"] == "text/plain; version=0.0.4; charset=utf-8"
    text = answer[2].decode()
    labels = defaultdict(set)
    for name, label, value in re.findall(r'^(\w+)\{(\w+)="([^"]*)"', text, re.M):
        labels[f"{name}{{{label}}}"].add(value)
    return dict(re.findall(r"^# TYPE (\w+) (\w+)$", text, re.M)), dict(labels)


def test_the_metrics_of_a_control_node(seen: Seen) -> None:
    types, labels = metrics_of(seen.control["metrics"])
    assert types == {
        "lugspur_orders_total": "counter",
        "lugspur_reads_total": "counter",
        "lugspur_calls_total": "counter",
        "lugspur_unknown_calls_total": "counter",
        "lugspur_operator_calls_open": "gauge",
        "lugspur_proposals_total": "counter",
        "lugspur_disk_commits_total": "counter",
        "lugspur_disk_failures_total": "counter",
        "lugspur_stalls_total": "counter",
        "lugspur_disk_failing": "gauge",
        "lugspur_configuration_index": "gauge",
        "lugspur_membership_epoch": "gauge",
        "lugspur_voter": "gauge",
        "lugspur_complete": "gauge",
        "lugspur_change_pending": "gauge",
        "lugspur_news_age_seconds": "gauge",
        "lugspur_claims": "gauge",
        "lugspur_subscribers": "gauge",
        "lugspur_peers_up": "gauge",
        **dict.fromkeys(
            (
                *("lugspur_coordination_answers_total", "lugspur_coordination_elections_total"),
                *("lugspur_coordination_batches_total", "lugspur_coordination_disk_commits_total"),
                "lugspur_coordination_disk_failures_total",
            ),
            "counter",
        ),
        **dict.fromkeys(
            (
                *("lugspur_coordination_calls_open", "lugspur_coordination_watches", "lugspur_coordination_index"),
                *("lugspur_coordination_leading", "lugspur_coordination_complete", "lugspur_coordination_locks"),
                *("lugspur_coordination_keys", "lugspur_coordination_puts", "lugspur_coordination_state_bytes"),
            ),
            "gauge",
        ),
        "lugspur_invariant_violations_total": "counter",
    }
    labels["lugspur_orders_total{how}"] -= {"no-quorum", "unclear"}  # where a call was made again
    labels["lugspur_reads_total{how}"] -= {"no-quorum"}
    calls = labels.pop("lugspur_calls_total{call}")
    assert calls >= {"POST /config/amend", "GET /config/read", "GET /mesh/status", "GET /metrics"}
    assert labels == {
        "lugspur_orders_total{how}": {"confirmed", "conflict", "bad-config", "too-large"},
        "lugspur_reads_total{how}": {"answered"},
        "lugspur_invariant_violations_total{invariant}": INVARIANTS,
    }


def test_the_metrics_of_a_proxy(seen: Seen) -> None:
    types, labels = metrics_of(seen.proxy["metrics"])
    assert types == metrics_of(seen.proxy["metrics where readiness is"])[0]
    assert types == {
        "lugspur_requests_total": "counter",
        "lugspur_rejections_total": "counter",
        "lugspur_gate_unanswered_total": "counter",
        "lugspur_requests_open": "gauge",
        "lugspur_gate_in_hand": "gauge",
        "lugspur_uploads_open": "gauge",
        "lugspur_body_memory_bytes": "gauge",
        "lugspur_bodies_waiting": "gauge",
        "lugspur_callers": "gauge",
        "lugspur_claims_open": "gauge",
        "lugspur_routes": "gauge",
        "lugspur_backends": "gauge",
        "lugspur_peers_up": "gauge",
        "lugspur_configuration_index": "gauge",
        "lugspur_membership_epoch": "gauge",
        "lugspur_news_age_seconds": "gauge",
        "lugspur_news_sources_total": "counter",
        "lugspur_leaving": "gauge",
        "lugspur_backend_silent_seconds": "gauge",
        "lugspur_invariant_violations_total": "counter",
        "lugspur_request_seconds": "histogram",
    }
    labels["lugspur_requests_total{how}"] -= {"no-quorum", "not-ready"}  # where a request was made again
    assert labels == {
        "lugspur_requests_total{how}": {
            *("answered", "no-route", "bad-request", "no-backend", "maybe-ran", "key-busy", "too-late", "none-ready"),
            "backend-failed",
        },
        "lugspur_gate_unanswered_total{cause}": {"refused", "spoilt", "timed_out"},
        "lugspur_invariant_violations_total{invariant}": INVARIANTS,
        "lugspur_request_seconds_bucket{le}": {
            *("0.005", "0.01", "0.025", "0.05", "0.1", "0.25", "0.5", "1.0", "2.5", "5.0", "10.0", "+Inf"),
        },
    }


def test_the_causes_of_gates_by_number() -> None:
    assert {cause.value: cause.label for cause in FailureCause} == {
        **{0: "none", 1: "expired", 2: "not_taken", 3: "no_room", 4: "evicted", 5: "hopeless", 6: "refused"},
        **{7: "unreachable", 8: "timed_out", 9: "broken", 10: "spoilt", 11: "cancelled", 12: "link_lost"},
        **{13: "upload", 14: "never_came"},
    }


# ---- between processes --------------------------------------------------------------------------


def test_what_processes_say_of_themselves(seen: Seen) -> None:
    """Leased entries, as one who subscribes gets them: their kinds, names and values."""
    tag, incarnation, upto, sent, age, index, pending, votes, complete, whole, entries, echo = seen.updates
    assert (tag, index, pending, votes, complete, whole, echo) == (3, 3, False, True, 1, True, 0.0)
    assert re.fullmatch("[0-9a-f]{16}", incarnation) and upto >= 8 and sent > 0.0 and 0.0 <= age < 20.0
    values = {(kind, name): value for kind, name, _, value in entries}
    disk_bytes = 40265318
    assert msgspec.msgpack.decode(values["control", seen.control_ip]) == ["genesis", "z1", False, False, disk_bytes]
    ident, service, zone, state, berths, cold, rate = msgspec.msgpack.decode(values["backend", seen.proxy_ip])
    assert (ident, service, zone, state, berths) == (seen.backend.id, "rooms", "z1", "accepting", 9)
    assert (cold, rate) == (0.0, 1e6)
    editions = {(kind, name): edition for kind, name, edition, _ in entries}
    assert all(edition > 10**12 for (kind, _), edition in editions.items() if kind in ("backend", "control"))


def test_how_a_proxy_greets_one_who_dials(seen: Seen) -> None:
    tag, ip, incarnation, keeps, sent = seen.greeting
    assert (tag, ip, keeps, sent) == (1, seen.proxy_ip, False, 0.0)
    assert re.fullmatch("[0-9a-f]{16}", incarnation)


# ---- the log ------------------------------------------------------------------------------------

#: The keys of each event, as far as they are always there.
EVENTS = {
    "amend": "bytes fault index",
    "backend": "id service address state",
    "backend-down": "id",
    "backend-silent": "id",
    "bounds": "fault",
    "closing": "id",
    "complete": "epoch claims",
    "contracts": "unserved",
    "control": "uid epoch index rows",
    "coordination-complete": "epoch index",
    "coordination-leader": "leading epoch proposal",
    "disk": "fault rows",
    "forward": "peer n",
    "frame": "peer size fault",
    "invariant": "violated",
    "late-heartbeat": "id sequence state",
    "leaving": "",
    "left": "flights busy after",
    "life": "peer life",
    "lock-granted": "lock holder fence",
    "lock-lost": "lock holder fence",
    "membership": "epoch voters",
    "news-lost": "source age",
    "outcomes": "peer",
    "part": "peer fault",
    "reconfiguration": "epoch voters outcome",
    "request-failed": (
        "attempt how route service claim took had sends turned_away waited_for pick edition index epoch news_age steps "
        "untold"
    ),
    "requests": "turned evicted hopeless busy open",
    "serving": "ip keeps first",
    "set-aside": "fault to",
    "settings": "fault seeds service",
    "sign-off": "id",
    "stopped": "code fault",
    "unknown-call": "method path calls",
    "woken": "after",
}
WARNINGS = {
    *(
        "bounds",
        "contracts",
        "disk",
        "forward",
        "frame",
        "invariant",
        "life",
        "outcomes",
        "part",
        "set-aside",
        "settings",
        "stopped",
        "unknown-call",
    ),
    "woken",
}
LINE = re.compile(r"\d\d:\d\d:\d\d\.\d{6} node=(?:replica|proxy)-\d level=(INFO|WARNING) event=([a-z-]+)(.*)")


def test_the_events_of_the_log_and_their_keys() -> None:
    """All calls that write one, in the source: also of those that are rare."""
    found: dict[str, set[str]] = defaultdict(set)
    warnings = set()
    for path in sorted((ROOT / "lugspur").rglob("*.py")):
        for node in ast.walk(parse_source(path)):
            if not isinstance(node, ast.Call) or ast.unparse(node.func) not in ("events.info", "events.warn"):
                continue
            event = ast.literal_eval(node.args[0])
            found[event] |= {keyword.arg for keyword in node.keywords if keyword.arg}
            if ast.unparse(node.func) == "events.warn":
                warnings.add(event)
    assert {event: " ".join(sorted(keys)) for event, keys in found.items()} == {
        event: " ".join(sorted(keys.split())) for event, keys in EVENTS.items()
    }
    assert warnings == WARNINGS


def test_the_operators_page_lists_all_events_with_their_levels() -> None:
    page = (ROOT / "docs" / "mesh-operating.md").read_text()
    listed: dict[str, str] = {}
    for names, level in re.findall(r"^\| ((?:`[a-z-]+`(?:, )?)+) \| (info|warning|info, warning) \|", page, re.M):
        listed |= dict.fromkeys(re.findall(r"`([a-z-]+)`", names), level)
    assert listed.keys() == EVENTS.keys()
    assert {event for event, level in listed.items() if "warning" in level} == WARNINGS


def test_the_lines_of_the_log(seen: Seen) -> None:
    found = {}
    for line in seen.log:
        match = LINE.fullmatch(line)
        if not match:
            assert not line  # logbook puts an empty line behind some
            continue
        keys = re.findall(r'([\w-]+)=(?:"(?:[^"\\]|\\.)*"|[^ "]*)', match[3])
        known = EVENTS[match[2]].split(" ")
        assert [key for key in keys if key in known] == [key for key in known if key in keys], line
        found[match[2]] = match[1]
    assert {event for event, level in found.items() if level == "INFO"} >= {
        *("membership", "control", "serving", "amend", "leaving"),
        *("backend", "closing", "sign-off", "request-failed", "requests", "settings", "left"),
    }


# ---- settings -----------------------------------------------------------------------------------

SETTINGS = """
[self]
node_name = "n"
ip = "10.1.0.13"
zone = "north"
serves = ["dispatch"]
machine_class = "sorting"
role = "control"
counted = true
first_start = true
app_address = "10.1.0.13:9000"
service = "rooms"
data_dir = "/data"
[self.limits]
cpu_share = 0.25
memory_mb = 1
file_handles = 2
disk_mb = 3
link_mbps = 4.5
[network]
inner_ports = [7620, 7635]
seed_nodes = ["10.1.0.14:8306"]
zones = { north = "east" }
[network.listen]
incoming = "10.1.0.13:1"
outgoing = "10.1.0.13:2"
readiness = "10.1.0.13:3"
dispatch = "10.1.0.13:4"
inner = "10.1.0.13:5"
[depot]
heartbeat_ms = 1
[tariffs]
contracts = ["c"]
[tariffs.tolerate]
machines = 1
zones = 2
regions = 3
[tariffs.bounds]
contact_ms = 1
receipt_ms = 2
catch_up_s = 3
drain_ms = 4
grace_s = 5
edition_ms = 6
fallback_ms = 7
retry_ratio = 8
retry_window_s = 9
retry_slack = 10
stamp_window_s = 11
seed_lag_s = 12
history_s = 13
"""
SMALL = """
[self]
node_name = "n"
ip = "10.1.0.13"
zone = "north"
serves = ["courier"]
[network]
inner_ports = [7620]
seed_nodes = ["10.1.0.14:8306"]
"""


def tables(text: str) -> dict[str, Any]:
    found = dataclasses.asdict(parse_settings(tomllib.loads(text)))
    return {"self": found.pop("own")} | found


def test_all_keys_of_the_settings_file_are_read() -> None:
    """Each has another value than it has where it is left out, so that one which is passed over is seen."""
    assert tables(SETTINGS) == tomllib.loads(SETTINGS)
    assert tables(SMALL) == {
        "self": {
            **{"node_name": "n", "ip": "10.1.0.13", "zone": "north", "serves": ["courier"], "machine_class": ""},
            **{"role": "", "counted": False, "first_start": False, "app_address": "", "service": "", "data_dir": ""},
            "limits": {"cpu_share": 1.0, "memory_mb": 256, "file_handles": 1024, "disk_mb": 0, "link_mbps": 0.0},
        },
        "network": {
            **{"inner_ports": [7620], "seed_nodes": ["10.1.0.14:8306"], "zones": {}},
            "listen": dict.fromkeys(("incoming", "outgoing", "readiness", "dispatch", "inner"), ""),
        },
        "depot": {"heartbeat_ms": 1500.0},
        "tariffs": {
            "contracts": [],
            "tolerate": {"machines": 0, "zones": 0, "regions": 0},
            "bounds": {
                **{"contact_ms": 3000.0, "receipt_ms": 4000.0, "catch_up_s": 4.0, "drain_ms": 2000.0, "grace_s": 6.0},
                **{"edition_ms": 2000.0, "fallback_ms": 250.0, "retry_ratio": 0.2, "retry_window_s": 10.0},
                **{"retry_slack": 10.0, "stamp_window_s": 60.0, "seed_lag_s": 3.0, "history_s": 20.0},
            },
        },
    }


def test_the_deploy_file() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert list(deploy) == ["packages", "build", "roles"]
    assert deploy["packages"] == ["coreutils", "dash", "diffutils", "libc6", "libgcc-s1", "python3", "python3-pip"]
    assert deploy["build"].startswith("cmp -s requirements-mesh.txt target/built || ")
    assert deploy["roles"] == {
        "sidecar": {
            "run": "python3 -m lugspur.mesh serve",
            "on": "courier",
            "serves": ["courier"],
            "metrics": "8306/metrics",
        },
        "control": {
            "run": "python3 -m lugspur.mesh serve",
            "on": "sorting",
            "share": 1.0,
            "serves": ["dispatch"],
            "metrics": "8306/metrics",
        },
    }


# ---- the command line ---------------------------------------------------------------------------


def help_of(*words: str) -> str:
    ended = subprocess.run(
        [sys.executable, "-m", "lugspur.mesh", *words, "--help"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 0
    return ended.stdout


@pytest.mark.parametrize(
    ("command", "listed"),
    [
        ("", "amend check failures keys locks metrics numbers read replica serve show"),
        ("replica", "check export show"),
        ("locks", "show"),
        ("numbers", "show"),
        ("keys", "show"),
        ("locks show", "ADDRESS --address --as-json --no-as-json"),
        ("numbers show", "ADDRESS --address --as-json --no-as-json"),
        ("keys show", "ADDRESS --address --as-json --no-as-json"),
        ("check", "PATH --path"),
        ("show", "ADDRESS --address --as-json --no-as-json --watch"),
        ("failures", "ADDRESS --address --as-json --no-as-json"),
        ("metrics", "ADDRESS --address"),
        ("read", "ADDRESS --address"),
        ("amend", "ADDRESS --address PATH --path"),
        ("serve", ""),
        ("replica check", "FOLDER --folder"),
        ("replica show", "FOLDER --folder --as-json --no-as-json"),
        ("replica export", "FOLDER --folder"),
    ],
)
def test_the_commands_and_their_options(command: str, listed: str) -> None:
    text = help_of(*command.split())
    assert text.startswith("Usage: python -m lugspur.mesh" + f" {command}".rstrip())
    _, _, rows = text.partition("\n╭")
    if command in ("", "replica", "locks", "numbers", "keys"):
        found = set(re.findall(r"^│ (?:\* +)?([a-z]+) ", rows, re.M))
    else:
        found = set(re.findall(r"(?<![\w-])(?:--[a-z-]+|[A-Z]{4,})(?![\w-])", rows))
    assert found - {"--help", "--version", "FLOAT"} == set(listed.split())


def test_a_settings_file_is_named_by_a_variable_or_lies_at_a_fixed_path(tmp_path: Path) -> None:
    run = [sys.executable, "-m", "lugspur.mesh", "serve"]
    path = str(tmp_path / "none.toml")
    named = subprocess.run(run, cwd=ROOT, capture_output=True, env={"LUGSPUR_NODE_FILE": path}, timeout=60)
    assert named.returncode == 2 and path.encode() in named.stderr
    if not Path("/etc/lugspur/settings.toml").exists():
        unnamed = subprocess.run(run, cwd=ROOT, capture_output=True, env={}, timeout=60)
        assert unnamed.returncode == 2 and b"/etc/lugspur/settings.toml" in unnamed.stderr
