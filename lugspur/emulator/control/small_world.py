"""What small worlds have in common: nodes, wires, disks, and the events that these bring about."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any, cast

import msgspec

from lugspur.emulator.control.checks import Chain, Violation
from lugspur.emulator.control.explorer import Event
from lugspur.emulator.control.node import Node, Wire
from lugspur.mesh.control.messages import Accepted, Learn, Message, Promise, Voter
from lugspur.mesh.control.proposer import Phase
from lugspur.mesh.control.replica import GENESIS

WINDOW = 1e9  # seconds: no claim ends in a small world
PAUSE = 1000.0  # seconds: longer than every patience of the code that runs
ENDED = "ended"  # who has dialled a connection whose process has ended
SETTLE_MOST = 5000  # deliveries within which a world has to settle

_pack = msgspec.msgpack.Encoder().encode


class NoChance:
    """A generator that draws the same always: what is drawn is no part of a state."""

    def random(self) -> float:
        """The middle."""
        return 0.5


NO_CHANCE = cast(Random, NoChance())


class SmallWorld:
    """Nodes and the wires between them. `disks`: whether a write takes its time; else it is there at once."""

    def __init__(self, voters: list[str], others: list[str], disks: bool, powers: int, breaks: int) -> None:
        self.now = PAUSE
        self.disks, self.powers, self.breaks = disks, powers, breaks
        self.wires: dict[Wire, list[Message]] = {}
        self.chain = Chain()
        self.seeds = [Voter(ip, GENESIS, "") for ip in voters]
        self.nodes: dict[str, Node] = {}
        for ip in [*voters, *others]:
            node = self.nodes[ip] = Node(ip, "", WINDOW, NO_CHANCE, self.post, self.observe)
            node.start(self.now, self.seeds if ip in voters else ())
        self.chain.observe(voters[0], self.nodes[voters[0]].replica.register)

    def post(self, wire: Wire, message: Message) -> None:
        """Put a message on its way; what answers a process that has ended goes nowhere."""
        if wire.dialled_by == ENDED:
            return
        self.wires.setdefault(wire, []).append(message)

    def observe(self, node: Node) -> None:
        """A node has learned of a change."""
        self.chain.observe(node.ip, node.replica.register)

    # ---- events ------------------------------------------------------------------------------

    def events(self) -> Iterator[Event]:
        """What may happen to wires, disks and power."""
        for wire in self.wires:
            yield "deliver", wire.source, wire.target, wire.dialled_by
        for ip, node in self.nodes.items():
            if not node.up:
                continue
            if node.unsynced and self.disks:
                yield "sync", ip
            if self.powers:
                yield "power", ip
        if self.breaks:
            for pair in sorted(
                {
                    (w.dialled_by, w.target if w.dialled_by == w.source else w.source)
                    for w in self.wires
                    if w.dialled_by != ENDED
                }
            ):
                yield "break", *pair

    def step(self, event: Event) -> None:
        """Let one thing happen, and what follows from it within one process."""
        what, *who = event
        if what == "deliver":
            self._deliver(Wire(*who))
        elif what == "sync":
            self.nodes[who[0]].sync()
        elif what == "power":
            self.powers -= 1
            self.lose_power(who[0])
            self.nodes[who[0]].start(self.now)
        elif what == "break":
            self.breaks -= 1
            self._break(who[0], who[1])
        else:
            self.happen(what, who)
        self.within()

    def happen(self, what: str, who: list[str]) -> None:
        """An event of the world's own."""
        raise NotImplementedError(what)

    def _deliver(self, wire: Wire) -> None:
        queue = self.wires[wire]
        message = queue.pop(0)
        if not queue:
            del self.wires[wire]
        self.arrived(wire, message)

    def arrived(self, wire: Wire, message: Message) -> None:
        """A message has come."""
        node = self.nodes.get(wire.target)
        if node is not None and node.up:
            node.heard(self.now, wire, message)

    def within(self) -> None:
        """What a process says to itself comes at once; so do writes where disks take no time."""
        going = True
        while going:
            going = False
            for node in self.nodes.values():
                if node.up and node.unsynced and not self.disks:
                    node.sync()
                    going = True
            for wire in [wire for wire in self.wires if wire.source == wire.target]:
                self._deliver(wire)
                going = True
        self._drop_idle()

    def _drop_idle(self) -> None:
        """Messages that change nothing whenever they come are gone at once: else states differ by them alone."""
        for wire, queue in list(self.wires.items()):
            node = self.nodes.get(wire.target)
            if node is None or not node.up:
                continue
            queue[:] = [message for message in queue if not is_idle(node, message)]
            if not queue:
                del self.wires[wire]

    def lose_power(self, ip: str) -> None:
        """A node stops, and its connections end: what it has sent may still come, at any time."""
        self.nodes[ip].stop()
        for wire in [wire for wire in self.wires if ip in (wire.source, wire.target)]:
            queue = self.wires.pop(wire)
            if wire.source == ip and wire.target != ip:
                self.wires.setdefault(Wire(ip, wire.target, ENDED), []).extend(queue)

    def _break(self, dialler: str, other: str) -> None:
        self.wires.pop(Wire(dialler, other, dialler), None)
        self.wires.pop(Wire(other, dialler, dialler), None)
        for ip, source in ((dialler, other), (other, dialler)):
            node = self.nodes.get(ip)
            if node is not None and node.up:
                node.pages.disconnected(Wire(source, ip, dialler))
                node.catch_up.disconnected(source)

    def deliver_all(self) -> None:
        """Let everything come that is on its way."""
        for _ in range(SETTLE_MOST):
            for node in self.nodes.values():
                if node.up and node.unsynced:
                    node.sync()
            if not self.wires:
                return
            self._deliver(next(iter(self.wires)))
            self.within()
        raise Violation("messages without an end")

    def settle(self) -> None:
        """Let all be well for a while."""

    # ---- states ------------------------------------------------------------------------------

    def key(self) -> object:
        """Nodes, wires and budgets."""
        wires = tuple(
            (wire, tuple((type(message).__name__, _pack(message)) for message in queue))
            for wire, queue in sorted(self.wires.items(), key=lambda pair: str(pair[0]))
        )
        nodes = tuple(node_key(node, self.now) for node in self.nodes.values())
        return nodes, wires, self.powers, self.breaks, self.own_key()

    def own_key(self) -> object:
        """What the world adds."""
        return None


def is_idle(node: Node, message: Message) -> bool:
    """Whether a message changes nothing at this node, now and for ever.

    Ballots of one proposer and indexes only rise: what belongs to an earlier one is late, and stays so. A promise
    that comes in the second round, and a page of what is known, change nothing either.
    """
    if isinstance(message, Learn):
        return message.page == 0 and message.is_last and message.index <= node.replica.index
    if not isinstance(message, Promise | Accepted):
        return False
    proposal = node.proposer._proposal
    if proposal is None or (message.index, message.proposal) != (proposal.index, proposal.number):
        return True
    return isinstance(message, Promise) and message.is_granted and proposal.phase is Phase.ACCEPT


def node_key(node: Node, now: float) -> object:
    """All that decides what a node will do; no times but whether it pauses."""
    if not node.up:
        return node.ip, tuple(sorted(node.disk.items())), node.lives
    replica, register = node.replica, node.replica.register
    return (
        node.ip,
        node.lives,
        tuple(sorted(node.disk.items())),
        tuple(
            (tuple(w.rows), tuple((str(p), type(m).__name__, _pack(m)) for p, m in w.after_sync)) for w in node.unsynced
        ),
        register.index,
        _pack(
            [register.promised, register.accepted, register.accepted_change, replica.complete_epoch, replica.membership]
        ),
        tuple(sorted((name, _pack(item)) for name, item in register.items.items())),
        tuple((key, held.owner, held.response is not None) for key, held in replica.reservations.items()),
        _proposer_key(node, now),
        _reader_key(node),
        tuple((str(source), _pack(pages)) for source, pages in node.pages._pages.items()),
        tuple((ip, _pack(pages)) for ip, pages in sorted(node.catch_up._pages.items())),
    )


def _proposer_key(node: Node, now: float) -> object:
    proposer, proposal = node.proposer, node.proposer._proposal
    orders = tuple(
        (id_of(order.entries), order.was_proposed, order.change_id, order.proposals_at_submission)
        for order in proposer._requests
    )
    under_way: object = None
    if proposal is not None:
        promises = tuple((ip, _pack(promise)) for ip, promise in sorted(proposal.promises.items()))
        told = tuple(sorted(proposal.catch_ups.items()))
        under_way = (
            proposal.index,
            _pack([proposal.number, proposal.change]),
            proposal.phase.value,
            promises,
            tuple(sorted(proposal.accepted_by)),
            told,
        )
    pauses = proposer._not_before > now
    return (
        orders,
        under_way,
        proposer._highest_number,
        proposer._change_count,
        proposer._proposal_count,
        proposer._has_pending_change,
        pauses,
    )


def _reader_key(node: Node) -> object:
    reader = node.reader
    current = reader._query
    asked = (
        None if current is None else (current.number, current.index, tuple(sorted(current.replied)), len(current.reads))
    )
    return reader._number, len(reader._waiting), asked


def id_of(entries: list[Any]) -> bytes:
    """Entries as a key."""
    return _pack(entries)
