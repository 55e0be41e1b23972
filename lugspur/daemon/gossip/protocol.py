"""One member's gossip protocol without I/O: its inputs are datagrams and the time, its outputs datagrams and events.

SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey, 2018) and two additions,
`anti_entropy` and `rejoin`:

- `failure_detector`: in each protocol period, one member is pinged in turn; one that does not respond is pinged through
  other members, then suspected, then declared dead.
- `dissemination`: updates about members are piggybacked on these datagrams.
- `local_member`: only the member itself raises its incarnation, by which it refutes a suspicion.
- `suspicion`, `local_health`: Lifeguard. A process that is slow itself waits longer before it suspects a member, and
  after a pause it drops its probe; a suspicion lasts longer the fewer members share it.
- `anti_entropy`: a view that differs although no updates are on their way is read page by page.
- `rejoin`: dead members are still contacted, so that the halves of a network partition merge again.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from lugspur.daemon.gossip.anti_entropy import AntiEntropy
from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.datagrams import DatagramCodec, DatagramRejectedError
from lugspur.daemon.gossip.dissemination import Dissemination
from lugspur.daemon.gossip.events import Address, Event, MessageReceived
from lugspur.daemon.gossip.failure_detector import FailureDetector
from lugspur.daemon.gossip.local_health import LocalHealth
from lugspur.daemon.gossip.local_member import LocalMember
from lugspur.daemon.gossip.membership import Membership
from lugspur.daemon.gossip.membership_table import MemberEntry, MembershipTable
from lugspur.daemon.gossip.messages import (
    INCARNATION_LIMIT,
    INSTANCE_ID_LIMIT,
    Ack,
    FetchPage,
    MemberMetadata,
    MemberRecord,
    Nack,
    Packet,
    Page,
    Ping,
    PingRequest,
    Status,
    Updates,
    UserMessage,
    updates_in,
)
from lugspur.daemon.gossip.outbox import Outbox
from lugspur.daemon.gossip.probe_order import ProbeOrder
from lugspur.daemon.gossip.rate_limits import DatagramRateLimiter
from lugspur.daemon.gossip.rejoin import Rejoiner
from lugspur.daemon.gossip.sequence_numbers import SequenceNumbers
from lugspur.daemon.gossip.update_queue import UpdateQueue

# How late a timer may run, in protocol periods, before this process counts as having been paused.
MAX_LATENESS_PERIODS = 0.15


class GossipProtocol:
    """This process as a member of its fleet.

    All methods that take `now` expect seconds of a monotonic clock that keeps counting while the machine is suspended.
    After each call, its results are available from `take_events` and `take_datagrams`, and `due` may have changed.

    Args:
        codec: The fleet's datagram format.
        name: This member's name, unique in the fleet.
        address: The address at which this member receives datagrams.
        metadata: What this member announces about itself.
        seeds: Addresses of members to join the fleet through.
        now: The current time.
        wall_clock: Returns seconds since 1970.
        rng: The source of all random numbers.
        period_seconds: SWIM's protocol period.
    """

    def __init__(
        self,
        *,
        codec: DatagramCodec,
        name: str,
        address: Address,
        metadata: MemberMetadata,
        seeds: list[Address],
        now: float,
        wall_clock: Callable[[], float],
        rng: random.Random,
        period_seconds: float = 1.0,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.is_alone = True  # whether no member has ever sent this process an ack
        self.has_left = False
        self.last_received_at = float("-inf")  # when the latest datagram of a member was accepted
        self._period = period_seconds
        self._events: list[Event] = []
        self._last_input_at = now
        self._rate_limiter = DatagramRateLimiter(now)
        record = _initial_record(name, address, metadata, wall_clock, rng)
        context = ProtocolContext(
            period_seconds=period_seconds,
            started_at=now,
            wall_clock=wall_clock,
            rng=rng,
            table=MembershipTable(record, period_seconds, now),
            updates=UpdateQueue(),
            outbox=Outbox(codec, record, self._rate_limiter, self.counters, now),
            local_health=LocalHealth(),
            sequence_numbers=SequenceNumbers(rng),
            counters=self.counters,
            emit=self._events.append,
        )
        self._table, self._outbox, self._local_health = context.table, context.outbox, context.local_health
        probe_order = ProbeOrder(context.table, rng)
        self._local_member = LocalMember(context)
        self._membership = Membership(context, probe_order, self._local_member)
        self._dissemination = Dissemination(context)
        self._failure_detector = FailureDetector(context, self._membership, self._dissemination, probe_order)
        self._anti_entropy = AntiEntropy(context, self._membership)
        self._rejoiner = Rejoiner(context, self._dissemination, seeds)

    # ---- the view --------------------------------------------------------------------------------

    @property
    def local_record(self) -> MemberRecord:
        """The record that this process announces of itself."""
        return self._table.local_record

    @property
    def members(self) -> dict[str, MemberEntry]:
        """All other known members by name, including those that are dead or have left."""
        return self._table.members

    @property
    def present_count(self) -> int:
        """The number of present members, including this process."""
        return self._table.present_count

    @property
    def digest(self) -> int:
        """The digest of this member's view; members with equal views have equal digests."""
        return self._table.digest

    @property
    def local_health_score(self) -> int:
        """The score of Lifeguard's local health: 0 is healthy."""
        return self._local_health.score

    @property
    def codec(self) -> DatagramCodec:
        """The fleet's datagram format."""
        return self._outbox.codec

    @property
    def seeds(self) -> list[Address]:
        """Addresses of members to join the fleet through."""
        return self._rejoiner.seeds

    def present_members(self) -> dict[str, MemberRecord]:
        """Return the records of all present members by name, including this process's own until it leaves."""
        records = self._table.present_records()
        if not self.has_left:
            records[self.local_record.name] = self.local_record
        return records

    # ---- output ----------------------------------------------------------------------------------

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Remove and return the datagrams to send, each with its address."""
        return self._outbox.take()

    def take_events(self) -> list[Event]:
        """Remove and return the events since the last call."""
        events = list(self._events)
        self._events.clear()
        return events

    # ---- requests of the program -----------------------------------------------------------------

    def send_message(self, now: float, name: str, topic: int, body: bytes) -> bool:
        """Send a message to a component of another member; return False if the member is unknown or has left."""
        entry = self._table.members.get(name)
        if entry is None or entry.record.status is Status.LEFT:
            return False
        self._outbox.send(now, entry.record.address, UserMessage(topic, body), name)
        return True

    def update_metadata(self, now: float, metadata: MemberMetadata) -> None:
        """Announce new metadata; nothing is announced if it equals the current metadata."""
        self._local_member.update_metadata(now, metadata)

    def change_address(self, now: float, address: Address) -> None:
        """Announce that this process receives datagrams at a new address from now on."""
        self._local_member.change_address(now, address)

    def leave(self, now: float) -> None:
        """Announce to some members that this process leaves; from then on, it ignores all datagrams."""
        self._local_member.leave(now)
        self.has_left = True
        self._dissemination.announce_leave(now)
        self._failure_detector.abandon_probe()

    # ---- time ------------------------------------------------------------------------------------

    def due(self) -> float:
        """Return when `tick` is due next, in seconds of the local clock; infinity after `leave`."""
        if self.has_left:
            return float("inf")
        deadlines = [suspicion.deadline for suspicion in self._table.suspicions.values()]
        earliest = min(
            self._failure_detector.due(),
            self._rejoiner.due(),
            self._dissemination.due(),
            self._anti_entropy.due(),
            *deadlines,
        )
        # What an input made due was not due before that input, so it must not count as late.
        return max(self._last_input_at, earliest)

    def tick(self, now: float) -> None:
        """Run what is due. The caller first passes the datagrams that wait in the socket to `receive`."""
        if self.has_left:
            return
        self._handle_pause(now)
        self._table.forget_absent(now)
        if now < self._outbox.silent_until:
            self._stay_silent()
            return
        self._membership.declare_expired_dead(now)
        self._failure_detector.tick(now, self.last_received_at)
        self._dissemination.tick(now)
        self._rejoiner.tick(now)
        self._anti_entropy.tick(now)

    def _handle_pause(self, now: float) -> None:
        """Detect a pause of this process and discount it: what was not received meanwhile says nothing about others."""
        lateness = now - self.due()
        self._last_input_at = max(self._last_input_at, now)
        if lateness <= MAX_LATENESS_PERIODS * self._period:
            return
        self.counters[GossipCounter.PAUSED] += 1
        self._local_health.degrade()
        self._table.postpone_suspicions(lateness)
        self._failure_detector.resume_after_pause(now, lateness)

    def _stay_silent(self) -> None:
        resume_at = self._failure_detector.pause_until(self._outbox.silent_until)
        self._rejoiner.pause_until(resume_at)
        self._dissemination.pause_until(resume_at)
        self._anti_entropy.abandon()

    # ---- datagrams -------------------------------------------------------------------------------

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """Handle a datagram; a rejected datagram is counted and has no other effect."""
        if self.has_left or now < self._outbox.silent_until:
            return
        self._handle_pause(now)
        packet = self._accept(now, data, source)
        if packet is None:
            return
        if packet.sender == self.local_record.name:
            self._handle_name_conflict(now, packet, source)
            return
        entry = self._table.members.get(packet.sender)
        if (
            entry is not None
            and entry.record.instance_id != packet.sender_instance_id
            and not _contains_sender_record(packet)
        ):
            self.counters[GossipCounter.OF_OTHER_INSTANCE] += 1
            return
        self.counters[GossipCounter.READ] += 1
        self.last_received_at = now
        self._dispatch(now, packet, source)

    def _accept(self, now: float, data: bytes, source: Address) -> Packet | None:
        """Return a datagram's packet if it is within the rate limit, valid and addressed to this member, else None."""
        if not self._rate_limiter.allows_receive(f"{source[0]}:{source[1]}", now):
            self.counters[GossipCounter.OVER_RATE_LIMIT] += 1
            return None
        try:
            packet = self.codec.decode(data)
        except DatagramRejectedError as error:
            self.counters[error.reason] += 1
            return None
        if packet.recipient not in ("", self.local_record.name):
            self.counters[GossipCounter.FOR_OTHER_RECIPIENT] += 1
            return None
        return packet

    def _handle_name_conflict(self, now: float, packet: Packet, source: Address) -> None:
        """Reply to another process under this member's name with the local record, which shows it the conflict too."""
        if packet.sender_instance_id == self.local_record.instance_id:
            return
        for record in updates_in(packet.message):
            if record.name == self.local_record.name:
                self._local_member.receive_report(now, record)
                self._outbox.send(now, source, self._dissemination.plain_ack(0), "")

    def _dispatch(self, now: float, packet: Packet, source: Address) -> None:
        sender, message = packet.sender, packet.message
        for record in updates_in(message):
            self._membership.merge(now, record, is_first_hand=record.name == sender)
        match message:
            case Ping():
                self._reply_to_ping(now, packet, message, source)
            case Ack():
                self.is_alone = False
                self._failure_detector.receive_ack(now, message)
                self._anti_entropy.compare_digest(now, sender, message.digest)
            case PingRequest():
                self._failure_detector.receive_ping_request(now, sender, message, source)
            case FetchPage():
                self._anti_entropy.receive_request(now, sender, message.after_name, source)
            case Page():
                self._anti_entropy.receive_page(now, sender, message)
            case UserMessage():
                event = MessageReceived(sender, packet.sender_instance_id, message.topic, message.body)
                self._events.append(event)
            case Updates() | Nack():
                pass  # updates were merged above; a nack only shows that its sender is reachable, as `receive` recorded

    def _reply_to_ping(self, now: float, packet: Packet, ping: Ping, source: Address) -> None:
        ack = self._dissemination.ack(packet.sender, ping.sequence_number, packet.sender_instance_id)
        self._outbox.send(now, source, ack, packet.sender)
        self._anti_entropy.compare_digest(now, packet.sender, ping.digest)


def _initial_record(
    name: str, address: Address, metadata: MemberMetadata, wall_clock: Callable[[], float], rng: random.Random
) -> MemberRecord:
    """Return the first record of a process that starts.

    Its incarnation is greater than those of former processes under its name if the wall clock is right.
    """
    instance_id = rng.randrange(1, INSTANCE_ID_LIMIT)
    incarnation = max(1, min(int(wall_clock() * 1000), INCARNATION_LIMIT >> 1))
    return MemberRecord(name, instance_id, incarnation, *address, metadata=metadata)


def _contains_sender_record(packet: Packet) -> bool:
    """Return whether a packet carries the sender's own record, which a new process under its name has to announce."""
    return any(
        record.name == packet.sender and record.instance_id == packet.sender_instance_id
        for record in updates_in(packet.message)
    )
