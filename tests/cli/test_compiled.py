"""The sources can be compiled as they are, and the compiled daemon keeps the rules."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from lugspur.bench.compiled import HOT, build

ROOT = Path(__file__).parent.parent.parent
# Requests sent in pieces, tried again and cancelled, without a method of a compiled class replaced.
PLAYED = "larger or cancel or never_ran or refused_connection"


def run(folder: Path, *words: str) -> str:
    """What a fresh interpreter says that imports the copy."""
    got = subprocess.run([sys.executable, *words], cwd=folder, capture_output=True, text=True, check=False)
    assert got.returncode == 0, got.stdout + got.stderr
    return got.stdout


def test_the_compiled_daemon_loses_and_doubles_nothing(tmp_path: Path) -> None:
    build(tmp_path)
    for name in HOT:
        module = name.removesuffix(".py").replace("/", ".")
        assert run(tmp_path, "-c", f"import {module} as m; print(m.__file__)").strip().endswith(".so")
    said = run(tmp_path, "-m", "lugspur", "demo", "--seconds", "3")
    assert "0 lost, 0 doubled, 0 sent to a draining backend after the grace" in said
    for name in ("loopback.py", "test_proxy.py"):
        (tmp_path / name).write_text((ROOT / "tests" / name).read_text())
    said = run(tmp_path, "-m", "pytest", "-q", "-p", "no:cacheprovider", "test_proxy.py", "-k", PLAYED)
    assert " passed" in said
