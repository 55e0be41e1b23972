"""`python -m lugspur`: with no argument the platform's proxy, else the command line."""

from __future__ import annotations

import sys

NO_CLI = "lugspur: its commands need the package click; install lugspur[cli], or run it without arguments"


def main() -> int:
    """Start; the command line is imported only where it is asked for: the platform's proxy has no use for it."""
    if len(sys.argv) == 1 or sys.argv[1] == "run":
        from lugspur import reload_signal

        reload_signal.record_early_signal()  # before the rest is imported, which takes its time
    if len(sys.argv) == 1:
        from lugspur.daemon.service import main as serve

        return serve()
    try:
        from lugspur.cli.main import cli
    except ModuleNotFoundError as fault:
        if fault.name != "click":
            raise
        print(NO_CLI, file=sys.stderr)
        return 2
    cli(prog_name="lugspur")
    return 0


if __name__ == "__main__":
    sys.exit(main())
