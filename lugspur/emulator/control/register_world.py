"""Small worlds of the register: orders of one item to several nodes, reads, and every order of what happens to them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lugspur.emulator.control.checks import OrderBook, Sending, Violation
from lugspur.emulator.control.explorer import Event
from lugspur.emulator.control.small_world import ENDED, PAUSE, SmallWorld
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import Change, Entry, FetchDecided
from lugspur.mesh.control.read_index import Read

VOTERS = ["a", "b", "c"]
FOREVER = float("inf")
SETTLE_TRIES = 12


def note(edition: int, value: bytes) -> list[Entry]:
    """An item that is checked against nothing else."""
    return [Entry("notes", "r", edition, value)]


def route(name: str, edition: int, prefix: str) -> list[Entry]:
    """A route of the one service that there is."""
    return read_changes(
        b'{"upsert":{"routes":[{"name":"%s","office":"h","path_prefix":"%s","mail_class":"safe","deadline_ms":9,'
        b'"service":"s","edition":"%08x"}]}}' % (name.encode(), prefix.encode(), edition)
    )


SERVICE = read_changes(b'{"upsert":{"services":[{"name":"s","edition":"00000001"}]}}')
X, Y = note(7, b"x"), note(7, b"y")
NEWER = note(8, b"z")
ONE_GONE = [Entry("routes", "one", 8, None)]
ONE_PLACE, SAME_PLACE = route("one", 7, "/p/"), route("other", 7, "/p/")


@dataclass(slots=True, frozen=True)
class Limits:
    """What may happen in a world, and how often; `orders`: which entries go to which node."""

    name: str
    orders: tuple[tuple[str, str], ...]
    retries: int = 1
    expiries: int = 0
    reads: int = 0
    powers: int = 0
    breaks: int = 0
    wipes: int = 0  # disks that are lost
    disks: bool = False
    standing: str = ""  # what stands at first
    first: tuple[Event, ...] = ()  # what has happened when the world begins


CONTENTS = {
    "x": X,
    "y": Y,
    "third": note(7, b"third"),
    "newer": NEWER,
    "one": ONE_PLACE,
    "other": SAME_PLACE,
    "gone": ONE_GONE,
}

PROMISED_BY_B: tuple[Event, ...] = (
    ("order", "0"),
    ("sync", "a"),
    ("deliver", "a", "b", "a"),
    ("sync", "b"),
    ("deliver", "b", "a", "a"),
)
"""The first order goes to a, which has b's promise and its own: it asks for votes."""

WORLDS = [
    Limits("two contents under one edition", (("x", "a"), ("y", "b"))),
    Limits("two contents, one sent again elsewhere", (("x", "a"), ("y", "b"), ("x", "b"))),
    Limits("two contents at one node, one elsewhere", (("x", "a"), ("y", "a"), ("y", "b"))),
    Limits("two contents, a connection breaks", (("x", "a"), ("y", "b")), breaks=1),
    Limits("two contents, power is lost", (("x", "a"), ("y", "b")), powers=1, disks=True),
    Limits("two contents, power is lost, sent again", (("x", "a"), ("y", "b"), ("x", "a")), powers=2),
    Limits(
        "two contents of one node that has lost its power", (("x", "a"), ("y", "a"), ("y", "b")), retries=2, powers=1
    ),
    Limits(
        "two contents, an older life's comes late",
        (("x", "a"), ("y", "a"), ("y", "b")),
        powers=1,
        disks=True,
        first=(
            *PROMISED_BY_B,
            ("power", "a"),  # its change is on its way to the others, and not on its own disk
            ("order", "1"),
            ("sync", "a"),
            ("deliver", "a", "b", "a"),
            ("sync", "b"),
            ("deliver", "b", "a", "a"),
            ("sync", "a"),
            ("deliver", "a", "b", "a"),
            ("sync", "b"),
            ("deliver", "b", "a", "a"),  # its next life's change is decided, and nobody else knows
            ("deliver", "a", "b", ENDED),
            ("sync", "b"),
            ("order", "2"),
            ("sync", "b"),
        ),
    ),
    Limits(
        "two contents, a voter's power is lost behind its vote",
        (("x", "a"), ("y", "c")),
        powers=1,
        disks=True,
        first=(
            *PROMISED_BY_B,
            ("sync", "a"),
            ("deliver", "a", "b", "a"),  # b has accepted, and not written it down
            ("order", "1"),
        ),
    ),
    Limits("two contents, callers that leave", (("x", "a"), ("y", "b")), retries=2, expiries=1),
    Limits("three contents", (("x", "a"), ("y", "b"), ("third", "c")), retries=3),
    Limits("two contents, a disk is lost", (("x", "a"), ("y", "b")), wipes=1),
    Limits(
        "a disk is lost that has decided",
        (("x", "a"), ("y", "b")),
        wipes=1,
        first=(
            ("order", "0"),
            ("deliver", "a", "c", "a"),
            ("deliver", "c", "a", "a"),
            ("deliver", "a", "c", "a"),
            ("deliver", "c", "a", "a"),  # confirmed by a and c, and b has not heard of it
            ("wipe", "c"),
            ("order", "1"),
        ),
    ),
    Limits("an older edition after a newer one", (("x", "a"), ("newer", "b"), ("x", "c"))),
    Limits("two routes of one place", (("one", "a"), ("other", "b"), ("one", "c"))),
    Limits(
        "one that rests on another's",
        (("newer", "a"), ("gone", "b"), ("other", "a")),
        standing="one",
        first=(
            ("order", "0"),
            ("deliver", "a", "b", "a"),  # the promise is on its way back
            ("order", "1"),
            ("deliver", "b", "c", "b"),
            ("deliver", "c", "b", "b"),
            ("deliver", "b", "c", "b"),
            ("deliver", "c", "b", "b"),  # the second order is confirmed, and the first one's node has not heard of it
        ),
    ),
    Limits("an order, a read, a connection that breaks", (("x", "a"),), reads=2, breaks=1),
    Limits("two contents and a read", (("x", "a"), ("y", "b")), reads=1),
]

WHOLE_WORLDS = [
    Limits("two contents at one node, to the end", (("x", "a"), ("y", "a")), retries=0),
    Limits("two contents, to the end", (("x", "a"), ("y", "b")), retries=0),
    Limits("the same order to two nodes, to the end", (("x", "a"), ("x", "b")), retries=0),
    Limits("two routes of one place, to the end", (("one", "a"), ("other", "b")), retries=0),
    Limits("an older edition beside a newer one, to the end", (("x", "a"), ("newer", "b")), retries=0),
    Limits("two contents, a connection breaks, to the end", (("x", "a"), ("y", "b")), retries=0, breaks=1),
    Limits("two contents, power is lost, to the end", (("x", "a"), ("y", "b")), retries=0, powers=1),
]
"""Worlds without further tries, of which every order of events is seen within 100,000 states."""


class RegisterWorld(SmallWorld):
    """Three voters, and orders that each go to one of them once."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(VOTERS, [], limits.disks, limits.powers, limits.breaks)
        self.limits = limits
        self.book = OrderBook(self.chain)
        self.left = list(range(len(limits.orders)))
        self.open: dict[int, ChangeRequest] = {}
        self.ended: dict[int, str] = {}
        self.wipes = limits.wipes
        self.retries, self.expiries, self.reads = limits.retries, limits.expiries, limits.reads
        for node in self.nodes.values():
            standing = SERVICE + (CONTENTS[limits.standing] if limits.standing else [])
            node.do(self.now, node.replica.decide(self.now, Change("service", standing)))
            node.sync()
        for event in limits.first:
            self.step(event)

    def events(self) -> Iterator[Event]:
        """Orders, reads, and what time brings, beside all else."""
        yield from super().events()
        for number in self.left:
            yield "order", str(number)
        for ip, node in self.nodes.items():
            waits = node.proposer._requests or node.proposer._has_pending_change or node.reader._waiting
            if self.retries and waits:
                yield "retry", ip
            if self.retries and node.replica.register.has_pending_change:
                yield "finish", ip
            if self.reads:
                yield "read", ip
        if self.wipes:
            for ip in self.nodes:
                yield "wipe", ip
        if self.expiries:
            for number in self.open:
                yield "expire", str(number)

    def happen(self, what: str, who: list[str]) -> None:
        """An order comes, or time passes for one node."""
        if what == "order":
            self._order(int(who[0]))
        elif what == "retry":
            self.retries -= 1
            self._pass_time(who[0])
        elif what == "finish":
            self.retries -= 1
            node = self.nodes[who[0]]
            node.do(self.now, node.proposer.resolve_pending(self.now))
        elif what == "wipe":
            self.wipes -= 1
            self.lose_power(who[0])
            self.nodes[who[0]].wipe()
            self.nodes[who[0]].start(self.now)
        elif what == "read":
            self.reads -= 1
            self._read(who[0])
        else:
            self.expiries -= 1
            self.open[int(who[0])].deadline = 0.0
            node = self.nodes[self.limits.orders[int(who[0])][1]]
            node.do(self.now, node.proposer.tick(self.now))

    def _order(self, number: int) -> None:
        self.left.remove(number)
        content, ip = self.limits.orders[number]
        entries = CONTENTS[content]
        order = ChangeRequest(entries, FOREVER, Ending(self, number, ip, self.book.sent(entries)))
        self.open[number] = order
        node = self.nodes[ip]
        node.do(self.now, node.proposer.submit(self.now, order))

    def _pass_time(self, ip: str) -> None:
        node = self.nodes[ip]
        self.now += PAUSE
        node.do(self.now, node.proposer.tick(self.now))
        node.do(self.now, node.reader.tick(self.now))
        if node.proposer._proposal is None:  # what was under way has ended, and the next one is due after a pause
            self.now += PAUSE
            node.do(self.now, node.proposer.tick(self.now))

    def _read(self, ip: str) -> None:
        node = self.nodes[ip]
        node.do(self.now, node.reader.submit(self.now, Read(FOREVER, ReadEnding(self, ip, self.book.floor))))

    def lose_power(self, ip: str) -> None:
        super().lose_power(ip)
        for number in [number for number in self.open if self.limits.orders[number][1] == ip]:
            del self.open[number]  # its caller hears nothing

    def observe(self, node: object) -> None:
        super().observe(node)  # type: ignore[arg-type]
        for entries in CONTENTS.values():
            self.book.check_never(entries)

    def settle(self) -> None:
        """With all nodes up, messages that come and time that passes, every order ends and all agree."""
        for number in self.left[:]:
            self._order(number)
            self.within()
        for _ in range(SETTLE_TRIES):
            self.deliver_all()
            for ip, node in self.nodes.items():
                if node.replica.register.has_pending_change:
                    node.do(self.now, node.proposer.resolve_pending(self.now))
                best = max(self.nodes.values(), key=lambda other: other.replica.index)
                node.send(best.ip, FetchDecided(node.replica.index))  # as news of later changes makes it do
                self.within()
                self.deliver_all()
                self._pass_time(ip)
                self.within()
                self.deliver_all()
            if not self.open and len({node.replica.index for node in self.nodes.values()}) == 1:
                break
        else:
            raise Violation(f"orders without an end: {sorted(self.open)}")
        self.book.check_all()

    def own_key(self) -> object:
        reads = tuple(sorted(read.on_result.floor for node in self.nodes.values() for read in node.reader._waiting))  # type: ignore[attr-defined]
        told = tuple(sorted(self.ended.items()))
        budgets = (self.wipes, self.retries, self.expiries, self.reads)
        return tuple(self.left), tuple(self.open), told, budgets, reads, self.book.floor, len(self.chain.states)


class Ending:
    """What an order's sender is told."""

    def __init__(self, world: RegisterWorld, number: int, ip: str, sending: Sending) -> None:
        self.world, self.number, self.ip, self.sending = world, number, ip, sending

    def __call__(self, outcome: Outcome) -> None:
        world = self.world
        world.open.pop(self.number, None)
        world.ended[self.number] = type(outcome).__name__
        world.book.ended(self.sending, outcome, world.nodes[self.ip].replica.register)


class ReadEnding:
    """What a reader is told: nothing older than what was confirmed before it asked."""

    def __init__(self, world: RegisterWorld, ip: str, floor: int) -> None:
        self.world, self.ip, self.floor = world, ip, floor

    def __call__(self, latest: bool) -> None:
        index = self.world.nodes[self.ip].replica.index
        if latest and index < self.floor:
            raise Violation(f"{self.ip} reads change {index}, {self.floor} was confirmed before")
        if latest:
            self.world.book.floor = max(self.world.book.floor, index)
