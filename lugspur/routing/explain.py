"""Why a route takes a request: a plain search by the written precedence, which says of each other why not."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lugspur.routing.model import TWICE, Asked, Condition, Rank, Route, host_matches, rank


@dataclass(slots=True, frozen=True)
class Verdict:
    """One route and what speaks against it; `rank` where nothing does."""

    route: Route
    against: str
    rank: Rank | None


def judge(route: Route, asked: Asked) -> Verdict:
    """Look at one route; the first thing that speaks against it is named."""
    fitting = [host for host in route.hosts if host_matches(host, asked.target.host)]
    against = ""
    if not fitting:
        against = f"host {asked.target.host or '(none)'} is not {' or '.join(route.hosts)}"
    elif not route.path.matches(asked.target.segments):
        against = f"path {asked.target.path.decode()} does not fit {route.path.text}"
    elif route.methods and asked.method not in route.methods:
        against = f"method {asked.method} is not {' or '.join(sorted(route.methods))}"
    else:
        against = _unmet("header", route.headers, asked.headers) or _unmet("query", route.query, asked.query)
    if against:
        return Verdict(route, against, None)
    return Verdict(route, "", min(rank(route, host) for host in fitting))


def _unmet(what: str, conditions: Iterable[Condition], found: Mapping[str, str]) -> str:
    for condition in conditions:
        value = found.get(condition.name)
        value = "(twice)" if value == TWICE else value
        if not condition.holds(value):
            seen = "is absent" if value is None else f'is "{value}"'
            return f"{what} {condition.name} {seen}, wanted {condition.test.value} {condition.value}".rstrip()
    return ""


def explain(routes: Iterable[Route], asked: Asked) -> list[Verdict]:
    """Every route's verdict: the one that is taken first, then those that it beat, then the others."""
    verdicts = [judge(route, asked) for route in routes]
    matching = sorted((v for v in verdicts if v.rank is not None), key=lambda v: (v.rank or (), v.route.name))
    return matching + [v for v in verdicts if v.rank is None]


RULES = (
    "host",
    "path",
    "a method given",
    "more header conditions",
    "more query conditions",
    "priority",
    "name",
)


def decided_by(winner: Rank, loser: Rank) -> str:
    """The rule of the precedence by which one rank beats another."""
    return next((rule for rule, a, b in zip(RULES, winner, loser, strict=False) if a != b), RULES[-1])
