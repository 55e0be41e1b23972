"""Faults against a mesh of real processes on loopback.

    python -m lugspur.bench.faults --seed 1 --faults 300 --machines 4
    python -m lugspur.bench.faults --scenario losses --machines 4

Prints a table of faults and violations; exit status 1 with the history's part where one is found.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from random import Random

from lugspur.bench.faults.plan import SCENARIOS, Fault, draw
from lugspur.bench.faults.report import details, table
from lugspur.bench.faults.run import Outcome, play


async def _until_terminated(run: Coroutine[None, None, Outcome]) -> Outcome:
    """SIGTERM ends the run as Ctrl-C does, so that no process of the mesh is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="python -m lugspur.bench.faults", description="Faults against a mesh.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=300)
    parser.add_argument("--machines", type=int, default=4, help="control machines")
    parser.add_argument("--tolerate", type=int, default=0, help="machines to lose at once; 0: by their number")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), help="scripted faults in place of drawn ones")
    parser.add_argument("--keep", type=Path, help="a folder for settings, disks and logs")
    given = parser.parse_args()
    tolerate = given.tolerate or max(1, (given.machines - 1) // 2)
    faults = SCENARIOS[given.scenario] if given.scenario else draw(Random(given.seed), given.faults)

    def progress(number: int, fault: Fault, seconds: float) -> None:
        print(f"{number + 1}/{len(faults)} {fault.name}: {seconds:.1f} s", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory() as made:
        folder: Path = given.keep or Path(made)
        folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(_until_terminated(play(folder, given.machines, tolerate, faults, given.seed, progress)))
    if outcome.injected.total() < len(faults):
        print(f"ended early, after {outcome.injected.total()} of {len(faults)} faults: the mesh was stuck")
    for line in (*table(outcome), *details(outcome)):
        print(line)
    return 1 if outcome.failed else 0


if __name__ == "__main__":
    sys.exit(main())
