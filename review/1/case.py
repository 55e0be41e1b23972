"""Operations that two voters know are repeated after losses that overlap: a voter calls itself complete too early."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

WORK_SECONDS = 0.05
OPERATIONS = 30  # while one voter is down
FIRST_DOWN_SECONDS = 1.0  # of that voter
DARK_SECONDS = 4.1  # of the two machines that lose power together
FREEZE_AT_SECONDS = 3.3  # after that loss of power
FREEZE_SECONDS = 4.5
CONTACT_SECONDS = rig.BOUNDS["contact_ms"] / 1000.0
CATCH_UP_SECONDS = float(rig.BOUNDS["catch_up_s"])
WINDOW_SECONDS = float(rig.BOUNDS["stamp_window_s"])


async def run_operations(client: rig.Client, couriers: list[str], keys: list[str]) -> dict[str, int]:
    """Run an operation for each key, each through the next courier; returns the status by key."""
    statuses = await asyncio.gather(
        *(client.send(couriers[n % len(couriers)], f"/post/{n}", "POST", b"{}", key) for n, key in enumerate(keys))
    )
    return dict(zip(keys, statuses, strict=True))


async def overlap_losses(record: rig.Record, mesh: rig.Mesh) -> None:
    """Two control nodes lose power, one of them its disk too; then a third one freezes. All come back."""
    first, _, third, fourth, _ = mesh.controls
    mesh.kill(third, fourth)
    dark_at = record.now()
    record.say(f"{third} and {fourth} lose power; the disk of {third} is lost")
    mesh.lose_disk(third)
    await asyncio.sleep(FREEZE_AT_SECONDS)
    mesh.freeze(first)
    frozen_at = record.now()
    record.say(f"{first} stands still")
    await asyncio.sleep(max(0.0, dark_at + DARK_SECONDS - record.now()))
    mesh.start(third)
    mesh.start(fourth)
    record.say(f"{third} and {fourth} are back")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - record.now()))
    mesh.thaw(first)
    record.say(f"{first} runs on")


async def play(record: rig.Record, mesh: rig.Mesh) -> int:
    """Play the case."""
    for ip in (*mesh.controls, *mesh.couriers):
        mesh.start(ip)
    backends = []
    for number, ip in enumerate(mesh.couriers):
        address, dispatch = f"{ip}:{mesh.app}", f"{ip}:{mesh.dispatch}"
        ident = f"i-{number:08x}"
        backends.append(rig.Backend(record, ident, "folio", address, dispatch, mesh.zone(ip), WORK_SECONDS))
        await backends[-1].begin()
    items = {
        "routes": [rig.route("post", "tracked", "folio")],
        "services": [rig.service("folio")],
        "limits": rig.LIMITS,
    }
    if await rig.Operator(mesh, record).order("first", items, rig.READY_SECONDS) is None:
        raise rig.CannotRunError("the first configuration was not acknowledged")
    await mesh.until_ready()
    await asyncio.sleep(CONTACT_SECONDS)
    client = rig.Client(mesh, record)
    keys = [f"k-{number}" for number in range(OPERATIONS)]

    second = mesh.controls[1]
    if rig.trouble():
        mesh.kill(second)
        record.say(f"{second} is killed")
        await asyncio.sleep(0.2)
    began = record.now()
    first_statuses = await run_operations(client, mesh.couriers, keys)
    record.say(f"{OPERATIONS} operations took {record.now() - began:.3f} s: {dict(Counter(first_statuses.values()))}")
    await asyncio.sleep(max(0.0, FIRST_DOWN_SECONDS - 0.2 - (record.now() - began)))
    if rig.trouble():
        mesh.start(second)
        record.say(f"{second} is back")
    await asyncio.sleep(CATCH_UP_SECONDS + CONTACT_SECONDS + 1.0)

    if rig.trouble():
        await overlap_losses(record, mesh)
    await asyncio.sleep(CATCH_UP_SECONDS + CONTACT_SECONDS)
    if mesh.ended():
        raise rig.CannotRunError(f"processes ended by themselves: {mesh.ended()}")
    answered = [key for key in keys if first_statuses[key] == 200]
    if not answered:
        raise rig.CannotRunError("no operation was answered with success")
    repeats = await run_operations(client, mesh.couriers[1:] + mesh.couriers[:1], answered)
    ended = record.now()
    record.say(f"repeats, {ended - began:.1f} s after the first tries: {dict(Counter(repeats.values()))}")
    if ended - began >= WINDOW_SECONDS:
        raise rig.CannotRunError("the repeats came after the window")
    keys_by_attempt = {attempt: key for attempt, key in client.keys.items() if key}
    runs = Counter(keys_by_attempt[attempt] for backend in backends for _, attempt in backend.ran)
    twice = sorted(key for key, count in runs.items() if count > 1)
    record.say(f"operations that ran more than once: {len(twice)} of {len(answered)} {twice[:10]}")
    return rig.BROKEN if twice else rig.HELD


async def case(record: rig.Record) -> int:
    """Play the case on a mesh of its own."""
    mesh = rig.Mesh(record, 5, ["folio"] * 4)
    try:
        return await play(record, mesh)
    finally:
        mesh.close()


if __name__ == "__main__":
    rig.run(Path(__file__).resolve().parent, case)
