"""Common part of the small models: nodes, wires and disks, and their events."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any, cast

import msgspec

from lugspur.emulator.control.checks import DecidedStates, Violation
from lugspur.emulator.control.explorer import Event
from lugspur.emulator.control.node import Node, Wire
from lugspur.mesh.control.messages import Accepted, Learn, Message, Promise, Voter
from lugspur.mesh.control.proposer import Phase
from lugspur.mesh.control.replica import GENESIS

# Deduplication window in seconds. It is so long that no reservation expires in a small model.
DEDUPLICATION_WINDOW_S = 1e9
# Seconds by which time advances at once. This is longer than every timeout of the production code.
LONG_WAIT_S = 1000.0
# Stands in `Wire.dialled_by` for a connection whose process has ended.
ENDED = "ended"
# Maximum number of deliveries until no message is in flight any more.
MAX_DELIVERIES = 5000

_pack = msgspec.msgpack.Encoder().encode


class ConstantRandom:
    """A random generator that always returns the same value, so that states don't depend on random numbers."""

    def random(self) -> float:
        """Return the middle of the range."""
        return 0.5


CONSTANT_RANDOM = cast(Random, ConstantRandom())


class SmallWorld:
    """Nodes and the wires between them.

    `delayed_writes`: whether a write reaches the disk by an event of its own, else at once; `power_losses` and
    `disconnections`: how many of these events may happen.
    """

    def __init__(
        self, voters: list[str], others: list[str], delayed_writes: bool, power_losses: int, disconnections: int
    ) -> None:
        self.now = LONG_WAIT_S
        self.delayed_writes, self.power_losses, self.disconnections = delayed_writes, power_losses, disconnections
        self.wires: dict[Wire, list[Message]] = {}
        self.decided_states = DecidedStates()
        self.seeds = [Voter(ip, GENESIS, "") for ip in voters]
        self.nodes: dict[str, Node] = {}
        for ip in [*voters, *others]:
            node = self.nodes[ip] = Node(ip, "", DEDUPLICATION_WINDOW_S, CONSTANT_RANDOM, self.post, self.observe)
            node.start(self.now, self.seeds if ip in voters else ())
        self.decided_states.record(voters[0], self.nodes[voters[0]].replica.register)

    def post(self, wire: Wire, message: Message) -> None:
        """Send a message; a reply to a process that has ended is dropped."""
        if wire.dialled_by == ENDED:
            return
        self.wires.setdefault(wire, []).append(message)

    def observe(self, node: Node) -> None:
        """Check the state of a node whose index has advanced."""
        self.decided_states.record(node.ip, node.replica.register)

    # ---- events ------------------------------------------------------------------------------

    def events(self) -> Iterator[Event]:
        """Yield the possible events of wires, disks and power."""
        for wire in self.wires:
            yield "deliver", wire.source, wire.target, wire.dialled_by
        for ip, node in self.nodes.items():
            if not node.is_running:
                continue
            if node.unsynced and self.delayed_writes:
                yield "sync", ip
            if self.power_losses:
                yield "power", ip
        if self.disconnections:
            for pair in sorted(
                {
                    (w.dialled_by, w.target if w.dialled_by == w.source else w.source)
                    for w in self.wires
                    if w.dialled_by != ENDED
                }
            ):
                yield "break", *pair

    def step(self, event: Event) -> None:
        """Apply one event, and everything that follows from it within a process."""
        kind, *args = event
        if kind == "deliver":
            self._deliver(Wire(*args))
        elif kind == "sync":
            self.nodes[args[0]].sync()
        elif kind == "power":
            self.power_losses -= 1
            self.lose_power(args[0])
            self.nodes[args[0]].start(self.now)
        elif kind == "break":
            self.disconnections -= 1
            self._break(args[0], args[1])
        else:
            self.apply_own_event(kind, args)
        self.run_internal_events()

    def apply_own_event(self, kind: str, args: list[str]) -> None:
        """Apply an event that a subclass adds."""
        raise NotImplementedError(kind)

    def _deliver(self, wire: Wire) -> None:
        queue = self.wires[wire]
        message = queue.pop(0)
        if not queue:
            del self.wires[wire]
        self.handle_delivery(wire, message)

    def handle_delivery(self, wire: Wire, message: Message) -> None:
        """Handle a message that is delivered."""
        node = self.nodes.get(wire.target)
        if node is not None and node.is_running:
            node.receive(self.now, wire, message)

    def run_internal_events(self) -> None:
        """Deliver messages of a process to itself, and complete writes unless they are delayed, until none is left."""
        is_progressing = True
        while is_progressing:
            is_progressing = False
            for node in self.nodes.values():
                if node.is_running and node.unsynced and not self.delayed_writes:
                    node.sync()
                    is_progressing = True
            for wire in [wire for wire in self.wires if wire.source == wire.target]:
                self._deliver(wire)
                is_progressing = True
        self._drop_without_effect()

    def _drop_without_effect(self) -> None:
        """Drop messages that can no longer have an effect, so that states don't differ by them alone."""
        for wire, queue in list(self.wires.items()):
            node = self.nodes.get(wire.target)
            if node is None or not node.is_running:
                continue
            queue[:] = [message for message in queue if not has_no_effect(node, message)]
            if not queue:
                del self.wires[wire]

    def lose_power(self, ip: str) -> None:
        """Stop a node and end its connections; messages that it has sent may still arrive at any time."""
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
            if node is not None and node.is_running:
                node.pages.disconnected(Wire(source, ip, dialler))
                node.catch_up.disconnected(source)

    def deliver_all(self) -> None:
        """Deliver all messages in flight; raises Violation if there is no end to them."""
        for _ in range(MAX_DELIVERIES):
            for node in self.nodes.values():
                if node.is_running and node.unsynced:
                    node.sync()
            if not self.wires:
                return
            self._deliver(next(iter(self.wires)))
            self.run_internal_events()
        raise Violation(f"messages are still in flight after {MAX_DELIVERIES} deliveries")

    def check_recovery(self) -> None:
        """Run without further faults; raises Violation if the system does not recover."""

    # ---- states ------------------------------------------------------------------------------

    def key(self) -> object:
        """Return the state of nodes and wires, and how many faults are left."""
        wires = tuple(
            (wire, tuple((type(message).__name__, _pack(message)) for message in queue))
            for wire, queue in sorted(self.wires.items(), key=lambda pair: str(pair[0]))
        )
        nodes = tuple(node_key(node, self.now) for node in self.nodes.values())
        return nodes, wires, self.power_losses, self.disconnections, self.extra_key()

    def extra_key(self) -> object:
        """Return the part of the state that a subclass adds."""
        return None


def has_no_effect(node: Node, message: Message) -> bool:
    """Whether a message has no effect at this node, now or later.

    Proposal numbers of one proposer and indexes only rise, so that a reply to an earlier one stays outdated. A promise
    that arrives in the accept phase and a page of known changes have no effect either.
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
    """Return everything that a node's behaviour depends on; of all times only whether its proposer pauses."""
    if not node.is_running:
        return node.ip, tuple(sorted(node.disk.items())), node.incarnation_number
    replica, register = node.replica, node.replica.register
    return (
        node.ip,
        node.incarnation_number,
        tuple(sorted(node.disk.items())),
        tuple(
            (tuple(w.rows), tuple((str(p), type(m).__name__, _pack(m)) for p, m in w.after_sync)) for w in node.unsynced
        ),
        register.index,
        _pack(
            [register.promised, register.accepted, register.accepted_change, replica.complete_epoch, replica.membership]
        ),
        tuple(sorted((name, _pack(item)) for name, item in register.items.items())),
        tuple(
            (key, reservation.owner, reservation.response is not None)
            for key, reservation in replica.reservations.items()
        ),
        _proposer_key(node, now),
        _reader_key(node),
        tuple((str(source), _pack(pages)) for source, pages in node.pages._pages.items()),
        tuple((ip, _pack(pages)) for ip, pages in sorted(node.catch_up._pages.items())),
    )


def _proposer_key(node: Node, now: float) -> object:
    proposer, proposal = node.proposer, node.proposer._proposal
    requests = tuple(
        (entries_key(request.entries), request.was_proposed, request.change_id, request.proposals_at_submission)
        for request in proposer._requests
    )
    proposal_key: object = None
    if proposal is not None:
        promises = tuple((ip, _pack(promise)) for ip, promise in sorted(proposal.promises.items()))
        catch_ups_key = tuple(sorted(proposal.catch_ups.items()))
        proposal_key = (
            proposal.index,
            _pack([proposal.number, proposal.change]),
            proposal.phase.value,
            promises,
            tuple(sorted(proposal.accepted_by)),
            catch_ups_key,
        )
    pauses = proposer._not_before > now
    return (
        requests,
        proposal_key,
        proposer._highest_number,
        proposer._change_count,
        proposer._proposal_count,
        proposer._has_pending_change,
        pauses,
    )


def _reader_key(node: Node) -> object:
    reader = node.reader
    query = reader._query
    query_key = None if query is None else (query.number, query.index, tuple(sorted(query.replied)), len(query.reads))
    return reader._number, len(reader._waiting), query_key


def entries_key(entries: list[Any]) -> bytes:
    """Return entries as a hashable key."""
    return _pack(entries)
