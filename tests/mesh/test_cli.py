"""The command line for operators, with a mesh of processes and without one."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

from lugspur.bench.mesh import ROOT, Mesh


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lugspur.mesh", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_operators_see_and_change_a_mesh_and_see_it_without_a_majority(tmp_path: Path) -> None:
    async def scenario() -> None:
        mesh = Mesh(tmp_path)
        try:
            await mesh.begin()
            at = f"{mesh.replica_ips[0]}:{mesh.dispatch}"
            change = tmp_path / "change.json"
            change.write_text(json.dumps({"upsert": {"routes": [mesh.route("late", "safe", "00000002")]}}))
            accepted = await asyncio.to_thread(run, "amend", at, str(change))
            assert (accepted.returncode, accepted.stdout) == (0, "taken, and on the disks of a majority\n"), (
                accepted.stderr
            )
            change.write_text('{"upsert": {"routes": [{"name": "x"}]}}')
            rejected = await asyncio.to_thread(run, "amend", at, str(change))
            assert rejected.returncode == 2 and "400" in rejected.stderr and len(rejected.stderr.splitlines()) == 1
            names = {r["name"] for r in json.loads((await asyncio.to_thread(run, "read", at)).stdout)["routes"]}
            assert names == {"look", "book", "late"}
            proxy = await asyncio.to_thread(run, "show", f"{mesh.proxy_ips[0]}:{mesh.dispatch}")
            assert "role: proxy" in proxy.stdout and proxy.stdout.count("reached=True") == 2
            for ip in mesh.replica_ips[1:]:
                mesh.end(ip)
            alone = await asyncio.to_thread(run, "show", at, "--as-json")
            found = json.loads(alone.stdout)
            assert (found["role"], found["voters"], found["entries"]["routes"]) == ("control", mesh.replica_ips, 3)
            unread = await asyncio.to_thread(run, "read", at)
            assert unread.returncode == 2 and "no-quorum" in unread.stderr
        finally:
            await mesh.close()

    asyncio.run(scenario())


def test_mistakes_are_one_line_and_exit_status_2(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("[self]\n")
    absent = str(tmp_path / "absent")
    for words in (("check", str(bad)), ("show", "127.0.0.1:1"), ("show", "nowhere"), ("amend", "127.0.0.1:1", absent)):
        ended = run(*words)
        assert ended.returncode == 2 and len(ended.stderr.splitlines()) == 1, (words, ended.stderr)
