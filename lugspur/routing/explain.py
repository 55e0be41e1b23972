"""Explains which route matches a request, and why each other route does not, by a linear search."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lugspur.routing.model import REPEATED_PARAMETER, Condition, Rank, RequestView, Route, host_matches, rank


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether one route matches a request."""

    route: Route
    reason: str  # why the route does not match; empty where it does
    rank: Rank | None  # the precedence of a route that matches


def evaluate_route(route: Route, request: RequestView) -> Verdict:
    """Return the verdict on one route, with the first condition that does not hold."""
    matching_hosts = [host for host in route.hosts if host_matches(host, request.target.host)]
    reason = ""
    if not matching_hosts:
        reason = f"host {request.target.host or '(none)'} is not {' or '.join(route.hosts)}"
    elif not route.path.matches(request.target.segments):
        reason = f"path {request.target.path.decode()} does not match {route.path.text}"
    elif route.methods and request.method not in route.methods:
        reason = f"method {request.method} is not {' or '.join(sorted(route.methods))}"
    else:
        reason = _unmet("header", route.headers, request.headers) or _unmet("query", route.query, request.query)
    if reason:
        return Verdict(route, reason, None)
    return Verdict(route, "", min(rank(route, host) for host in matching_hosts))


def _unmet(kind: str, conditions: Iterable[Condition], found: Mapping[str, str]) -> str:
    for condition in conditions:
        value = found.get(condition.name)
        value = "(repeated)" if value == REPEATED_PARAMETER else value
        if not condition.matches(value):
            actual = "is absent" if value is None else f'is "{value}"'
            return f"{kind} {condition.name} {actual}, wanted {condition.match_type.value} {condition.value}".rstrip()
    return ""


def explain(routes: Iterable[Route], request: RequestView) -> list[Verdict]:
    """Return the verdict on every route: the chosen route first, then other matches by precedence, then the rest."""
    verdicts = [evaluate_route(route, request) for route in routes]
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


def deciding_rule(winner: Rank, loser: Rank) -> str:
    """Return the rule of the precedence by which one rank beats another."""
    return next((rule for rule, a, b in zip(RULES, winner, loser, strict=False) if a != b), RULES[-1])
