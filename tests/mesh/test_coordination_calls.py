"""Locks, numbers, keys and watches as applications call them, at any control node of a mesh of processes."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from meshplay import play

from lugspur.bench.mesh import Mesh, call
from lugspur.mesh.client import (
    CallRefusedError,
    CoordinationClient,
    KeyValue,
    LockLostError,
    LockTimeoutError,
    NoAnswerError,
    RevisionMismatchError,
)
from lugspur.mesh.control_node.process import COORDINATION_CONTACT_SECONDS

ANSWERED_WITHIN_SECONDS = 20.0  # a call that is repeated at all addresses, on a loaded machine too
RETRY_DELAY_SECONDS = 0.05
HOLD_SECONDS = 1.0
SERVICES = ("rooms",)  # of the only proxy


async def ask(
    mesh: Mesh, node: int, method: str, path: str, body: dict[str, Any] | None = None
) -> tuple[int, dict[str, Any]]:
    """Make one call at one control node: the status, and the body as JSON."""
    data = b"" if body is None else json.dumps(body).encode()
    address = f"{mesh.replica_ips[node]}:{mesh.dispatch}"
    status, _, answer = await call(address, method, path, data, Content_Type="application/json")
    return status, json.loads(answer or b"{}")


async def answered(
    mesh: Mesh, method: str, path: str, body: dict[str, Any] | None = None, first: int = 0
) -> tuple[int, dict[str, Any]]:
    """Make one call, at one control node after the other until it has a clear answer, as applications do."""
    node = first
    async with asyncio.timeout(ANSWERED_WITHIN_SECONDS):
        while True:
            with suppress(OSError, IndexError, ValueError, TimeoutError):
                async with asyncio.timeout(1.0):
                    status, found = await ask(mesh, node % len(mesh.replica_ips), method, path, body)
                    if status < 500 and status != 429:
                        return status, found
            node += 1
            await asyncio.sleep(RETRY_DELAY_SECONDS)


def test_every_kind_of_call_is_served_at_every_control_node_over_the_kill_of_all(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        status, granted = await answered(mesh, "POST", "/locks/l1/open", {"holder": "a", "hold_ms": 2000}, 0)
        assert status == 200
        assert (await answered(mesh, "POST", "/locks/l1/open", {"holder": "b", "hold_ms": 2000}, 1))[0] == 409
        renewal = {"holder": "a", "fence": granted["fence"], "hold_ms": 2000}
        assert (await answered(mesh, "POST", "/locks/l1/heartbeat", renewal, 2))[0] == 200
        close = {"holder": "a", "fence": granted["fence"]}
        assert (await answered(mesh, "POST", "/locks/l1/close", close, 1))[0] == 200
        taken = [(await answered(mesh, "POST", "/numbers/n1", {}, node))[1]["value"] for node in range(3)]
        assert taken == sorted(set(taken))
        status, put = await answered(mesh, "POST", "/cells/g1.a/replace", {"value": "v1", "enabled": 0}, 1)
        assert status == 200 and put["revision"] >= 1
        for ip in mesh.replica_ips:
            mesh.end(ip)
        for ip in mesh.replica_ips:
            mesh.start(ip)
        status, found = await answered(mesh, "GET", "/cells/g1.a/read", None, 2)
        assert (status, found) == (200, {"value": "v1", "revision": put["revision"]})
        status, number = await answered(mesh, "POST", "/numbers/n1", {}, 0)
        assert status == 200 and number["value"] > taken[-1]
        status, again = await answered(mesh, "POST", "/locks/l1/open", {"holder": "b", "hold_ms": 500}, 1)
        assert status == 200 and again["fence"] > granted["fence"]
        began = time.monotonic()
        status, watched = await answered(mesh, "GET", "/watch/g1.?after=0&wait_ms=2000", None, 2)
        assert (status, watched["revision"]) == (200, put["revision"])
        assert time.monotonic() - began < ANSWERED_WITHIN_SECONDS

    play(tmp_path, what, services=SERVICES)


async def watched(mesh: Mesh, group: str, after: int) -> list[str]:
    """Watch a group, at one control node after the other, until there are puts: their values."""
    while True:
        _, answer = await answered(mesh, "GET", f"/watch/{group}?after={after}&wait_ms=500")
        if answer["events"]:
            return [event["value"] for event in answer["events"]]


async def leader_of(mesh: Mesh) -> str:
    """The IP number of the control node that leads coordination, once one does."""
    async with asyncio.timeout(ANSWERED_WITHIN_SECONDS):
        while True:
            for node, ip in enumerate(mesh.replica_ips):
                with suppress(OSError, IndexError, ValueError):
                    _, status = await ask(mesh, node, "GET", "/mesh/status")
                    if status["coordination"]["leading"]:
                        return ip
            await asyncio.sleep(RETRY_DELAY_SECONDS)


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
def test_what_was_acknowledged_stays_and_calls_go_on_when_the_leader_goes(tmp_path: Path, how: signal.Signals) -> None:
    async def what(mesh: Mesh) -> None:
        _, granted = await answered(mesh, "POST", "/locks/l1/open", {"holder": "a", "hold_ms": 60_000})
        _, number = await answered(mesh, "POST", "/numbers/n1", {})
        _, put = await answered(mesh, "POST", "/cells/g1.a/replace", {"value": "v1"})
        leader = await leader_of(mesh)
        watching = asyncio.create_task(watched(mesh, "g1.", put["revision"]))
        if how is signal.SIGSTOP:
            mesh.processes[leader].send_signal(how)
        else:
            mesh.end(leader, how)
        _, again = await answered(mesh, "POST", "/cells/g1.a/replace", {"value": "v2", "enabled": put["revision"]})
        assert again["revision"] > put["revision"]
        assert await watching == ["v2"]
        assert (await answered(mesh, "POST", "/numbers/n1", {}))[1]["value"] > number["value"]
        assert (await answered(mesh, "POST", "/locks/l1/open", {"holder": "b", "hold_ms": 100}))[0] == 409
        renewal = {"holder": "a", "fence": granted["fence"], "hold_ms": 1000}
        assert (await answered(mesh, "POST", "/locks/l1/heartbeat", renewal))[0] == 200
        if how is signal.SIGSTOP:
            mesh.processes[leader].send_signal(signal.SIGCONT)
        node = mesh.replica_ips.index(leader)
        if how is not signal.SIGSTOP:
            mesh.start(leader)
        async with asyncio.timeout(ANSWERED_WITHIN_SECONDS):  # it takes part again, or hands its calls on
            while True:
                with suppress(OSError, IndexError, ValueError):
                    status, read = await ask(mesh, node, "GET", "/cells/g1.a/read")
                    if status == 200:
                        break
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        assert read == {"value": "v2", "revision": again["revision"]}

    play(tmp_path, what, services=SERVICES)


def test_a_node_without_a_majority_does_nothing_and_says_so_soon(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        await answered(mesh, "POST", "/numbers/n1", {})
        for ip in mesh.replica_ips[1:]:
            mesh.end(ip)
        async with asyncio.timeout(ANSWERED_WITHIN_SECONDS):
            while (await ask(mesh, 0, "GET", "/mesh/status"))[1]["age_s"] <= COORDINATION_CONTACT_SECONDS:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        for method, path, body in (
            ("POST", "/numbers/n1", b"{}"),
            ("POST", "/locks/l1/open", b'{"holder":"a","hold_ms":1000}'),
            ("GET", "/cells/g1.a/read", b""),
            ("GET", "/watch/g1.?after=0", b""),
        ):
            address = f"{mesh.replica_ips[0]}:{mesh.dispatch}"
            status, head, _ = await call(address, method, path, body)
            assert status == 503 and b"Retry-After" in head, path

    play(tmp_path, what, services=SERVICES)


def test_a_program_uses_locks_numbers_and_keys_by_the_client(tmp_path: Path) -> None:
    def use(addresses: list[str]) -> None:
        client = CoordinationClient(addresses, call_seconds=ANSWERED_WITHIN_SECONDS)
        with client.lock("l1", "a", 2.0) as lock:
            fence = lock.fence
            with pytest.raises(LockTimeoutError):
                client.lock("l1", "b", 2.0, wait_seconds=2.5).__enter__()  # it was renewed meanwhile
            lock.check()
        with pytest.raises(LockLostError):
            lock.check()
        with client.lock("l1", "b", 5.0) as other:
            assert other.fence > fence
        assert client.take_number("n1") < client.take_number("n1")
        assert client.read("g1.a") is None
        revision = client.put("g1.a", "v1", 0)
        assert client.put("g1.a", "v1", 0) == revision
        assert client.read("g1.a") == KeyValue("v1", revision)
        with pytest.raises(RevisionMismatchError) as caught:
            client.put("g1.a", "v2", 0)
        assert caught.value.revision == revision
        with pytest.raises(CallRefusedError):
            client.put("nogroup", "v")

    async def what(mesh: Mesh) -> None:
        await asyncio.to_thread(use, [f"{ip}:{mesh.dispatch}" for ip in mesh.replica_ips])

    play(tmp_path, what, services=SERVICES)


def test_a_holder_that_reaches_nobody_is_stopped_in_time(tmp_path: Path) -> None:
    def use(mesh: Mesh) -> None:
        client = CoordinationClient([f"{ip}:{mesh.dispatch}" for ip in mesh.replica_ips])
        lost: list[float] = []
        with client.lock("l1", "a", HOLD_SECONDS, on_lost=lambda: lost.append(time.monotonic())) as lock:
            for process in mesh.processes.values():
                process.send_signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
            while (seconds_left := lock.seconds_left) > 0.0:
                assert time.monotonic() + seconds_left <= frozen_at + HOLD_SECONDS + 0.05
                time.sleep(0.01)
            with pytest.raises(LockLostError):
                lock.check()
            for process in mesh.processes.values():
                process.send_signal(signal.SIGCONT)
        assert len(lost) == 1

    async def what(mesh: Mesh) -> None:
        await answered(mesh, "POST", "/numbers/n1", {})
        await asyncio.to_thread(use, mesh)

    play(tmp_path, what, services=SERVICES)


def test_a_client_without_nodes_raises_in_time() -> None:
    client = CoordinationClient(["127.0.0.1:9"], call_seconds=0.3)
    with pytest.raises(NoAnswerError):
        client.take_number("n1")
    with pytest.raises(ValueError, match="address"):
        CoordinationClient([])


def test_a_part_of_the_rules_that_this_build_does_not_know_is_logged(tmp_path: Path) -> None:
    class Demanding(Mesh):
        def tables(self, ip: str) -> dict[str, dict[str, Any]]:
            return super().tables(ip) | {"tariffs": {"contracts": ["base", "coord", "unheard-of"]}}

    async def run() -> None:
        mesh = Demanding(tmp_path, 3, ("rooms",))
        try:
            await mesh.begin()
            for ip in (mesh.replica_ips[0], mesh.proxy_ips[0]):
                assert "level=WARNING event=contracts unserved=unheard-of" in mesh.log(ip)
        finally:
            await mesh.close()

    asyncio.run(run())
