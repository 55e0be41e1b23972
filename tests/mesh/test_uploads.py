"""Large bodies cross a link in parts: who is due first goes first, what comes too late is turned away unsent."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from lugspur.mesh.control.messages import ForwardRequest
from lugspur.mesh.dataplane.uploads import AHEAD, PART, STALLED, USED, Key, UploadScheduler, in_parts

RATE = 330_000.0  # bytes a second


def forward(size: int, aim: float = 1.7, left: float = 10.0, back: bool = False) -> ForwardRequest:
    return ForwardRequest(
        0, "i-1", b"POST", b"/p", [], b"", left, aim, b"a", 1, False, "r", was_rejected=back, body_bytes=size
    )


def offer(
    uploads: UploadScheduler,
    n: int,
    size: int,
    now: float = 0.0,
    aim: float = 1.7,
    left: float = 10.0,
    back: bool = False,
    pace: float = 0.2,
) -> bool:
    return uploads.offer(now, ("x", n), forward(size, aim, left, back), (1, now + aim), pace)


def test_a_body_goes_in_parts_only_where_it_would_hold_up_the_link() -> None:
    assert in_parts(60_000, RATE) and not in_parts(PART, RATE)
    assert not in_parts(60_000, 125e6) and not in_parts(60_000, 0.0)


def test_bytes_are_granted_a_little_ahead_and_the_request_is_whole_in_the_end() -> None:
    uploads, sent, now = UploadScheduler(RATE, 1 << 20), 0, 0.0
    assert offer(uploads, 1, 60_000)
    whole = None
    while whole is None:
        for key, upto in uploads.grants(now):
            assert key == ("x", 1) and upto - sent <= max(2 * PART, RATE * AHEAD)
        [_] = uploads.of("x")
        now += 0.02
        step = min(PART, 60_000 - sent)
        whole = uploads.part(now, ("x", 1), b"%c" % (65 + sent // PART) * step)
        sent += step
    assert sent == len(whole.body) == 60_000 and whole.body[:PART] == b"A" * PART
    assert whole.seconds_left == pytest.approx(10.0 - now) and whole.latency_target_left == pytest.approx(1.7 - now)
    assert len(uploads) == 0


def test_who_is_due_first_goes_first_and_no_more_is_granted_than_the_link_takes() -> None:
    uploads = UploadScheduler(RATE, 1 << 20)
    assert offer(uploads, 1, 60_000, aim=9.0) and offer(uploads, 2, 60_000, aim=1.0)
    assert {key[1] for key, _ in uploads.grants(0.0)} == {2}
    assert uploads.grants(0.1) == []  # it is all under way
    uploads.part(0.1, ("x", 2), bytes(PART))
    assert [key[1] for key, _ in uploads.grants(0.1)] == [2]


def test_a_sender_that_says_nothing_holds_nobody_up() -> None:
    uploads = UploadScheduler(RATE, 1 << 20)
    assert offer(uploads, 1, 60_000, aim=1.0) and offer(uploads, 2, 60_000, aim=9.0)
    assert {key[1] for key, _ in uploads.grants(0.0)} == {1}
    assert uploads.grants(STALLED - 0.01) == []
    assert uploads.grants(STALLED + 0.01) != []


def test_what_would_be_late_is_turned_away_unless_it_comes_back_and_the_first_is_always_taken() -> None:
    uploads = UploadScheduler(RATE, 8 << 20)
    assert offer(uploads, 0, 300_000, aim=1.0)  # it takes longer than it has, and nobody waits
    assert not offer(uploads, 1, 60_000)
    assert offer(uploads, 2, 60_000, back=True)
    assert not offer(uploads, 3, 60_000, aim=1.2, back=True)


def test_memory_is_bounded_and_what_is_over_or_dropped_is_gone() -> None:
    uploads = UploadScheduler(RATE, 100_000)
    assert offer(uploads, 1, 60_000, left=1.0) and not offer(uploads, 2, 60_000, aim=99.0)
    assert not offer(uploads, 1, 10)  # a number that is in use
    assert uploads.expired(0.9) == [] and uploads.expired(1.0) == [("x", 1)]
    assert offer(uploads, 3, 60_000) and uploads.drop(("x", 3)) and not uploads.drop(("x", 3))
    assert uploads.part(0.0, ("x", 3), b"late") is None  # on its way when it was dropped
    assert offer(uploads, 4, 60_000)
    with pytest.raises(ValueError, match="granted"):
        uploads.part(0.0, ("x", 4), b"unasked")


def test_a_silent_sender_is_granted_no_more_until_it_brings_what_it_owes() -> None:
    uploads, now = UploadScheduler(RATE, 1 << 20), 0.0
    assert offer(uploads, 1, 200_000, left=99.0)
    [(_, upto)] = uploads.grants(now)
    for _ in range(50):
        now += STALLED / 2
        assert uploads.grants(now) == []
    uploads.part(now, ("x", 1), bytes(upto))
    assert uploads.grants(now) != []


@example(steps=[(0, 1, 1.0, 0.0), (0, 33001, 2.0, 0.0), (0, 1, 1.0, 0.5), (1, 1, 1.0, 0.0), (2, 1, 1.0, 0.5)])
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 200_000), st.floats(0.1, 9.0), st.floats(0.0, 0.5)), max_size=40
    )
)
def test_over_any_order_all_that_is_taken_arrives_and_the_link_is_never_granted_more(
    steps: list[tuple[int, int, float, float]],
) -> None:
    uploads, now, sent = UploadScheduler(RATE, 1 << 20), 0.0, dict[Key, int]()
    due, granted = dict[Key, int](), dict[Key, int]()
    for n, (what, size, aim, gap) in enumerate(steps):
        now += gap
        if what == 0:
            if offer(uploads, n, size, now, aim, 1e6):
                due["x", n], sent["x", n], granted["x", n] = size, 0, 0
        elif what == 1 and due:
            key = min(due)
            if uploads.drop(key):
                del due[key]
        elif due:
            key = max(due)
            step = min(PART, granted[key] - sent[key])
            if step and uploads.part(now, key, bytes(step)) is not None:
                assert sent[key] + step == due.pop(key)
            sent[key] += step
        for key, upto in uploads.grants(now):
            assert granted[key] < upto <= due[key]
            granted[key] = upto
        most = max(2 * PART, RATE * AHEAD)
        assert all(granted[key] - sent[key] <= most for key in due)
        assert sum(granted[key] - sent[key] for key in due) <= most * (1 + len(due))
    for _ in range(5000):
        if not due:
            break
        now += PART / (RATE * USED)
        for key in list(due):
            step = min(PART, granted[key] - sent[key])
            if step and uploads.part(now, key, bytes(step)) is not None:
                due.pop(key)
            sent[key] += step
        for key, upto in uploads.grants(now):
            granted[key] = upto
    assert not due and len(uploads) == 0
