"""Detection of the current incarnation of a backend with late and lost heartbeats, and after starts of the sidecar."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lugspur.mesh.sidecar.backend_incarnations import MAX_INCARNATIONS, BackendIncarnations

INTERVAL = 1.5


def test_the_first_heartbeat_of_a_new_incarnation_counts_at_once_and_a_late_one_of_the_former_does_not() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    assert incarnations.record_heartbeat(0.0, "a", 7, False) and incarnations.record_heartbeat(1.5, "a", 8, False)
    assert incarnations.record_heartbeat(2.0, "b", 0, False)
    assert not incarnations.record_heartbeat(2.1, "a", 9, False)
    assert incarnations.record_heartbeat(3.5, "b", 1, False)
    assert not incarnations.record_heartbeat(
        3.6, "a", 10, False
    )  # another late one: the present incarnation has spoken in between


def test_late_heartbeats_that_come_together_count_as_one() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    for sequence in range(3):
        incarnations.record_heartbeat(1.5 * sequence, "a", sequence, False)
    for sequence in range(2):
        incarnations.record_heartbeat(5.0 + 1.5 * sequence, "b", sequence, False)
    assert [incarnations.record_heartbeat(7.0, "a", sequence, False) for sequence in (3, 4, 5)] == [False] * 3


def test_an_incarnation_whose_first_heartbeat_was_lost_counts_from_its_second_on() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    for sequence in range(3):
        incarnations.record_heartbeat(1.5 * sequence, "a", sequence, False)
    assert not incarnations.record_heartbeat(5.0, "b", 2, False)
    assert incarnations.record_heartbeat(6.5, "b", 3, False)


def test_an_incarnation_that_has_ended_is_replaced_at_once_unless_by_one_that_was_replaced_before() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    for ident, first in (("a", 0.0), ("b", 4.0)):
        for sequence in range(2):
            assert incarnations.record_heartbeat(first + 1.5 * sequence, ident, sequence, False)
    assert not incarnations.record_heartbeat(8.0, "a", 2, True)
    assert incarnations.record_heartbeat(8.1, "c", 5, True)


def test_after_a_start_a_late_first_heartbeat_is_overridden_at_once() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    assert incarnations.record_heartbeat(0.0, "former", 40, False)  # Nothing else is known after the start.
    assert incarnations.record_heartbeat(0.2, "present", 12, False)
    assert incarnations.record_heartbeat(1.7, "present", 13, False)


def test_after_a_start_a_late_second_heartbeat_is_overridden_by_the_next() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    assert incarnations.record_heartbeat(0.0, "present", 12, False)
    # As far as the sidecar can tell, either incarnation may be the current one.
    assert incarnations.record_heartbeat(0.2, "former", 40, False)
    assert incarnations.record_heartbeat(1.5, "present", 13, False)


def test_after_a_start_no_late_heartbeat_replaces_the_announced_incarnation() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    incarnations.learn_announced("present")
    assert not incarnations.record_heartbeat(0.0, "former", 40, False)
    assert incarnations.record_heartbeat(0.2, "present", 12, False)
    assert not incarnations.record_heartbeat(0.3, "former", 41, False)
    assert incarnations.record_heartbeat(0.4, "next", 0, False)  # the first one of a new incarnation


def test_a_doubtful_heartbeat_after_a_start_has_to_be_confirmed() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    assert not incarnations.record_heartbeat(0.0, "a", 0, False, is_doubtful=True)
    assert not incarnations.record_heartbeat(0.1, "a", 1, False, is_doubtful=True)  # They may both be late.
    assert incarnations.record_heartbeat(1.5, "a", 2, False, is_doubtful=True)


def test_an_incarnation_that_signed_off_never_becomes_current_whether_it_was_known_or_not() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    incarnations.record_sign_off("a")
    assert not any(
        incarnations.record_heartbeat(now, "a", sequence, True) for now, sequence in ((0.0, 0), (2.0, 1), (9.0, 2))
    )
    assert incarnations.record_heartbeat(9.0, "b", 5, False)


def test_incarnations_are_bounded() -> None:
    incarnations = BackendIncarnations(INTERVAL)
    for number in range(10 * MAX_INCARNATIONS):
        incarnations.record_heartbeat(float(number), f"i-{number}", 0, False)
    assert len(incarnations._incarnations) == MAX_INCARNATIONS


@given(st.lists(st.tuples(st.integers(0, 4), st.floats(0.0, 6.0)), min_size=3, max_size=3))
def test_one_late_heartbeat_of_each_incarnation_never_replaces_a_later_incarnation(
    late: list[tuple[int, float]],
) -> None:
    """Four consecutive incarnations of five heartbeats; one heartbeat of each except the last is delayed."""
    incarnations = BackendIncarnations(INTERVAL)
    heartbeats = []
    for incarnation in range(4):
        for sequence in range(5):
            delay = late[incarnation][1] if incarnation < 3 and late[incarnation][0] == sequence else 0.0
            heartbeats.append((INTERVAL * (5 * incarnation + sequence) + delay, incarnation, sequence))
    latest = 0
    for at, incarnation, sequence in sorted(heartbeats):
        is_current = incarnations.record_heartbeat(at, f"i-{incarnation}", sequence, False)
        latest = max(latest, incarnation)
        assert not is_current or incarnation == latest
        assert is_current or incarnation < latest
