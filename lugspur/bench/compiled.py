"""Compiles the hot modules with mypyc in a copy of this checkout: `python -m lugspur.bench.compiled DIR`.

The sources of this checkout stay unchanged and run uncompiled. `lugspur bench --against DIR` takes the copy as another
checkout, and the copy runs like one: `cd DIR && python -m lugspur run FILE`.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PACKAGES = ("lugspur",)
# The modules that every request passes through, except for classes that asyncio calls through its own protocols.
HOT = (
    "lugspur/load_balancing/balancer.py",
    "lugspur/load_balancing/admission.py",
    "lugspur/load_balancing/two_choice_pick.py",
    "lugspur/load_balancing/slow_start.py",
    "lugspur/load_balancing/server_table.py",
    "lugspur/load_balancing/server_pool.py",
    "lugspur/load_balancing/server.py",
    "lugspur/load_balancing/request_state.py",
    "lugspur/load_balancing/outlier_ejection.py",
    "lugspur/load_balancing/circuit_breaker.py",
    "lugspur/load_balancing/adaptive_throttling.py",
    "lugspur/load_balancing/event_rate.py",
    "lugspur/load_balancing/retry_budget.py",
    "lugspur/load_balancing/tenant_quotas.py",
    "lugspur/load_balancing/attempt_deadlines.py",
    "lugspur/load_balancing/cost_baseline.py",
    "lugspur/load_balancing/learned_state.py",
    "lugspur/load_balancing/discovery_subscription.py",
    "lugspur/load_balancing/model.py",
    "lugspur/daemon/pool.py",
    "lugspur/http1/request_parser.py",
    "lugspur/http1/upstream.py",
    "lugspur/routing/shares.py",
)


def build(folder: Path) -> None:
    """Copy the packages to the folder and compile the hot modules; raises CalledProcessError with the output."""
    for package in PACKAGES:
        shutil.rmtree(folder / package, ignore_errors=True)
        shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__", "*.so"))
    subprocess.run([sys.executable, "-m", "mypyc", *HOT], cwd=folder, check=True, capture_output=True, text=True)
    shutil.rmtree(folder / "build", ignore_errors=True)


def main() -> int:
    """Build the copy in the directory that the command line names."""
    if len(sys.argv) != 2:
        print("usage: python -m lugspur.bench.compiled DIR", file=sys.stderr)
        return 2
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    try:
        build(folder)
    except subprocess.CalledProcessError as error:
        print(f"{error.stdout}{error.stderr}".strip(), file=sys.stderr)
        return 1
    print(f"compiled into {folder}: {', '.join(HOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
