"""The soak's guards: each is there to be taken out, and one that is taken out of real processes is missed."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lugspur.bench.soak import guards, mesh_run
from lugspur.bench.soak.guards import GUARDS, Seen, SoakGuard, named
from lugspur.bench.soak.plan import Kind, Trouble
from lugspur.emulator.control import guards as control_guards
from lugspur.emulator.control.guards import GuardNotFoundError


@pytest.mark.parametrize("guard", GUARDS, ids=[guard.name for guard in GUARDS])
def test_each_guard_stands_where_it_is_taken_out_and_another_thing_comes_in_its_place(guard: SoakGuard) -> None:
    right = guard.owner.__dict__[guard.attribute]
    assert right is not guard.wrong
    try:
        guard.take_out()
        assert guard.owner.__dict__[guard.attribute] is guard.wrong
    finally:
        setattr(guard.owner, guard.attribute, right)


class Owner:
    """A class that has lost the method that a guard names, as after a rename."""

    def renamed(self) -> None:
        """What the guard was called before."""


def test_a_soak_guard_whose_attribute_was_renamed_is_not_taken_out_in_silence() -> None:
    with pytest.raises(GuardNotFoundError, match="Owner has no attribute 'former'") as raised:
        SoakGuard("a renamed guard", Owner, "former", None).take_out()
    assert (raised.value.owner, raised.value.attribute) == (Owner, "former") and not hasattr(Owner, "former")


def test_a_models_guard_whose_attribute_was_renamed_is_not_taken_out_in_silence() -> None:
    guard = control_guards.Guard("a renamed guard", Owner, "former", None, lambda: "caught")
    with pytest.raises(GuardNotFoundError, match="Owner has no attribute 'former'"):
        control_guards.detect_without(guard)
    assert not hasattr(Owner, "former")


def test_a_guard_is_looked_for_at_its_owner_itself_and_not_at_a_base_class() -> None:
    class Derived(Owner):
        """Inherits the method, so that setting it here would leave the base class as it is."""

    with pytest.raises(GuardNotFoundError):
        SoakGuard("an inherited guard", Derived, "renamed", None).take_out()


def test_the_models_guards_are_all_there_and_each_has_one_name() -> None:
    names = [guard.name for guard in GUARDS]
    assert len(set(names)) == len(names) and {guard.name for guard in control_guards.GUARDS} < set(names)
    assert list(named("")) == list(range(len(GUARDS))) and list(named("no such guard")) == []


def test_a_row_says_after_how_long_and_by_what() -> None:
    assert Seen("a guard", 40.0, "ran twice (2 findings)").line() == "| a guard | 40 s | ran twice (2 findings) |"
    assert Seen("a guard", None, "in 120 s").line() == "| a guard | not seen | in 120 s |"


def test_a_mesh_that_sends_again_what_may_have_run_is_found_out(tmp_path: Path) -> None:
    """Answers of one of two backends are lost while clients ask what may not be repeated."""
    [number] = named("what may have run is not sent again")
    troubles = [Trouble(Kind.LOST_ANSWERS, 0.4 * begins, 1.5) for begins in range(6)]
    verdict = asyncio.run(mesh_run.play(tmp_path, troubles, seed=1, guard=number))
    assert any(kind == "ran twice" for kind, _ in verdict.findings), "\n".join(verdict.lines())


def test_the_command_prints_a_row_for_each_guard_and_fails_where_one_is_not_missed(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    found = [Seen("one", 20.0, "ran twice"), Seen("other", None, "in 120 s")]

    def seek_all(numbers: object, seconds: float, seed: int, machines: int, at_once: int, told: object) -> list[Seen]:
        return found

    monkeypatch.setattr(guards, "seek_all", seek_all)
    assert guards.main(120.0, 1, 3, 2, "") == 1
    assert "1 of 2 guards missed" in capsys.readouterr().out
    found.pop()
    assert guards.main(120.0, 1, 3, 2, "") == 0
