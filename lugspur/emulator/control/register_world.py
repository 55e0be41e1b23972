"""Small models of the register: change requests for one item at several nodes, reads, and all orders of events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lugspur.emulator.control.checks import ChangeRequestChecker, Submission, Violation
from lugspur.emulator.control.explorer import Event
from lugspur.emulator.control.small_world import ENDED, LONG_WAIT_S, SmallWorld
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import Change, Entry, FetchDecided
from lugspur.mesh.control.read_index import Read

VOTERS = ["a", "b", "c"]
FOREVER = float("inf")
MAX_RECOVERY_ROUNDS = 12


def note(edition: int, value: bytes) -> list[Entry]:
    """Return the entry of an item that isn't validated against other items."""
    return [Entry("notes", "r", edition, value)]


def route(name: str, edition: int, prefix: str) -> list[Entry]:
    """Return the entry of a route to the only service."""
    return read_changes(
        b'{"upsert":{"routes":[{"name":"%s","office":"h","path_prefix":"%s","mail_class":"safe","deadline_ms":9,'
        b'"service":"s","edition":"%08x"}]}}' % (name.encode(), prefix.encode(), edition)
    )


SERVICE = read_changes(b'{"upsert":{"services":[{"name":"s","edition":"00000001"}]}}')
ITEM_X, ITEM_Y = note(7, b"x"), note(7, b"y")
NEWER_ITEM = note(8, b"z")
WITHDRAWN_ROUTE = [Entry("routes", "one", 8, None)]
ROUTE_ONE, ROUTE_OTHER = route("one", 7, "/p/"), route("other", 7, "/p/")


@dataclass(slots=True, frozen=True)
class Limits:
    """Which events may happen in a model, and how often.

    `requests` are the change requests: a key of CONTENTS, and the node to which it is sent.
    """

    name: str
    requests: tuple[tuple[str, str], ...]
    retries: int = 1
    expiries: int = 0
    reads: int = 0
    power_losses: int = 0
    disconnections: int = 0
    wipes: int = 0  # losses of a disk
    delayed_writes: bool = False
    initial_item: str = ""  # key of CONTENTS for the item that is in force at the start
    initial_events: tuple[Event, ...] = ()  # events that are applied before the exploration starts


CONTENTS = {
    "x": ITEM_X,
    "y": ITEM_Y,
    "third": note(7, b"third"),
    "newer": NEWER_ITEM,
    "one": ROUTE_ONE,
    "other": ROUTE_OTHER,
    "gone": WITHDRAWN_ROUTE,
}

EVENTS_TO_ACCEPT_PHASE: tuple[Event, ...] = (
    ("order", "0"),
    ("sync", "a"),
    ("deliver", "a", "b", "a"),
    ("sync", "b"),
    ("deliver", "b", "a", "a"),
)
"""Node a receives the first request, has its own promise and that of b, and sends its accept messages."""

WORLDS = [
    Limits("two contents under one edition", (("x", "a"), ("y", "b"))),
    Limits("two contents, one sent again elsewhere", (("x", "a"), ("y", "b"), ("x", "b"))),
    Limits("two contents at one node, one elsewhere", (("x", "a"), ("y", "a"), ("y", "b"))),
    Limits("two contents, a connection breaks", (("x", "a"), ("y", "b")), disconnections=1),
    Limits("two contents, power is lost", (("x", "a"), ("y", "b")), power_losses=1, delayed_writes=True),
    Limits("two contents, power is lost, sent again", (("x", "a"), ("y", "b"), ("x", "a")), power_losses=2),
    Limits(
        "two contents of one node that has lost its power",
        (("x", "a"), ("y", "a"), ("y", "b")),
        retries=2,
        power_losses=1,
    ),
    Limits(
        "two contents, an older life's comes late",
        (("x", "a"), ("y", "a"), ("y", "b")),
        power_losses=1,
        delayed_writes=True,
        initial_events=(
            *EVENTS_TO_ACCEPT_PHASE,
            ("power", "a"),  # the change of a is in flight to the others, and not on the disk of a
            ("order", "1"),
            ("sync", "a"),
            ("deliver", "a", "b", "a"),
            ("sync", "b"),
            ("deliver", "b", "a", "a"),
            ("sync", "a"),
            ("deliver", "a", "b", "a"),
            ("sync", "b"),
            ("deliver", "b", "a", "a"),  # the change of the next incarnation of a is decided, only a knows that
            ("deliver", "a", "b", ENDED),
            ("sync", "b"),
            ("order", "2"),
            ("sync", "b"),
        ),
    ),
    Limits(
        "two contents, a voter's power is lost behind its vote",
        (("x", "a"), ("y", "c")),
        power_losses=1,
        delayed_writes=True,
        initial_events=(
            *EVENTS_TO_ACCEPT_PHASE,
            ("sync", "a"),
            ("deliver", "a", "b", "a"),  # b has accepted, but not yet on disk
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
        initial_events=(
            ("order", "0"),
            ("deliver", "a", "c", "a"),
            ("deliver", "c", "a", "a"),
            ("deliver", "a", "c", "a"),
            ("deliver", "c", "a", "a"),  # confirmed by a and c, without any message to b
            ("wipe", "c"),
            ("order", "1"),
        ),
    ),
    Limits("an older edition after a newer one", (("x", "a"), ("newer", "b"), ("x", "c"))),
    Limits("two routes of one place", (("one", "a"), ("other", "b"), ("one", "c"))),
    Limits(
        "one that rests on another's",
        (("newer", "a"), ("gone", "b"), ("other", "a")),
        initial_item="one",
        initial_events=(
            ("order", "0"),
            ("deliver", "a", "b", "a"),  # the promise is in flight to a
            ("order", "1"),
            ("deliver", "b", "c", "b"),
            ("deliver", "c", "b", "b"),
            ("deliver", "b", "c", "b"),
            ("deliver", "c", "b", "b"),  # the second request is confirmed, and a has not learned that
        ),
    ),
    Limits("an order, a read, a connection that breaks", (("x", "a"),), reads=2, disconnections=1),
    Limits("two contents and a read", (("x", "a"), ("y", "b")), reads=1),
]

EXHAUSTIVE_WORLDS = [
    Limits("two contents at one node, to the end", (("x", "a"), ("y", "a")), retries=0),
    Limits("two contents, to the end", (("x", "a"), ("y", "b")), retries=0),
    Limits("the same order to two nodes, to the end", (("x", "a"), ("x", "b")), retries=0),
    Limits("two routes of one place, to the end", (("one", "a"), ("other", "b")), retries=0),
    Limits("an older edition beside a newer one, to the end", (("x", "a"), ("newer", "b")), retries=0),
    Limits("two contents, a connection breaks, to the end", (("x", "a"), ("y", "b")), retries=0, disconnections=1),
    Limits("two contents, power is lost, to the end", (("x", "a"), ("y", "b")), retries=0, power_losses=1),
]
"""Models without retries: 100,000 states cover all orders of their events."""


class RegisterWorld(SmallWorld):
    """Three voters, and change requests that are each sent to one of them once."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(VOTERS, [], limits.delayed_writes, limits.power_losses, limits.disconnections)
        self.limits = limits
        self.request_checker = ChangeRequestChecker(self.decided_states)
        self.unsent = list(range(len(limits.requests)))
        self.open_requests: dict[int, ChangeRequest] = {}
        self.outcomes: dict[int, str] = {}
        self.wipes = limits.wipes
        self.retries, self.expiries, self.reads = limits.retries, limits.expiries, limits.reads
        for node in self.nodes.values():
            initial_entries = SERVICE + (CONTENTS[limits.initial_item] if limits.initial_item else [])
            node.apply_effects(self.now, node.replica.decide(self.now, Change("service", initial_entries)))
            node.sync()
        for event in limits.initial_events:
            self.step(event)

    def events(self) -> Iterator[Event]:
        """Yield the common events and those of requests, reads, time and lost disks."""
        yield from super().events()
        for number in self.unsent:
            yield "order", str(number)
        for ip, node in self.nodes.items():
            is_waiting = node.proposer._requests or node.proposer._has_pending_change or node.reader._waiting
            if self.retries and is_waiting:
                yield "retry", ip
            if self.retries and node.replica.register.has_pending_change:
                yield "finish", ip
            if self.reads:
                yield "read", ip
        if self.wipes:
            for ip in self.nodes:
                yield "wipe", ip
        if self.expiries:
            for number in self.open_requests:
                yield "expire", str(number)

    def apply_own_event(self, kind: str, args: list[str]) -> None:
        """Apply an event: a request or read is sent, a request expires, time passes for a node, or a disk is lost."""
        if kind == "order":
            self._send_request(int(args[0]))
        elif kind == "retry":
            self.retries -= 1
            self._pass_time(args[0])
        elif kind == "finish":
            self.retries -= 1
            node = self.nodes[args[0]]
            node.apply_effects(self.now, node.proposer.resolve_pending(self.now))
        elif kind == "wipe":
            self.wipes -= 1
            self.lose_power(args[0])
            self.nodes[args[0]].wipe()
            self.nodes[args[0]].start(self.now)
        elif kind == "read":
            self.reads -= 1
            self._read(args[0])
        else:
            self.expiries -= 1
            self.open_requests[int(args[0])].deadline = 0.0
            node = self.nodes[self.limits.requests[int(args[0])][1]]
            node.apply_effects(self.now, node.proposer.tick(self.now))

    def _send_request(self, number: int) -> None:
        self.unsent.remove(number)
        content, ip = self.limits.requests[number]
        entries = CONTENTS[content]
        request = ChangeRequest(
            entries, FOREVER, OutcomeCallback(self, number, ip, self.request_checker.record_submission(entries))
        )
        self.open_requests[number] = request
        node = self.nodes[ip]
        node.apply_effects(self.now, node.proposer.submit(self.now, request))

    def _pass_time(self, ip: str) -> None:
        node = self.nodes[ip]
        self.now += LONG_WAIT_S
        node.apply_effects(self.now, node.proposer.tick(self.now))
        node.apply_effects(self.now, node.reader.tick(self.now))
        if node.proposer._proposal is None:  # the proposal has ended, and the proposer pauses before the next one
            self.now += LONG_WAIT_S
            node.apply_effects(self.now, node.proposer.tick(self.now))

    def _read(self, ip: str) -> None:
        node = self.nodes[ip]
        node.apply_effects(
            self.now,
            node.reader.submit(self.now, Read(FOREVER, ReadCallback(self, ip, self.request_checker.confirmed_index))),
        )

    def lose_power(self, ip: str) -> None:
        super().lose_power(ip)
        for number in [number for number in self.open_requests if self.limits.requests[number][1] == ip]:
            del self.open_requests[number]  # the caller receives no outcome

    def observe(self, node: object) -> None:
        super().observe(node)  # type: ignore[arg-type]
        for entries in CONTENTS.values():
            self.request_checker.check_rejected(entries)

    def check_recovery(self) -> None:
        """Check that every request ends and all nodes agree once they run, messages arrive and time passes."""
        for number in self.unsent[:]:
            self._send_request(number)
            self.run_internal_events()
        for _ in range(MAX_RECOVERY_ROUNDS):
            self.deliver_all()
            for ip, node in self.nodes.items():
                if node.replica.register.has_pending_change:
                    node.apply_effects(self.now, node.proposer.resolve_pending(self.now))
                most_advanced = max(self.nodes.values(), key=lambda other: other.replica.index)
                # A node sends this message when it learns of a later index.
                node.send(most_advanced.ip, FetchDecided(node.replica.index))
                self.run_internal_events()
                self.deliver_all()
                self._pass_time(ip)
                self.run_internal_events()
                self.deliver_all()
            if not self.open_requests and len({node.replica.index for node in self.nodes.values()}) == 1:
                break
        else:
            raise Violation(f"requests without an outcome: {sorted(self.open_requests)}")
        self.request_checker.check_history()

    def extra_key(self) -> object:
        reads_key = tuple(
            sorted(
                read.on_result.confirmed_index  # type: ignore[attr-defined]
                for node in self.nodes.values()
                for read in node.reader._waiting
            )
        )
        outcomes_key = tuple(sorted(self.outcomes.items()))
        budgets_key = (self.wipes, self.retries, self.expiries, self.reads)
        return (
            tuple(self.unsent),
            tuple(self.open_requests),
            outcomes_key,
            budgets_key,
            reads_key,
            self.request_checker.confirmed_index,
            len(self.decided_states.states),
        )


class OutcomeCallback:
    """Outcome callback of a change request."""

    def __init__(self, world: RegisterWorld, number: int, ip: str, submission: Submission) -> None:
        self.world, self.number, self.ip, self.submission = world, number, ip, submission

    def __call__(self, outcome: Outcome) -> None:
        world = self.world
        world.open_requests.pop(self.number, None)
        world.outcomes[self.number] = type(outcome).__name__
        world.request_checker.record_outcome(self.submission, outcome, world.nodes[self.ip].replica.register)


class ReadCallback:
    """Result callback of a read, which checks that the state includes what was confirmed before the read began."""

    def __init__(self, world: RegisterWorld, ip: str, confirmed_index: int) -> None:
        self.world, self.ip, self.confirmed_index = world, ip, confirmed_index

    def __call__(self, latest: bool) -> None:
        index = self.world.nodes[self.ip].replica.index
        if latest and index < self.confirmed_index:
            raise Violation(f"{self.ip} reads at index {index}, index {self.confirmed_index} was confirmed before")
        if latest:
            self.world.request_checker.confirmed_index = max(self.world.request_checker.confirmed_index, index)
