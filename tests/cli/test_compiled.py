"""Checks that mypyc compiles the sources unchanged and that the compiled daemon behaves like the interpreted one."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from lugspur.bench.compiled import HOT, build

ROOT = Path(__file__).parent.parent.parent
# Tests of streamed, retried and cancelled requests; none of them replaces a method of a compiled class.
SELECTED_TESTS = "larger or cancel or never_ran or refused_connection"
# The selected tests don't use it. Its plugin is imported, and so parsed, when they have ended: before CPython 3.11.10 a
# finalizer of theirs that fails meanwhile ends the parse (see `sourcetrees`).
WITHOUT_HYPOTHESIS = ("-p", "no:hypothesispytest")


def run(folder: Path, *words: str) -> str:
    """Return the output of a new interpreter that runs in the copy."""
    result = subprocess.run([sys.executable, *words], cwd=folder, capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stdout + result.stderr
    return result.stdout


def test_the_compiled_daemon_loses_and_doubles_no_request(tmp_path: Path) -> None:
    build(tmp_path)
    for name in HOT:
        module = name.removesuffix(".py").replace("/", ".")
        assert run(tmp_path, "-c", f"import {module} as m; print(m.__file__)").strip().endswith(".so")
    output = run(tmp_path, "-m", "lugspur", "demo", "--seconds", "3")
    assert "0 lost, 0 doubled, 0 sent to a draining backend after the grace" in output
    for name in ("loopback.py", "test_proxy.py"):
        (tmp_path / name).write_text((ROOT / "tests" / name).read_text())
    output = run(
        tmp_path,
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        *WITHOUT_HYPOTHESIS,
        "test_proxy.py",
        "-k",
        SELECTED_TESTS,
    )
    assert " passed" in output
