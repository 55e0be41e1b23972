"""Where the processor time of a call goes: a call's two proxies under a profile, by what their modules do."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from pathlib import Path

from lugspur.emulator.capacity.hops import all_safe, until_served
from lugspur.emulator.capacity.measurement import Stage
from lugspur.emulator.hollow.chain import ChainBackend, latencies
from lugspur.emulator.hollow.fleet import HollowFleet

CALLS = 2000
WRITTEN_WITHIN_S = 20.0
SIDES = ("at the caller", "at the backend")
STAGES = {
    "HTTP of callers": ("http1/front", "http1/intake", "http1/hops"),
    "HTTP to the backend": ("http1/upstream", "http1/body"),
    "route, pick, retries": (
        "dataplane/prox",
        "dataplane/endpoints",
        "dataplane/refusal",
        "dataplane/routes",
        "jaspershelf/",
    ),
    "gate": ("dataplane/gate", "dataplane/uploads"),
    "messages between proxies": ("mesh/link", "control/messages"),
    "carrying, news, leases": ("lugspur/mesh/", "lugspur/control/", "lugspur/membership/"),
    "built-in functions, the event loop and its sockets": ("~",),
}
OTHER = "all else"


async def stages(folder: Path) -> list[Stage]:
    """Profile the proxies of calls that are one level deep; the profile itself makes Python's part larger."""
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder) as own:
        fleet = HollowFleet(Path(own), 3, len(SIDES))
        backend = ChainBackend(fleet.layout, 1, direct=False)
        try:
            files = await fleet.start_profiled(all_safe())
            await backend.serve()
            await until_served(fleet, 1)
            for process in fleet.reals:
                process.send_signal(signal.SIGUSR1)
            await latencies(fleet.layout, 1, CALLS, direct=False)
            for process in fleet.reals:
                process.send_signal(signal.SIGUSR2)
            found = [await _written(file) for file in files]
            backend.close()
        finally:
            await fleet.close()
    return [
        Stage(side, name, part)
        for side, times in zip(SIDES, found, strict=True)
        for name, part in _parts(times).items()
    ]


async def _written(file: Path) -> dict[str, float]:
    async with asyncio.timeout(WRITTEN_WITHIN_S):
        while not file.exists():
            await asyncio.sleep(0.05)
    found: dict[str, float] = json.loads(file.read_text())
    return found


def _parts(times: dict[str, float]) -> dict[str, float]:
    """Each stage's part of all processor time."""
    found = dict.fromkeys([*STAGES, OTHER], 0.0)
    for file, seconds in times.items():
        found[_stage(file)] += seconds / sum(times.values())
    return found


def _stage(file: str) -> str:
    for name, patterns in STAGES.items():
        if any(pattern in file for pattern in patterns):
            return name
    return OTHER
