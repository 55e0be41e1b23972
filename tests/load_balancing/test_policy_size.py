"""The policy files stay within the size limits that their users set, so that they can be read."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]


def faults(text: str) -> list[str]:
    """Return violations of the limits: 1,200 lines that are not blank, 110 characters a line."""
    lines = text.splitlines()
    found = [f"line {n} has {len(line)} characters" for n, line in enumerate(lines, 1) if len(line) > 110]
    count = sum(1 for line in lines if line.strip())
    if count > 1200:
        found.append(f"{count} lines are not blank")
    return found


def test_policy_files_keep_to_the_limits() -> None:
    # The list names all modules that make decisions; the others are the interface and the simulator's adapter.
    rest = {
        "lugspur/load_balancing/__init__.py",
        "lugspur/load_balancing/adapter.py",
        "lugspur/load_balancing/model.py",
    }
    assert {path.relative_to(ROOT).as_posix() for path in ROOT.glob("lugspur/load_balancing/*.py")} == {*POLICY, *rest}
    assert faults("\n".join((ROOT / name).read_text() for name in POLICY)) == []


@pytest.mark.parametrize(("text", "count"), [("x\n\n" * 1200, 0), ("x\n" * 1201, 1), ("x" * 111, 1)])
def test_the_check_itself_can_fail(text: str, count: int) -> None:
    assert len(faults(text)) == count


def test_policy_names_its_interface_at_the_top() -> None:
    head = (ROOT / POLICY[0]).read_text().splitlines()[:5]
    assert re.search(r"lugspur/load_balancing/model\.py", "\n".join(head))
