"""The claimant's side of operation keys, and promises over drawn histories."""

from __future__ import annotations

from typing import Any

import pytest

from lugspur.control import claims as claims_module
from lugspur.control.claim_table import ClaimTable
from lugspur.control.claims import Claims, Known, Settled, Taken, Unsettled, Won
from lugspur.control.effects import Effects
from lugspur.control.messages import Answer, Claim, Membership, Release, Verdict, Voter
from lugspur.control.replica import Replica
from lugspur.emulator.control import histories
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.histories import SETTINGS, Setting

CURRENT = Membership(3, [Voter(f"10.0.0.{n}", "u", "") for n in (1, 2, 3)])


class Side:
    """One claimant and what it sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Claim | Release]] = []
        self.how: list[Settled] = []
        self.claims = Claims(lambda ip, message: self.sent.append((ip, message)))
        self.claims.begin(0.0, CURRENT, b"k", b"a", 2.0, 0.5, self.how.append)

    def verdict(self, n: int, granted: bool, now: float = 0.1, **other: Any) -> None:
        self.claims.verdict(now, f"10.0.0.{n}", Verdict(b"k", b"a", other.pop("epoch", 3), granted, **other))

    @property
    def released(self) -> set[str]:
        return {ip for ip, message in self.sent if isinstance(message, Release)}


def test_a_majority_wins_and_the_third_grant_is_not_given_back() -> None:
    side = Side()
    assert [ip for ip, _ in side.sent] == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    side.verdict(1, True)
    side.verdict(1, True)  # one voter is one grant
    assert side.how == []
    side.verdict(2, True)
    side.verdict(3, True)
    assert side.how == [Won()] and not side.released


def test_who_cant_win_gives_back_what_it_was_granted() -> None:
    side = Side()
    side.verdict(1, True)
    side.verdict(2, False, other=True, busy=True)
    side.verdict(3, False, other=True)
    assert side.how == [Taken(True)] and side.released == {"10.0.0.1"}
    side.verdict(1, True)  # a grant that was on its way
    assert side.sent[-1] == ("10.0.0.1", Release(b"k", b"a"))


def test_a_won_claim_is_never_given_back_however_many_came_after_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims_module, "FAILED_MOST", 4)
    side = Side()
    side.verdict(1, True)
    side.verdict(2, True)
    for n in range(20):  # each of these comes to nothing
        by = b"later%d" % n
        side.claims.begin(0.2, CURRENT, b"k%d" % n, by, 2.0, 0.5, side.how.append)
        side.claims.drop(b"k%d" % n, by)
    side.sent.clear()
    side.verdict(3, True, now=1e6)
    assert side.sent == []  # it may run, or have run
    side.claims.verdict(1e6, "10.0.0.1", Verdict(b"k0", b"later0", 3, True))
    assert side.sent == []  # forgotten: it ends by its window
    side.claims.verdict(1e6, "10.0.0.1", Verdict(b"k19", b"later19", 3, True))
    assert side.sent == [("10.0.0.1", Release(b"k19", b"later19"))]


def test_a_grant_for_a_former_process_at_this_address_is_not_given_back() -> None:
    side = Side()
    side.claims.verdict(0.1, "10.0.0.1", Verdict(b"k", b"of-another-life", 3, True))
    side.claims.verdict(0.1, "10.0.0.1", Verdict(b"other", b"a", 3, True))
    assert not side.released


def test_a_known_answer_is_enough_from_one_voter() -> None:
    side = Side()
    side.verdict(3, False, epoch=9, other=True, answer=Answer(200, b"", b"x"))
    assert side.how == [Known(Answer(200, b"", b"x"))]


def test_grants_of_another_epoch_or_behind_the_time_count_for_nothing() -> None:
    side = Side()
    side.verdict(1, True, epoch=2)
    side.verdict(2, True)
    side.verdict(3, True, now=0.6)
    assert side.how == []
    side.claims.look(0.6)
    assert side.how == [Unsettled()] and side.released == {"10.0.0.1", "10.0.0.2", "10.0.0.3"}


def test_another_membership_asks_all_anew() -> None:
    side = Side()
    side.verdict(1, True)
    side.claims.again(0.2, Membership(4, CURRENT.voters, CURRENT.voters))
    assert [m.epoch for _, m in side.sent if isinstance(m, Claim)] == [3, 3, 3, 4, 4, 4]
    side.verdict(2, True)
    assert side.how == []
    side.verdict(2, True, epoch=4)
    side.verdict(3, True, epoch=4)
    assert side.how == [Won()]


# ---- drawn histories ---------------------------------------------------------------------------


DRAWN = [(seed, setting) for number, setting in enumerate(SETTINGS) for seed in range(5 if number < 5 else 4)]


@pytest.mark.parametrize(("seed", "setting"), DRAWN, ids=str)
def test_promises_hold_over_drawn_losses(seed: int, setting: Setting) -> None:
    histories.play(100 + seed, setting)


def test_histories_bring_about_what_they_are_for() -> None:
    found = [histories.play(seed, Setting(4, 1, 0)) for seed in range(12)]

    def total(of: str) -> int:
        return sum(getattr(figures, of) for figures in found)

    assert min(total("confirmed"), total("refused"), total("reads"), total("runs")) > 20
    faults: set[str] = set().union(*(figures.faults for figures in found))
    assert {"kill", "wipe", "replace", "leave", "cut", "power"} <= faults
    assert total("unclear") + total("turned_away") > 10 and max(figures.epochs for figures in found) > 2


def caught(seeds: int = 40, nodes: int = 3) -> bool:
    """Whether some seed shows a broken promise."""
    for number in range(seeds):
        try:
            histories.play(number, Setting(nodes, 1, 0))
        except Violation:
            return True
    return False


_claim = ClaimTable.claim


def grants_twice(self: ClaimTable, now: float, peer: Any, message: Claim, epoch: int) -> Effects:
    self._drop(message.key)
    return _claim(self, now, peer, message, epoch)


@pytest.mark.parametrize(
    ("where", "name", "wrong"),
    [
        (ClaimTable, "claim", grants_twice),  # a voter that forgets whom it granted a key
        (claims_module, "majority", lambda count: 1),  # one grant is enough
        (Replica, "sweep", None),  # control: this one changes nothing
    ],
)
def test_a_guard_that_is_taken_out_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    where: Any,
    name: str,
    wrong: Any,
) -> None:
    if wrong is None:
        monkeypatch.setattr(where, name, getattr(where, name))
        assert not caught(seeds=5)
    else:
        monkeypatch.setattr(where, name, wrong)
        assert caught()
