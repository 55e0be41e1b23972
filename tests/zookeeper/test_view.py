"""The view equals the tree after every quiet moment, and tells each removal, whatever happened before."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wire import World, inside

from lugspur.standins.zookeeper.tree import Gone

NAMES = ["a", "b", "c", "d e", "ü"]


class Churn:
    """Random changes of the folder, cuts, stalls and expiries; every step is drawn by `chance`."""

    def __init__(self, chance: random.Random, old: bool) -> None:
        self.chance = chance
        self.world = world = World()
        self.old = old
        self.told_gone: list[tuple[str, int]] = []  # removals while the view followed and knew the node
        world.cluster.write("/boxes")
        world.cluster.ensemble.listeners.append(self.removals)
        self.steps: list[tuple[int, Callable[[], None]]] = [
            (30, self.write), (15, self.delete), (10, self.box), (8, self.expire_box), (12, self.send),
            (12, self.receive), (12, self.part), (6, self.settle), (2, self.cut), (1, self.expire_own), (1, self.stall),
            (1, self.lag), (4, self.late), (6, self.mend), (1, self.folder), (1, self.forget), (1, self.restore),
        ]

    def removals(self, change: object) -> None:
        for effect in getattr(change, "effects", ()):
            name = effect.path.rpartition("/")[2] if isinstance(effect, Gone) else ""
            if name in self.world.follower.nodes:
                self.told_gone.append((name, self.world.follower.nodes[name][1]))

    def path(self) -> str:
        return "/boxes/" + self.chance.choice(NAMES)

    def write(self) -> None:
        self.world.cluster.write(self.path(), str(self.chance.random()).encode())

    def delete(self) -> None:
        path = self.path()
        if path in self.world.cluster.ensemble.tree.nodes:
            self.world.cluster.delete(path)

    def box(self) -> None:
        path = self.path()
        if path not in self.world.cluster.ensemble.tree.nodes:
            self.world.cluster.box(path, b"box")

    def expire_box(self) -> None:
        owned = [path for paths in self.world.cluster.ensemble.tree.owned.values() for path in sorted(paths)]
        if owned:
            self.world.cluster.expire(self.chance.choice(sorted(owned)))

    def send(self) -> None:
        self.world.send()

    def receive(self) -> None:
        self.world.receive()

    def part(self) -> None:
        if self.world.pipe.data:
            self.world.receive(self.chance.randrange(1, len(self.world.pipe.data) + 1))

    def settle(self) -> None:
        self.world.settle()

    def cut(self) -> None:
        for server in self.world.servers:
            server.faults.old = self.old
        self.world.connect(self.chance.randrange(3))

    def expire_own(self) -> None:
        self.world.cluster.ensemble.end(self.world.session.id)

    def stall(self) -> None:
        self.chance.choice(self.world.servers).stall()

    def lag(self) -> None:
        self.chance.choice(self.world.servers).lag()

    def late(self) -> None:
        """Replies wait from now on, and events may overtake them."""
        faults = self.chance.choice(self.world.servers).faults
        faults.late, faults.overtaking = float("inf"), self.chance.random() < 0.8

    def mend(self) -> None:
        self.chance.choice(self.world.servers).mend()

    def forget(self) -> None:
        self.chance.choice(self.world.servers).faults.forgets = True

    def folder(self) -> None:
        for path in sorted(self.world.cluster.ensemble.tree.nodes, reverse=True):
            if path.startswith("/boxes"):
                self.world.cluster.delete(path)

    def restore(self) -> None:
        self.world.cluster.ensemble.restore()

    def run(self, steps: int) -> None:
        weights = [weight for weight, _ in self.steps]
        for _ in range(steps):
            self.chance.choices(self.steps, weights)[0][1]()

    def check(self) -> None:
        """All is mended and quiet."""
        self.world.recover()
        assert self.world.follower.nodes == self.world.tree()
        missed = set(self.told_gone) - set(self.world.follower.removed)
        assert not missed


def churn(number: int, rounds: int, old: bool) -> None:
    async def run() -> None:
        world = Churn(random.Random(number), old)
        for _ in range(rounds):
            world.cut()
            world.run(60)
            world.check()

    inside(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
@pytest.mark.parametrize("number", range(8))
def test_the_view_equals_the_tree_after_thousands_of_steps(number: int, old: bool) -> None:
    churn(number, rounds=50, old=old)


@settings(max_examples=60, deadline=None)
@given(number=st.integers(), old=st.booleans())
def test_the_view_equals_the_tree_whatever_the_seed(number: int, old: bool) -> None:
    churn(number, rounds=6, old=old)
