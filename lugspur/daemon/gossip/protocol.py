"""One member's view of the fleet, without I/O: datagrams and the time go in, datagrams and events come out.

SWIM (Das, Gupta, Motivala, 2002): each period one member is asked, by turns, whether it is there; one that does not
answer is asked through others, then doubted, then taken for dead; all that is learned goes along with these datagrams.
Only the member itself raises its incarnation, and so refutes what is said of it. With Lifeguard's rules (2018): a
process that was slow itself blames nobody, and doubts last longer the fewer share them. Beyond both: whole views are
compared by a digest in each datagram and read page by page where they differ, and those that count as dead are still
looked for, so that two halves that each took the other for dead find each other again.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from lugspur.daemon.gossip.datagrams import DatagramCodec, DatagramRejectedError
from lugspur.daemon.gossip.member_sampler import MemberSampler
from lugspur.daemon.gossip.messages import (
    INCARNATION_LIMIT,
    MAX_RECORDS_PER_DATAGRAM,
    Ack,
    FetchPage,
    MemberMetadata,
    MemberRecord,
    Message,
    Nack,
    Packet,
    Page,
    Ping,
    PingRequest,
    Status,
    Updates,
    UserMessage,
    encoded_size,
    updates_in,
)
from lugspur.daemon.gossip.rate_limits import DatagramRateLimiter
from lugspur.daemon.gossip.suspicion import Suspicion
from lugspur.daemon.gossip.update_queue import UpdateQueue

Address = tuple[str, int]
MAX_MEMBERS = 1024  # records, of the dead too: some 0.5 MB
AGAIN = (0.2, 0.4)  # parts of a period after which a ping is repeated: one lost datagram in twenty is nobody's death
THROUGH = 0.4  # part of a period after which others are asked to help...
HELPERS = 4  # ...so many
NACK = 0.4  # part of a period after which a helper says that it hears nothing either
HELPING_MOST = 256  # pings for others under way
SLOWER_MOST = 4  # how much slower a process that was slow itself asks at most: Lifeguard's S, half of its 8
LATE = 0.15  # part of a period by which a turn may be late before this process counts as having stood still
SPREAD_EVERY, SPREAD_TO = 0.2, 3  # part of a period between two rounds of news to so many members, while there are news
SEEK_EVERY = 1.0  # periods between two looks for somebody who counts as dead, or for a seed
COMPARE_AFTER = 1.0  # periods without a change after which views that differ are read whole
PAGE_WITHIN, PAGE_TRIES = 0.5, 3  # part of a period that a page may take, and how often it is asked for
FORGET_DEAD, FORGET_LEFT = 3600.0, 600.0  # seconds until nothing is remembered: most cuts are over by then
AHEAD_MOST = 86_400_000  # incarnations (milliseconds) ahead of our clock that are believed: a day
RIVALS, RIVALS_WITHIN = 3, 30.0  # refutations of another life in so many periods: a second process, not a dead one
YIELD = 30.0  # periods that the younger of two processes of one name is silent


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """A member came, is doubted, is believed again, died, left or moved; `cause` is a word or two for the log."""

    record: MemberRecord
    previous: MemberRecord | None
    cause: str


@dataclass(slots=True, frozen=True)
class NameConflict:
    """Another process uses this one's name; `is_yielding`: this one is the younger and is silent for a while."""

    address: Address
    is_yielding: bool


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """Something for another part of the program, from a process under a name."""

    sender: str
    instance_id: int
    topic: int
    body: bytes


Event = MemberChanged | NameConflict | MessageReceived


@dataclass(slots=True)
class _Probe:
    """The member that is asked in this period."""

    name: str
    sequence_number: int
    began: float
    repeats: list[float]
    through: float
    ends: float
    helpers: int = 0


@dataclass(slots=True)
class _Reading:
    """A view that is read page by page."""

    name: str
    address: Address
    after: str
    until: float
    tries: int = 1


@dataclass(slots=True)
class _Helping:
    """A ping for somebody else."""

    asker: Address
    asker_name: str
    sequence_number: int
    until: float


@dataclass(slots=True)
class Member:
    """What is known of one, beside its record."""

    record: MemberRecord
    since: float  # when its state changed
    mark: int = 0  # its part of the view's digest


def record_digest(record: MemberRecord) -> int:
    """A record's part of the digest of a view: who is there, and by which word of its own."""
    text = f"{record.name} {record.instance_id} {record.incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1


class GossipProtocol:
    """This process among the others. `now`: seconds of a clock that never steps; `wall`: of one that tells the date."""

    def __init__(
        self,
        codec: DatagramCodec,
        name: str,
        address: Address,
        metadata: MemberMetadata,
        seeds: list[Address],
        now: float,
        wall: Callable[[], float],
        rng: random.Random,
        period: float = 1.0,
    ) -> None:
        self.codec, self.period, self.seeds = codec, period, seeds
        self._wall, self._rng = wall, rng
        life, incarnation = rng.randrange(1, 1 << 52), max(1, min(int(wall() * 1000), INCARNATION_LIMIT >> 1))
        self.local_record = MemberRecord(name, life, incarnation, *address, metadata=metadata)
        self.members: dict[str, Member] = {}
        self._present = MemberSampler()  # those of them that count as there...
        self._doubted: dict[str, Suspicion] = {}  # ...but are doubted...
        self._gone: dict[str, None] = {}  # ...and those that don't
        self._places: Counter[Address] = Counter()  # of those that are there
        self.counters: Counter[str] = Counter()  # what was dropped, by kind, and what was sent and read
        self.local_health = 0  # Lifeguard's S
        self.is_alone = True  # nobody has ever answered
        self.has_left = False
        self.last_received_at = float("-inf")  # when anybody last said anything
        self._mark = record_digest(self.local_record)
        self._update_queue = UpdateQueue()
        self._rate_limiter = DatagramRateLimiter(now)
        self._out: list[tuple[Address, bytes]] = []
        self._events: list[Event] = []
        self._turns: list[str] = []  # who is asked next
        self._probe: _Probe | None = None
        self._reading: _Reading | None = None
        self._helping: dict[int, _Helping] = {}
        self._number = rng.randrange(1 << 32)
        self._changed_at = now
        self._spread_at = self._seek_at = now
        self._next = now  # when the next period begins
        self._at = now  # of the latest event
        self._read_next = now
        self._forget_at = now
        self._rivals: list[float] = []
        self._silent_until = now

    # ---- what others ask -------------------------------------------------------------------------

    @property
    def digest(self) -> int:
        """Of the view: equal where the same members are there."""
        return self._mark

    def present_members(self) -> dict[str, MemberRecord]:
        """All that count as there, this process among them, by name."""
        found = {name: member.record for name, member in self.members.items() if member.record.is_present}
        if not self.has_left:
            found[self.local_record.name] = self.local_record
        return found

    @property
    def present_count(self) -> int:
        """How many are there."""
        return len(self._present) + 1

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Datagrams to send."""
        out, self._out = self._out, []
        return out

    def take_events(self) -> list[Event]:
        """What has happened since the last time."""
        events, self._events = self._events, []
        return events

    def send_message(self, now: float, name: str, topic: int, body: bytes) -> bool:
        """Send something to a member; whether its address is known."""
        member = self.members.get(name)
        if member is None or member.record.status is Status.LEFT:
            return False
        self._send(now, member.record.address, UserMessage(topic, body), name)
        return True

    def update_metadata(self, now: float, metadata: MemberMetadata) -> None:
        """Other metadata of this process; nothing happens where they are the same."""
        if metadata != self.local_record.metadata:
            self._speak(now, metadata=metadata)

    def change_address(self, now: float, address: Address) -> None:
        """This process takes datagrams elsewhere from now on."""
        if address != self.local_record.address:
            self._speak(now, address=address)

    def leave(self, now: float) -> None:
        """Say goodbye to some members; nothing is answered any more."""
        self._speak(now, status=Status.LEFT)
        self.has_left = True
        for name in self._present.sample(self._rng, 2 * SPREAD_TO):
            self._send(now, self.members[name].record.address, Updates([self.local_record]), name)
        self._probe = None

    # ---- time --------------------------------------------------------------------------------------

    def due(self) -> float:
        """When `tick` is wanted next."""
        if self.has_left:
            return float("inf")
        times = [self._next, self._seek_at]
        if self._probe is not None:
            times += [self._probe.ends, self._probe.through if not self._probe.helpers else self._probe.ends]
            times += self._probe.repeats[:1]
        if self._update_queue and self.members:
            times.append(self._spread_at)
        if self._reading is not None:
            times.append(self._reading.until)
        times += [helping.until for helping in self._helping.values()]
        times += [suspicion.deadline for suspicion in self._doubted.values()]
        # Guards against a lateness that nobody could have kept: what an event has made due was not due before it.
        return max(self._at, min(times))

    def tick(self, now: float) -> None:
        """Do what is due. Whoever calls it has read first what lay unread."""
        if self.has_left:
            return
        self._awake(now)
        self._forget(now)
        if now < self._silent_until:
            self._next = self._seek_at = self._spread_at = max(self._next, self._silent_until)
            self._probe = self._reading = None
            return
        self._suspicions(now)
        self._probing(now)
        self._help_on(now)
        if now >= self._spread_at and self._update_queue and self.members:
            self._spread(now)
        if now >= self._seek_at:
            self._seek(now)
        if self._reading is not None and now >= self._reading.until:
            self._read_on(now)

    def _awake(self, now: float) -> None:
        """This process runs. Where it was stopped, or is too slow, what it did not hear says nothing of others."""
        late, self._at = now - self.due(), max(self._at, now)
        if late <= LATE * self.period:
            return
        self.counters["stood still"] += 1
        self._slower(1)
        for suspicion in self._doubted.values():
            suspicion.postpone(late)
        if self._probe is not None:
            self._probe = None
            self._next = now
        for helping in self._helping.values():
            helping.until += late

    def _slower(self, by: int) -> None:
        self.local_health = max(0, min(SLOWER_MOST, self.local_health + by))

    def _suspicions(self, now: float) -> None:
        for name, suspicion in tuple(self._doubted.items()):
            if now >= suspicion.deadline:
                self._put(now, _with(self.members[name].record, Status.DEAD, self.local_record.name), "does not answer")

    def _forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + self.period
        for name in tuple(self._gone):
            member = self.members[name]
            if now - member.since > (FORGET_LEFT if member.record.status is Status.LEFT else FORGET_DEAD):
                del self.members[name], self._gone[name]

    # ---- asking ------------------------------------------------------------------------------------

    def _probing(self, now: float) -> None:
        probe = self._probe
        if probe is not None:
            member = self.members.get(probe.name)
            if member is None or not member.record.is_present:
                self._probe = probe = None
        if probe is not None and member is not None:
            while probe.repeats and now >= probe.repeats[0]:
                probe.repeats.pop(0)
                self._ping(now, member.record, probe.sequence_number)
            if now >= probe.through and not probe.helpers:
                self._through(now, probe, member.record)
            if now >= probe.ends:
                self._probe = None
                self._unanswered(now, probe, member)
        if now >= self._next and self._probe is None:
            slower = 1 + self.local_health
            self._next = max(now, self._next + self.period * slower - self.period) + self.period
            name = self._turn()
            if name is not None:
                self._begin(now, self.members[name].record, slower)

    def _begin(self, now: float, record: MemberRecord, slower: int) -> None:
        number, span = self._count(), self.period * slower
        self._probe = _Probe(
            record.name, number, now, [now + part * span for part in AGAIN], now + THROUGH * span, now + span
        )
        self._ping(now, record, number)

    def _count(self) -> int:
        self._number = (self._number + 1) % (1 << 32)
        return self._number

    def _turn(self) -> str | None:
        """Everybody once in a round, in an order drawn anew: who died is asked within a round at the latest."""
        while self._turns:
            name = self._turns.pop()
            if name in self._present:
                return name
        self._turns = self._present.names()
        self._rng.shuffle(self._turns)
        return self._turns.pop() if self._turns else None

    def _ping(self, now: float, record: MemberRecord, number: int, to: str | None = None) -> None:
        told = record.name if to is None else to
        self._send(now, record.address, Ping(number, self._mark, self._along(told)), told)

    def _along(self, name: str, instance_id: int | None = None) -> list[MemberRecord]:
        """What goes along to a member: our own record, what is thought of it unless that is good, and news."""
        found = [self.local_record]
        member = self.members.get(name)
        if member is not None and (
            member.record.status is not Status.ALIVE or instance_id not in (None, member.record.instance_id)
        ):
            found.append(member.record)  # Guards it against never hearing what it has to refute
        room = self.codec.max_packet_bytes - 100 - sum(encoded_size(record) for record in found)
        return found + self._update_queue.take_fitting(room, self.present_count, name)

    def _through(self, now: float, probe: _Probe, record: MemberRecord) -> None:
        drawn = self._present.sample(self._rng, HELPERS + 1 + len(self._doubted))
        helpers = [name for name in drawn if name != record.name and name not in self._doubted][:HELPERS]
        probe.helpers = max(1, len(helpers))
        for name in helpers:
            self._send(
                now,
                self.members[name].record.address,
                PingRequest(probe.sequence_number, record.name, record.host, record.port),
                name,
            )

    def _unanswered(self, now: float, probe: _Probe, member: Member) -> None:
        # Guards others against one that hears nobody, neither helpers nor those who ask it: the fault may be here.
        if self.last_received_at < probe.began and self.present_count > 2:
            self._slower(1)
        if member.record.status is Status.ALIVE:
            self._put(now, _with(member.record, Status.SUSPECT, self.local_record.name), "does not answer")
        elif member.record.name in self._doubted and self._doubted[member.record.name].confirm(self.local_record.name):
            self._update_queue.enqueue(_with(member.record, Status.SUSPECT, self.local_record.name))

    def _help_on(self, now: float) -> None:
        for number, helping in tuple(self._helping.items()):
            if now >= helping.until:
                del self._helping[number]
                self._send(now, helping.asker, Nack(helping.sequence_number), helping.asker_name)

    # ---- telling -----------------------------------------------------------------------------------

    def _send(self, now: float, address: Address, message: Message, to: str) -> None:
        if now < self._silent_until:
            return
        data = self.codec.encode(Packet(self.local_record.name, self.local_record.instance_id, to, message))
        if not self._rate_limiter.allows_send(len(data), now):
            self.counters["not sent"] += 1
            return
        self.counters["sent"] += 1
        self.counters["bytes sent"] += len(data)
        self._out.append((address, data))

    def _spread(self, now: float) -> None:
        self._spread_at = now + SPREAD_EVERY * self.period
        names = self._present.sample(self._rng, SPREAD_TO)
        for name in names:
            news = self._update_queue.take_fitting(self.codec.max_packet_bytes - 100, self.present_count, name)
            if news:
                self._send(now, self.members[name].record.address, Updates(news), name)
        if not names:
            self._update_queue = UpdateQueue()

    def _seek(self, now: float) -> None:
        """Look for one that counts as dead, or for a seed that nobody here has heard of."""
        self._seek_at = now + SEEK_EVERY * self.period * (0.5 + self._rng.random())
        lost = [self.members[name].record for name in self._gone if self.members[name].record.status is Status.DEAD]
        seeds = [seed for seed in self.seeds if not self._places[seed] and seed != self.local_record.address]
        places: list[tuple[Address, str]] = [(record.address, record.name) for record in lost]
        places += [(seed, "") for seed in seeds]
        if places:
            address, name = self._rng.choice(places)
            self._send(now, address, Ping(self._count(), self._mark, self._along(name)), name)

    # ---- what is said of this process -----------------------------------------------------------------

    def _speak(
        self,
        now: float,
        incarnation: int = 0,
        metadata: MemberMetadata | None = None,
        status: Status = Status.ALIVE,
        address: Address | None = None,
    ) -> None:
        """A new word of this process on itself."""
        me = self.local_record
        host, port = address or me.address
        self._mark ^= record_digest(me)
        self.local_record = MemberRecord(
            me.name,
            me.instance_id,
            max(me.incarnation + 1, incarnation),
            host,
            port,
            status,
            me.name if status is Status.LEFT else "",
            metadata or me.metadata,
        )
        self._mark ^= record_digest(self.local_record)
        self._update_queue.enqueue(self.local_record)
        self._changed_at = now

    def _of_me(self, now: float, record: MemberRecord) -> None:
        me = self.local_record
        if record.incarnation < me.incarnation:
            return
        if record.instance_id == me.instance_id:
            if record.status is not Status.ALIVE:
                self.counters["refuted"] += 1
                self._slower(1)  # Lifeguard: whoever is doubted may be slow
                self._speak(now, record.incarnation + 1)
            return
        # A former process of this name, or a second one: the former is silent, the second answers each time.
        self._speak(now, record.incarnation + 1)
        if not record.is_present:
            return
        self._rivals = [at for at in self._rivals if now - at < RIVALS_WITHIN * self.period] + [now]
        if len(self._rivals) < RIVALS:
            return
        self._rivals.clear()
        older = (record.metadata.started_at, record.instance_id) < (me.metadata.started_at, me.instance_id)
        self._events.append(NameConflict(record.address, older))
        if older:
            self._silent_until = now + YIELD * self.period

    # ---- what is said of others -----------------------------------------------------------------------

    def _put(self, now: float, record: MemberRecord, cause: str) -> None:
        """It counts from now on; the last word is with greater incarnations, then with worse news."""
        member = self.members.get(record.name)
        former = None if member is None else member.record
        if member is None:
            if not self._room():
                self.counters["too many members"] += 1
                return
            member = self.members[record.name] = Member(record, now)
            self._turns.insert(self._rng.randrange(len(self._turns) + 1), record.name)
        elif member.record.status is not record.status:
            member.since = now
        self._mark ^= member.mark
        member.record, member.mark = record, record_digest(record) if record.is_present else 0
        self._mark ^= member.mark
        self._sort(now, record, former)
        self._update_queue.enqueue(record)
        self._changed_at = now
        self._events.append(MemberChanged(record, former, cause))

    def _sort(self, now: float, record: MemberRecord, former: MemberRecord | None) -> None:
        """Into those that are there, that are doubted, and that are gone."""
        name = record.name
        if former is not None and former.is_present:
            self._places[former.address] -= 1
            if not self._places[former.address]:
                del self._places[former.address]
        if record.is_present:
            self._places[record.address] += 1
            self._present.add(name)
            self._gone.pop(name, None)
        else:
            self._present.discard(name)
            self._gone[name] = None
        if record.status is not Status.SUSPECT:
            self._doubted.pop(name, None)
        elif name not in self._doubted or former is None or former.incarnation != record.incarnation:
            self._doubted[name] = Suspicion(now, self.period, self.present_count, record.reported_by)

    def _room(self) -> bool:
        if len(self.members) < MAX_MEMBERS - 1:
            return True
        if not self._gone:
            return False
        oldest = min(self._gone, key=lambda name: self.members[name].since)
        del self.members[oldest], self._gone[oldest]
        return True

    def _hear(self, now: float, record: MemberRecord, first_hand: bool) -> None:
        """Somebody's word on a member; first-hand: its own."""
        if record.incarnation > self._wall() * 1000 + AHEAD_MOST:
            self.counters["from the future"] += 1
            return
        if record.name == self.local_record.name:
            self._of_me(now, record)
            return
        member = self.members.get(record.name)
        if member is None:
            if record.is_present:
                self._put(now, record, "came" if first_hand else "heard of")
            return
        known = member.record
        if (record.incarnation, record.status) <= (known.incarnation, known.status):
            if (
                record.incarnation == known.incarnation
                and record.status is Status.SUSPECT
                and (record.name in self._doubted and self._doubted[record.name].confirm(record.reported_by))
            ):
                self._update_queue.enqueue(record)
            return
        if record.status is Status.DEAD and known.is_present and known.status is not Status.SUSPECT:
            # Guards a member against one word of another: it is doubted first, and has time to refute.
            record = _with(record, Status.SUSPECT, record.reported_by)
            if (record.incarnation, record.status) <= (known.incarnation, known.status):
                return
        if record.status is Status.LEFT and record.reported_by != record.name:
            return
        self._put(now, record, _cause(known, record))

    # ---- what comes in -----------------------------------------------------------------------------

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """A datagram; one that is not of this fleet's form is counted, and that is all."""
        if self.has_left or now < self._silent_until:
            return
        self._awake(now)
        if not self._rate_limiter.allows_receive(f"{source[0]}:{source[1]}", now):
            self.counters["too many"] += 1
            return
        try:
            packet = self.codec.decode(data)
        except DatagramRejectedError as fault:
            self.counters[fault.reason] += 1
            return
        if packet.recipient not in ("", self.local_record.name):
            self.counters["for another"] += 1
            return
        if packet.sender == self.local_record.name:
            if packet.sender_instance_id != self.local_record.instance_id:
                for record in updates_in(packet.message):
                    if record.name == self.local_record.name:
                        self._of_me(now, record)
                        self._send(now, source, Ack(0, self._mark, [self.local_record]), "")
            return
        known = self.members.get(packet.sender)
        if known is not None and known.record.instance_id != packet.sender_instance_id and not _names(packet):
            self.counters["of another life"] += 1
            return
        self.counters["read"] += 1
        self.last_received_at = now
        self._act(now, packet, source)

    def _act(self, now: float, packet: Packet, source: Address) -> None:
        message = packet.message
        if isinstance(message, Ping | Ack | Updates):
            for record in message.updates:
                self._hear(now, record, record.name == packet.sender)
        if isinstance(message, Ping):
            self._send(
                now,
                source,
                Ack(message.sequence_number, self._mark, self._along(packet.sender, packet.sender_instance_id)),
                packet.sender,
            )
            self._compare(now, packet.sender, message.digest)
        elif isinstance(message, Ack):
            self.is_alone = False
            self._answered(now, packet.sender, message)
            self._compare(now, packet.sender, message.digest)
        elif isinstance(message, PingRequest):
            self._help(now, packet.sender, message, source)
        elif isinstance(message, FetchPage):
            self._answer_page(now, packet.sender, message.after_name, source)
        elif isinstance(message, Page):
            self._page(now, packet.sender, message)
        elif isinstance(message, UserMessage):
            self._events.append(MessageReceived(packet.sender, packet.sender_instance_id, message.topic, message.body))

    def _answered(self, now: float, name: str, ack: Ack) -> None:
        probe = self._probe
        if probe is not None and ack.sequence_number == probe.sequence_number:
            self._probe = None
            self._slower(-1)
        helping = self._helping.pop(ack.sequence_number, None)
        if helping is not None:
            self._send(
                now, helping.asker, Ack(helping.sequence_number, self._mark, [self.local_record]), helping.asker_name
            )

    def _help(self, now: float, name: str, wanted: PingRequest, source: Address) -> None:
        if len(self._helping) >= HELPING_MOST:
            return
        number = self._count()
        self._helping[number] = _Helping(source, name, wanted.sequence_number, now + NACK * self.period)
        ping = Ping(number, self._mark, self._along(wanted.target_name))
        self._send(now, (wanted.target_host, wanted.target_port), ping, wanted.target_name)

    # ---- whole views -------------------------------------------------------------------------------

    def _compare(self, now: float, name: str, digest: int) -> None:
        """Read another's view where it differs though nothing has happened here for a while, or little is known yet."""
        if digest == self._mark or self._reading is not None or now < self._read_next:
            return
        member = self.members.get(name)
        if member is None or (len(self.members) > 2 and now - self._changed_at < COMPARE_AFTER * self.period):
            return
        self._read_next = now + self.period * (1.0 + self._rng.random())
        self._reading = _Reading(name, member.record.address, "", now + PAGE_WITHIN * self.period)
        self._send(now, member.record.address, FetchPage(""), name)

    def _read_on(self, now: float) -> None:
        reading = self._reading
        assert reading is not None
        if reading.tries >= PAGE_TRIES:
            self._reading = None
            return
        reading.tries += 1
        reading.until = now + PAGE_WITHIN * self.period
        self._send(now, reading.address, FetchPage(reading.after), reading.name)

    def _answer_page(self, now: float, name: str, after: str, source: Address) -> None:
        names = sorted(other for other in self.members if other > after)
        if self.local_record.name > after:
            names = sorted([*names, self.local_record.name])
        room, records = self.codec.max_packet_bytes - 160, list[MemberRecord]()
        for other in names:
            record = self.local_record if other == self.local_record.name else self.members[other].record
            room -= encoded_size(record)
            if room < 0 or len(records) >= MAX_RECORDS_PER_DATAGRAM:
                break
            records.append(record)
        self._send(now, source, Page(after, len(records) == len(names), records), name)

    def _page(self, now: float, name: str, page: Page) -> None:
        reading = self._reading
        if reading is None or reading.name != name or reading.after != page.after_name:
            return  # of a reading that is over, or the second copy of one
        for record in page.records:
            self._hear(now, record, False)
        if page.is_last or not page.records:
            self._reading = None
            return
        reading.after, reading.tries = page.records[-1].name, 1
        reading.until = now + PAGE_WITHIN * self.period
        self._send(now, reading.address, FetchPage(reading.after), name)


def _with(record: MemberRecord, status: Status, by: str) -> MemberRecord:
    return MemberRecord(
        record.name, record.instance_id, record.incarnation, record.host, record.port, status, by, record.metadata
    )


def _names(packet: Packet) -> bool:
    """Whether a datagram has its sender's own record: it may be another process of that name."""
    return any(
        record.name == packet.sender and record.instance_id == packet.sender_instance_id
        for record in updates_in(packet.message)
    )


def _cause(former: MemberRecord, record: MemberRecord) -> str:
    if record.status is Status.LEFT:
        return "said goodbye"
    if record.status is not Status.ALIVE:
        return f"by {record.reported_by}"
    if record.instance_id != former.instance_id:
        return "started anew"
    if not former.is_present:
        return "is back"
    if former.status is Status.SUSPECT:
        return "refuted it"
    return "moved" if record.address != former.address else "told of itself"
