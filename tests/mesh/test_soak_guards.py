"""The soak's guards: each can be disabled, and the soak detects one that is disabled in real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lugspur.bench.soak import guards, mesh_run
from lugspur.bench.soak.guards import GUARDS, GuardResult, SoakGuard, guards_matching
from lugspur.bench.soak.plan import Fault, FaultKind
from lugspur.emulator.control import guards as control_guards
from lugspur.emulator.control.guards import GuardNotFoundError


@pytest.mark.parametrize("guard", GUARDS, ids=[guard.name for guard in GUARDS])
def test_disabling_a_guard_replaces_its_attribute(guard: SoakGuard) -> None:
    original = guard.owner.__dict__[guard.attribute]
    assert original is not guard.replacement
    try:
        guard.disable()
        assert guard.owner.__dict__[guard.attribute] is guard.replacement
    finally:
        setattr(guard.owner, guard.attribute, original)


class Owner:
    """A class that no longer has the method that a guard names, as after a rename."""

    def renamed(self) -> None:
        """The method that the guard knows by its former name."""


def test_disabling_a_soak_guard_whose_attribute_was_renamed_raises() -> None:
    with pytest.raises(GuardNotFoundError, match="Owner has no attribute 'former'") as raised:
        SoakGuard("a renamed guard", Owner, "former", None).disable()
    assert (raised.value.owner, raised.value.attribute) == (Owner, "former") and not hasattr(Owner, "former")


def test_disabling_a_model_guard_whose_attribute_was_renamed_raises() -> None:
    guard = control_guards.Guard("a renamed guard", Owner, "former", None, lambda: "caught")
    with pytest.raises(GuardNotFoundError, match="Owner has no attribute 'former'"):
        control_guards.detect_without(guard)
    assert not hasattr(Owner, "former")


def test_a_guard_is_looked_up_on_its_owner_and_not_on_a_base_class() -> None:
    class Derived(Owner):
        """Inherits the method, so that setting it here would leave the base class as it is."""

    with pytest.raises(GuardNotFoundError):
        SoakGuard("an inherited guard", Derived, "renamed", None).disable()


def test_all_model_guards_are_included_and_names_are_unique() -> None:
    names = [guard.name for guard in GUARDS]
    assert len(set(names)) == len(names) and {guard.name for guard in control_guards.GUARDS} < set(names)
    assert list(guards_matching("")) == list(range(len(GUARDS))) and list(guards_matching("no such guard")) == []


def test_a_row_shows_the_time_to_detection_and_what_detected_it() -> None:
    assert (
        GuardResult("a guard", 40.0, "ran twice (2 findings)").line() == "| a guard | 40 s | ran twice (2 findings) |"
    )
    assert GuardResult("a guard", None, "in 120 s").line() == "| a guard | not seen | in 120 s |"


def test_the_soak_detects_a_mesh_that_retries_requests_that_may_have_run(tmp_path: Path) -> None:
    """One of two backends loses its responses while clients send unsafe requests, which must not be retried."""
    [guard_index] = guards_matching("what may have run is not sent again")
    faults = [Fault(FaultKind.LOST_RESPONSES, 0.4 * index, 1.5) for index in range(6)]
    verdict = asyncio.run(mesh_run.run_with_faults(tmp_path, faults, seed=1, guard=guard_index))
    assert any(kind == "ran twice" for kind, _ in verdict.findings), "\n".join(verdict.lines())


def test_the_command_fails_if_a_missing_guard_is_not_detected(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    results = [GuardResult("one", 20.0, "ran twice"), GuardResult("other", None, "in 120 s")]

    def soak_without_guards(
        indexes: object, seconds: float, seed: int, machines: int, at_once: int, report: object
    ) -> list[GuardResult]:
        return results

    monkeypatch.setattr(guards, "soak_without_guards", soak_without_guards)
    assert guards.main(120.0, 1, 3, 2, "") == 1
    assert "1 of 2 guards missed" in capsys.readouterr().out
    results.pop()
    assert guards.main(120.0, 1, 3, 2, "") == 0
