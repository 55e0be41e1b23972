"""Which class a request is judged by while settings change."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings as steady
from hypothesis import strategies as st

from lugspur.daemon.places import places
from lugspur.daemon.terms import CHANGE_WITHIN, STILL_COMING, Terms
from lugspur.load_balancing.model import DeduplicationScope, Limits, RequestClass, RetrySafety, Settings

SAFE = RequestClass("read", 1.0, 2.0, RetrySafety.SAFE)
BOOK = RequestClass("book", 1.0, 2.0, RetrySafety.UNSAFE)
KEYED = RequestClass("once", 1.0, 2.0, RetrySafety.KEYED, DeduplicationScope.ALL, 9.0)


def settings(*rows: RequestClass, most: int = 3) -> Settings:
    return Settings(classes=rows, limits=Limits(max_attempts=most))


def judged(terms: Terms, name: str, began: float) -> list[RequestClass]:
    return [row for _, row in terms.rows(name, began)]


def retuned(former: Settings, new: Settings, now: float = 10.0) -> tuple[Terms, Settings]:
    terms = Terms(former)
    given_ = terms.retune(new, now)
    terms.placed(given_)
    return terms, given_


def test_a_class_that_is_added_counts_at_once_and_one_that_is_dropped_a_moment_longer() -> None:
    terms, _ = retuned(settings(SAFE, BOOK), settings(SAFE, KEYED))
    late = 10.0 + CHANGE_WITHIN
    assert judged(terms, "once", 10.0) == [KEYED]
    assert judged(terms, "book", 11.0) == [BOOK]
    assert judged(terms, "book", late) == []
    assert terms.settle(late) is None
    assert terms.settle(late + STILL_COMING) == settings(SAFE, KEYED)


def test_where_the_effect_changes_the_method_tells_which_class_was_meant() -> None:
    other = replace(SAFE, retry_safety=RetrySafety.UNSAFE)
    terms, _ = retuned(settings(SAFE), settings(other))
    assert judged(terms, "read", 11.0) == [other, SAFE]
    assert judged(terms, "read", 12.0) == [other]


def test_while_callers_change_over_only_what_both_classes_allow_is_done() -> None:
    narrow = replace(KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window=20.0)
    for former, new in ((KEYED, narrow), (narrow, KEYED)):
        terms, given_ = retuned(settings(former, most=5), settings(new, most=2))
        [row] = judged(terms, "once", 11.0)
        assert (row.deduplication_scope, row.deduplication_window) == (DeduplicationScope.CELL, 9.0)
        assert given_.limits.max_attempts == 2
        assert judged(terms, "once", 12.0) == [new]


def test_more_attempts_count_once_callers_have_changed_over_whatever_is_sent_again() -> None:
    terms, given_ = retuned(settings(SAFE, most=2), settings(SAFE, most=5))
    assert given_.limits.max_attempts == 2
    assert terms.retune(settings(SAFE, most=5), 10.5).limits.max_attempts == 2
    after = terms.settle(10.0 + CHANGE_WITHIN + STILL_COMING)
    assert after is not None
    assert after.limits.max_attempts == 5


CLASSES = st.builds(
    RequestClass,
    st.sampled_from(["a", "b", "c"]),
    st.just(1.0),
    st.just(2.0),
    st.sampled_from(RetrySafety),
    st.sampled_from(DeduplicationScope),
    st.sampled_from([1.0, 5.0]),
)
FILES = st.lists(CLASSES, min_size=1, max_size=3, unique_by=lambda row: row.name)


@given(st.lists(st.tuples(FILES, st.sampled_from([0.0, 0.5, 2.0, 9.0]))))
@steady(deadline=None)  # a loaded machine is no fault
def test_no_sequence_of_files_mixes_two(files: list[tuple[list[RequestClass], float]]) -> None:
    """Places always hold what the terms say, and after the change-over the last file alone counts."""
    now, last = 100.0, settings(SAFE)
    terms = Terms(last)
    known = last.classes
    for rows, passed in files:
        now += passed
        given_ = terms.retune(settings(*rows), now)
        last = settings(*rows)
        known = tuple(places(known, given_.classes, set()))
        terms.placed(replace(given_, classes=known))
        for name in ("a", "b", "c", "read"):
            for place, row in terms.rows(name, now):
                assert known[place] == row
            later = terms.rows(name, now + CHANGE_WITHIN)
            assert [row for _, row in later] == [row for row in last.classes if row.name == name]
