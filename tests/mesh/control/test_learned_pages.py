"""Pages of decided state take effect only once all of them have arrived."""

from __future__ import annotations

from lugspur.mesh.control.learned_pages import LearnedPages
from lugspur.mesh.control.messages import Learn


def page(number: int, last: bool = False, index: int = 9, since: int = 3) -> Learn:
    return Learn(since, index, 0, number, [], last)


def test_pages_are_collected_until_the_last_by_connection() -> None:
    pages = LearnedPages()
    assert pages.add("a", page(0)) == [] and pages.add("b", page(0)) == []
    assert pages.add("a", page(1)) == []
    assert [p.page for p in pages.add("a", page(2, True))] == [0, 1, 2]
    assert pages.add("a", page(1)) == []  # the reply was complete already
    assert [p.page for p in pages.add("b", page(1, True))] == [0, 1]
    assert pages.add("c", page(0, True)) == [page(0, True)]


def test_pages_without_the_first_or_of_two_replies_are_ignored() -> None:
    pages = LearnedPages()
    assert pages.add("a", page(1)) == [] and pages.add("a", page(2, True)) == []
    pages.add("a", page(0))
    assert pages.add("a", page(2, True)) == []  # page 1 is missing
    assert pages.add("a", page(1, True, index=8)) == [] and pages.add("a", page(1, True, since=2)) == []
    pages.add("a", page(0, index=10))  # the first page of a new reply
    assert pages.add("a", page(1, True)) == [] and len(pages.add("a", page(1, True, index=10))) == 2


def test_pages_of_an_ended_connection_are_forgotten() -> None:
    pages = LearnedPages()
    pages.add("a", page(0))
    pages.disconnected("a")
    pages.disconnected("b")
    assert pages.add("a", page(1, True)) == []
