"""Pages of decided state from other control nodes, collected until a reply is complete."""

from __future__ import annotations

from collections.abc import Hashable

from lugspur.mesh.control.messages import Learn


class LearnedPages:
    """The incomplete replies, by the connection that they come from; pages of one connection arrive in order."""

    def __init__(self) -> None:
        self._pages: dict[Hashable, list[Learn]] = {}

    def add(self, source: Hashable, page: Learn) -> list[Learn]:
        """Add a page; returns all pages of the reply once the last one has arrived, else an empty list."""
        pages = self._pages.setdefault(source, [])
        if page.page == 0:
            pages.clear()
        elif not pages or self._next(pages[-1]) != (page.after_index, page.index, page.page):
            return []  # the page belongs to a reply with missing pages
        pages.append(page)
        if not page.is_last:
            return []
        del self._pages[source]
        return pages

    @staticmethod
    def _next(page: Learn) -> tuple[int, int, int]:
        return page.after_index, page.index, page.page + 1

    def disconnected(self, source: Hashable) -> None:
        """Drop the incomplete reply of a connection that has ended."""
        self._pages.pop(source, None)
