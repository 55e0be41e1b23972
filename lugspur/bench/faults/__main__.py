"""Faults against a mesh of real processes on loopback.

    python -m lugspur.bench.faults --seed 1 --faults 300 --machines 4
    python -m lugspur.bench.faults --scenario losses --machines 4

Prints a table of faults and violations, and the history around each violation that it shows. The exit status is 1 if
a rule was violated, a process ended by itself or an exception was not caught.
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
    """Cancel the run on SIGTERM as on Ctrl-C, so that no process of the mesh is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> int:
    """Run the faults given on the command line and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m lugspur.bench.faults", description="Inject faults into a mesh and check its guarantees."
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=300)
    parser.add_argument("--machines", type=int, default=4, help="number of control machines")
    parser.add_argument(
        "--tolerate", type=int, default=0, help="machines that may be lost at once; 0: derived from --machines"
    )
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), help="run scripted faults instead of random ones")
    parser.add_argument("--keep", type=Path, help="keep settings, data directories and logs in this folder")
    arguments = parser.parse_args()
    tolerate = arguments.tolerate or max(1, (arguments.machines - 1) // 2)
    faults = SCENARIOS[arguments.scenario] if arguments.scenario else draw(Random(arguments.seed), arguments.faults)

    def progress(number: int, fault: Fault, seconds: float) -> None:
        print(f"{number + 1}/{len(faults)} {fault.name}: {seconds:.1f} s", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory() as temporary:
        folder: Path = arguments.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(
            _until_terminated(play(folder, arguments.machines, tolerate, faults, arguments.seed, progress))
        )
    if outcome.injected.total() < len(faults):
        print(f"stopped early after {outcome.injected.total()} of {len(faults)} faults: the mesh did not recover")
    for line in (*table(outcome), *details(outcome)):
        print(line)
    return 1 if outcome.failed else 0


if __name__ == "__main__":
    sys.exit(main())
