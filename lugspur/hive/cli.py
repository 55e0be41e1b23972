"""The operators' command line."""

from __future__ import annotations

import sys

import cyclopts

from lugspur.hive.errors import HiveError
from lugspur.hive.settings import load

app = cyclopts.App(name="lugspur-hive", help="The mesh: foragers that carry requests, combs that keep the state.")


@app.command
def check(path: str) -> None:
    """Check a settings file; one line of what is wrong, and exit status 2, where it can't be used."""
    try:
        settings = load(path)
    except HiveError as fault:
        print(fault.detail, file=sys.stderr)
        sys.exit(2)
    print(f"{settings.own.node_name}: {'comb' if settings.keeps else 'forager'} in {settings.own.zone}")


@app.command
def serve() -> None:
    """Run a process of the hive by the settings file that LUGSPUR_NODE_FILE names."""
    from lugspur.hive.program import serve as run

    sys.exit(run())


def main() -> None:
    """Run the command line."""
    app()
