"""SIGHUP while a program starts, before its own handler stands: it ends nothing, and the reload is carried out."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from loopback import HOST, WIRE

from lugspur.bench.sockets import free_port

ROOT = Path(__file__).parent.parent
WITHIN = 30.0  # seconds, on a loaded machine too

DAEMON = """
[classes.read]
aim = "500ms"
deadline = "2s"
repeat = "safe"
[listeners.main]
address = "{host}:{port}"
[pools.main]
members = [{{ address = "{host}:9" }}]
[routes.all]
path = "/"
pool = "main"
class = "read"
"""


@contextmanager
def told_while_it_starts(
    folder: Path, arguments: list[str], right: str, behind: str, env: dict[str, str]
) -> Iterator[Path]:
    """A program whose file is a pipe at first: it is told to reload twice while it waits for the file's content.

    By then another file lies in the pipe's place, with what is `behind` it. Yields the log once a reload is told of.
    """
    path, log = folder / "file", folder / "log"
    os.mkfifo(path)
    with log.open("wb") as err:
        process = subprocess.Popen(
            [sys.executable, "-m", "lugspur", *arguments], cwd=ROOT, stderr=err, env=os.environ | env
        )
    try:
        with path.open("w") as pipe:  # once the program reads it
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGHUP)
            (folder / "next").write_text(behind)
            (folder / "next").rename(path)
            pipe.write(right)
        until = time.monotonic() + WITHIN
        while "reload:" not in log.read_text():
            assert process.poll() is None, (process.returncode, log.read_text())
            assert time.monotonic() < until, log.read_text()
            time.sleep(0.02)
        yield log
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


def test_the_daemon_carries_out_a_reload_that_came_while_it_started(tmp_path: Path) -> None:
    file = DAEMON.format(host=HOST, port=free_port())
    with told_while_it_starts(tmp_path, ["run", str(tmp_path / "file")], file, file, {}) as log:
        assert "reload: done" in log.read_text()  # a pipe has no size: the daemon reads what lies behind it as well


def test_the_platforms_proxy_carries_out_a_reload_that_came_while_it_started(tmp_path: Path) -> None:
    file = {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:9",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": WIRE,
        "known": {"index": 7, "snapshot": True, "endpoints": []},
    }
    env = {"RELAY_CONFIG": str(tmp_path / "file")}
    with told_while_it_starts(tmp_path, [], json.dumps(file), "no file of this kind", env) as log:
        assert "the former settings stay" in log.read_text()
