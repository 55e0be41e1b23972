"""Which boxes a prober looks at, what it holds of them, and what others take from it."""

from __future__ import annotations

import pytest

from lugspur.daemon.health_checks.hearsay import LASTS, Hearsay
from lugspur.daemon.health_checks.messages import DOWN_MOST, Doubt, Verdict, fitting, pack, unpack
from lugspur.daemon.health_checks.prober import AGAIN, AT_ONCE, Prober
from lugspur.daemon.leases.messages import MalformedMessageError


def prober(*names: str) -> Prober:
    found = Prober(1.0)
    found.listed(names or ("a", "b"))
    return found


def test_a_box_that_nobody_doubts_costs_nothing() -> None:
    one = prober()
    assert one.due() == float("inf") and one.looks(100.0) == []
    one.doubt(0.0, "unknown")
    assert one.due() == float("inf")


def test_two_looks_in_vain_make_it_down_and_two_good_ones_up() -> None:
    one = prober()
    one.doubt(5.0, "a")
    assert one.due() == 5.0 and one.looks(5.0) == ["a"] and one.looks(5.0) == []
    assert not one.answered(5.0, "a", False) and one.down == []
    assert one.due() == 5.0 + AGAIN and one.looks(5.0 + AGAIN) == ["a"]
    assert one.answered(5.2, "a", False) and one.down == ["a"]
    assert one.due() == 6.2 and one.looks(6.1) == [] and one.looks(6.2) == ["a"]
    assert not one.answered(6.2, "a", True) and one.down == ["a"]
    one.looks(7.2)
    assert one.answered(7.2, "a", True) and one.down == []
    assert one.due() == float("inf")


def test_one_look_of_the_other_kind_begins_the_row_anew() -> None:
    one = prober()
    one.doubt(0.0, "a")
    for now, well in ((0.0, False), (1.0, True)):
        assert one.looks(now) == ["a"]
        assert not one.answered(now, "a", well)
    assert one.down == [] and one.due() == float("inf")
    one.begin(2.0, ["a"])
    for now, well in ((2.0, True), (3.0, False), (4.0, True), (5.0, False)):
        assert one.looks(now) == ["a"]
        assert not one.answered(now, "a", well)
    assert one.down == ["a"]


def test_who_is_well_here_and_doubted_elsewhere_is_looked_at_no_more_often_than_one_that_is_down() -> None:
    one = prober()
    one.doubt(0.0, "a")
    looks = 0
    for tick in range(100):
        now = tick * 0.1
        one.doubt(now, "a")
        for name in one.looks(now):
            one.doubt(now, name)  # meanwhile somebody doubts it again
            one.answered(now, name, True)
            looks += 1
    assert looks == 10 and one.down == []


def test_a_successor_begins_with_what_the_former_one_held() -> None:
    one = prober("a", "b", "c")
    one.begin(7.0, ["c", "gone", "a"])
    assert one.down == ["c", "a"] and one.looks(7.0) == ["c", "a"]
    assert not one.answered(7.0, "a", False) and one.down == ["c", "a"]  # no change, and it stays
    one.listed(["a", "b"])
    assert one.down == ["a"]


def test_looks_at_once_are_bounded() -> None:
    names = [f"b{number}" for number in range(100)]
    one = prober(*names)
    for name in names:
        one.doubt(0.0, name)
    out = one.looks(0.0)
    assert len(out) == AT_ONCE and one.looks(0.0) == [] and one.due() == float("inf")
    one.answered(0.0, out[0], True)
    assert len(one.looks(0.0)) == 1


def test_the_latest_word_of_the_latest_prober_counts_for_a_while() -> None:
    heard = Hearsay("probe:p")
    listed = {"a", "b", "c", "d"}
    assert heard.hear(0.0, Verdict("p", 5, 2, ["a"]))
    assert not heard.hear(0.0, Verdict("p", 5, 1, ["b"]))  # late
    assert not heard.hear(0.0, Verdict("p", 4, 9, ["b"]))  # of a former one
    assert heard.absent(LASTS - 0.1, listed) == {"a"}
    assert heard.absent(LASTS, listed) == set()  # nobody in office: each judges for itself
    assert heard.hear(LASTS, Verdict("p", 6, 0, ["b"]))
    assert heard.absent(LASTS, listed) == {"b"}
    assert not heard.hear(LASTS, Verdict("p", 5, 99, ["a"]))


def test_a_prober_that_holds_most_boxes_for_down_is_not_obeyed() -> None:
    heard = Hearsay("probe:p")
    listed = {"a", "b", "c", "d"}
    heard.hear(0.0, Verdict("p", 1, 0, ["a", "b", "elsewhere"]))
    assert heard.absent(0.0, listed) == {"a", "b"}
    heard.hear(0.0, Verdict("p", 1, 1, ["a", "b", "c"]))
    assert heard.absent(0.0, listed) == set()


def test_messages_are_bounded_and_others_malformed() -> None:
    for message in (Doubt("p", "a"), Verdict("p", 1, 2, ["a", "b"])):
        assert unpack(pack(message)) == message
    for body in (
        b"",
        b"\xc1",
        pack(Verdict("p", 1, 1, ["a"] * (DOWN_MOST + 1))),
        pack(Doubt("p", "a" * 200)),
        pack(Doubt("", "a")),
        pack(Verdict("p", -1, 1, [])),
    ):
        with pytest.raises(MalformedMessageError):
            unpack(body)
    assert len(fitting(["x" * 100] * 100)) == 7 and len(fitting(["x"] * 1000)) == DOWN_MOST
