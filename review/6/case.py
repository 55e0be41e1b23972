"""A backend signs off, its proxy is killed and started again, and one of the backend's earlier beats comes late."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig_2  # noqa: E402

DRAIN_SECONDS = 2.0  # drain_ms
CONTACT_SECONDS = 3.0  # contact_ms: the killed machine counts as in touch again after this
LATE_SECONDS = 3.0  # "A beat may come seconds late": the beat is sent before the sign-off and arrives after it
LINGER_SECONDS = 7.5  # the backend "serves on as long" as drain_ms and a little longer, "at times many seconds"


async def case(mesh: rig_2.Mesh) -> int:
    record = mesh.record
    ips = list(mesh.couriers)
    caller, leaving = ips[0], ips[3]
    backends = [rig_2.Backend(mesh, ip, service, work=0.3) for ip, service in mesh.couriers.items()]
    for backend in backends:
        await backend.start()
    await mesh.begin([mesh.route("note", "unsafe", "desk")])
    leaver = next(backend for backend in backends if backend.ip == leaving)
    await mesh.until_served(caller, "/note/1", [leaver])
    await asyncio.sleep(CONTACT_SECONDS + 1.0)

    async def late_beat(body: bytes) -> None:
        await asyncio.sleep(LATE_SECONDS)
        record.line(f"a beat of {leaver.id}, sent before its sign-off, arrives now: {body.decode()}")
        status = await leaver.call("heartbeat", body)
        record.line(f"the late beat gets {status}")

    leaver.stop_beats()
    beat = asyncio.create_task(late_beat(leaver.beat_body()))
    await asyncio.sleep(0.2)
    status = await leaver.call("sign-off")
    signed_off_at = time.monotonic()
    record.line(f"{leaver.id} at {leaving} signs off, and gets {status}")
    if status != 200:
        return rig_2.COULD_NOT_RUN
    if rig_2.TROUBLE:
        await asyncio.sleep(0.1)
        mesh.kill(leaving)
    answers: dict[str, int] = {}

    async def ask() -> None:
        attempt, answer = await mesh.ask(caller, "/note/1")
        answers[attempt] = answer.status

    asks = []
    while time.monotonic() < signed_off_at + LINGER_SECONDS:
        asks.append(asyncio.create_task(ask()))
        await asyncio.sleep(0.05)
    leaver.end()
    record.line(f"{leaver.id} ends")
    await beat
    await asyncio.gather(*asks)

    in_touch_at = mesh.began_at[leaving] + CONTACT_SECONDS
    late = [at - signed_off_at for at, _ in leaver.arrived if at > signed_off_at + DRAIN_SECONDS]
    counted = [at for at in late if signed_off_at + at > in_touch_at]
    cut = [attempt for _, attempt, _ in leaver.began if answers.get(attempt, 200) != 200]
    record.line(f"requests sent after the sign-off: {len(answers)}")
    record.line(f"requests that reached the backend over {DRAIN_SECONDS} s after the acknowledgement: {len(late)}")
    record.line(f"of these, after the killed machine was in touch again: {len(counted)}")
    record.line(f"requests that it began to run and that got no success: {len(cut)} ({', '.join(cut)})")
    if late:
        record.line(f"the first {min(late):.3f} s and the last {max(late):.3f} s after the acknowledgement")
    return rig_2.BROKEN if counted else rig_2.HELD


if __name__ == "__main__":
    rig_2.run_case(rig_2.Mesh(HERE, ["front", "front", "desk", "desk"]), case)
