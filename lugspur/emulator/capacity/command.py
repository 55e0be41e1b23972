"""`python -m lugspur.emulator capacity measure|report`: measure what the control side costs, and write its page."""

from __future__ import annotations

import asyncio
import shlex
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import cyclopts

from lugspur.emulator.capacity import hops as chains
from lugspur.emulator.capacity import load as failures
from lugspur.emulator.capacity import measure as runs
from lugspur.emulator.capacity.measurement import FOLDER, FORM, Measurement, newest, save
from lugspur.emulator.capacity.measurement import load as read
from lugspur.emulator.capacity.page import put, tables
from lugspur.emulator.capacity.plot import draw
from lugspur.emulator.capacity.stages import stages

ROOT = Path(__file__).parents[3]
DATA = ROOT / ".trial"  # data folders of control machines while a measurement lasts: on a disk, as theirs are
PAGE = ROOT / "docs" / "CAPACITY.md"
PLOT = "capacity.svg"  # beside the page
app = cyclopts.App(name="python -m lugspur.emulator capacity", help="What the control side costs by cause and size.")


@app.command
def measure(*, quick: bool = False, sizes: list[int] | None = None, note: str = "", to: Path = FOLDER) -> None:
    """Run hollow fleets of all sizes and write what they use into a new file.

    quick: three small fleets; sizes: these numbers of proxies instead; note: kept in the file; to: its folder.
    """
    chosen = sizes or list(runs.QUICK_SIZES if quick else runs.SIZES)
    rates = runs.QUICK_RATES if quick else runs.RATES
    keyed = [size for size in chosen if size in runs.KEYED_SIZES] or [chosen[-1]]
    found = asyncio.run(runs.measure(DATA, chosen, keyed, rates, _tell))
    _save("capacity", to, note, sizes=chosen, runs=found)


@app.command
def load(*, proxies: int = 620, seconds: float = 120.0, note: str = "", to: Path = FOLDER) -> None:
    """Run one hollow fleet through changes, operation keys and failures, and write how they fared into a new file."""
    found = asyncio.run(failures.load(DATA, proxies, seconds, _tell))
    _save("load", to, note, load=found)


@app.command
def hops(*, note: str = "", to: Path = FOLDER) -> None:
    """Measure what the mesh adds to calls of several depths, into a new file."""
    found = asyncio.run(chains.hops(DATA, _tell))
    _save("hops", to, note, hops=found, stages=asyncio.run(stages(DATA)))


@app.command
def report(*, measurements: Path = FOLDER, page: Path = PAGE) -> None:
    """Write the tables of the page, and the plot beside it, from the newest measurements; `page` has the markers."""
    text, drawn = made(measurements, page)
    page.write_text(text)
    if drawn:
        page.with_name(PLOT).write_bytes(drawn)


def made(measurements: Path, page: Path) -> tuple[str, bytes]:
    """What the page and its plot should be by the newest measurements."""
    found = {kind: _newest(kind, measurements) for kind in ("capacity", "load", "hops")}
    text = put(page.read_text(), tables(found["capacity"], found["load"], found["hops"]))
    return text, b"" if found["capacity"] is None else draw(found["capacity"].runs)


def _newest(kind: str, folder: Path) -> Measurement | None:
    path = newest(kind, folder)
    return None if path is None else read(path)


def _save(kind: str, folder: Path, note: str, **found: Any) -> None:
    made = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
    # The note is told beside the command.
    command = shlex.join(["python", "-m", "lugspur.emulator", *(word for word in sys.argv[1:] if word != note)])
    command = command.replace(" --note", "")
    path = folder / f"{made}-{kind}.json"
    save(Measurement(FORM, made, _build(), command, note, **found), path)
    print(path)


def _tell(line: str) -> None:
    print(line, flush=True)


def _build() -> str:
    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()

    return git("rev-parse", "--short=12", "HEAD") + ("+" if git("status", "--porcelain", "lugspur") else "")
