"""A courier machine is cut off from the control machines: what is kept of its backend's answers."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig_2  # noqa: E402

CUT_SECONDS = 5.5  # the site file's node_cut: share = 0.17 (here one of six courier machines), for_s = 5.5
ALLOWED_KEYS = 3  # the rule is broken by repeats of more than three keys
CONTACT_SECONDS = 3.0


async def case(mesh: rig_2.Mesh) -> int:
    record = mesh.record
    ips = list(mesh.couriers)
    caller, cut_off, other = ips[0], ips[3], ips[1]
    backends = [rig_2.Backend(mesh, ip, service) for ip, service in mesh.couriers.items()]
    for backend in backends:
        await backend.start()
    await mesh.begin([mesh.route("commit", "tracked", "desk")])
    lone = next(backend for backend in backends if backend.ip == cut_off)  # of the caller's zone, so it is preferred
    await mesh.until_served(caller, "/commit/1", [lone])
    await asyncio.sleep(CONTACT_SECONDS + 1.0)

    if rig_2.TROUBLE:
        for relay in mesh.relays.values():
            relay.cut(cut_off)
        record.line(f"{cut_off} is cut off from all control machines (reset)")
    cut_at = time.monotonic()
    first: dict[str, rig_2.Answer] = {}
    repeats: dict[str, rig_2.Answer] = {}
    late: dict[str, rig_2.Answer] = {}

    async def operation(key: str) -> None:
        attempt, answer = await mesh.ask(caller, "/commit/1", key)
        if answer.status != 200 or attempt not in {began[1] for began in lone.began}:
            return
        first[key] = answer
        await asyncio.sleep(1.2)  # over a second after the good answer
        repeats[key] = (await mesh.ask(other, "/commit/1", key))[1]
        await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS + 6.0 - time.monotonic()))
        late[key] = (await mesh.ask(other, "/commit/1", key))[1]

    operations = []
    for number in range(24):
        operations.append(asyncio.create_task(operation(f"k-{number}")))
        await asyncio.sleep(0.1)
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    for relay in mesh.relays.values():
        relay.heal()
    record.line("the cut is healed")
    await asyncio.gather(*operations)

    refused = sorted(key for key, answer in repeats.items() if answer.status == 409)
    foreign = [key for key, answer in repeats.items() if answer.status == 200 and answer.stamp != first[key].stamp]
    lost = sorted(key for key, answer in late.items() if answer.status != 200)
    record.line(f"operations answered with success by the backend at {cut_off}: {len(first)}")
    record.line(f"of these, repeats over 1 s later that got 409: {len(refused)} ({', '.join(refused)})")
    record.line(f"of these, repeats long after the cut that got no success: {len(lost)} ({', '.join(lost)})")
    record.line(f"repeats that got another stamp: {len(foreign)}")
    if len(first) <= ALLOWED_KEYS:
        return rig_2.COULD_NOT_RUN
    return rig_2.BROKEN if len(refused) > ALLOWED_KEYS else rig_2.HELD


if __name__ == "__main__":
    rig_2.run_case(rig_2.Mesh(HERE, ["front", "front", "desk", "desk", "attic", "attic"], relayed=True), case)
