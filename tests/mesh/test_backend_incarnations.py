"""Which life of a backend is the present one: late heartbeats of former lives, lost first ones, doubt after a start."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lugspur.mesh.sidecar.backend_incarnations import MAX_INCARNATIONS, BackendIncarnations

INTERVAL = 1.5


def test_a_new_lifes_first_heartbeat_counts_at_once_and_a_late_one_of_the_former_life_does_not() -> None:
    lives = BackendIncarnations(INTERVAL)
    assert lives.is_present(0.0, "a", 7, False) and lives.is_present(1.5, "a", 8, False)
    assert lives.is_present(2.0, "b", 0, False)
    assert not lives.is_present(2.1, "a", 9, False)
    assert lives.is_present(3.5, "b", 1, False)
    assert not lives.is_present(3.6, "a", 10, False)  # another late one: the present life has spoken in between


def test_late_heartbeats_that_come_together_count_as_one() -> None:
    lives = BackendIncarnations(INTERVAL)
    for sequence in range(3):
        lives.is_present(1.5 * sequence, "a", sequence, False)
    for sequence in range(2):
        lives.is_present(5.0 + 1.5 * sequence, "b", sequence, False)
    assert [lives.is_present(7.0, "a", sequence, False) for sequence in (3, 4, 5)] == [False] * 3


def test_a_life_whose_first_heartbeat_was_lost_counts_from_its_second_on() -> None:
    lives = BackendIncarnations(INTERVAL)
    for sequence in range(3):
        lives.is_present(1.5 * sequence, "a", sequence, False)
    assert not lives.is_present(5.0, "b", 2, False)
    assert lives.is_present(6.5, "b", 3, False)


def test_where_the_present_life_has_ended_another_takes_its_place_at_once_unless_it_was_replaced_before() -> None:
    lives = BackendIncarnations(INTERVAL)
    for ident, first in (("a", 0.0), ("b", 4.0)):
        for sequence in range(2):
            assert lives.is_present(first + 1.5 * sequence, ident, sequence, False)
    assert not lives.is_present(8.0, "a", 2, True)
    assert lives.is_present(8.1, "c", 5, True)


def test_after_a_start_a_late_heartbeat_that_came_first_gives_way_at_once() -> None:
    lives = BackendIncarnations(INTERVAL)
    assert lives.is_present(0.0, "former", 40, False)  # this process knows nothing yet
    assert lives.is_present(0.2, "present", 12, False)
    assert lives.is_present(1.7, "present", 13, False)


def test_a_late_heartbeat_that_came_second_after_a_start_gives_way_at_the_next() -> None:
    lives = BackendIncarnations(INTERVAL)
    assert lives.is_present(0.0, "present", 12, False)
    assert lives.is_present(0.2, "former", 40, False)  # as good as the other one, as far as this process can tell
    assert lives.is_present(1.5, "present", 13, False)


def test_who_signed_off_does_not_come_back_whether_it_was_heard_of_before_or_not() -> None:
    lives = BackendIncarnations(INTERVAL)
    lives.signed_off("a")
    assert not any(lives.is_present(now, "a", sequence, True) for now, sequence in ((0.0, 0), (2.0, 1), (9.0, 2)))
    assert lives.is_present(9.0, "b", 5, False)


def test_lives_are_bounded() -> None:
    lives = BackendIncarnations(INTERVAL)
    for number in range(10 * MAX_INCARNATIONS):
        lives.is_present(float(number), f"i-{number}", 0, False)
    assert len(lives._lives) == MAX_INCARNATIONS


@given(st.lists(st.tuples(st.integers(0, 4), st.floats(0.0, 6.0)), min_size=3, max_size=3))
def test_one_late_heartbeat_of_each_life_never_takes_the_place_of_a_life_that_came_after_it(
    late: list[tuple[int, float]],
) -> None:
    """Four lives of five heartbeats, one after another; of each but the last one heartbeat is held up."""
    lives = BackendIncarnations(INTERVAL)
    heartbeats = []
    for life in range(4):
        for sequence in range(5):
            held_up = late[life][1] if life < 3 and late[life][0] == sequence else 0.0
            heartbeats.append((INTERVAL * (5 * life + sequence) + held_up, life, sequence))
    latest = 0
    for at, life, sequence in sorted(heartbeats):
        present = lives.is_present(at, f"i-{life}", sequence, False)
        latest = max(latest, life)
        assert not present or life == latest
        assert present or life < latest
