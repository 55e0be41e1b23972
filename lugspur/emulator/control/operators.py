"""Operators of a drawn history: orders that are drawn, sent, and sent again until they have a clear answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.control.mesh_world import MeshWorld
from lugspur.emulator.control.register_world import route
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.change_requests import Confirmed, NoQuorum, Outcome, Refused, Unclear
from lugspur.mesh.control.messages import Entry

OPERATORS = 2
UNDER_WAY = 8  # orders of one operator
CALLER_WAITS = 1.0  # seconds until a caller turns to another node
TRIES = 4
AGAIN_PART = 0.15  # of all orders are ones that were confirmed before
ROUTE_PART = 0.15  # of new ones change a route, which is checked against the others
USED_PART = 0.2  # ...and a number that has been used, mostly with another content
WITHDRAWN_PART = 0.1
ANSWERS_LOST_PART = 0.1
EVERYWHERE_PART = 0.2  # of further tries go to all nodes at once
ROUTES = ("one", "two", "three")
PLACES = ("/p/", "/q/")


@dataclass(slots=True, eq=False)
class Attempt:
    """An order that an operator wants to have confirmed; `operator`: whose it is, if anybody counts it."""

    entries: list[Entry]
    operator: int | None
    tries: int = 0
    over: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)


class Operators:
    """All operators of one history."""

    def __init__(self, world: MeshWorld, setting: Setting, rng: Random) -> None:
        self._world, self._rng = world, rng
        self._fill = setting.item_bytes
        self._names = [f"r{number}" for number in range(setting.items)]
        self._editions = dict.fromkeys(self._names, 0)
        self._replacements = 0  # of routes
        self._known: list[list[Entry]] = []  # what was confirmed
        self._under_way = [0] * OPERATORS

    def draw_order(self) -> None:
        """An operator sends an order, or one that was confirmed before again."""
        operator = self._rng.randrange(OPERATORS)
        if self._known and self._rng.random() < AGAIN_PART:
            self.order(self._rng.choice(self._known))
        elif self._under_way[operator] < UNDER_WAY:
            self._under_way[operator] += 1
            self.order(self._draw_entries(operator), operator)

    def order(self, entries: list[Entry], operator: int | None = None) -> None:
        """Have these entries confirmed."""
        self._try(Attempt(entries, operator))

    def _draw_entries(self, operator: int) -> list[Entry]:
        rng = self._rng
        draw = rng.random()
        if draw < ROUTE_PART:
            self._replacements += 1
            return route(rng.choice(ROUTES), self._replacements, rng.choice(PLACES))
        used = draw < ROUTE_PART + USED_PART
        withdrawn = draw > 1.0 - WITHDRAWN_PART
        return [self._draw_entry(name, operator, used, withdrawn) for name in self._draw_names()]

    def _draw_names(self) -> list[str]:
        return self._rng.sample(self._names, self._rng.choice((1, 1, 2)))

    def _draw_entry(self, name: str, operator: int, used: bool, withdrawn: bool) -> Entry:
        if used:
            edition = self._rng.randint(1, max(1, self._editions[name]))
        else:
            self._editions[name] += 1
            edition = self._editions[name]
        value = b"%d.%d" % (operator, self._rng.randrange(2))
        return Entry("notes", name, edition, None if withdrawn else value.ljust(self._fill, b"."))

    def _try(self, attempt: Attempt) -> None:
        attempt.tries += 1
        nodes = self._world.up()
        if not nodes:
            self._end(attempt)
            return
        everywhere = attempt.tries > 1 and self._rng.random() < EVERYWHERE_PART
        for node in nodes if everywhere else [self._rng.choice(nodes)]:
            leave = self._world.order(node.ip, attempt.entries, lambda how: self._answered(attempt, how))
            attempt.waiting.append(leave)
        tries = attempt.tries

        def wait_no_longer() -> None:
            if not attempt.over and attempt.tries == tries:
                for leave in attempt.waiting:
                    leave()
                attempt.waiting.clear()
                self._go_on(attempt)

        self._world.later(CALLER_WAITS, wait_no_longer)

    def _answered(self, attempt: Attempt, how: Outcome) -> None:
        figures = self._world.figures
        figures.confirmed += isinstance(how, Confirmed)
        figures.refused += isinstance(how, Refused)
        figures.unclear += isinstance(how, Unclear)
        figures.turned_away += isinstance(how, NoQuorum)
        if attempt.over or self._rng.random() < ANSWERS_LOST_PART:
            return
        if isinstance(how, Confirmed | Refused):
            if isinstance(how, Confirmed):
                self._known.append(attempt.entries)
            self._end(attempt)
        else:
            self._world.later(self._rng.uniform(0.01, 0.3), lambda: self._go_on(attempt))

    def _go_on(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        if attempt.tries >= TRIES:
            self._end(attempt)
        else:
            self._try(attempt)

    def _end(self, attempt: Attempt) -> None:
        if not attempt.over:
            attempt.over = True
            if attempt.operator is not None:
                self._under_way[attempt.operator] -= 1
