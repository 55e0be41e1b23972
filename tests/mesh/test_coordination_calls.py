"""Locks, numbers, keys and watches as applications call them, at any control node of a mesh of processes."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from lugspur.bench.mesh import Mesh, call

ANSWERED_WITHIN_SECONDS = 20.0  # a call that is repeated at all addresses, on a loaded machine too
RETRY_DELAY_SECONDS = 0.05


def play(folder: Path, what: Callable[[Mesh], Awaitable[None]], replicas: int = 3) -> None:
    """Run a scenario over control nodes and one proxy; on failure their logs are shown."""

    async def run() -> None:
        mesh = Mesh(folder, replicas, ("rooms",))
        try:
            async with asyncio.timeout(60.0):
                await mesh.begin()
                await what(mesh)
        except BaseException:
            for path in sorted(folder.glob("*.log")):
                print(path.name, path.read_text()[-3000:], file=sys.stderr)
            raise
        finally:
            await mesh.close()

    asyncio.run(run())


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

    play(tmp_path, what)
