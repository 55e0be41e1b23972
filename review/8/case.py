"""Large uploads, each inside the configured limits, while requests of other clients go on: memory of the proxies."""

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
LARGE_BYTES, SMALL_BYTES = 60 << 20, 60_000
UPLOADS_AT_ONCE = 4
GAP_SECONDS = 0.6  # between two uploads: 100 MB/s, under the 125 MB/s of the machine's link
WORK_SECONDS = 2.0
ROUNDS = 4
DEADLINE_MS = 14_000
ENDS, MACHINES = 3, 2  # the rule: three times in the day, on a tenth of the machines in use (two at least)


async def case(mesh: rig_2.Mesh) -> int:
    record = mesh.record
    ips = list(mesh.couriers)
    caller = ips[0]
    backends = [rig_2.Backend(mesh, ip, service) for ip, service in mesh.couriers.items()]
    for backend in backends:
        await backend.start()
    await mesh.begin(
        [
            mesh.route("upload", "upload", "docs", deadline_ms=DEADLINE_MS, target_ms=5000),
            mesh.route("commit", "tracked", "desk"),
        ]
    )
    by_ip = {backend.ip: backend for backend in backends}
    await mesh.until_served(caller, "/upload/1", [by_ip[ips[3]]])
    await mesh.until_served(caller, "/commit/1", [by_ip[ips[5]]])
    peaks: Counter[str] = Counter()
    kills: Counter[str] = Counter()

    async def enforce_memory() -> None:
        """The platform: a process that goes over its memory is killed."""
        while True:
            for ip in [*mesh.controls, *mesh.couriers]:
                used = mesh.memory_mb(ip)
                peaks[ip] = max(peaks[ip], used)
                if used > rig_2.MEMORY_MB:
                    record.line(f"{ip} uses {used} MB of {rig_2.MEMORY_MB} MB")
                    mesh.kill(ip)
                    kills[ip] += 1
                    await mesh.until_started_again(ip)
            await asyncio.sleep(0.02)

    lost: list[str] = []
    unanswered_uploads: list[str] = []

    async def commits() -> None:
        number = 0
        while True:
            number += 1
            key = f"c-{number}"
            attempt, answer = await mesh.ask(caller, "/commit/1", key)
            ran = any(attempt == began[1] for backend in backends for began in backend.began)
            if answer.status == 0 and ran:
                lost.append(attempt)
            await asyncio.sleep(0.1)

    async def upload(name: str) -> None:
        body = os.urandom(1 << 10) * ((LARGE_BYTES if rig_2.TROUBLE else SMALL_BYTES) >> 10)
        began = time.monotonic()
        sent = {"Host": "desk.example", "Lugspur-Attempt-Id": name, "Lugspur-Deliver-By-Ms": str(DEADLINE_MS)}
        sent["X-Work"] = str(WORK_SECONDS)
        record.line(f"client sends {name} POST /upload/2 of {len(body)} bytes to {caller}")
        address = (caller, mesh.outgoing)
        answer = await rig_2.http(address, "POST", "/upload/2", sent, body, DEADLINE_MS / 1000.0 + 1.0)
        record.line(f"client gets {answer.status} for {name} after {time.monotonic() - began:.2f} s")
        if answer.status == 0:
            unanswered_uploads.append(name)

    tasks = [asyncio.create_task(enforce_memory()), asyncio.create_task(commits())]
    for turn in range(ROUNDS):
        uploads = []
        for number in range(UPLOADS_AT_ONCE):
            uploads.append(asyncio.create_task(upload(f"up-{turn}-{number}")))
            await asyncio.sleep(GAP_SECONDS)
        await asyncio.gather(*uploads)
        await asyncio.sleep(4.0)
        if sum(kills.values()) >= ENDS and len(kills) >= MACHINES:
            break
    for task in tasks:
        task.cancel()
    record.line(f"peaks: {', '.join(f'{ip} {mb} MB' for ip, mb in sorted(peaks.items()))}")
    record.line(f"processes killed for their memory: {dict(kills)}")
    record.line(f"uploads whose connection ended without an answer: {len(unanswered_uploads)}")
    record.line(f"keyed requests of others that ran and whose connection ended without an answer: {len(lost)}")
    return rig_2.BROKEN if sum(kills.values()) >= ENDS and len(kills) >= MACHINES else rig_2.HELD


if __name__ == "__main__":
    rig_2.run_case(rig_2.Mesh(HERE, ["front", "front", "docs", "docs", "desk", "desk"]), case, 110.0)
