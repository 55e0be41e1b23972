"""Conflicts: pairs of routes that can match the same request with equal precedence."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import combinations, product

from lugspur.routing.model import Condition, MatchType, Route, rank

Group = list[Route]


def find_conflicts(routes: Iterable[Route]) -> Iterator[tuple[Route, Route]]:
    """Yield each pair of routes of equal precedence that can match the same request."""
    groups: dict[object, Group] = {}
    for route in routes:
        for host in route.hosts:
            groups.setdefault((host, route.path.segments, rank(route, host)), []).append(route)
    seen: set[tuple[str, str]] = set()
    for group in groups.values():
        for one, two in _pairs(group):
            pair = (one.name, two.name)
            if pair not in seen and one is not two and overlap(one, two):
                seen.add(pair)
                yield one, two


def overlap(one: Route, two: Route) -> bool:
    """Return whether a request whose host and path match both routes can match both in everything else."""
    if one.methods and two.methods and not one.methods & two.methods:
        return False
    return not (_excluded(one.headers, two.headers) or _excluded(one.query, two.query))


def _excluded(one: Sequence[Condition], two: Sequence[Condition]) -> bool:
    return any(a.name == b.name and a.excludes(b) for a, b in product(one, two))


def _pairs(group: Group) -> Iterator[tuple[Route, Route]]:
    """Yield the pairs that may overlap.

    Guards `check` against thousands of routes of one path that differ by a header's value: comparing all
    pairs would take minutes. Routes with different values of the most common exact header never overlap.
    """
    names = Counter(c.name for route in group for c in route.headers if c.match_type is MatchType.EXACT)
    if len(group) < 8 or not names:
        yield from combinations(group, 2)
        return
    name = names.most_common(1)[0][0]
    by_value: dict[str, Group] = {}
    others: Group = []
    for route in group:
        value = next((c.value for c in route.headers if c.name == name and c.match_type is MatchType.EXACT), None)
        (others if value is None else by_value.setdefault(value, [])).append(route)
    for same in by_value.values():
        yield from combinations(same, 2)
    yield from combinations(others, 2)
    for other in others:
        for same in by_value.values():
            yield from ((other, route) for route in same)
