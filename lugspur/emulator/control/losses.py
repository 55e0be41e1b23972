"""Faults of a drawn history: which machine is lost when, as fast as the settings tolerate, and when it is back.

A machine counts as lost while it is down, frozen or cut off, and for `catch_up_s` after that; one that was replaced
until its successor has run for so long. No more are lost at once, nor loses one its disk, than `Tolerance` says; power
may go from all at once, with what was not synced.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.mesh_node import CATCH_UP_S, MeshNode
from lugspur.emulator.control.mesh_world import MeshWorld
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.quorum import majority

QUIET_END = 1.0  # seconds before the end in which nothing more is drawn
GRACE = 4.8  # seconds that a leaving process has
AGAIN_PART = 0.3  # of newcomers are killed while they catch up
WIPED_PART = 0.3  # of those that were away for long come back without their disks
ABSENT = (20.0, 40.0)  # seconds for which a machine is away that is away for long
ABSENT_WAYS = ("kill", "freeze", "cut")
CAUGHT_UP_WITHIN = 4.0  # seconds until one that was away knows what was decided when it came back
FAULTS = [
    *("kill", "kill", "wipe", "wipe", "replace", "replace", "leave", "leave", "freeze", "cut", "cut", "partial"),
    *("hang up", "hang up", "disk", "slow", "power", "zone"),
]


class Losses:
    """All that is done to the machines of one history; `ends`: when the last of it is over."""

    def __init__(self, world: MeshWorld, setting: Setting, rng: Random) -> None:
        self._world, self._setting, self._rng = world, setting, rng
        self._lost_until: dict[str, float] = {}
        self.ends = setting.faults_s
        for number in range(setting.absences):
            part = setting.faults_s / setting.absences
            world.later(rng.uniform(1.0, part / 3.0) + number * part, self._draw_absence)

    # ---- what may be lost ------------------------------------------------------------------

    def _later(self, delay: float, call: Callable[[], None]) -> None:
        """Something that belongs to a fault: the last of it is awaited."""
        self.ends = max(self.ends, self._world.now + delay + 0.01)
        self._world.later(delay, call)

    def _lost(self) -> set[str]:
        return {ip for ip, until in self._lost_until.items() if until > self._world.now}

    def _may_lose(self, ip: str) -> bool:
        if self._lost_until.get(ip, 0.0) > self._world.now:
            return self._setting.hasty and self._register_bears(ip)
        if len(self._lost()) < self._setting.machines:
            return True
        return self._setting.hasty and self._register_bears(ip)

    def _register_bears(self, ip: str) -> bool:
        """Whether all machines run, and a majority of the voters beside this one holds the latest state on disk."""
        world = self._world
        nodes = list(world.nodes.values())
        if world.cuts or not all(node.up and not node.frozen and not node.disk_fails for node in nodes):
            return False
        if any(node.leaving for node in nodes):  # it may be replaced, or lose its power, at any moment
            return False
        latest = [node for node in nodes if node.replica.index == world.chain.last and not node.unsynced]
        membership = next((node.replica.membership for node in latest), None)
        if membership is None:
            return False
        holding = {(node.ip, node.replica.voter.uid) for node in latest if node.ip != ip}
        voters = [(voter.ip, voter.uid) for voter in membership.voters]
        return len(holding.intersection(voters)) >= majority(len(voters))

    def _lose(self, ip: str, back: float) -> None:
        """It counts as lost until it has been back for a while."""
        self._lost_until[ip] = max(self._lost_until.get(ip, 0.0), self._world.now + back + CATCH_UP_S)

    # ---- what happens ----------------------------------------------------------------------

    def draw(self) -> None:
        """One fault, if it may be."""
        rng, world = self._rng, self._world
        if world.now > self._setting.faults_s - QUIET_END:
            return
        nodes = [node.ip for node in world.up()]
        if not nodes:
            return
        name = rng.choice(FAULTS)
        if self._bring_about(name, rng.choice(nodes), nodes):
            world.figures.faults[name] = world.figures.faults.get(name, 0) + 1

    def _bring_about(self, name: str, ip: str, nodes: list[str]) -> bool:
        """Whether it may be."""
        if name == "hang up":
            return self._hang_up()
        if name == "slow":
            return self._slow(ip)
        if name == "power":
            return self._power(nodes)
        if name == "zone":
            return self._zone(self._world.nodes[ip].zone)
        if not self._may_lose(ip):
            return False
        losses: dict[str, Callable[[str], None]] = {
            "kill": self._kill,
            "wipe": self._wipe,
            "replace": self._replace,
            "leave": self._leave,
            "freeze": self._freeze,
            "cut": self._cut,
            "partial": self._partial,
            "disk": self._disk,
        }
        losses[name](ip)
        return True

    def mend(self) -> None:
        """All machines run, and reach each other."""
        world = self._world
        world.heal(set(world.cuts))
        world.slow.clear()
        for ip, node in list(world.nodes.items()):
            self._disk_is_well(ip)
            if node.up and node.frozen:
                world.wake(ip)
            elif not node.up:
                world.start(ip)

    # ---- faults that cost no machine ---------------------------------------------------------

    def _hang_up(self) -> bool:
        world, rng = self._world, self._rng
        pairs = [pair for pair, connection in world.connections.items() if connection.up and pair[0] in world.nodes]
        for pair in rng.sample(pairs, min(len(pairs), rng.randint(1, 4))):
            world.hang_up(*pair)
        return True

    def _slow(self, ip: str) -> bool:
        self._world.slow.add(ip)
        self._later(self._rng.uniform(0.5, 3.0), lambda: self._world.slow.discard(ip))
        return True

    def _power(self, nodes: list[str]) -> bool:
        """Power goes from several at once, with what was not synced."""
        if self._rng.random() < 0.5:
            return False
        for ip in self._rng.sample(nodes, self._rng.randint(1, len(nodes))):
            self._kill(ip, 2.0)
        return True

    # ---- machines that go and come back ------------------------------------------------------

    def _kill(self, ip: str, most: float = 6.0) -> None:
        self._down(ip, self._rng.uniform(0.1, most))

    def _down(self, ip: str, span: float) -> None:
        self._lose(ip, span)
        self._world.stop(ip)
        self._later(span, lambda: self._world.start(ip))

    def _wipe(self, ip: str) -> None:
        span = self._rng.uniform(0.1, 3.0)
        self._down(ip, span)
        self._world.nodes[ip].wipe()
        if self._rng.random() < AGAIN_PART:
            self._kill_again(ip, span)

    def _kill_again(self, ip: str, back: float) -> None:
        """It is killed once more, while it catches up."""
        again = back + self._rng.uniform(0.05, 1.5)
        self._lose(ip, again + 0.3)
        self._later(again, lambda: self._blink(ip))

    def _blink(self, ip: str) -> None:
        if ip in self._world.nodes:
            self._world.stop(ip)
            self._later(0.3, lambda: self._world.start(ip))

    def _replace(self, ip: str) -> None:
        """Another machine at another address takes its place, with an empty disk."""
        world = self._world
        back = self._rng.uniform(0.2, 3.0)
        world.stop(ip)
        gone = world.nodes.pop(ip)
        fresh = world.add_node(gone.zone)
        world.seeds = [fresh.ip if seed == ip else seed for seed in world.seeds]
        self._lost_until.pop(ip, None)
        self._lose(fresh.ip, back)
        self._later(back, lambda: world.start(fresh.ip))
        world.later(back, world.looker(fresh.ip))
        if self._rng.random() < AGAIN_PART:
            self._kill_again(fresh.ip, back)

    def _leave(self, ip: str) -> None:
        """It is told to end: it hands its vote on, and may be killed in the middle; then it or another comes."""
        world, node = self._world, self._world.nodes[ip]
        node.leaving = True
        lives, until = node.lives, world.now + GRACE
        killed = world.now + self._rng.uniform(0.05, 2.0) if self._rng.random() < 0.4 else until
        self._lost_until[ip] = float("inf")

        def look() -> None:
            if world.nodes.get(ip) is not node or not node.up or node.lives != lives:
                self._lost_until[ip] = world.now + CATCH_UP_S  # its power was lost meanwhile
                return
            if world.now < min(until, killed) and not node.handed_on():
                self._later(0.1, look)
                return
            self._lost_until.pop(ip)
            if self._rng.random() < 0.5:
                self._replace(ip)
            else:
                self._down(ip, 0.5)

        self._later(0.1, look)

    def _freeze(self, ip: str) -> None:
        self._stand_still(ip, self._rng.uniform(0.2, 8.0))

    def _stand_still(self, ip: str, span: float) -> None:
        self._lose(ip, span)
        self._world.freeze(ip)
        self._later(span, lambda: self._world.wake(ip))

    def _disk(self, ip: str) -> None:
        span = self._rng.uniform(0.3, 4.0)
        self._lose(ip, span)
        self._world.nodes[ip].disk_fails = True
        self._later(span, lambda: self._disk_is_well(ip))

    def _disk_is_well(self, ip: str) -> None:
        node = self._world.nodes.get(ip)
        if node is not None:
            node.disk_fails = False
            if node.up and not node.frozen:
                node.sync()

    def _zone(self, zone: str) -> bool:
        """A zone is lost, with its disks."""
        if not self._setting.zones or self._lost():
            return False
        for ip in [ip for ip, node in self._world.nodes.items() if node.zone == zone]:
            if self._rng.random() < 0.5:
                self._wipe(ip)
            else:
                self._kill(ip)
        return True

    # ---- machines that are cut off -----------------------------------------------------------

    def _others(self, ip: str) -> list[str]:
        return [other for other in (*self._world.nodes, *self._world.proxies) if other != ip]

    def _cut(self, ip: str) -> None:
        self._cut_from(ip, self._others(ip), self._rng.uniform(0.3, 7.0))

    def _partial(self, ip: str) -> None:
        others = self._others(ip)
        some = self._rng.sample(others, self._rng.randint(1, len(others)))
        self._cut_from(ip, some, self._rng.uniform(0.3, 7.0))

    def _cut_from(self, ip: str, others: list[str], span: float) -> None:
        world = self._world
        way = self._rng.choice(("both", "in", "out"))
        cuts = {(ip, other) for other in others if way != "in"} | {(other, ip) for other in others if way != "out"}
        self._lose(ip, span)
        world.cuts |= cuts
        if self._rng.random() < 0.5:
            world.hang_up_all(ip)
        self._later(span, lambda: world.heal(cuts))

    # ---- machines that are away for long -----------------------------------------------------

    def _draw_absence(self) -> None:
        """One machine is away while hundreds of changes are made."""
        world, rng = self._world, self._rng
        able = [node.ip for node in world.up() if self._may_lose(node.ip)]
        if not able:
            if world.now < self._setting.faults_s:
                self._later(0.2, self._draw_absence)
            return
        ip = rng.choice(able)
        span = rng.uniform(*ABSENT)
        way = rng.choice(ABSENT_WAYS)
        if way == "kill":
            self._down(ip, span)
            if rng.random() < WIPED_PART:
                world.nodes[ip].wipe()
        elif way == "freeze":
            self._stand_still(ip, span)
        else:
            self._cut_from(ip, self._others(ip), span)
        node = world.nodes[ip]
        if rng.random() < AGAIN_PART:
            self._kill_again(ip, span)
        else:
            self._later(span, lambda: self._back(node))
        name = f"away, {way}"
        world.figures.faults[name] = world.figures.faults.get(name, 0) + 1

    def _back(self, node: MeshNode) -> None:
        """It is back, and knows within a bounded time what was decided while it was away."""
        world = self._world
        if world.nodes.get(node.ip) is not node or not node.up:
            return
        lives, upto, began = node.lives, world.chain.last, world.now
        missed = upto - node.replica.index

        def look() -> None:
            if world.nodes.get(node.ip) is not node or not node.up or node.lives != lives or node.frozen:
                return
            taken = world.now - began
            if node.replica.index < upto:
                if taken > CAUGHT_UP_WITHIN and world.quorum_up(CAUGHT_UP_WITHIN):
                    raise Violation(f"{node.ip} was away for {missed} changes and lacks some after {taken:.1f} s")
                self._later(0.05, look)
                return
            world.figures.missed = max(world.figures.missed, missed)
            world.figures.caught_up_after = max(world.figures.caught_up_after, taken)

        look()
