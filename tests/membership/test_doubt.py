"""What may be made of a registry's silence."""

from __future__ import annotations

from lugspur.discovery.announce import FALL, Checked, Health
from lugspur.discovery.doubt import Doubt, Standing


class Log(list[str]):
    def taken(self) -> list[str]:
        lines = list(self)
        self.clear()
        return lines


def followed(stale_after: float = 30.0) -> tuple[Doubt, Log]:
    log = Log()
    doubt = Doubt(stale_after, log.append, 0.0)
    doubt.up(10.0, fresh=True)
    doubt.whole(1.0, 3)
    assert log.taken() == ["the registry is followed; 3 boxes"] and doubt.standing(100.0) is Standing.FOLLOWING
    return doubt, log


def test_a_registry_that_was_never_reached_is_shown_as_such_once() -> None:
    log = Log()
    doubt = Doubt(30.0, log.append, 0.0)
    assert doubt.standing(0.0) is Standing.NEVER and doubt.due() == 30.0
    doubt.tick(29.0)
    assert log == []
    doubt.tick(30.0)
    doubt.tick(60.0)
    assert log.taken() == ["stale: the registry was not heard for 30.0 s; the pool's fixed list stays"]
    assert doubt.due() == float("inf") and doubt.standing(60.0) is Standing.NEVER


def test_silence_goes_from_doubt_to_lost_to_stale_and_a_whole_read_ends_it() -> None:
    doubt, log = followed()
    doubt.down(107.0, 100.0, "it says nothing")
    assert log.taken() == ["not heard, session may live: a server is left: it says nothing; the last list stays"]
    assert doubt.standing(107.0) is Standing.DOUBT and doubt.age(107.0) == 7.0
    assert doubt.standing(110.0) is Standing.LOST
    doubt.down(112.0, 100.0, "it says nothing")
    assert log == [] and doubt.due() == 130.0
    doubt.tick(130.0)
    assert log.taken() == ["stale: the registry was not heard for 30.0 s; the last list stays"]
    assert doubt.standing(130.0) is Standing.STALE
    doubt.up(10.0, fresh=False)
    assert doubt.standing(131.0) is Standing.STALE  # connected, and not read yet
    doubt.whole(132.0, 2)
    assert log.taken() == ["the registry is followed; 2 boxes"] and doubt.age(140.0) == 0.0


def test_our_own_expired_session_says_nothing_of_boxes() -> None:
    doubt, _ = followed()
    doubt.down(5.0, 4.0, "it closed the connection")
    doubt.expired()
    assert doubt.standing(5.0) is Standing.LOST
    doubt.up(10.0, fresh=True)
    assert doubt.standing(5.5) is Standing.READING


def test_an_empty_folder_is_said_and_counts() -> None:
    doubt, log = followed()
    doubt.whole(5.0, 0)
    assert log.taken() == ["the registry holds no box; its folder is empty or gone, and so is the pool"]


def test_a_folder_that_cannot_be_read_is_said_once() -> None:
    doubt, log = followed()
    doubt.unread("its access list forbids it")
    doubt.unread("its access list forbids it")
    assert log.taken() == ["the folder can't be read: its access list forbids it; the last list stays"]


def test_a_box_is_ill_after_some_failed_checks_and_at_once_where_nobody_listens() -> None:
    health = Health()
    health.checked(Checked.ILL, 1)
    assert not health.well
    health.checked(Checked.WELL, 2)
    for _ in range(FALL - 1):
        health.checked(Checked.ILL, 3)
    assert health.well
    health.checked(Checked.ILL, 4)
    assert not health.well
    health.checked(Checked.WELL, 5)
    assert (health.well, health.since_ms) == (True, 2)  # the same process: as warm as before
    health.checked(Checked.NOBODY, 6)
    assert not health.well
    health.checked(Checked.WELL, 7)
    assert health.since_ms == 7  # another process: cold
