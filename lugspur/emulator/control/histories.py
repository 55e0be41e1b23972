"""Drawn histories: operators, readers and proxies over losses (see `losses`), until all is well."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.losses import Losses
from lugspur.emulator.control.mesh_world import Figures, MeshWorld
from lugspur.emulator.control.operators import CALLER_WAITS, TRIES, Operators
from lugspur.emulator.control.register_world import SERVICE
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.change_requests import Confirmed
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.quorum import majority

WELL_WITHIN = 20.0  # seconds after the last fault until all has to be well
FAULT_EVERY = 0.35  # seconds between faults, on average
READ_EVERY = 0.3
CLAIM_EVERY = 0.15
CLAIMS_OPEN = 6  # of one proxy
KEYS_EACH = 8  # claims for each new key
REPEAT_PART = 0.4  # of claims are for a key whose operation has run


class History:
    """One history, drawn by a seed."""

    def __init__(self, seed: int, setting: Setting) -> None:
        self.rng = Random(seed * 7919 + 1)
        self.setting = setting
        self.world = MeshWorld(seed, setting)
        self.figures: Figures = self.world.figures
        self.operators = Operators(self.world, setting, self.rng)
        self.losses = Losses(self.world, setting, self.rng)
        self.claims = 0
        self.going_on = True

    # ---- the whole -------------------------------------------------------------------------

    def play(self) -> Figures:
        """Until all is well; raises Violation."""
        world = self.world
        self._run(1.0)
        world.later(0.0, lambda: self.operators.order(SERVICE))
        for every, what in (
            (self.setting.order_every, self.operators.draw_order),
            (READ_EVERY, self._draw_read),
            (CLAIM_EVERY, self._draw_claim),
            (FAULT_EVERY, self.losses.draw),
        ):
            self._again(every, what)
        while world.now < self.losses.ends:
            self._run(self.losses.ends)
        self.going_on = False
        self.losses.mend()
        self._become_well()
        self._last_words()
        world.book.check_all()
        self.figures.changes = world.chain.last
        self.figures.epochs = max(node.replica.epoch for node in world.up())
        return self.figures

    def _become_well(self) -> None:
        world, mended = self.world, self.world.now
        within = WELL_WITHIN + self.setting.complete_by_time
        while not self._well():
            if world.now > mended + within:
                raise Violation(f"not well {within:g} s after the last fault: {self._state()}")
            self._run(world.now + 0.25)
        self.figures.well_after = world.now - mended

    def _run(self, until: float) -> None:
        self.world.clock.run_until(until)

    def _again(self, every: float, what: Callable[[], None]) -> None:
        def happen() -> None:
            if self.going_on:
                what()
                self.world.later(self.rng.expovariate(1.0 / every), happen)

        self.world.later(self.rng.expovariate(1.0 / every), happen)

    # ---- readers and proxies -----------------------------------------------------------------

    def _draw_read(self) -> None:
        nodes = self.world.up()
        if nodes:
            self.world.read(self.rng.choice(nodes).ip, lambda latest: None)

    def _draw_claim(self) -> None:
        world, rng = self.world, self.rng
        proxy = rng.choice(list(world.proxies.values()))
        world.hear(proxy)
        proxy.claims.tick(world.now)
        if len(proxy.claims) > CLAIMS_OPEN:
            return
        self.claims += 1
        key = b"k%d" % (self.claims // KEYS_EACH + rng.randrange(3))
        if world.keys.runs and rng.random() < REPEAT_PART:  # long after, by voters that may all be others by now
            key = rng.choice(list(world.keys.runs))
        world.claim(proxy, key, b"a%d" % self.claims)

    # ---- the end ---------------------------------------------------------------------------

    def _well(self) -> bool:
        """Whether as many voters as wanted run, a majority of them holds all claims, and all know the same."""
        nodes = list(self.world.nodes.values())
        if not all(node.up and not node.frozen for node in nodes):
            return False
        membership = nodes[0].replica.membership
        if membership is None or {node.replica.index for node in nodes} != {self.world.chain.last}:
            return False
        wanted = min(self.setting.tolerance.voter_count, len(nodes))
        complete = [node for node in nodes if node.replica.is_complete]
        if len(membership.voters) < wanted or len(complete) < majority(len(membership.voters)):
            return False
        return all(node.age(self.world.now) < 1.0 for node in nodes)

    def _last_words(self) -> None:
        """Every node takes an order and reads it back."""
        world = self.world
        for number, ip in enumerate(world.nodes):
            done: list[object] = []
            for _ in range(TRIES):
                world.order(ip, [Entry("notes", "last", number + 1, b"x")], done.append)
                self._run(world.now + CALLER_WAITS)
                if any(isinstance(how, Confirmed) for how in done):
                    break
            else:
                raise Violation(f"{ip} confirms nothing in the end: {done}")
            read: list[bool] = []
            world.read(ip, read.append)
            self._run(world.now + CALLER_WAITS)
            if read != [True]:
                raise Violation(f"{ip} reads nothing in the end")

    def _state(self) -> str:
        told = []
        for ip, node in self.world.nodes.items():
            replica = node.replica
            voters = [voter.ip for voter in replica.membership.voters] if replica.membership is not None else []
            told.append(f"{ip} index {replica.index} epoch {replica.epoch} complete {replica.complete_epoch} {voters}")
        return "; ".join(told)


def play(seed: int, setting: Setting) -> Figures:
    """One history; raises Violation."""
    return History(seed, setting).play()
