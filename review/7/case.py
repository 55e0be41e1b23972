"""Uploads of a few megabytes, one after another: what the proxies keep of those that have been answered."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig_2  # noqa: E402

# The configuration's item `limits` allows 64 MiB (`payload_bytes` = 67108864).
LARGE_BYTES, SMALL_BYTES = 4 << 20, 60_000
UPLOADS_A_SECOND = 8.0  # by both client machines together: 34 MB/s, of 125 MB/s of each machine's link
WORK_SECONDS = 0.19  # as the site's `group-upload`
SECONDS = 60.0
READS_A_SECOND = 40.0  # of the same service, as the site's `doc-index`
READ_SECONDS = 0.04
DEADLINE_MS = 4000
ENDS, MACHINES = 3, 2  # the rule: three times in the day, on a tenth of the machines in use (two at least)


async def case(mesh: rig_2.Mesh) -> int:
    record = mesh.record
    ips = list(mesh.couriers)
    callers = ips[:2]
    backends = [rig_2.Backend(mesh, ip, service) for ip, service in mesh.couriers.items()]
    for backend in backends:
        await backend.start()
    await mesh.begin([mesh.route("upload", "upload", "docs"), mesh.route("read", "safe", "docs")])
    by_ip = {backend.ip: backend for backend in backends}
    await mesh.until_served(callers[0], "/upload/1", [by_ip[ips[3]]])
    peaks: Counter[str] = Counter()
    kills: Counter[str] = Counter()
    answers: Counter[int] = Counter()
    in_hand = most_in_hand = 0

    async def enforce_memory() -> None:
        """The platform: a process that goes over its memory is killed."""
        while True:
            for ip in [*mesh.controls, *mesh.couriers]:
                used = mesh.memory_mb(ip)
                peaks[ip] = max(peaks[ip], used)
                if used > rig_2.MEMORY_MB:
                    record.line(f"{ip} uses {used} MB of {rig_2.MEMORY_MB} MB; uploads in hand: {in_hand}")
                    mesh.kill(ip)
                    kills[ip] += 1
                    await mesh.until_started_again(ip)
            await asyncio.sleep(0.02)

    async def upload(number: int) -> None:
        nonlocal in_hand, most_in_hand
        caller, name = callers[number % 2], f"up-{number}"
        body = os.urandom(1 << 10) * ((LARGE_BYTES if rig_2.TROUBLE else SMALL_BYTES) >> 10)
        sent = {"Host": "desk.example", "Lugspur-Attempt-Id": name, "Lugspur-Deliver-By-Ms": str(DEADLINE_MS)}
        sent["X-Work"] = str(WORK_SECONDS)
        in_hand += 1
        most_in_hand = max(most_in_hand, in_hand)
        record.line(f"client sends {name} POST /upload/2 of {len(body)} bytes to {caller}")
        address = (caller, mesh.outgoing)
        answer = await rig_2.http(address, "POST", "/upload/2", sent, body, DEADLINE_MS / 1000.0 + 1.0)
        in_hand -= 1
        answers[answer.status] += 1
        record.line(f"client gets {answer.status} for {name}")

    async def read(number: int) -> None:
        sent = {"Host": "desk.example", "Lugspur-Attempt-Id": f"read-{number}", "Lugspur-Deliver-By-Ms": "2000"}
        sent["X-Work"] = str(READ_SECONDS)
        answer = await rig_2.http((callers[number % 2], mesh.outgoing), "GET", "/read/1", sent)
        read_answers[answer.status] += 1

    async def read_on() -> None:
        reads = []
        while True:
            reads.append(asyncio.create_task(read(len(reads))))
            await asyncio.sleep(1.0 / READS_A_SECOND)

    read_answers: Counter[int] = Counter()
    watcher, reader = asyncio.create_task(enforce_memory()), asyncio.create_task(read_on())
    uploads = []
    began = time.monotonic()
    while time.monotonic() < began + SECONDS:
        uploads.append(asyncio.create_task(upload(len(uploads))))
        await asyncio.sleep(max(0.0, began + len(uploads) / UPLOADS_A_SECOND - time.monotonic()))
    await asyncio.gather(*uploads)
    watcher.cancel()
    reader.cancel()
    record.line(f"peaks: {', '.join(f'{ip} {mb} MB' for ip, mb in sorted(peaks.items()))}")
    record.line(f"processes killed for their memory: {dict(kills)}")
    record.line(f"uploads: {len(uploads)}; most in hand at once: {most_in_hand}; answers by status: {dict(answers)}")
    record.line(f"reads, answers by status: {dict(read_answers)}")
    return rig_2.BROKEN if sum(kills.values()) >= ENDS and len(kills) >= MACHINES else rig_2.HELD


if __name__ == "__main__":
    rig_2.run_case(rig_2.Mesh(HERE, ["front", "front", "docs", "docs", "docs"]), case, 110.0)
