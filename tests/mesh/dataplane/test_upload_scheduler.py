"""Flow control of large bodies: earliest deadline first, bounded grants, and rejection of late bodies."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from lugspur.http1.body_memory import BodyMemory
from lugspur.mesh.control.messages import ForwardRequest
from lugspur.mesh.dataplane.upload_scheduler import (
    CHUNK_BYTES,
    GRANT_AHEAD_SECONDS,
    MAX_UNCHUNKED_BYTES,
    STALL_TIMEOUT_SECONDS,
    USABLE_LINK_FRACTION,
    UploadKey,
    UploadScheduler,
    is_chunked,
)

RATE = 330_000.0  # bytes per second


def forward(
    size: int, latency_target: float = 1.7, seconds_left: float = 10.0, was_rejected: bool = False
) -> ForwardRequest:
    return ForwardRequest(
        0,
        "i-1",
        b"POST",
        b"/p",
        [],
        b"",
        seconds_left,
        latency_target,
        b"a",
        1,
        False,
        "r",
        was_rejected=was_rejected,
        body_bytes=size,
    )


def offer(
    uploads: UploadScheduler[str],
    n: int,
    size: int,
    now: float = 0.0,
    latency_target: float = 1.7,
    seconds_left: float = 10.0,
    was_rejected: bool = False,
    service_time: float = 0.2,
) -> bool:
    return uploads.offer(
        now,
        UploadKey("x", n),
        forward(size, latency_target, seconds_left, was_rejected),
        (1, now + latency_target),
        service_time,
    )


def scheduler(memory_bytes: int) -> UploadScheduler[str]:
    return UploadScheduler[str](RATE, BodyMemory(memory_bytes, lambda check: check()))


def test_a_body_is_chunked_only_where_it_would_delay_others_on_the_link() -> None:
    assert is_chunked(60_000, RATE) and not is_chunked(CHUNK_BYTES, RATE)
    assert not is_chunked(60_000, 125e6) and not is_chunked(60_000, 0.0)
    # The receiver of a large body may have no memory for it, however fast its link.
    assert is_chunked(MAX_UNCHUNKED_BYTES + 1, 125e6) and not is_chunked(MAX_UNCHUNKED_BYTES, 125e6)


def test_bytes_are_granted_a_little_ahead_until_the_request_is_complete() -> None:
    uploads, sent, now = scheduler(1 << 20), 0, 0.0
    assert offer(uploads, 1, 60_000)
    complete = None
    while complete is None:
        for key, up_to_offset in uploads.grant(now):
            assert key == UploadKey("x", 1) and up_to_offset - sent <= max(2 * CHUNK_BYTES, RATE * GRANT_AHEAD_SECONDS)
        [_] = uploads.keys_from("x")
        now += 0.02
        step = min(CHUNK_BYTES, 60_000 - sent)
        complete = uploads.receive(now, UploadKey("x", 1), b"%c" % (65 + sent // CHUNK_BYTES) * step)
        sent += step
    assert sent == len(complete.body) == 60_000 and complete.body[:CHUNK_BYTES] == b"A" * CHUNK_BYTES
    assert complete.seconds_left == pytest.approx(10.0 - now) and complete.latency_target_left == pytest.approx(
        1.7 - now
    )
    assert len(uploads) == 0


def test_the_earliest_deadline_goes_first_and_grants_stay_within_the_link_rate() -> None:
    uploads = scheduler(1 << 20)
    assert offer(uploads, 1, 60_000, latency_target=9.0) and offer(uploads, 2, 60_000, latency_target=1.0)
    assert {key[1] for key, _ in uploads.grant(0.0)} == {2}
    assert uploads.grant(0.1) == []  # All bytes that may be outstanding are outstanding.
    uploads.receive(0.1, UploadKey("x", 2), bytes(CHUNK_BYTES))
    assert [key[1] for key, _ in uploads.grant(0.1)] == [2]


def test_a_stalled_sender_delays_no_other_body() -> None:
    uploads = scheduler(1 << 20)
    assert offer(uploads, 1, 60_000, latency_target=1.0) and offer(uploads, 2, 60_000, latency_target=9.0)
    assert {key[1] for key, _ in uploads.grant(0.0)} == {1}
    assert uploads.grant(STALL_TIMEOUT_SECONDS - 0.01) == []
    assert uploads.grant(STALL_TIMEOUT_SECONDS + 0.01) != []


def test_a_late_body_is_rejected_unless_its_caller_was_before_and_the_first_is_always_accepted() -> None:
    uploads = scheduler(8 << 20)
    assert offer(uploads, 0, 300_000, latency_target=1.0)  # It can't meet its target, but no body is ahead of it.
    assert not offer(uploads, 1, 60_000)
    assert offer(uploads, 2, 60_000, was_rejected=True)
    assert not offer(uploads, 3, 60_000, latency_target=1.2, was_rejected=True)


def test_memory_is_bounded_and_expired_or_dropped_bodies_free_it() -> None:
    uploads = scheduler(100_000)
    assert offer(uploads, 1, 60_000, seconds_left=1.0) and not offer(uploads, 8, 200_000)  # The latter never fits.
    assert offer(uploads, 2, 60_000, latency_target=99.0)  # It waits at its sender until there is memory for it.
    assert {key.number for key, _ in uploads.grant(0.0)} == {1} and uploads.grant(0.9) == []
    assert not offer(uploads, 1, 10)  # The number is in use.
    assert uploads.drop_expired(0.9) == [] and uploads.drop_expired(1.0) == [UploadKey("x", 1)]
    assert {key.number for key, _ in uploads.grant(1.0)} == {2}
    assert uploads.drop(UploadKey("x", 2)) and not uploads.drop(UploadKey("x", 2))
    assert offer(uploads, 3, 60_000) and uploads.drop(UploadKey("x", 3)) and not uploads.drop(UploadKey("x", 3))
    assert offer(uploads, 5, 60_000) and offer(uploads, 6, 60_000, latency_target=99.0)
    assert uploads.drop(UploadKey("x", 6)) and uploads.drop(UploadKey("x", 5))  # One that waits leaves nothing either.
    # Bytes that were in transit when their body was dropped are ignored.
    assert uploads.receive(0.0, UploadKey("x", 3), b"late") is None
    assert offer(uploads, 4, 60_000)
    with pytest.raises(ValueError, match="granted"):
        uploads.receive(0.0, UploadKey("x", 4), b"unasked")


def test_a_stalled_sender_is_granted_no_more_until_outstanding_bytes_arrive() -> None:
    uploads, now = scheduler(1 << 20), 0.0
    assert offer(uploads, 1, 200_000, seconds_left=99.0)
    [(_, up_to_offset)] = uploads.grant(now)
    for _ in range(50):
        now += STALL_TIMEOUT_SECONDS / 2
        assert uploads.grant(now) == []
    uploads.receive(now, UploadKey("x", 1), bytes(up_to_offset))
    assert uploads.grant(now) != []


@example(steps=[(0, 1, 1.0, 0.0), (0, 33001, 2.0, 0.0), (0, 1, 1.0, 0.5), (1, 1, 1.0, 0.0), (2, 1, 1.0, 0.5)])
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 200_000), st.floats(0.1, 9.0), st.floats(0.0, 0.5)), max_size=40
    )
)
def test_in_any_order_all_accepted_bodies_arrive_and_grants_stay_within_the_link(
    steps: list[tuple[int, int, float, float]],
) -> None:
    uploads, now, sent = scheduler(1 << 20), 0.0, dict[UploadKey[str], int]()
    pending, granted = dict[UploadKey[str], int](), dict[UploadKey[str], int]()
    for n, (action, size, latency_target, gap) in enumerate(steps):
        now += gap
        if action == 0:
            if offer(uploads, n, size, now, latency_target, 1e6):
                pending[UploadKey("x", n)], sent[UploadKey("x", n)], granted[UploadKey("x", n)] = size, 0, 0
        elif action == 1 and pending:
            key = min(pending)
            if uploads.drop(key):
                del pending[key]
        elif pending:
            key = max(pending)
            step = min(CHUNK_BYTES, granted[key] - sent[key])
            if step and uploads.receive(now, key, bytes(step)) is not None:
                assert sent[key] + step == pending.pop(key)
            sent[key] += step
        for key, up_to_offset in uploads.grant(now):
            assert granted[key] < up_to_offset <= pending[key]
            granted[key] = up_to_offset
        max_outstanding = max(2 * CHUNK_BYTES, RATE * GRANT_AHEAD_SECONDS)
        assert all(granted[key] - sent[key] <= max_outstanding for key in pending)
        assert sum(granted[key] - sent[key] for key in pending) <= max_outstanding * (1 + len(pending))
    for _ in range(5000):
        if not pending:
            break
        now += CHUNK_BYTES / (RATE * USABLE_LINK_FRACTION)
        for key in list(pending):
            step = min(CHUNK_BYTES, granted[key] - sent[key])
            if step and uploads.receive(now, key, bytes(step)) is not None:
                pending.pop(key)
            sent[key] += step
        for key, up_to_offset in uploads.grant(now):
            granted[key] = up_to_offset
    assert not pending and len(uploads) == 0
