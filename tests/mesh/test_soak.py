"""The soak: its plan, its faulty backends, its log reading, and a short run over real processes of each program."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from lugspur.bench.soak import daemon_run, mesh_run
from lugspur.bench.soak.faulty_backends import ResponseMode, write_response
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, MESH_WEIGHTS, Fault, FaultKind, average_overlap, draw_faults
from lugspur.bench.soak.verdict import Verdict


def test_a_plan_depends_on_its_seed_alone_and_its_faults_overlap() -> None:
    first, again = (draw_faults(Random("seed"), 60.0, MESH_WEIGHTS) for _ in range(2))
    assert first == again != draw_faults(Random("other"), 60.0, MESH_WEIGHTS)
    assert 1.8 < average_overlap(first) < 3.5


@pytest.mark.parametrize("weights", [MESH_WEIGHTS, DAEMON_WEIGHTS], ids=["mesh", "daemon"])
def test_every_kind_of_fault_is_drawn(weights: dict[FaultKind, int]) -> None:
    assert {fault.kind for fault in draw_faults(Random(1), 2000.0, weights)} == set(weights)


def test_a_verdict_reads_violations_and_exceptions_from_logs(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_text("12:00 node=n level=WARNING event=invariant violated=run-once attempt=t1\n")
    (tmp_path / "b.log").write_text(
        'lugspur: invariant violated: one-answer peer=x\nTraceback (most recent call last):\n  File "/x/lugspur/a.py", '
        "line 1, in f\nValueError: no\n"
    )
    verdict = Verdict()
    verdict.read_logs(tmp_path)
    assert verdict.findings == [
        ("invariant violated", "run-once at a"),
        ("invariant violated", "one-answer at b"),
        ("exception that nobody caught", "ValueError (no) in a.py, line 1, in f, 1 times"),
    ]
    assert any("FOUND 2 x invariant violated" in line for line in verdict.lines())


async def written_response(mode: ResponseMode, response: bytes) -> tuple[bytes, bool]:
    """Return what a mode writes for a response on a new connection, and whether the connection can be reused."""
    found: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        found.set_result(await write_response(mode, response, b"t1", writer, Random(1)))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    data = await reader.read()
    writer.close()
    server.close()
    return data, await found


@pytest.mark.parametrize(
    "mode",
    [
        mode
        for mode in ResponseMode
        if mode not in (ResponseMode.SILENT, ResponseMode.RESET, ResponseMode.NOT_PROCESSED)
    ],
)
def test_only_the_well_formed_modes_write_the_correct_response(mode: ResponseMode) -> None:
    response = b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: t1\r\nContent-Length: 2\r\n\r\nhi"
    data, is_reusable = asyncio.run(written_response(mode, response))
    assert (data == response) == (mode in (ResponseMode.CORRECT, ResponseMode.SLOW, ResponseMode.CLOSES_CONNECTION))
    assert is_reusable == (mode not in (ResponseMode.TRUNCATED, ResponseMode.GARBAGE, ResponseMode.CLOSES_CONNECTION))


def overlapping_faults(*kinds: FaultKind) -> list[Fault]:
    """Return faults that start 0.2 seconds apart and last for 1.5 seconds each."""
    return [Fault(kind, 0.2 * number, 1.5) for number, kind in enumerate(kinds)]


MESH_SHORT = overlapping_faults(
    FaultKind.MISBEHAVING_CALLERS,
    FaultKind.FAULTY_BACKEND,
    FaultKind.KILL_CONTROL,
    FaultKind.RELOAD,
    FaultKind.CUT_ONE_WAY,
    FaultKind.RESTART_BACKEND,
)
DAEMON_SHORT = overlapping_faults(
    FaultKind.MISBEHAVING_CALLERS,
    FaultKind.FAULTY_BACKEND,
    FaultKind.RELOAD_DAMAGED,
    FaultKind.FAULTY_BACKEND,
    FaultKind.RESTART_BACKEND,
)


def test_a_mesh_keeps_its_guarantees_under_overlapping_faults(tmp_path: Path) -> None:
    verdict = asyncio.run(mesh_run.run_with_faults(tmp_path, MESH_SHORT, seed=1))
    assert not verdict.findings, "\n".join(verdict.lines())
    assert verdict.faults.total() == len(MESH_SHORT) and verdict.counts["requests served"] > 10


def test_a_daemon_keeps_its_guarantees_under_overlapping_faults(tmp_path: Path) -> None:
    verdict = asyncio.run(daemon_run.run_with_faults(tmp_path, DAEMON_SHORT, seed=1))
    assert not verdict.findings, "\n".join(verdict.lines())
    assert verdict.faults.total() == len(DAEMON_SHORT) and verdict.counts["requests with 200"] > 100
