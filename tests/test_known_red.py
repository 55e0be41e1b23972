"""KNOWN-RED.txt lists the tests that fail for known faults: its format, its limit, and its effect on a test run."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import KNOWN_RED, read_known_red

pytest_plugins = ["pytester"]


def test_each_line_has_a_test_a_command_an_observation_and_an_issue(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    assert read_known_red(path) == {}
    line = "tests/a.py::test_b | pytest tests/a.py, seed 7 | a timeout | issue 1"
    path.write_text(f"{line}\n")
    assert read_known_red(path) == {"tests/a.py::test_b": line}


@pytest.mark.parametrize(
    "line",
    [
        "tests/a.py::test_b | pytest tests/a.py, seed 7 | a timeout",
        "tests/a.py::test_b | pytest tests/a.py, seed 7 | a timeout | issue 1 | more",
        "tests/a.py::test_b | | a timeout | issue 1",
        "tests/a.py::test_b | pytest tests/a.py, seed 7 | | issue 1",
        "tests/a.py::test_b | pytest tests/a.py, seed 7 | a timeout | ",
        "| pytest tests/a.py, seed 7 | a timeout | test_b",
    ],
)
def test_a_line_with_another_number_of_fields_or_an_empty_one_is_an_error(tmp_path: Path, line: str) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"{line}\n")
    with pytest.raises(ValueError, match="test_b"):
        read_known_red(path)


def test_at_most_three_tests_may_be_listed(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("".join(f"tests/a.py::test_{n} | command | failure | issue\n" for n in range(4)))
    with pytest.raises(ValueError, match="3 at most"):
        read_known_red(path)


def test_listed_tests_exist() -> None:
    for name in read_known_red(KNOWN_RED):
        path, _, test = name.partition("::")
        assert f"def {test.partition('[')[0]}(" in (KNOWN_RED.parent / path).read_text()


@pytest.mark.parametrize(("body", "outcome"), [("assert False", {"xfailed": 1}), ("pass", {"failed": 1})])
def test_a_listed_test_is_expected_to_fail_and_fails_the_run_once_it_passes(
    pytester: pytest.Pytester, body: str, outcome: dict[str, int]
) -> None:
    tests = pytester.mkdir("tests")
    (tests / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tests / "test_one.py").write_text(f"def test_it():\n    {body}\n")
    line = "tests/test_one.py::test_it | pytest tests, seed 7 | an assertion failed | issue 1"
    pytester.path.joinpath("KNOWN-RED.txt").write_text(f"{line}\n")
    result = pytester.runpytest_inprocess("-p", "no:xdist", "tests")
    result.assert_outcomes(**outcome)
    result.stdout.fnmatch_lines(["*known red*", line])
