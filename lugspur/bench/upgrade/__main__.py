"""Upgrade and downgrade a mesh under load, one process after another.

    python -m lugspur.bench.upgrade --from 6c859c6

The former build is extracted from the history of this repository. A mesh of control nodes and proxies starts with one
build; its processes are replaced one after another, with their data directories kept, by processes of the other build,
while operators change the configuration and clients send requests and keyed operations. At the end all control nodes
are killed and restarted, so that their responses come from their disks. The exit status is 1 if an acknowledged change
cannot be read back, a keyed operation ran twice, requests were not served, a process exited by itself, or a log holds
an undecodable message or a traceback; it is 2 if the former build cannot be extracted.
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


async def _cancel_on_sigterm(run: Coroutine[None, None, Outcome]) -> Outcome:
    """Run one direction and cancel it on SIGTERM, as Ctrl-C does, so that no process of the mesh is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(arguments: list[str] | None = None) -> int:
    """Run the command; `arguments` replace those of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m lugspur.bench.upgrade", description="Upgrade and downgrade a mesh under load."
    )
    parser.add_argument("--from", dest="revision", required=True, help="revision of the former build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pause", type=float, default=2.0, help="seconds under load after each replacement")
    parser.add_argument("--keep", type=Path, help="directory in which to keep settings, data directories and logs")
    options = parser.parse_args(arguments)
    plan = Plan(seed=options.seed, pause_seconds=options.pause)
    outcomes = []
    with tempfile.TemporaryDirectory() as temporary_directory:
        base = options.keep or Path(temporary_directory)
        former = Path(temporary_directory) / "former"
        former.mkdir()
        try:
            extract_build(options.revision, former)
        except RevisionError as error:
            print(error, file=sys.stderr)
            return 2
        for direction in Direction:
            directory = base / direction.name.lower()
            directory.mkdir(parents=True)
            outcomes.append(asyncio.run(_cancel_on_sigterm(play(directory, Builds(former=former), direction, plan))))
    print("\n".join(table(outcomes)))
    return 1 if any(outcome.verdict.findings for outcome in outcomes) else 0


if __name__ == "__main__":
    sys.exit(main())
