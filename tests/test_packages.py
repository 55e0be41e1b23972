"""The system packages that deploy/system.toml lists: all that its build calls and its run loads, and no more."""

from __future__ import annotations

import re
import shlex
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from elftools.elf.dynamic import DynamicSection
from elftools.elf.elffile import ELFFile

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
BUILD = str(DEPLOY["build"])

#: The package that each command comes from; None: the shell's own.
COMMANDS = {
    "cmp": "diffutils",
    "cp": "coreutils",
    "echo": None,
    "exit": None,
    "python3": "python3",
    "rm": "coreutils",
}
MODULES = {"pip": "python3-pip", "lugspur.mesh": "python3"}  # what `python3 -m` is asked for
SHELL = "dash"  # the bench hands the build to a shell
LIBRARIES = {
    "ld-linux-x86-64.so.2": "libc6",
    "ld-linux-aarch64.so.1": "libc6",
    "libc.so.6": "libc6",
    "libdl.so.2": "libc6",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "librt.so.1": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libstdc++.so.6": "libstdc++6",
    "libz.so.1": "zlib1g",
}
# Prints the files of the extension modules that lie beside pure Python packages, once all that is run has been loaded.
LOADED = """
import sys
import lugspur.mesh.cli, lugspur.mesh.control_node.process, lugspur.mesh.program, lugspur.mesh.sidecar.process
for module in list(sys.modules.values()):
    path = getattr(module, "__file__", None) or ""
    if path.endswith(".so") and "site-packages" in path:
        print(path)
"""


def commands(line: str) -> set[str]:
    """The first word of each command of a shell line."""
    found, first = set(), True
    for token in shlex.shlex(line, posix=True, punctuation_chars="();<>|&{}"):
        if set(token) <= set("();|&{}"):
            first = True
        elif first:
            found.add(token)
            first = False
    return found


def needed_of(path: str) -> set[str]:
    """The shared libraries that an extension module names."""
    with open(path, "rb") as file:
        sections = [s for s in ELFFile(file).iter_sections() if isinstance(s, DynamicSection)]
        tags = [tag for section in sections for tag in section.iter_tags() if tag.entry.d_tag == "DT_NEEDED"]
        return {str(tag.needed) for tag in tags}  # type: ignore[attr-defined]  # the library sets it by its name


def needed_packages() -> set[str]:
    run = [str(role["run"]) for role in DEPLOY["roles"].values()]
    asked = {module for line in (BUILD, *run) for module in re.findall(r"python3 -m ([\w.]+)", line)}
    called = commands(BUILD) | {line.split()[0] for line in run}
    found = {package for package in (COMMANDS[name] for name in called) if package}
    found |= {MODULES[name] for name in asked} | {SHELL}
    loaded = subprocess.run([sys.executable, "-c", LOADED], cwd=ROOT, capture_output=True, text=True, check=True)
    modules = loaded.stdout.split()
    assert any("lmdb" in path for path in modules) and any("uvloop" in path for path in modules)
    return found | {LIBRARIES[name] for path in modules for name in needed_of(path)}


def test_the_list_is_all_that_the_build_calls_and_that_the_run_loads() -> None:
    assert sorted(needed_packages()) == DEPLOY["packages"]


def test_the_commands_of_a_line_are_told() -> None:
    assert commands("a -x b || (rm -rf c && (d || { echo 'e; f' >&2; exit 1; }) && cp g h)") == {
        "a",
        "rm",
        "d",
        "echo",
        "exit",
        "cp",
    }


def build(folder: Path, requirement: str) -> subprocess.CompletedProcess[str]:
    """Run the build's command in a folder whose requirements are given; the registry is a folder beside it."""
    (folder / "requirements-mesh.txt").write_text(f"--no-index\n--find-links {folder / 'registry'}\n{requirement}\n")
    (folder / "target").mkdir(exist_ok=True)
    return subprocess.run(["sh", "-c", BUILD], cwd=folder, capture_output=True, text=True, timeout=120)


def source_distribution(folder: Path) -> None:
    """A package that exists as source alone, and that leaves a mark where it is built."""
    made = folder / "made" / "onlysource-1.0"
    made.mkdir(parents=True)
    (made / "PKG-INFO").write_text("Metadata-Version: 2.1\nName: onlysource\nVersion: 1.0\n")
    mark = folder / "built"
    (made / "setup.py").write_text(f"open({str(mark)!r}, 'w').close()\nfrom setuptools import setup\nsetup()\n")
    (folder / "registry").mkdir()
    archive = folder / "registry" / "onlysource-1.0.tar.gz"
    subprocess.run(["tar", "czf", archive, "-C", folder / "made", "onlysource-1.0"], check=True)


@pytest.mark.parametrize("before", ["", "an older build\n"])
def test_a_package_without_a_wheel_is_refused_in_a_clear_line_and_never_built(tmp_path: Path, before: str) -> None:
    source_distribution(tmp_path)
    if before:
        (tmp_path / "target").mkdir()
        (tmp_path / "target" / "built").write_text(before)
    done = build(tmp_path, "onlysource==1.0")
    assert done.returncode == 1
    assert done.stderr.strip().splitlines()[-1] == (
        "lugspur: pip could not install the wheels of requirements-mesh.txt; nothing is built from source"
    )
    assert not (tmp_path / "built").exists()
    assert not (tmp_path / "target" / "built").exists() or (tmp_path / "target" / "built").read_text() == before
