"""Soak real processes under troubles that overlap, for many seeds.

    python -m lugspur.bench.soak mesh --seeds 20 --seconds 30
    python -m lugspur.bench.soak daemon --seeds 20 --seconds 30
    python -m lugspur.bench.soak guards --seconds 120

Prints what was done and found for each seed; exit status 1 where anything was found. `guards` plays a mesh that lacks
one guard after another, until that is found out or the seconds are up; exit status 1 where one was not missed.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from random import Random

from lugspur.bench.soak import guards
from lugspur.bench.soak.daemon_run import soak_daemon
from lugspur.bench.soak.mesh_run import soak_mesh
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, MESH_WEIGHTS, draw, overlapping
from lugspur.bench.soak.verdict import Verdict

PROGRAMS = {"mesh": MESH_WEIGHTS, "daemon": DAEMON_WEIGHTS}


async def _until_terminated(run: Coroutine[None, None, Verdict]) -> Verdict:
    """SIGTERM ends the run as Ctrl-C does, so that no process is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="python -m lugspur.bench.soak", description=__doc__.splitlines()[0])
    parser.add_argument("program", choices=[*sorted(PROGRAMS), "guards"])
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--seeds", type=int, default=10, help="how many, one after another")
    parser.add_argument("--seconds", type=float, default=30.0, help="of troubles, for each seed")
    parser.add_argument("--machines", type=int, default=3, help="control nodes of a mesh")
    parser.add_argument("--keep", type=Path, help="a folder for settings, disks and logs")
    parser.add_argument("--at-once", type=int, default=3, help="guards: how many meshes play at once")
    parser.add_argument("--name", default="", help="guards: only those whose names hold this")
    given = parser.parse_args()
    if given.program == "guards":
        return guards.main(given.seconds, given.seed, given.machines, given.at_once, given.name)
    found: Counter[str] = Counter()
    for seed in range(given.seed, given.seed + given.seeds):
        troubles = draw(Random(f"troubles-{seed}"), given.seconds, PROGRAMS[given.program])
        began = time.monotonic()
        with tempfile.TemporaryDirectory() as made:
            folder = Path(made) if given.keep is None else given.keep / f"{given.program}-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            if given.program == "mesh":
                run = soak_mesh(folder, seed, given.seconds, given.machines)
            else:
                run = soak_daemon(folder, seed, given.seconds)
            verdict = asyncio.run(_until_terminated(run))
        lasted = time.monotonic() - began
        print(f"seed {seed}: {len(troubles)} troubles, {overlapping(troubles):.1f} at once, {lasted:.0f} s", flush=True)
        for line in verdict.lines():
            print(f"  {line}", flush=True)
        found.update(kind for kind, _ in verdict.findings)
    print(
        f"{given.program}, {given.seeds} seeds from {given.seed}: {found.total()} findings {dict(found) or ''}".rstrip()
    )
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
