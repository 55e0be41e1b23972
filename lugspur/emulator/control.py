"""Replicas and claimants in one process: orders of messages, writes, losses and returns, drawn by a seed.

The code that runs is that of lugspur/mesh; only sockets, disks and clocks are played. Histories are checked as they
happen: a key runs once, and what was acknowledged is what a majority says.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lugspur.control.claims import Claims, Settled, Won
from lugspur.control.membership import Presence, Steward, target
from lugspur.control.messages import (
    Answer,
    Ask,
    Delta,
    Done,
    Entry,
    Membership,
    Message,
    Release,
    Said,
    Verdict,
    Voter,
)
from lugspur.control.replica import GENESIS, Effects, Replica
from lugspur.control.rounds import Rounds
from lugspur.control.store import Store
from lugspur.control.voter import Sitting

STEP = 0.05  # seconds that pass between two turns
WINDOW = 60.0  # seconds for which a key runs once: longer than any play
SYNC_MOST = 0.5  # seconds that a write waits for the disk at most
SILENT = 1.0  # seconds without a word after which a voter counts as out of reach
PATIENCE = 2.0
MEMORY = 64 << 20
KEY_TRIES = 12  # claims until one more key is tried
OLD_PART = 0.3  # of the claims, for keys that have run
BREAKS = 0.5  # of the cuts in which connections break: what was on its way is lost
LOST_AGAIN = 1.0  # seconds after all is well again until something else may be lost


class Wrong(AssertionError):
    """A promise that was not kept."""


@dataclass(slots=True)
class Figures:
    """What happened in a play."""

    won: int = 0
    runs: int = 0
    acknowledged: int = 0
    lost: int = 0
    wiped: int = 0
    epochs: int = 0
    messages: int = 0


def keep(disk: dict[bytes, bytes], rows: Iterable[tuple[bytes, bytes | None]]) -> None:
    """Rows of a write that is on disk; no value: the row is gone."""
    for key, value in rows:
        if value is None:
            disk.pop(key, None)
        else:
            disk[key] = value


class Process:
    """One replica: what it remembers goes with it, what is on its disk stays."""

    def __init__(self, world: World, ip: str, zone: str) -> None:
        self.world, self.ip, self.zone = world, ip, zone
        self.disk: dict[bytes, bytes] = {}
        self.up = False
        self.lives = 0
        # When it was written, the rows, and who is told when they are on disk.
        self.queue: deque[tuple[float, list[tuple[bytes, bytes | None]], list[tuple[Any, Message]]]] = deque()

    def start(self, first: bool) -> None:
        world = self.world
        self.up = True
        self.lives += 1
        self.store = Store()
        uid = GENESIS if first and self.ip in world.seeds else f"{self.ip}-{self.lives}"
        self.replica = Replica(self.ip, uid, self.zone, WINDOW, MEMORY, self.store)
        if self.disk:
            self.replica.restore(list(self.disk.items()), world.now)
        elif first and self.ip in world.seeds:
            self.do(self.replica.begin([Voter(ip, GENESIS, "") for ip in world.seeds]))
            self.sync()
        else:
            self.disk[b"muid"] = uid.encode()
        self.sitting = Sitting(self.replica, Steward(self.ip, world.rng), world.voters, PATIENCE)
        self.heard_at: dict[str, float] = {}

    def stop(self, wiped: bool) -> None:
        """Power is lost: what was not synced is gone; `wiped`: all of it is."""
        self.up = False
        self.queue.clear()
        if wiped:
            self.disk.clear()
        for pair in self.world.wires:
            if self.ip in pair:
                self.world.wires[pair].clear()

    def do(self, effects: Effects) -> None:
        for peer, message in effects.send:
            self.world.post(self.ip, peer, message)
        if effects.write or effects.then:
            self.queue.append((self.world.now, effects.write, effects.then))

    def sync(self) -> None:
        """The writes that wait are on disk; who waits for them is told."""
        while self.queue:
            _, rows, then = self.queue.popleft()
            keep(self.disk, rows)
            for peer, message in then:
                self.world.post(self.ip, peer, message)

    def heard(self, ip: str, message: Message) -> None:
        replica, now = self.replica, self.world.now
        if isinstance(message, Delta):
            if message.full:
                self.heard_at[ip] = now
            self.do(replica.heard(self.store.merge(message.entries)))
            return
        if isinstance(message, Ask):
            # What it has goes ahead of the answer.
            self.world.post(self.ip, ip, Delta("", 0, 0.0, replica.full, list(self.store.all())))
        self.do(replica.judge(now, ip, message))
        self.do(self.sitting.heard(now, ip, message))

    def look(self) -> None:
        world = self.world
        there = {ip for ip, at in self.heard_at.items() if world.now - at < SILENT}
        absent = {ip: world.now - world.silent.get(ip, world.now) for ip in world.replicas if not world.replicas[ip].up}
        replicas = {p.ip: Presence(p.replica.voter.uid, p.zone) for p in world.replicas.values() if p.up}
        self.do(self.sitting.look(world.now, replicas, there, absent))


@dataclass(slots=True)
class Proxy:
    """One that claims keys and writes items."""

    claims: Claims
    rounds: Rounds
    store: Store = field(default_factory=Store)
    membership: Membership | None = None


class World:
    """So many replicas, of which `seeds` begin with a voter, and so many proxies."""

    def __init__(self, seed: int, replicas: int = 4, machines: int = 1, proxies: int = 3, keys: int = 3) -> None:
        self.rng = Random(seed)
        self.now = 100.0
        self.voters = target(machines, 0)
        self.machines, self.keys = machines, keys
        ips = [f"10.0.0.{n + 1}" for n in range(replicas)]
        self.seeds = ips[:3]
        self.wires: dict[tuple[str, str], deque[Message]] = {}
        self.cut: set[tuple[str, str]] = set()
        self.silent: dict[str, float] = {}
        self.replicas = {ip: Process(self, ip, f"z{n % 3}") for n, ip in enumerate(ips)}
        self.figures = Figures()
        self.ran: dict[bytes, bytes] = {}
        self.acknowledged: dict[str, int] = {}
        self.edition = 0
        self.attempt = 0
        self.well_since = self.now
        self.proxies: dict[str, Proxy] = {}
        for process in self.replicas.values():
            process.start(True)
        for n in range(proxies):
            name = f"p{n}"
            self.proxies[name] = Proxy(Claims(lambda ip, m, name=name: self.post(name, ip, m)), Rounds())  # type: ignore[misc]

    def post(self, source: str, to: str, message: Message) -> None:
        """Messages between two go in order; none overtakes another."""
        self.figures.messages += 1
        self.wires.setdefault((source, to), deque()).append(message)

    # ---- one turn ------------------------------------------------------------------------

    def turn(self) -> None:
        """One thing happens."""
        rng = self.rng
        self.now += STEP * rng.random()
        draw = rng.random()
        if draw < 0.74:
            ready = [pair for pair, wire in self.wires.items() if wire and pair not in self.cut]
            if ready:
                pair = rng.choice(ready)
                self.deliver(pair, self.wires[pair].popleft())
        elif draw < 0.82:
            self._up().sync()
        elif draw < 0.87:
            process = self._up()
            process.look()
            if rng.random() < 0.4:
                self.gossip(process)
        elif draw < 0.93:
            self._claim()
        elif draw < 0.96:
            self._write()
        elif draw < 0.975:
            for proxy in self.proxies.values():
                proxy.claims.look(self.now)
                proxy.rounds.look(self.now)
        elif draw < 0.982:
            self._cut()
        else:
            self._lose()
        for process in self.replicas.values():
            if process.queue and process.queue[0][0] < self.now - SYNC_MOST:
                process.sync()
            if not process.up and self.now - self.silent[process.ip] > 3.0 * rng.random() + 0.2:
                process.start(False)
        if self.well():
            self.well_since = min(self.well_since, self.now)
        else:
            self.well_since = float("inf")

    def _up(self) -> Process:
        return self.rng.choice([p for p in self.replicas.values() if p.up] or [self._any()])

    def _any(self) -> Process:
        process = self.rng.choice(list(self.replicas.values()))
        if not process.up:
            process.start(False)
        return process

    def deliver(self, pair: tuple[str, str], message: Message) -> None:
        """A message has come."""
        source, to = pair
        process, proxy = self.replicas.get(to), self.proxies.get(to)
        if process is not None:
            if process.up:
                process.heard(source, message)
        elif proxy is not None:
            if isinstance(message, Verdict):
                proxy.claims.verdict(self.now, source, message)
            elif isinstance(message, Said):
                proxy.rounds.said(source, message)
            elif isinstance(message, Delta):
                self._learn(proxy, message)

    def _learn(self, proxy: Proxy, message: Delta) -> None:
        proxy.store.merge(message.entries)

    def gossip(self, process: Process) -> None:
        """Its news reaches all that it can reach."""
        for ip in self.replicas:
            if ip != process.ip:
                self.post(process.ip, ip, Delta("", 0, 0.0, process.replica.full, list(process.store.all())))
        membership = process.replica.membership
        for proxy in self.proxies.values():
            if membership is not None and (proxy.membership is None or membership.epoch > proxy.membership.epoch):
                proxy.membership = membership
                self.figures.epochs = max(self.figures.epochs, membership.epoch)
                proxy.claims.again(self.now, membership)

    def _claim(self) -> None:
        name = self.rng.choice(list(self.proxies))
        proxy = self.proxies[name]
        if proxy.membership is None or len(proxy.claims) > 6:
            return
        self.attempt += 1
        key, by = b"k%d" % (self.attempt // KEY_TRIES + self.rng.randrange(self.keys)), b"a%d" % self.attempt
        if self.ran and self.rng.random() < OLD_PART:  # a repeat long after, by voters that may all be others by now
            key = self.rng.choice(list(self.ran))

        def over(how: Settled) -> None:
            if not isinstance(how, Won):
                return
            self.figures.won += 1
            draw = self.rng.random()
            if draw < 0.3:  # it turns out that nothing ran
                self._tell(proxy, name, Release(key, by))
                return
            if key in self.ran:
                raise Wrong(f"{key!r} ran for {self.ran[key]!r} and for {by!r}")
            self.ran[key] = by
            self.figures.runs += 1
            if draw < 0.7:  # else its claimant dies, or its answer is lost
                self._tell(proxy, name, Done(key, by, Answer(200, b"", by)))

        proxy.claims.begin(self.now, proxy.membership, key, by, 1.0, 2.0, over)

    def _tell(self, proxy: Proxy, name: str, message: Message) -> None:
        if proxy.membership is not None:
            for voter in proxy.membership.voters:
                self.post(name, voter.ip, message)

    def _write(self) -> None:
        name = self.rng.choice(list(self.proxies))
        proxy = self.proxies[name]
        if proxy.membership is None:
            return
        item = f"r{self.rng.randrange(3)}"
        if self.rng.random() < 0.5:
            self.edition += 1
            entry = Entry("routes", item, self.edition, b"%d" % self.edition)

            def written(how: str) -> None:
                if how == "ok":
                    self.figures.acknowledged += 1
                    self.acknowledged[item] = max(self.acknowledged.get(item, 0), entry.edition)

            ips, message = proxy.rounds.begin(proxy.membership, [entry], self.now + 2.0, written)
        else:
            due = dict(self.acknowledged)

            def read(how: str) -> None:
                for wanted, edition in due.items() if how == "ok" else ():
                    found = proxy.store.get("routes", wanted)
                    if found is None or found.edition < edition:
                        raise Wrong(f"{wanted} {edition} was acknowledged, and a majority has {found}")

            ips, message = proxy.rounds.begin(proxy.membership, None, self.now + 2.0, read)
        for ip in ips:
            self.post(name, ip, message)

    # ---- losses --------------------------------------------------------------------------

    def well(self) -> bool:
        """Whether every replica runs and every voter has all that it must have."""
        up = [p for p in self.replicas.values() if p.up]
        newest = max((p.replica.epoch for p in up), default=0)
        voters = [p for p in up if p.replica.epoch == newest and p.replica.is_voter]
        # Too few voters bear too little: they grow within seconds of the first start.
        return len(up) == len(self.replicas) and len(voters) == self.voters and all(p.replica.full for p in voters)

    def _cut(self) -> None:
        if self.cut:
            self.cut.clear()
            return
        one = self.rng.choice(list(self.replicas))
        others = [ip for ip in (*self.replicas, *self.proxies) if ip != one]
        way = self.rng.randrange(3)
        breaks = self.rng.random() < BREAKS
        for other in others:
            if breaks:
                self._break(one, other)
            if way != 1:
                self.cut.add((one, other))
            if way != 2:
                self.cut.add((other, one))

    def _break(self, one: str, other: str) -> None:
        """A connection is reset: what was on its way is lost, and both hear of it."""
        for source, to in ((one, other), (other, one)):
            self.wires.pop((source, to), None)
            process = self.replicas.get(to)
            if process is not None and process.up:
                process.sitting.lost(source)

    def _lose(self) -> None:
        """Power of some or all; as many as may be lost come back with empty disks."""
        if self.now - self.well_since < LOST_AGAIN or not self.well() or self.cut:
            return
        everybody = self.rng.random() < 0.3
        count = len(self.replicas) if everybody else self.rng.randint(1, self.machines)
        victims = self.rng.sample(list(self.replicas.values()), count)
        wiped = self.rng.randint(0, self.machines)
        for n, process in enumerate(victims):
            process.stop(n < wiped)
            self.silent[process.ip] = self.now
            self.figures.lost += 1
            self.figures.wiped += n < wiped

    def settle(self, turns: int = 4000) -> bool:
        """Nothing more is lost; returns whether all is well in the end."""
        self.cut.clear()
        for _ in range(turns):
            self.now += STEP * self.rng.random()
            ready = [pair for pair, wire in self.wires.items() if wire]
            for pair in ready:
                self.deliver(pair, self.wires[pair].popleft())
            for process in self.replicas.values():
                if not process.up:
                    process.start(False)
                process.sync()
            if self.rng.random() < 0.2:
                for process in self.replicas.values():
                    process.look()
                    self.gossip(process)
            if self.well():
                return True
        return False


def play(seed: int, turns: int = 3000, replicas: int = 4, machines: int = 1) -> Figures:
    """One play; raises Wrong where a promise is not kept, or where all is not well in the end."""
    world = World(seed, replicas, machines)
    for _ in range(turns):
        world.turn()
    if not world.settle():
        raise Wrong("not well in the end")
    return world.figures


def report(first: int, seeds: int) -> Iterator[str]:
    """A row for each size of the core: what so many plays brought about, and how many broke a promise."""
    yield "| replicas | may be lost | plays | claims won | runs | changes | power | disks | messages | wrong |"
    yield "|---|---|---|---|---|---|---|---|---|---|"
    for replicas, machines in ((3, 1), (4, 1), (5, 1), (7, 2)):
        total, wrong = Figures(), 0
        for seed in range(first, first + seeds):
            try:
                found = play(seed, 3000, replicas, machines)
            except Wrong:
                wrong += 1
                continue
            for name in ("won", "runs", "acknowledged", "lost", "wiped", "messages"):
                setattr(total, name, getattr(total, name) + getattr(found, name))
        yield (
            f"| {replicas} | {machines} | {seeds} | {total.won} | {total.runs} | {total.acknowledged} | {total.lost} | "
            f"{total.wiped} | {total.messages} | {wrong} |"
        )
