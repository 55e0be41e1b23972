"""Drawn histories: operators, readers and proxies over losses as fast as the settings tolerate, until all is well.

A machine counts as lost while it is down, frozen or cut off, and for `catch_up_s` after that; one that was replaced
until its successor has run for so long. No more are lost at once, nor loses one its disk, than `Tolerance` says; power
may go from all at once, with what was not synced.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.control.membership import Tolerance
from lugspur.control.messages import Entry
from lugspur.control.orders import Confirmed, NoQuorum, Outcome, Refused, Unclear
from lugspur.control.quorum import majority
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.mesh_node import CATCH_UP_S
from lugspur.emulator.control.mesh_world import Figures, MeshWorld
from lugspur.emulator.control.register_world import SERVICE, route

FAULTS_S = 14.0  # seconds in which faults happen
WELL_WITHIN = 20.0  # seconds after the last fault until all has to be well
FAULT_EVERY = 0.35  # seconds between faults, on average
ORDER_EVERY = 0.12
READ_EVERY = 0.3
CLAIM_EVERY = 0.15
CALLER_WAITS = 1.0  # seconds until a caller turns to another node
TRIES = 4
UNDER_WAY = 8  # orders of one operator
GRACE = 4.8  # seconds that a leaving process has
FAULTS = [
    *("kill", "kill", "wipe", "wipe", "replace", "replace", "leave", "leave", "freeze", "cut", "cut", "partial"),
    *("hang up", "hang up", "disk", "slow", "power", "zone"),
]
NAMES = ["r0", "r1", "r2", "r3"]


@dataclass(slots=True, frozen=True)
class Setting:
    """What is played."""

    nodes: int
    machines: int
    zones: int

    @property
    def tolerance(self) -> Tolerance:
        """What may be lost at once."""
        return Tolerance(self.machines, self.zones)


SETTINGS = [
    Setting(3, 1, 0),
    Setting(4, 1, 0),
    Setting(3, 1, 1),
    Setting(5, 2, 0),
    Setting(5, 1, 1),
    Setting(7, 2, 0),
    Setting(7, 2, 1),
    Setting(11, 2, 1),
]


@dataclass(slots=True, eq=False)
class Attempt:
    """An order that an operator wants to have confirmed."""

    entries: list[Entry]
    tries: int = 0
    over: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)


class History:
    """One history, drawn by a seed."""

    def __init__(self, seed: int, setting: Setting) -> None:
        self.rng = Random(seed * 7919 + 1)
        self.setting = setting
        self.world = MeshWorld(seed, setting.nodes, setting.tolerance)
        self.figures: Figures = self.world.figures
        self.lost_until: dict[str, float] = {}
        self.ends = FAULTS_S
        self.attempts: list[Attempt] = []
        self.known: list[list[Entry]] = []
        self.editions = dict.fromkeys(NAMES, 0)
        self.under_way = [0, 0]
        self.claims = 0
        self.faults = True
        self.replacements = 0

    # ---- the whole -------------------------------------------------------------------------

    def play(self) -> Figures:
        """Until all is well; raises Violation."""
        world = self.world
        self._run(1.0)
        world.later(0.0, lambda: self._order(SERVICE))
        for every, what in (
            (ORDER_EVERY, self._draw_order),
            (READ_EVERY, self._draw_read),
            (CLAIM_EVERY, self._draw_claim),
            (FAULT_EVERY, self._draw_fault),
        ):
            self._again(every, what)
        while world.now < self.ends:
            self._run(self.ends)
        self.faults = False
        self._mend()
        mended = world.now
        while not self._well():
            if world.now > mended + WELL_WITHIN:
                raise Violation(f"not well {WELL_WITHIN:g} s after the last fault: {self._state()}")
            self._run(world.now + 0.25)
        self.figures.well_after = world.now - mended
        self._last_words()
        world.book.check_all()
        self.figures.changes = world.chain.last
        self.figures.epochs = max(node.replica.epoch for node in world.up())
        return self.figures

    def _run(self, until: float) -> None:
        clock = self.world.clock
        clock.run_until(until)

    def _again(self, every: float, what: Callable[[], None]) -> None:
        def happen() -> None:
            if self.faults:
                what()
                self.world.later(self.rng.expovariate(1.0 / every), happen)

        self.world.later(self.rng.expovariate(1.0 / every), happen)

    # ---- operators -------------------------------------------------------------------------

    def _draw_order(self) -> None:
        operator = self.rng.randrange(2)
        if self.known and self.rng.random() < 0.15:  # the same again, long after
            self._order(self.rng.choice(self.known))
        elif self.under_way[operator] < UNDER_WAY:
            self.under_way[operator] += 1
            self._order(self._draw_entries(operator), operator)

    def _draw_entries(self, operator: int) -> list[Entry]:
        rng = self.rng
        draw = rng.random()
        if draw < 0.15:
            self.replacements += 1
            return route(rng.choice(("one", "two", "three")), self.replacements, rng.choice(("/p/", "/q/")))
        found = []
        for name in rng.sample(NAMES, rng.choice((1, 1, 2))):
            if draw < 0.35:  # a number that has been used, mostly with another content
                edition = rng.randint(1, max(1, self.editions[name]))
            else:
                self.editions[name] += 1
                edition = self.editions[name]
            value = None if draw > 0.9 else b"%d.%d" % (operator, rng.randrange(2))
            found.append(Entry("notes", name, edition, value))
        return found

    def _order(self, entries: list[Entry], operator: int | None = None) -> None:
        attempt = Attempt(entries)
        self.attempts.append(attempt)
        self._try(attempt, operator)

    def _try(self, attempt: Attempt, operator: int | None) -> None:
        attempt.tries += 1
        nodes = self.world.up()
        if not nodes:
            self._end(attempt, operator)
            return
        everywhere = attempt.tries > 1 and self.rng.random() < 0.2
        for node in nodes if everywhere else [self.rng.choice(nodes)]:
            leave = self.world.order(node.ip, attempt.entries, lambda how: self._answered(attempt, operator, how))
            attempt.waiting.append(leave)
        tries = attempt.tries

        def wait_no_longer() -> None:
            if not attempt.over and attempt.tries == tries:
                for leave in attempt.waiting:
                    leave()
                attempt.waiting.clear()
                self._go_on(attempt, operator)

        self.world.later(CALLER_WAITS, wait_no_longer)

    def _answered(self, attempt: Attempt, operator: int | None, how: Outcome) -> None:
        figures = self.figures
        figures.confirmed += isinstance(how, Confirmed)
        figures.refused += isinstance(how, Refused)
        figures.unclear += isinstance(how, Unclear)
        figures.turned_away += isinstance(how, NoQuorum)
        if attempt.over or self.rng.random() < 0.1:  # the answer is lost
            return
        if isinstance(how, Confirmed | Refused):
            if isinstance(how, Confirmed):
                self.known.append(attempt.entries)
            self._end(attempt, operator)
        else:
            self.world.later(self.rng.uniform(0.01, 0.3), lambda: self._go_on(attempt, operator))

    def _go_on(self, attempt: Attempt, operator: int | None) -> None:
        if attempt.over:
            return
        if attempt.tries >= TRIES:
            self._end(attempt, operator)
        else:
            self._try(attempt, operator)

    def _end(self, attempt: Attempt, operator: int | None) -> None:
        if not attempt.over:
            attempt.over = True
            if operator is not None:
                self.under_way[operator] -= 1

    def _draw_read(self) -> None:
        nodes = self.world.up()
        if nodes:
            self.world.read(self.rng.choice(nodes).ip, lambda latest: None)

    def _draw_claim(self) -> None:
        world, rng = self.world, self.rng
        proxy = rng.choice(list(world.proxies.values()))
        world.hear(proxy)
        proxy.claims.look(world.now)
        if len(proxy.claims) > 6:
            return
        self.claims += 1
        key = b"k%d" % (self.claims // 8 + rng.randrange(3))
        if world.keys.runs and rng.random() < 0.4:  # a repeat long after, by voters that may all be others by now
            key = rng.choice(list(world.keys.runs))
        world.claim(proxy, key, b"a%d" % self.claims)

    # ---- faults ----------------------------------------------------------------------------

    def _later(self, delay: float, call: Callable[[], None]) -> None:
        """Something that belongs to a fault: the last of it is awaited."""
        self.ends = max(self.ends, self.world.now + delay + 0.01)
        self.world.later(delay, call)

    def _lost(self) -> set[str]:
        return {ip for ip, until in self.lost_until.items() if until > self.world.now}

    def _may_lose(self, ip: str) -> bool:
        if self.lost_until.get(ip, 0.0) > self.world.now:
            return False
        return len(self._lost()) < self.setting.machines

    def _lose(self, ip: str, back: float) -> None:
        """It counts as lost until it has been back for a while."""
        self.lost_until[ip] = max(self.lost_until.get(ip, 0.0), self.world.now + back + CATCH_UP_S)

    def _draw_fault(self) -> None:
        rng, world = self.rng, self.world
        if self.world.now > FAULTS_S - 1.0:
            return
        nodes = [node.ip for node in world.up()]
        if not nodes:
            return
        ip = rng.choice(nodes)
        name = rng.choice(FAULTS)
        if name == "hang up":
            pairs = [pair for pair, connection in world.connections.items() if connection.up and pair[0] in world.nodes]
            for pair in rng.sample(pairs, min(len(pairs), rng.randint(1, 4))):
                world.hang_up(*pair)
        elif name == "slow":
            world.slow.add(ip)
            self._later(rng.uniform(0.5, 3.0), lambda: world.slow.discard(ip))
        elif name == "power":
            if rng.random() < 0.5:
                return
            self._power(rng.sample(nodes, rng.randint(1, len(nodes))))
        elif name == "zone":
            if not self._zone(world.nodes[ip].zone):
                return
        elif not self._may_lose(ip):
            return
        else:
            getattr(self, "_" + name)(ip)
        self.figures.faults[name] = self.figures.faults.get(name, 0) + 1

    def _kill(self, ip: str) -> None:
        back = self.rng.uniform(0.1, 6.0)
        self._lose(ip, back)
        self.world.stop(ip)
        self._later(back, lambda: self.world.start(ip))

    def _wipe(self, ip: str) -> None:
        back = self.rng.uniform(0.1, 3.0)
        self._lose(ip, back)
        self.world.stop(ip)
        self.world.nodes[ip].wipe()
        self._later(back, lambda: self.world.start(ip))
        if self.rng.random() < 0.3:  # the newcomer is killed in the middle
            self._kill_again(ip, back)

    def _kill_again(self, ip: str, back: float) -> None:
        again = back + self.rng.uniform(0.05, 1.5)
        self._lose(ip, again + 0.3)
        self._later(again, lambda: self._blink(ip))

    def _blink(self, ip: str) -> None:
        if ip in self.world.nodes:
            self.world.stop(ip)
            self._later(0.3, lambda: self.world.start(ip))

    def _replace(self, ip: str, after: float | None = None) -> None:
        """Another machine at another address takes its place, with an empty disk."""
        world = self.world
        back = self.rng.uniform(0.2, 3.0) if after is None else after
        world.stop(ip)
        gone = world.nodes.pop(ip)
        fresh = world.add_node(gone.zone)
        world.seeds = [fresh.ip if seed == ip else seed for seed in world.seeds]
        self.lost_until.pop(ip, None)
        self._lose(fresh.ip, back)
        self._later(back, lambda: world.start(fresh.ip))
        world.later(back, world.looker(fresh.ip))
        if self.rng.random() < 0.3:
            self._kill_again(fresh.ip, back)

    def _leave(self, ip: str) -> None:
        """It is told to end: it hands its vote on, and may be killed in the middle; then it or another comes."""
        world, node = self.world, self.world.nodes[ip]
        node.leaving = True
        lives, until = node.lives, world.now + GRACE
        killed = world.now + self.rng.uniform(0.05, 2.0) if self.rng.random() < 0.4 else until
        self.lost_until[ip] = float("inf")

        def look() -> None:
            if world.nodes.get(ip) is not node or not node.up or node.lives != lives:
                return
            if world.now < min(until, killed) and not node.handed_on():
                self._later(0.1, look)
                return
            self.lost_until.pop(ip)
            if self.rng.random() < 0.5:
                self._replace(ip)
            else:
                world.stop(ip)
                self._lose(ip, 0.5)
                self._later(0.5, lambda: world.start(ip))

        self._later(0.1, look)

    def _freeze(self, ip: str) -> None:
        span = self.rng.uniform(0.2, 8.0)
        self._lose(ip, span)
        self.world.freeze(ip)
        self._later(span, lambda: self.world.wake(ip))

    def _cut(self, ip: str) -> None:
        others = [other for other in (*self.world.nodes, *self.world.proxies) if other != ip]
        self._cut_from(ip, others)

    def _partial(self, ip: str) -> None:
        others = [other for other in (*self.world.nodes, *self.world.proxies) if other != ip]
        self._cut_from(ip, self.rng.sample(others, self.rng.randint(1, len(others))))

    def _cut_from(self, ip: str, others: list[str]) -> None:
        world = self.world
        way = self.rng.choice(("both", "in", "out"))
        cuts = {(ip, other) for other in others if way != "in"} | {(other, ip) for other in others if way != "out"}
        span = self.rng.uniform(0.3, 7.0)
        self._lose(ip, span)
        world.cuts |= cuts
        if self.rng.random() < 0.5:
            world.hang_up_all(ip)
        self._later(span, lambda: world.heal(cuts))

    def _disk(self, ip: str) -> None:
        span = self.rng.uniform(0.3, 4.0)
        self._lose(ip, span)
        node = self.world.nodes[ip]
        node.disk_fails = True
        self._later(span, lambda: self._disk_is_well(ip))

    def _disk_is_well(self, ip: str) -> None:
        node = self.world.nodes.get(ip)
        if node is not None:
            node.disk_fails = False
            if node.up and not node.frozen:
                node.sync()

    def _power(self, ips: list[str]) -> None:
        """Power goes from several at once, with what was not synced."""
        for ip in ips:
            back = self.rng.uniform(0.1, 2.0)
            self._lose(ip, back)
            self.world.stop(ip)
            self._later(back, lambda ip=ip: self.world.start(ip))  # type: ignore[misc]

    def _zone(self, zone: str) -> bool:
        """A zone is lost, with its disks."""
        if not self.setting.zones or self._lost():
            return False
        for ip in [ip for ip, node in self.world.nodes.items() if node.zone == zone]:
            if self.rng.random() < 0.5:
                self._wipe(ip)
            else:
                self._kill(ip)
        return True

    def _mend(self) -> None:
        world = self.world
        world.heal(set(world.cuts))
        world.slow.clear()
        for ip, node in list(world.nodes.items()):
            self._disk_is_well(ip)
            if node.up and node.frozen:
                world.wake(ip)
            elif not node.up:
                world.start(ip)

    # ---- the end ---------------------------------------------------------------------------

    def _well(self) -> bool:
        """Whether as many voters as wanted run, a majority of them holds all claims, and all know the same."""
        nodes = list(self.world.nodes.values())
        if not all(node.up and not node.frozen for node in nodes):
            return False
        membership = nodes[0].replica.membership
        if membership is None or {node.replica.index for node in nodes} != {self.world.chain.last}:
            return False
        wanted = min(self.setting.tolerance.voters, len(nodes))
        complete = [node for node in nodes if node.replica.complete]
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
