"""Measures a platform proxy in operation: process replacements, management calls under load, and large bodies.

`python -m lugspur.bench.operations replace` counts the requests that are lost, run twice or rejected while the process
is replaced again and again under load. `calls` times calls of the management listener while the proxy is overloaded,
with and without idle connections to that listener. `streams` forwards 32 MB responses to callers that read at several
rates and prints the memory that they take.
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

from lugspur.bench.main import request_maker
from lugspur.bench.processes import SERVICES, Usage
from lugspur.bench.sockets import free_port
from lugspur.standins.backend import Backend, Request, Response, Work
from lugspur.standins.callers import Caller

HOST = "127.0.0.1"
MEMORY_MB = 80  # the least memory limit with which, by the platform's documentation, large bodies must be forwarded
TIMEOUT = 30.0  # timeout in seconds of every wait
CALLERS = 16
IDLE_CONNECTIONS = 12  # connections that stay open at the management listener without a request
CALLS = 200  # timed calls of the management listener
LARGE_BYTES = 32 << 20  # bytes of a large response
READ_RATES = (0.0, 8.0, 2.0)  # rates in MB per second at which callers read a large response; 0 is unlimited
CALLERS_PER_RATE = 4  # callers at each rate
READ_BYTES = 64 << 10  # bytes of one read


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
        """Start one more process and return the seconds until it reports to be ready."""
        self.management = free_port()
        path = self._folder / f"{self.management}.json"
        path.write_text(json.dumps(self._raw | {"management": f"{HOST}:{self.management}"}))
        environment = os.environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(self._folder)}
        started_at = time.monotonic()
        self.processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lugspur", env=environment, stderr=asyncio.subprocess.DEVNULL
            )
        )
        async with asyncio.timeout(TIMEOUT):
            while not await self.ready():
                await asyncio.sleep(0.01)
        return time.monotonic() - started_at

    async def ready(self) -> bool:
        """Call the management listener and return whether the process reports to be ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.management)
        except ConnectionError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        response = await asyncio.wait_for(reader.read(), TIMEOUT)
        writer.close()
        return response.startswith(b"HTTP/1.1 200")

    async def end(self) -> None:
        """Terminate the oldest process and wait for its end."""
        process = self.processes.pop(0)
        process.terminate()
        await asyncio.wait_for(process.wait(), TIMEOUT)

    def kill(self) -> None:
        """Kill all processes that are left."""
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.kill()


async def quick(_: Request) -> Response:
    """Handle a request with a small response."""
    await asyncio.sleep(0.005)
    return 200, b"done"


async def large(_: Request) -> Response:
    """Handle a request with a large response."""
    return 200, bytes(LARGE_BYTES)


async def start_backends(work: Work) -> list[Backend]:
    """Return two backends that listen."""
    backends = [Backend(f"b{n}", work) for n in range(2)]
    for backend in backends:
        await backend.listen()
    return backends


async def replace(folder: Path, count: int) -> None:
    """Print what happens to requests while the process is replaced this many times."""
    backends = await start_backends(quick)
    proxy = Proxy(folder, backends)
    try:
        await proxy.start()
        statuses, finished = Counter[int](), False

        async def ask(kind: str, keeps_connection: bool, caller_number: int) -> None:
            make, caller, number = request_maker(kind), Caller(HOST, proxy.port), caller_number << 32
            while not finished:
                number += 1
                statuses[(await caller.ask(make(number), TIMEOUT)).status] += 1
                if not keeps_connection:
                    caller.close()
                await asyncio.sleep(0.005)

        tasks = [
            asyncio.create_task(ask(kind, keeps_connection, caller_number))
            for caller_number, (kind, keeps_connection) in enumerate(
                [("read", True), ("book", True), ("read", False), ("book", False)] * (CALLERS // 4)
            )
        ]
        seconds = []
        alone = Usage(proxy.processes[0].pid).memory()
        peak = sockets = 0.0
        for _ in range(count):
            seconds.append(await proxy.start())
            both = [process.pid for process in proxy.processes]
            peak = max(peak, sum(Usage(pid).memory() for pid in both))
            sockets = max(sockets, sum(len(os.listdir(f"/proc/{pid}/fd")) for pid in both))
            await proxy.end()
        finished = True
        await asyncio.gather(*tasks)
    finally:
        proxy.kill()
    ran = sum((backend.ran for backend in backends), Counter[str]())
    sent = sum(statuses.values())
    print(
        "| replacements | requests | served | refused | lost | run twice | slowest ready, s | MiB, alone and both | "
        "descriptors of both |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    print(
        f"| {count} | {sent} | {statuses[200]} | {statuses[429] + statuses[503]} | {statuses[0]} | "
        f"{sum(n > 1 for n in ran.values())} | {max(seconds):.2f} | {alone:.0f}, {peak:.0f} | {sockets:.0f} |"
    )


async def calls(folder: Path) -> None:
    """Print how long calls of the management listener take while the proxy is overloaded."""
    backends = await start_backends(quick)
    proxy = Proxy(folder, backends)
    try:
        await proxy.start()
        finished = False

        async def ask(caller_number: int) -> None:
            make, caller, number = request_maker("read"), Caller(HOST, proxy.port), caller_number << 32
            while not finished:
                await caller.ask(make(number := number + 1), TIMEOUT)

        print("| callers | hung at the second address | calls | p50 ms | p99 ms | longest ms |")
        print("| --- | --- | --- | --- | --- | --- |")
        for callers, idle in ((0, 0), (8 * CALLERS, 0), (8 * CALLERS, IDLE_CONNECTIONS)):
            finished = False
            tasks = [asyncio.create_task(ask(caller_number)) for caller_number in range(callers)]
            idle_connections = [await asyncio.open_connection(HOST, proxy.management) for _ in range(idle)]
            seconds = []
            for _ in range(CALLS):
                started_at = time.monotonic()
                if not await proxy.ready():
                    raise RuntimeError("the proxy did not report to be ready")
                seconds.append(time.monotonic() - started_at)
                await asyncio.sleep(0.01)
            finished = True
            await asyncio.gather(*tasks)
            for _, writer in idle_connections:
                writer.close()
            seconds.sort()
            p50, p99, longest = (seconds[at] * 1e3 for at in (CALLS // 2, CALLS * 99 // 100, -1))
            print(f"| {callers} | {idle} | {CALLS} | {p50:.1f} | {p99:.1f} | {longest:.1f} |")
    finally:
        proxy.kill()


async def fetch(port: int, number: int, rate: float) -> float:
    """Read a large response at this rate in MB per second and return the seconds to its last byte."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(HOST, port, limit=READ_BYTES)
    writer.write(request_maker("read")(number))
    await reader.readuntil(b"\r\n\r\n")
    left = LARGE_BYTES
    while left:
        data = await asyncio.wait_for(reader.read(READ_BYTES), TIMEOUT)
        if not data:
            raise RuntimeError(f"a response ended {left} bytes early")
        left -= len(data)
        if rate:
            await asyncio.sleep(max(0.0, started_at + (LARGE_BYTES - left) / (rate * 1e6) - time.monotonic()))
    writer.close()
    return time.monotonic() - started_at


async def streams(folder: Path) -> None:
    """Print the memory and time that large responses take, beside the same responses without a proxy."""
    backends = await start_backends(large)
    direct = int(backends[0].address.rpartition(":")[2])
    proxy = Proxy(folder, backends)
    try:
        await proxy.start()
        usage = Usage(proxy.processes[0].pid)
        before = peak = usage.memory()
        print("| MB a second | answers of 32 MB at once | s, direct | s, through | peak MiB | part of their bytes |")
        print("| --- | --- | --- | --- | --- | --- |")
        for rate in READ_RATES:
            alone = max(await asyncio.gather(*(fetch(direct, n, rate) for n in range(CALLERS_PER_RATE))))
            tasks = asyncio.gather(*(fetch(proxy.port, n, rate) for n in range(CALLERS_PER_RATE)))
            peak = 0.0
            while not tasks.done():
                peak = max(peak, usage.memory())
                await asyncio.sleep(0.02)
            through = max(await tasks)
            print(
                f"| {rate or 'all'} | {CALLERS_PER_RATE} | {alone:.1f} | {through:.1f} | {peak:.0f} | "
                f"{(peak - before) * (1 << 20) / (CALLERS_PER_RATE * LARGE_BYTES):.2f} |"
            )
    finally:
        proxy.kill()


def main() -> None:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=("replace", "calls", "streams"))
    parser.add_argument("--count", type=int, default=50, help="replacements")
    arguments = parser.parse_args()
    with TemporaryDirectory() as name:
        folder = Path(name)
        asyncio.run(
            replace(folder, arguments.count)
            if arguments.what == "replace"
            else (calls(folder) if arguments.what == "calls" else streams(folder))
        )


if __name__ == "__main__":
    main()
