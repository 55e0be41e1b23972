"""Pages of what others know as decided, gathered until all are there."""

from __future__ import annotations

from collections.abc import Hashable

from lugspur.mesh.control.messages import Learn


class LearnedPages:
    """The pages that are under way, by where they come from: on one connection they come in order."""

    def __init__(self) -> None:
        self._pages: dict[Hashable, list[Learn]] = {}

    def add(self, source: Hashable, page: Learn) -> list[Learn]:
        """One more page; returns all of them once the last is there, else none."""
        pages = self._pages.setdefault(source, [])
        if page.page == 0:
            pages.clear()
        elif not pages or self._next(pages[-1]) != (page.after_index, page.index, page.page):
            return []  # of an answer whose beginning is missing
        pages.append(page)
        if not page.is_last:
            return []
        del self._pages[source]
        return pages

    @staticmethod
    def _next(page: Learn) -> tuple[int, int, int]:
        return page.after_index, page.index, page.page + 1

    def disconnected(self, source: Hashable) -> None:
        """The connection has ended: the rest never comes."""
        self._pages.pop(source, None)
