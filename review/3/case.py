"""The address of a backend that has ended passes to a backend of a new service, which the other proxies never see."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

OLD_BACKENDS = 6  # one of the 7 backends loses its address: a share of 0.14
WORK_SECONDS = 0.05
REQUESTS_PER_SECOND = 10.0  # on each of the two routes
JUDGED_SECONDS = 40.0
MIN_REQUESTS = 20
LEAST_SHARE = 0.25
CONTACT_SECONDS = rig.BOUNDS["contact_ms"] / 1000.0
EDITION_SECONDS = rig.BOUNDS["edition_ms"] / 1000.0
DRAIN_SECONDS = rig.BOUNDS["drain_ms"] / 1000.0
REUSE_SECONDS = float(rig.BOUNDS["reuse_after_s"])


class Deployment:
    """The backends of the deployment; each start of one is a life of its own."""

    def __init__(self, record: rig.Record, mesh: rig.Mesh) -> None:
        self._record, self._mesh = record, mesh
        self._lives = 0

    async def begin(self, ip: str) -> rig.Backend:
        """Start the backend of a machine."""
        self._lives += 1
        mesh = self._mesh
        name = mesh.services[mesh.couriers.index(ip)]
        address, dispatch = f"{ip}:{mesh.app}", f"{ip}:{mesh.dispatch}"
        ident = f"i-{self._lives:08x}"
        backend = rig.Backend(self._record, ident, name, address, dispatch, mesh.zone(ip), WORK_SECONDS)
        await backend.begin()
        return backend

    async def leave(self, ip: str, backend: rig.Backend) -> None:
        """Take a backend away in order, and its machine's proxy after it."""
        record, mesh = self._record, self._mesh
        backend.state = "closing"
        if not await backend.report("heartbeat", backend.beat()):
            raise rig.CannotRunError("the backend's word that it closes was not acknowledged")
        await asyncio.sleep(DRAIN_SECONDS + 0.5)
        await backend.report("sign-off", b"{}")
        backend.end()
        ended = record.now()
        await mesh.stop(ip)
        await asyncio.sleep(max(0.0, ended + REUSE_SECONDS - record.now()))


async def play(record: rig.Record, mesh: rig.Mesh) -> int:
    """Play the case."""
    *old, caller, spare = mesh.couriers
    for ip in (*mesh.controls, *old, caller):
        mesh.start(ip)
    deployment = Deployment(record, mesh)
    backends = {ip: await deployment.begin(ip) for ip in (*old, caller)}
    operator = rig.Operator(mesh, record)
    first = {
        "routes": [rig.route("old", "safe", "board")],
        "services": [rig.service("board"), rig.service("front")],
        "limits": rig.LIMITS,
    }
    if await operator.order("first", first, rig.READY_SECONDS) is None:
        raise rig.CannotRunError("the first configuration was not acknowledged")
    await mesh.until_ready([*old, caller])
    await asyncio.sleep(CONTACT_SECONDS)

    machine = spare
    if rig.trouble():
        machine = old[-1]
        await deployment.leave(machine, backends[machine])
        record.say(f"the backend of {machine} has left and its proxy has ended; its address passes to a new service")
    mesh.services[mesh.couriers.index(machine)] = "desk"
    mesh.start(machine)
    await mesh.until_ready([machine])
    newcomer = await deployment.begin(machine)
    record.say(f"backend {newcomer.id} of the new service starts at {newcomer.address}")
    second = {"routes": [rig.route("new", "safe", "desk", 2)], "services": [rig.service("desk", 2)]}
    if await operator.order("second", second, rig.READY_SECONDS) is None:
        raise rig.CannotRunError("the second configuration was not acknowledged")
    record.say("the new service and its route are acknowledged")
    await asyncio.sleep(CONTACT_SECONDS + EDITION_SECONDS + 1.0)

    clients = {"old": rig.Client(mesh, record, 1), "new": rig.Client(mesh, record, 2)}
    tasks = []
    for number in range(int(JUDGED_SECONDS * REQUESTS_PER_SECOND)):
        tasks += [asyncio.create_task(client.send(caller, f"/{name}/{number}")) for name, client in clients.items()]
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    await asyncio.gather(*tasks)

    if mesh.ended():
        raise rig.CannotRunError(f"processes ended by themselves: {mesh.ended()}")
    served, sent = {}, {}
    for name, client in clients.items():
        statuses = [status for _, _, status in client.outcomes]
        served[name], sent[name] = sum(200 <= status < 300 for status in statuses), len(statuses)
        record.say(f"route {name}: {served[name]} of {sent[name]} served; statuses {sorted(set(statuses))}")
    status = await rig.call(f"{caller}:{mesh.dispatch}", "GET", "/mesh/status")
    known = [(row["service"], row["ip"], row["id"]) for row in json.loads(status[2])["backends"]]
    record.say(f"backends that the callers' proxy knows: {known}")
    record.say(
        f"backend {newcomer.id} accepts work, {newcomer.sequence} heartbeats, and ran {len(newcomer.ran)} requests"
    )
    if sent["new"] < MIN_REQUESTS or not served["old"]:
        raise rig.CannotRunError("too few requests to judge")
    share_old, share_new = served["old"] / sent["old"], served["new"] / sent["new"]
    return rig.BROKEN if share_new < LEAST_SHARE * share_old else rig.HELD


async def case(record: rig.Record) -> int:
    """Play the case on a mesh of its own."""
    mesh = rig.Mesh(record, 3, ["board"] * OLD_BACKENDS + ["front", "desk"])
    try:
        return await play(record, mesh)
    finally:
        mesh.close()


if __name__ == "__main__":
    rig.run(Path(__file__).resolve().parent, case)
