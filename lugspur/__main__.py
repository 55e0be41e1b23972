"""`python -m lugspur`: without arguments the platform's proxy, otherwise the command line."""

from __future__ import annotations

import sys

CLICK_MISSING = "lugspur: commands need the package click; install lugspur[cli], or run lugspur without arguments"


def main() -> int:
    """Run the proxy or a command; the command line is imported only if it is used, as the proxy does not need it."""
    if len(sys.argv) == 1 or sys.argv[1] == "run":
        from lugspur import reload_signal

        reload_signal.record_early_signal()  # before the other imports, which take time
    if len(sys.argv) == 1:
        from lugspur.daemon.service import main as serve

        return serve()
    try:
        from lugspur.cli.main import cli
    except ModuleNotFoundError as fault:
        if fault.name != "click":
            raise
        print(CLICK_MISSING, file=sys.stderr)
        return 2
    cli(prog_name="lugspur")
    return 0


if __name__ == "__main__":
    sys.exit(main())
