"""What the mesh adds to a call: chains of 1, 4 and 12 services on real proxies, beside the same chains without them."""

from __future__ import annotations

import asyncio
import tempfile
import time
from contextlib import suppress
from pathlib import Path

from lugspur.emulator.capacity.fit import percentile
from lugspur.emulator.capacity.measure import Tell
from lugspur.emulator.capacity.measurement import Hop
from lugspur.emulator.hollow.chain import WARMING_PART, Caller, ChainBackend, latencies
from lugspur.emulator.hollow.fleet import HollowFleet
from lugspur.emulator.hollow.layout import OUTGOING, configuration
from lugspur.emulator.hollow.usage import of_process

DEPTHS = {1: 2000, 4: 1000, 12: 500}  # calls of each
DEEPEST = max(DEPTHS)
READY_WITHIN_S = 30.0
IDLE_S = 3.0


async def hops(folder: Path, tell: Tell) -> list[Hop]:
    """Measure all depths on a mesh with one proxy for each level and one where calls begin."""
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder) as own:
        fleet = HollowFleet(Path(own), 3, DEEPEST + 1)
        direct = {depth: await _straight(fleet, depth, calls) for depth, calls in DEPTHS.items()}
        try:
            await fleet.start_real(all_safe())
            backends = [ChainBackend(fleet.layout, level, direct=False) for level in range(1, DEEPEST + 1)]
            for backend in backends:
                await backend.serve()
            await until_served(fleet, DEEPEST)
            idle = await _idle_cores(fleet)
            found = []
            for depth, calls in DEPTHS.items():
                begun, before = time.monotonic(), _cpu_s(fleet)
                mesh = await latencies(fleet.layout, depth, calls, direct=False)
                used_s = _cpu_s(fleet) - before - idle * (time.monotonic() - begun)
                found.append(_hop(depth, direct[depth], mesh, 1e3 * used_s / depth / (calls + calls // WARMING_PART)))
                tell(f"{depth} deep: {found[-1].mesh_p50_ms:.2f} ms, {found[-1].direct_p50_ms:.2f} ms without proxies")
            for backend in backends:
                backend.close()
            return found
        finally:
            await fleet.close()


async def _straight(fleet: HollowFleet, depth: int, calls: int) -> list[float]:
    backends = [ChainBackend(fleet.layout, level, direct=True) for level in range(1, depth + 1)]
    for backend in backends:
        await backend.serve()
    found = await latencies(fleet.layout, depth, calls, direct=True)
    for backend in backends:
        backend.close()
    return found


async def until_served(fleet: HollowFleet, depth: int) -> None:
    """Return when a call goes down so many levels."""
    async with asyncio.timeout(READY_WITHIN_S):
        while True:
            caller = Caller((fleet.layout.proxy_ip(0), OUTGOING))
            with suppress(OSError, asyncio.IncompleteReadError):
                await caller.call(1, depth - 1)
                caller.close()
                return
            await asyncio.sleep(0.1)


def all_safe() -> dict[str, object]:
    """The first configuration with no route on which keys are claimed."""
    found = configuration()
    for route in found["routes"]:
        route["mail_class"] = "safe"
    return found


def _cpu_s(fleet: HollowFleet) -> float:
    return sum(of_process(process.pid).cpu_s for process in fleet.reals)


async def _idle_cores(fleet: HollowFleet) -> float:
    """What the proxies use without calls."""
    before = _cpu_s(fleet)
    await asyncio.sleep(IDLE_S)
    return (_cpu_s(fleet) - before) / IDLE_S


def _hop(depth: int, direct: list[float], mesh: list[float], cpu_ms: float) -> Hop:
    return Hop(
        depth,
        len(mesh),
        percentile(direct, 0.5),
        percentile(direct, 0.99),
        percentile(mesh, 0.5),
        percentile(mesh, 0.99),
        cpu_ms,
    )
