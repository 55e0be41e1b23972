"""Which class applies to a request while the settings change."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings as steady
from hypothesis import strategies as st

from lugspur.daemon.class_indexes import keep_class_indexes
from lugspur.daemon.request_policy import CHANGEOVER_SECONDS, LATE_REQUEST_SECONDS, RequestPolicy
from lugspur.load_balancing.model import DeduplicationScope, Limits, RequestClass, RetrySafety, Settings

SAFE = RequestClass("read", 1.0, 2.0, RetrySafety.SAFE)
BOOK = RequestClass("book", 1.0, 2.0, RetrySafety.UNSAFE)
KEYED = RequestClass("once", 1.0, 2.0, RetrySafety.KEYED, DeduplicationScope.ALL, 9.0)


def settings(*rows: RequestClass, most: int = 3) -> Settings:
    return Settings(classes=rows, limits=Limits(max_attempts=most))


def allowed_classes(policy: RequestPolicy, name: str, began: float) -> list[RequestClass]:
    return [row for _, row in policy.classes_for(name, began)]


def change_policy(former: Settings, new: Settings, now: float = 10.0) -> tuple[RequestPolicy, Settings]:
    policy = RequestPolicy(former)
    applied = policy.change_settings(new, now)
    policy.record_indexes(applied)
    return policy, applied


def test_added_class_counts_at_once_and_removed_class_until_the_changeover_ends() -> None:
    policy, _ = change_policy(settings(SAFE, BOOK), settings(SAFE, KEYED))
    late = 10.0 + CHANGEOVER_SECONDS
    assert allowed_classes(policy, "once", 10.0) == [KEYED]
    assert allowed_classes(policy, "book", 11.0) == [BOOK]
    assert allowed_classes(policy, "book", late) == []
    assert policy.end_changeover(late) is None
    assert policy.end_changeover(late + LATE_REQUEST_SECONDS) == settings(SAFE, KEYED)


def test_method_selects_the_class_where_retry_safety_changes() -> None:
    other = replace(SAFE, retry_safety=RetrySafety.UNSAFE)
    policy, _ = change_policy(settings(SAFE), settings(other))
    assert allowed_classes(policy, "read", 11.0) == [other, SAFE]
    assert allowed_classes(policy, "read", 12.0) == [other]


def test_changeover_allows_only_what_both_classes_allow() -> None:
    narrow = replace(KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window=20.0)
    for former, new in ((KEYED, narrow), (narrow, KEYED)):
        policy, applied = change_policy(settings(former, most=5), settings(new, most=2))
        [row] = allowed_classes(policy, "once", 11.0)
        assert (row.deduplication_scope, row.deduplication_window) == (DeduplicationScope.CELL, 9.0)
        assert applied.limits.max_attempts == 2
        assert allowed_classes(policy, "once", 12.0) == [new]


def test_higher_attempt_limit_applies_after_the_changeover_even_if_sent_again() -> None:
    policy, applied = change_policy(settings(SAFE, most=2), settings(SAFE, most=5))
    assert applied.limits.max_attempts == 2
    assert policy.change_settings(settings(SAFE, most=5), 10.5).limits.max_attempts == 2
    after = policy.end_changeover(10.0 + CHANGEOVER_SECONDS + LATE_REQUEST_SECONDS)
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
@steady(deadline=None)  # a loaded machine must not fail the test
def test_no_sequence_of_files_mixes_two(files: list[tuple[list[RequestClass], float]]) -> None:
    """Indexes always have the classes that the policy returns; after the change-over only the last file applies."""
    now, last = 100.0, settings(SAFE)
    policy = RequestPolicy(last)
    known = last.classes
    for rows, elapsed in files:
        now += elapsed
        applied = policy.change_settings(settings(*rows), now)
        last = settings(*rows)
        known = tuple(keep_class_indexes(known, applied.classes, set()))
        policy.record_indexes(replace(applied, classes=known))
        for name in ("a", "b", "c", "read"):
            for index, row in policy.classes_for(name, now):
                assert known[index] == row
            later = policy.classes_for(name, now + CHANGEOVER_SECONDS)
            assert [row for _, row in later] == [row for row in last.classes if row.name == name]
