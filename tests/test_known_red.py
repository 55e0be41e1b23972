"""The list of tests that fail for a fault that is known: its form, its bound, and what CI makes of it."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import KNOWN_RED, read_known_red

pytest_plugins = ["pytester"]


def test_each_line_names_a_test_a_cause_and_an_issue(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    assert read_known_red(path) == {}
    path.write_text("tests/a.py::test_b | the cause | issue 1\n")
    assert list(read_known_red(path)) == ["tests/a.py::test_b"]
    path.write_text("tests/a.py::test_b | the cause\n")
    with pytest.raises(ValueError, match="test_b"):
        read_known_red(path)


def test_no_more_than_three_may_be_listed(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("".join(f"tests/a.py::test_{n} | cause | issue\n" for n in range(4)))
    with pytest.raises(ValueError, match="3 at most"):
        read_known_red(path)


def test_the_list_names_tests_that_exist() -> None:
    for name in read_known_red(KNOWN_RED):
        path, _, test = name.partition("::")
        assert f"def {test.partition('[')[0]}(" in (KNOWN_RED.parent / path).read_text()


@pytest.mark.parametrize(("body", "outcome"), [("assert False", {"xfailed": 1}), ("pass", {"failed": 1})])
def test_a_listed_test_is_passed_over_while_it_fails_and_fails_the_run_once_it_passes(
    pytester: pytest.Pytester, body: str, outcome: dict[str, int]
) -> None:
    tests = pytester.mkdir("tests")
    (tests / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tests / "test_one.py").write_text(f"def test_it():\n    {body}\n")
    pytester.path.joinpath("KNOWN-RED.txt").write_text("tests/test_one.py::test_it | a cause | issue 1\n")
    result = pytester.runpytest_inprocess("-p", "no:xdist", "tests")
    result.assert_outcomes(**outcome)
    result.stdout.fnmatch_lines(["*known red*", "tests/test_one.py::test_it | a cause | issue 1"])
