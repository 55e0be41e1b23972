"""What operators do to a platform proxy in service, measured: replacements, calls under load, large bodies.

`python -m lugspur.bench.operations replace` counts what is lost, run twice or refused while the process is replaced
again and again under load; `calls` times calls of the second address while the proxy has more to do than it can, with
and without callers that hang there; `streams` passes 32 MB answers on to callers of several paces and says what memory
they take.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from lugspur.bench.main import request
from lugspur.bench.processes import SERVICES, Usage
from lugspur.bench.sockets import free_port
from lugspur.standins.backend import Backend, Request, Response, Work
from lugspur.standins.callers import Caller

HOST = "127.0.0.1"
MEMORY_MB = 80  # the least that large bodies are to be passed on in by the platform's pages
WITHIN = 30.0  # seconds that anything may take
CALLERS = 16
HUNG = 12
CALLS = 200
LARGE = 32 << 20  # bytes of a large answer
PACES = (0.0, 8.0, 2.0)  # MB a second at which callers read it; 0: as fast as it comes
EACH = 4  # callers of each pace
PIECE = 64 << 10


class Proxy:
    """The processes of one platform proxy."""

    def __init__(self, folder: Path, backends: list[Backend]) -> None:
        self.port = free_port()
        self._folder = folder
        self._raw = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{free_port()}",
            "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": MEMORY_MB},
            "known": {
                "index": 1,
                "endpoints": [
                    {
                        "name": one.name,
                        "address": one.address,
                        "zone": "",
                        "type": "",
                        "group": 0,
                        "weight": 1.0,
                        "status": "in_service",
                        "since_ms": 0,
                    }
                    for one in backends
                ],
            },
            "settings": {"Instances": 1, "Services": SERVICES, "Bounds": {"Cancel": True}},
        }
        self.processes: list[asyncio.subprocess.Process] = []
        self.management = 0

    async def start(self) -> float:
        """One more process; seconds until its yes."""
        self.management = free_port()
        path = self._folder / f"{self.management}.json"
        path.write_text(json.dumps(self._raw | {"management": f"{HOST}:{self.management}"}))
        environment = os.environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(self._folder)}
        begun = time.monotonic()
        self.processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lugspur", env=environment, stderr=asyncio.subprocess.DEVNULL
            )
        )
        async with asyncio.timeout(WITHIN):
            while not await self.ready():
                await asyncio.sleep(0.01)
        return time.monotonic() - begun

    async def ready(self) -> bool:
        """One call of the second address, and whether it says yes."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.management)
        except ConnectionError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), WITHIN)
        writer.close()
        return answer.startswith(b"HTTP/1.1 200")

    async def end(self) -> None:
        """SIGTERM to the oldest process, until it has ended."""
        process = self.processes.pop(0)
        process.terminate()
        await asyncio.wait_for(process.wait(), WITHIN)

    def kill(self) -> None:
        """End all that are left."""
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.kill()


async def quick(_: Request) -> Response:
    """A backend's work for small answers."""
    await asyncio.sleep(0.005)
    return 200, b"done"


async def large(_: Request) -> Response:
    """A backend's work for large ones."""
    return 200, bytes(LARGE)


async def serving(work: Work) -> list[Backend]:
    """Two backends."""
    backends = [Backend(f"b{n}", work) for n in range(2)]
    for backend in backends:
        await backend.listen()
    return backends


async def replace(folder: Path, count: int) -> None:
    """What callers meet while the process is replaced."""
    backends = await serving(quick)
    proxy = Proxy(folder, backends)
    try:
        await proxy.start()
        statuses, over = Counter[int](), False

        async def ask(kind: str, keeps: bool, mine: int) -> None:
            make, caller, number = request(kind), Caller(HOST, proxy.port), mine << 32
            while not over:
                number += 1
                statuses[(await caller.ask(make(number), WITHIN)).status] += 1
                if not keeps:
                    caller.close()
                await asyncio.sleep(0.005)

        asking = [
            asyncio.create_task(ask(kind, keeps, mine))
            for mine, (kind, keeps) in enumerate(
                [("read", True), ("book", True), ("read", False), ("book", False)] * (CALLERS // 4)
            )
        ]
        took = []
        alone = Usage(proxy.processes[0].pid).memory()
        peak = sockets = 0.0
        for _ in range(count):
            took.append(await proxy.start())
            both = [process.pid for process in proxy.processes]
            peak = max(peak, sum(Usage(pid).memory() for pid in both))
            sockets = max(sockets, sum(len(os.listdir(f"/proc/{pid}/fd")) for pid in both))
            await proxy.end()
        over = True
        await asyncio.gather(*asking)
    finally:
        proxy.kill()
    ran = sum((backend.ran for backend in backends), Counter[str]())
    asked = sum(statuses.values())
    print(
        "| replacements | requests | served | refused | lost | run twice | slowest ready, s | MiB, alone and both | "
        "descriptors of both |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    print(
        f"| {count} | {asked} | {statuses[200]} | {statuses[429] + statuses[503]} | {statuses[0]} | "
        f"{sum(n > 1 for n in ran.values())} | {max(took):.2f} | {alone:.0f}, {peak:.0f} | {sockets:.0f} |"
    )


async def calls(folder: Path) -> None:
    """How long operators wait for an answer while the proxy has more to do than it can."""
    backends = await serving(quick)
    proxy = Proxy(folder, backends)
    try:
        await proxy.start()
        over = False

        async def ask(mine: int) -> None:
            make, caller, number = request("read"), Caller(HOST, proxy.port), mine << 32
            while not over:
                await caller.ask(make(number := number + 1), WITHIN)

        print("| callers | hung at the second address | calls | p50 ms | p99 ms | longest ms |")
        print("| --- | --- | --- | --- | --- | --- |")
        for callers, hung in ((0, 0), (8 * CALLERS, 0), (8 * CALLERS, HUNG)):
            over = False
            asking = [asyncio.create_task(ask(mine)) for mine in range(callers)]
            stay = [await asyncio.open_connection(HOST, proxy.management) for _ in range(hung)]
            took = []
            for _ in range(CALLS):
                begun = time.monotonic()
                if not await proxy.ready():
                    raise RuntimeError("a call was answered wrongly")
                took.append(time.monotonic() - begun)
                await asyncio.sleep(0.01)
            over = True
            await asyncio.gather(*asking)
            for _, writer in stay:
                writer.close()
            took.sort()
            half, late, most = (took[at] * 1e3 for at in (CALLS // 2, CALLS * 99 // 100, -1))
            print(f"| {callers} | {hung} | {CALLS} | {half:.1f} | {late:.1f} | {most:.1f} |")
    finally:
        proxy.kill()


async def fetch(port: int, number: int, pace: float) -> float:
    """A large answer, read at this pace in MB a second; seconds to its last byte."""
    begun = time.monotonic()
    reader, writer = await asyncio.open_connection(HOST, port, limit=PIECE)
    writer.write(request("read")(number))
    await reader.readuntil(b"\r\n\r\n")
    left = LARGE
    while left:
        piece = await asyncio.wait_for(reader.read(PIECE), WITHIN)
        if not piece:
            raise RuntimeError(f"an answer ended {left} bytes early")
        left -= len(piece)
        if pace:
            await asyncio.sleep(max(0.0, begun + (LARGE - left) / (pace * 1e6) - time.monotonic()))
    writer.close()
    return time.monotonic() - begun


async def streams(folder: Path) -> None:
    """What large answers take of memory and time, beside the same ones without a proxy."""
    backends = await serving(large)
    direct = int(backends[0].address.rpartition(":")[2])
    proxy = Proxy(folder, backends)
    try:
        await proxy.start()
        usage = Usage(proxy.processes[0].pid)
        before = peak = usage.memory()
        print("| MB a second | answers of 32 MB at once | s, direct | s, through | peak MiB | part of their bytes |")
        print("| --- | --- | --- | --- | --- | --- |")
        for pace in PACES:
            alone = max(await asyncio.gather(*(fetch(direct, n, pace) for n in range(EACH))))
            asking = asyncio.gather(*(fetch(proxy.port, n, pace) for n in range(EACH)))
            peak = 0.0
            while not asking.done():
                peak = max(peak, usage.memory())
                await asyncio.sleep(0.02)
            through = max(await asking)
            print(
                f"| {pace or 'all'} | {EACH} | {alone:.1f} | {through:.1f} | {peak:.0f} | "
                f"{(peak - before) * (1 << 20) / (EACH * LARGE):.2f} |"
            )
    finally:
        proxy.kill()


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=("replace", "calls", "streams"))
    parser.add_argument("--count", type=int, default=50, help="replacements")
    given = parser.parse_args()
    with TemporaryDirectory() as name:
        folder = Path(name)
        asyncio.run(
            replace(folder, given.count)
            if given.what == "replace"
            else (calls(folder) if given.what == "calls" else streams(folder))
        )


if __name__ == "__main__":
    main()
