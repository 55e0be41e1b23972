"""Staleness of a list while its registry cannot be reached."""

from __future__ import annotations

from lugspur.discovery.staleness import ListFreshness, RegistryStaleness


class Log(list[str]):
    def take(self) -> list[str]:
        lines = list(self)
        self.clear()
        return lines


def read_list(stale_after: float = 30.0) -> tuple[RegistryStaleness, Log]:
    log = Log()
    staleness = RegistryStaleness(stale_after, log.append, 0.0)
    staleness.record_connection(10.0)
    staleness.record_list_read(1.0, 3)
    assert (
        log.take() == ["the registry is followed; 3 backends"] and staleness.freshness(100.0) is ListFreshness.CURRENT
    )
    return staleness, log


def test_a_registry_that_was_never_reached_is_logged_once() -> None:
    log = Log()
    staleness = RegistryStaleness(30.0, log.append, 0.0)
    assert staleness.freshness(0.0) is ListFreshness.NEVER_READ and staleness.next_tick_at() == 30.0
    staleness.tick(29.0)
    assert log == []
    staleness.tick(30.0)
    staleness.tick(60.0)
    assert log.take() == ["stale: no data from the registry for 30.0 s; the pool's static list stays"]
    assert staleness.next_tick_at() == float("inf") and staleness.freshness(60.0) is ListFreshness.NEVER_READ


def test_a_lost_connection_goes_from_session_may_live_to_ended_to_stale_until_the_list_is_read() -> None:
    staleness, log = read_list()
    staleness.record_disconnection(107.0, 100.0, "the server sent nothing in time")
    assert log.take() == [
        "disconnected (the session may be alive): the server sent nothing in time; the last list stays"
    ]
    assert staleness.freshness(107.0) is ListFreshness.SESSION_MAY_LIVE and staleness.age_seconds(107.0) == 7.0
    assert staleness.freshness(110.0) is ListFreshness.SESSION_ENDED
    staleness.record_disconnection(112.0, 100.0, "the server sent nothing in time")
    assert log == [] and staleness.next_tick_at() == 130.0
    staleness.tick(130.0)
    assert log.take() == ["stale: no data from the registry for 30.0 s; the last list stays"]
    assert staleness.freshness(130.0) is ListFreshness.STALE
    staleness.record_connection(10.0)
    assert staleness.freshness(131.0) is ListFreshness.STALE  # connected, but the list has not been read yet
    staleness.record_list_read(132.0, 2)
    assert log.take() == ["the registry is followed; 2 backends"] and staleness.age_seconds(140.0) == 0.0


def test_an_expired_session_of_the_proxy_removes_no_backend() -> None:
    staleness, _ = read_list()
    staleness.record_disconnection(5.0, 4.0, "the server closed the connection")
    staleness.record_session_expiry()
    assert staleness.freshness(5.0) is ListFreshness.SESSION_ENDED
    staleness.record_connection(10.0)
    assert staleness.freshness(5.5) is ListFreshness.REREADING


def test_an_empty_directory_is_logged_and_is_current() -> None:
    staleness, log = read_list()
    staleness.record_list_read(5.0, 0)
    assert log.take() == ["the registry holds no backend: its directory is empty or deleted, and the pool is empty"]


def test_a_directory_that_cannot_be_read_is_logged_once() -> None:
    staleness, log = read_list()
    staleness.record_read_failure("its access list forbids it")
    staleness.record_read_failure("its access list forbids it")
    assert log.take() == ["the directory cannot be read: its access list forbids it; the last list stays"]
