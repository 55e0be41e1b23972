"""A mesh of two builds: each process of a former build is replaced by the present one under load, and the reverse.

    python -m lugspur.bench.upgrade --from 6c859c6

The former build is taken out of the history of this repository. A mesh of control nodes and proxies starts with one
build; its processes are replaced one after another, with their data directories kept, by processes of the other build,
while operators change the configuration and clients send requests and keyed operations. At the end all control nodes
are killed and started again, so that what they answer comes from their disks. Exit status 1 where an acknowledged
change cannot be read back, a keyed operation ran twice, requests were not served, a process ended by itself, or a log
holds a message that could not be decoded or a traceback; 2 where the former build cannot be had.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path

from lugspur.bench.revisions import RevisionError, extract_build
from lugspur.bench.upgrade.plan import Builds, Direction, Outcome, Plan
from lugspur.bench.upgrade.report import table
from lugspur.bench.upgrade.run import play


async def _until_terminated(run: Coroutine[None, None, Outcome]) -> Outcome:
    """SIGTERM ends the run as Ctrl-C does, so that no process of the mesh is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(arguments: list[str] | None = None) -> int:
    """Run the command; `arguments` stand for those of the command line."""
    parser = argparse.ArgumentParser(prog="python -m lugspur.bench.upgrade", description="A mesh of two builds.")
    parser.add_argument("--from", dest="revision", required=True, help="the revision that the former build is of")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pause", type=float, default=2.0, help="seconds of work after each replacement")
    parser.add_argument("--keep", type=Path, help="a directory for settings, disks and logs")
    given = parser.parse_args(arguments)
    plan = Plan(seed=given.seed, pause_seconds=given.pause)
    outcomes = []
    with tempfile.TemporaryDirectory() as made:
        base = given.keep or Path(made)
        former = Path(made) / "former"
        former.mkdir()
        try:
            extract_build(given.revision, former)
        except RevisionError as error:
            print(error, file=sys.stderr)
            return 2
        for direction in Direction:
            directory = base / direction.name.lower()
            directory.mkdir(parents=True)
            outcomes.append(asyncio.run(_until_terminated(play(directory, Builds(former=former), direction, plan))))
    print("\n".join(table(outcomes)))
    return 1 if any(outcome.verdict.findings for outcome in outcomes) else 0


if __name__ == "__main__":
    sys.exit(main())
