"""The soak in short: its plan, its misbehaving peers, and one run over real processes of each program."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from lugspur.bench.soak import daemon_run, mesh_run
from lugspur.bench.soak.faulty_backends import Way, write
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, MESH_WEIGHTS, Kind, Trouble, draw, overlapping
from lugspur.bench.soak.verdict import Verdict


def test_a_plan_comes_from_its_seed_alone_and_its_troubles_overlap() -> None:
    first, again = (draw(Random("seed"), 60.0, MESH_WEIGHTS) for _ in range(2))
    assert first == again != draw(Random("other"), 60.0, MESH_WEIGHTS)
    assert 1.8 < overlapping(first) < 3.5


@pytest.mark.parametrize("weights", [MESH_WEIGHTS, DAEMON_WEIGHTS], ids=["mesh", "daemon"])
def test_every_kind_is_drawn(weights: dict[Kind, int]) -> None:
    assert {trouble.kind for trouble in draw(Random(1), 2000.0, weights)} == set(weights)


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


async def written(way: Way, answer: bytes) -> tuple[bytes, bool]:
    """What a way makes of an answer, on a connection of its own, and whether that goes on."""
    found: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        found.set_result(await write(way, answer, b"t1", writer, Random(1)))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    data = await reader.read()
    writer.close()
    server.close()
    return data, await found


@pytest.mark.parametrize("way", [way for way in Way if way not in (Way.SILENT, Way.RESET, Way.BUSY)])
def test_each_way_of_a_backend_differs_from_a_sound_answer_where_it_says_so(way: Way) -> None:
    answer = b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: t1\r\nContent-Length: 2\r\n\r\nhi"
    data, goes_on = asyncio.run(written(way, answer))
    assert (data == answer) == (way in (Way.WELL, Way.SLOW, Way.CLOSING))
    assert goes_on == (way not in (Way.HALF, Way.GARBAGE, Way.CLOSING))


def at_once(*kinds: Kind) -> list[Trouble]:
    """Troubles that begin a moment apart and last for a second and a half."""
    return [Trouble(kind, 0.2 * number, 1.5) for number, kind in enumerate(kinds)]


MESH_SHORT = at_once(
    Kind.SPOILT_CALLERS, Kind.SPOILT_BACKEND, Kind.KILL_CONTROL, Kind.RELOAD, Kind.CUT_ONE_WAY, Kind.RESTART_BACKEND
)
DAEMON_SHORT = at_once(
    Kind.SPOILT_CALLERS, Kind.SPOILT_BACKEND, Kind.RELOAD_DAMAGED, Kind.SPOILT_BACKEND, Kind.RESTART_BACKEND
)


def test_nothing_promised_is_broken_at_a_mesh_under_troubles_that_overlap(tmp_path: Path) -> None:
    verdict = asyncio.run(mesh_run.play(tmp_path, MESH_SHORT, seed=1))
    assert not verdict.findings, "\n".join(verdict.lines())
    assert verdict.troubles.total() == len(MESH_SHORT) and verdict.done["requests served"] > 10


def test_nothing_promised_is_broken_at_a_daemon_under_troubles_that_overlap(tmp_path: Path) -> None:
    verdict = asyncio.run(daemon_run.play(tmp_path, DAEMON_SHORT, seed=1))
    assert not verdict.findings, "\n".join(verdict.lines())
    assert verdict.troubles.total() == len(DAEMON_SHORT) and verdict.done["requests with 200"] > 100
