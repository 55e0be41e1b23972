"""Health checks for a fleet of processes: one checks a dead backend, and all exclude it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from leasetime import lease_seconds
from loopback import backend

from lugspur.bench.fleet import WITHIN, Rig
from lugspur.bench.sockets import free_port

EVERY_SECONDS = 0.2
POOL_SETTINGS = """
[classes.read]
repeat = "safe"
[pools.main]
members = [{members}]
check = {{ path = "/healthz", every = "{every}s" }}
[routes.all]
path = "/*"
pool = "main"
class = "read"
"""
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNHEALTHY = b"HTTP/1.1 500 Ill\r\nContent-Length: 0\r\n\r\n"


async def ask(rig: Rig, number: int) -> None:
    """Send one request through a member, and ignore the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port(number))
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    await reader.read()
    writer.close()


async def wait_for_excluded(rig: Rig, expected: list[str], members: list[int]) -> None:
    """Send requests through these members until each of them excludes exactly the expected backends."""
    async with asyncio.timeout(WITHIN):
        while True:
            await asyncio.gather(*(ask(rig, number) for number in members))
            duties = [(await rig.call(number, "GET", "/fleet/duties"))[1] for number in members]
            if all(one.get("down") == {"main": expected} for one in duties):
                return


@asynccontextmanager
async def listening(port: int, seen: Counter[bytes], response: bytes) -> AsyncIterator[None]:
    """Serve a backend at a port, and count the paths of its requests."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        seen[line.split()[1] if line.split() else b""] += 1
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()


def test_one_daemon_checks_and_all_exclude_the_backend(tmp_path: Path) -> None:
    async def run() -> None:
        dead = free_port()
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            places = [one.address, two.address, f"127.0.0.1:{dead}"]
            members = ", ".join(f'{{ name = "b{at}", address = "{place}" }}' for at, place in enumerate(places))
            everybody = [0, 1, 2, 3]
            settings = POOL_SETTINGS.format(members=members, every=EVERY_SECONDS)
            async with Rig(tmp_path, 4, lease=lease_seconds(tmp_path), extra_settings=settings) as rig:
                await rig.wait_until_agreed()
                await wait_for_excluded(rig, ["b2"], everybody)
                seen: Counter[bytes] = Counter()
                # The backend accepts connections again, but fails its health checks.
                async with listening(dead, seen, UNHEALTHY):
                    await asyncio.sleep(4.0 * EVERY_SECONDS)
                    before, began = seen[b"/healthz"], asyncio.get_running_loop().time()
                    for _ in range(5):
                        await asyncio.gather(*(ask(rig, number) for number in everybody))
                    await asyncio.sleep(4.0 * EVERY_SECONDS)
                    checks, elapsed = seen[b"/healthz"] - before, asyncio.get_running_loop().time() - began
                    assert 0 < checks <= elapsed / EVERY_SECONDS + 1  # not more than one process makes
                    assert set(seen) == {b"/healthz"}  # no daemon sent it a request
                    # The health checker dies: its successor takes over its list of unhealthy backends.
                    checker = [number for number in everybody if "as its prober" in rig.members[number].log()][-1]
                    await rig.kill(checker)
                    left = [number for number in everybody if number != checker]
                    await asyncio.sleep(3.0 * rig.lease)
                    await wait_for_excluded(rig, ["b2"], left)
                async with listening(dead, seen, OK):
                    await wait_for_excluded(rig, [], left)
                    for _ in range(10):
                        await asyncio.gather(*(ask(rig, number) for number in left))
                    assert seen[b"/"] > 0  # The backend serves again.

    asyncio.run(run())
