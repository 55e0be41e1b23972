"""Soak-test real processes under overlapping faults, for many seeds.

    python -m lugspur.bench.soak mesh --seeds 20 --seconds 30
    python -m lugspur.bench.soak daemon --seeds 20 --seconds 30
    python -m lugspur.bench.soak guards --seconds 120

Prints the injected faults, the operation counts and the findings of each seed; the exit status is 1 if there is any
finding. `guards` disables one guard of the mesh after another, until the soak detects the missing guard or the seconds
are up; the exit status is 1 if a missing guard was not detected.
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
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, MESH_WEIGHTS, average_overlap, draw_faults
from lugspur.bench.soak.verdict import Verdict

WEIGHTS_BY_PROGRAM = {"mesh": MESH_WEIGHTS, "daemon": DAEMON_WEIGHTS}


async def _cancel_on_sigterm(run: Coroutine[None, None, Verdict]) -> Verdict:
    """Run the soak and cancel it on SIGTERM, as Ctrl-C does, so that no child process is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="python -m lugspur.bench.soak", description=__doc__.splitlines()[0])
    parser.add_argument("program", choices=[*sorted(WEIGHTS_BY_PROGRAM), "guards"])
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds, run one after another")
    parser.add_argument("--seconds", type=float, default=30.0, help="seconds of fault injection for each seed")
    parser.add_argument("--machines", type=int, default=3, help="number of control nodes of a mesh")
    parser.add_argument("--keep", type=Path, help="directory in which to keep settings, data directories and logs")
    parser.add_argument("--at-once", type=int, default=3, help="guards: number of meshes that run in parallel")
    parser.add_argument("--name", default="", help="guards: run only those whose names contain this text")
    options = parser.parse_args()
    if options.program == "guards":
        return guards.main(options.seconds, options.seed, options.machines, options.at_once, options.name)
    finding_counts: Counter[str] = Counter()
    for seed in range(options.seed, options.seed + options.seeds):
        faults = draw_faults(Random(f"troubles-{seed}"), options.seconds, WEIGHTS_BY_PROGRAM[options.program])
        started_at = time.monotonic()
        with tempfile.TemporaryDirectory() as temporary_directory:
            directory = (
                Path(temporary_directory) if options.keep is None else options.keep / f"{options.program}-{seed}"
            )
            directory.mkdir(parents=True, exist_ok=True)
            if options.program == "mesh":
                run = soak_mesh(directory, seed, options.seconds, options.machines)
            else:
                run = soak_daemon(directory, seed, options.seconds)
            verdict = asyncio.run(_cancel_on_sigterm(run))
        duration = time.monotonic() - started_at
        print(
            f"seed {seed}: {len(faults)} troubles, {average_overlap(faults):.1f} at once, {duration:.0f} s", flush=True
        )
        for line in verdict.lines():
            print(f"  {line}", flush=True)
        finding_counts.update(kind for kind, _ in verdict.findings)
    print(
        f"{options.program}, {options.seeds} seeds from {options.seed}: "
        f"{finding_counts.total()} findings {dict(finding_counts) or ''}".rstrip()
    )
    return 1 if finding_counts else 0


if __name__ == "__main__":
    sys.exit(main())
