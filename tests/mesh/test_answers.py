"""Backends that break off, fall silent, answer twice or late, and proxies that freeze or end, against real processes.

Whatever happens, each caller gets its own answer or none, what may not be repeated runs once at most, and a status that
promises that a request has not run is kept.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import socket
import struct
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from lugspur.bench import mesh as bench
from lugspur.bench.mesh import Mesh, call
from lugspur.standins.mesh import MeshBackend

PROMISES = {408, 421, 429, 503}  # it has not run and never will
KINDS = {
    "look": "safe",
    "pay": "unsafe",
    "book": "tracked",
    "tell": "unsafe",
}  # by route; `tell` makes a call of its own
CUTS = ["nothing", "status", "head", "body", "last"]
# Those on connections that are kept come first: after one that breaks, none is kept for some seconds.
TROUBLES = [
    "good",
    "surplus",
    "refusal",
    "twice",
    "silent",
    "race",
    *(f"{how}-{cut}" for how in ("reset", "close") for cut in CUTS),
]
GIVEN = 0.7  # seconds that a caller gives


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Troubled(MeshBackend):
    """Does what the second segment of a request's path says."""

    outgoing = ""  # where calls of its own go

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
                await reader.readexactly(int(headers.get("content-length", "0")))
                _, route, trouble, *_ = [*lines[0].split(" ")[1].split("/"), "good"]
                if route == "tell":
                    await self._tell(headers["lugspur-attempt-id"], trouble)
                answer = await self._respond(headers, b"")
                if not await self._give(reader, writer, trouble, answer):
                    break
        writer.close()

    async def _tell(self, parent: str, trouble: str) -> None:
        told: dict[str, Any] = {
            "Host": "mesh.example",
            "Lugspur-Attempt-Id": f"{parent}-nested",
            "Lugspur-Deliver-By-Ms": "500",
        }
        status, _, body = await call(self.outgoing, "GET", f"/pay/{trouble}/", **told)
        assert status != 200 or f"ran {parent}-nested ".encode() in body

    async def _give(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, trouble: str, answer: bytes
    ) -> bool:
        """Whether the connection goes on."""
        how, _, cut = trouble.partition("-")
        head = answer.index(b"\r\n\r\n") + 4
        if how in ("reset", "close"):
            ends = {"nothing": 0, "status": 8, "head": head // 2, "body": (head + len(answer)) // 2, "last": -1}
            writer.write(answer[: ends[cut]])
            if how == "reset":
                reset(writer)
            return False
        if how == "silent":
            await reader.read()  # until its proxy gives it up
            return False
        writer.write(answer)
        if how == "twice":
            writer.write(answer)
        elif how == "race":  # it closes just as the next request comes
            await reader.read(1)
            reset(writer)
            return False
        elif how in ("surplus", "refusal"):  # behind the answer, in the place of the next one
            following = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            nameless = b"HTTP/1.1 503 X\r\nLugspur-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n"
            writer.write(answer if how == "surplus" else nameless)
            self.ran.append(following.partition("lugspur-attempt-id: ")[2].partition("\r\n")[0])  # and runs
            return False
        return True


class Clients:
    """What clients sent and got."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.got: dict[str, int] = {}
        self.keys: dict[str, set[str]] = {}  # the attempts of each operation

    async def ask(self, ip: str, route: str, trouble: str, attempt: str, key: str = "") -> int:
        told: dict[str, Any] = {"Lugspur-Operation-Key": key} if key else {}
        if key:
            self.keys.setdefault(key, set()).add(attempt)
        self.got[attempt] = 0  # no answer
        with suppress(OSError, IndexError, ValueError):
            status, _, body = await call(
                f"{ip}:{self.mesh.outgoing}",
                "GET",
                f"/{route}/{trouble}/",
                Host="mesh.example",
                Lugspur_Attempt_Id=attempt,
                Lugspur_Deliver_By_Ms=str(int(GIVEN * 1000)),
                **told,
            )
            self.got[attempt] = status
            if status == 200:
                ran = body.split(b" ")[2].decode()
                assert body.endswith(b"\n") and ran in (self.keys[key] if key else {attempt}), (attempt, body)
        return self.got[attempt]

    def check(self, ran: Counter[str]) -> None:
        """Nothing ran twice that may not, and promises were kept."""
        once = {attempt: count for attempt, count in ran.items() if attempt[:4] != "look"}
        assert not {attempt for attempt, count in once.items() if count > 1}
        for key, attempts in self.keys.items():
            assert sum(ran[attempt] for attempt in attempts) <= 1, (key, {a: self.got[a] for a in attempts})
        broken = {a for a, status in self.got.items() if status in PROMISES and a[:4] != "look" and ran[a]}
        assert not broken


async def settled(mesh: Mesh) -> Counter[str]:
    """What has run once nothing more does."""
    before = -1
    while (now := sum(len(backend.ran) for backend in mesh.backends)) != before:
        before = now
        await asyncio.sleep(GIVEN)
    return Counter(attempt for backend in mesh.backends for attempt in backend.ran)


@pytest.fixture
def troubled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bench, "MeshBackend", Troubled)


async def begin(mesh: Mesh, service: str = "rooms") -> None:
    await mesh.begin()
    for ip, backend in zip(mesh.proxy_ips, mesh.backends, strict=True):
        assert isinstance(backend, Troubled)
        backend.outgoing = f"{ip}:{mesh.outgoing}"
    routes = [mesh.route(name, kind, "00000002", service=service) for name, kind in KINDS.items()]
    await mesh.amend({"routes": routes})
    for ip in mesh.proxy_ips:
        for name in KINDS:
            await mesh.served(ip, f"/{name}/good/", f"{name}-first-{ip}")


def play(folder: Path, services: tuple[str, ...], what: object) -> None:
    async def run() -> None:
        mesh = Mesh(folder, 3, services)
        try:
            async with asyncio.timeout(60.0):
                await begin(mesh, services[-1])
                await what(mesh)  # type: ignore[operator]
        finally:
            await mesh.close()

    asyncio.run(run())


@pytest.mark.usefixtures("troubled")
def test_no_answer_reaches_another_and_nothing_runs_twice_whatever_backends_do(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        clients = Clients(mesh)
        one, other = mesh.proxy_ips
        for trouble in TROUBLES:
            asked: list[Coroutine[Any, Any, int]] = []
            for route, beside in itertools.product(KINDS, range(3)):
                for ip in (one, other):
                    told = trouble if beside == 0 else "good"  # the others go on beside it, on the same connections
                    key = f"key-{trouble}-{beside}-{ip}" if route == "book" else ""
                    asked.append(clients.ask(ip, route, told, f"{route}-{trouble}-{beside}-{ip}", key))
            await asyncio.gather(*asked)
            keys = [f"key-{trouble}-{beside}-{ip}" for beside in range(3) for ip in (one, other)]
            await asyncio.gather(
                *(clients.ask(ip, "book", "good", f"book-{key}-{ip}", key) for key in keys for ip in (one, other))
            )
        ran = await settled(mesh)
        clients.check(ran)
        statuses = Counter(clients.got.values())
        assert statuses[200] > len(clients.got) / 4 and statuses[502] and statuses[504]  # trouble came about
        for route in KINDS:
            assert await clients.ask(one, route, "good", f"{route}-last", f"key-{route}") in (200, 409, 502, 503)

    play(tmp_path, ("rooms", "rooms"), what)


@pytest.mark.usefixtures("troubled")
def test_a_proxy_that_wakes_from_a_freeze_runs_nothing_of_before(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        clients = Clients(mesh)
        one, frozen = mesh.proxy_ips  # the only backend of the service is beside the second
        process = mesh.processes[frozen]
        process.send_signal(signal.SIGSTOP)
        asked = [
            asyncio.create_task(clients.ask(ip, route, "good", f"{route}-{ip}-{n}", f"{ip}-{n}" * (route == "book")))
            for ip in (one, frozen)
            for route in KINDS
            for n in range(4)
        ]
        await asyncio.sleep(2.5)  # over the time of each request, and what counts as a freeze
        process.send_signal(signal.SIGCONT)
        await asyncio.gather(*asked)
        ran = await settled(mesh)
        assert not set(clients.got) & set(ran), {a: clients.got[a] for a in set(clients.got) & set(ran)}
        assert 200 not in clients.got.values()
        await mesh.served(one, "/pay/good/", "pay-after")
        await mesh.served(frozen, "/pay/good/", "pay-after-too")

    play(tmp_path, ("rooms", "desk"), what)


@pytest.mark.usefixtures("troubled")
def test_what_was_under_way_to_a_proxy_that_is_killed_runs_once_and_no_later_answer_is_anothers(
    tmp_path: Path,
) -> None:
    async def what(mesh: Mesh) -> None:
        clients = Clients(mesh)
        one, killed = mesh.proxy_ips
        mesh.backends[1].work = 0.3
        for life in range(2):
            asked = [
                asyncio.create_task(
                    clients.ask(one, route, "good", f"{route}-{life}-{n}", f"k-{life}-{n}" * (route == "book"))
                )
                for route in KINDS
                for n in range(5)
            ]
            before = len(mesh.backends[1].ran)
            while len(mesh.backends[1].ran) < before + 8:
                await asyncio.sleep(0.01)
            mesh.end(killed)
            mesh.start(killed)
            await asyncio.gather(*asked)
            again = [clients.ask(one, "book", "good", f"book-{life}-{n}-again", f"k-{life}-{n}") for n in range(5)]
            await asyncio.gather(*again)
            await mesh.served(one, "/pay/good/", f"pay-after-{life}")
        clients.check(await settled(mesh))
        assert 502 in clients.got.values()

    play(tmp_path, ("rooms", "desk"), what)
