"""The upgrade test: a mesh keeps its guarantees while builds replace each other; incompatible builds are detected."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lugspur.bench.revisions import BEFORE_RENAMES, RevisionError, extract_build
from lugspur.bench.upgrade import __main__ as command
from lugspur.bench.upgrade import run
from lugspur.bench.upgrade.outcome_checks import UNDECODABLE_FINDING
from lugspur.bench.upgrade.plan import Builds, Direction, Outcome, Plan
from lugspur.bench.upgrade.report import table
from lugspur.bench.upgrade.run import play

SHORT = Plan(seed=1, pause_seconds=0.3)


@pytest.fixture
def former(tmp_path: Path) -> Path:
    """Extract a former build and return its directory."""
    directory = tmp_path / "former"
    directory.mkdir()
    extract_build(BEFORE_RENAMES, directory)
    return directory


@pytest.mark.parametrize("direction", Direction)
def test_a_mesh_keeps_its_guarantees_while_one_build_replaces_the_other(
    tmp_path: Path, former: Path, direction: Direction
) -> None:
    outcome = asyncio.run(play(tmp_path, Builds(former=former), direction, SHORT))
    assert not outcome.verdict.findings, "\n".join(table([outcome]))
    assert len(outcome.replacements) == 7
    assert outcome.verdict.counts["keyed operations served while mixed"] > 0


def test_a_build_with_an_incompatible_message_format_is_detected(
    tmp_path: Path, former: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The former build gives one message another tag, so that neither build can decode that message of the other."""
    monkeypatch.setattr(run, "RECOVERY_TIMEOUT_SECONDS", 2.0)
    messages = former / "lugspur" / "control" / "messages.py"
    text = messages.read_text()
    assert "class Learn(msgspec.Struct, tag=24," in text
    messages.write_text(text.replace("class Learn(msgspec.Struct, tag=24,", "class Learn(msgspec.Struct, tag=44,"))
    outcome = asyncio.run(play(tmp_path, Builds(former=former), Direction.UPGRADE, SHORT))
    details = [detail for kind, detail in outcome.verdict.findings if kind == UNDECODABLE_FINDING]
    assert any("Invalid value 24" in detail or "Invalid value 44" in detail for detail in details), details


@pytest.mark.parametrize("revision", ["no-such-revision", "--output=/dev/null", ""])
def test_an_unknown_revision_prints_one_line_and_exits_with_status_2(
    revision: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(RevisionError) as raised:
        extract_build(revision, tmp_path)
    assert raised.value.revision == revision
    assert command.main([f"--from={revision}"]) == 2
    output = capsys.readouterr()
    assert output.out == "" and len(output.err.splitlines()) == 1 and "shallow clone" in output.err


def test_the_command_prints_rows_and_findings_and_fails_on_findings(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    failing_directions = {Direction.DOWNGRADE}

    async def found(directory: Path, builds: Builds, direction: Direction, plan: Plan) -> Outcome:
        assert (builds.former / "lugspur" / "mesh" / "__main__.py").is_file() and directory.is_dir()
        outcome = Outcome(direction)
        if direction in failing_directions:
            outcome.verdict.add("ran twice", "k7")
        return outcome

    monkeypatch.setattr(command, "play", found)
    assert command.main(["--from", BEFORE_RENAMES]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(" | ")[0] for line in lines[2:4]] == ["| former to present", "| present to former"]
    assert lines[4:] == ["FOUND present to former: ran twice: k7"]
    failing_directions.clear()
    assert command.main(["--from", BEFORE_RENAMES]) == 0
