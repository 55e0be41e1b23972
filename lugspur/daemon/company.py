"""The daemon among its like: its place in the fleet, the duties that it wants, its promises where it is an elector."""

from __future__ import annotations

import asyncio
import json
import random
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from importlib.metadata import PackageNotFoundError, version
from typing import TYPE_CHECKING, TextIO

from lugspur.config import model
from lugspur.config.load import resolved
from lugspur.daemon.gossip import clock
from lugspur.daemon.gossip.datagrams import MAX_KEY_BYTES, MIN_KEY_BYTES, DatagramCodec
from lugspur.daemon.gossip.events import Event, MemberChanged, MessageReceived, NameConflict
from lugspur.daemon.gossip.messages import MAX_VERSION_CHARACTERS, MAX_ZONE_CHARACTERS, MemberMetadata, Status
from lugspur.daemon.gossip.protocol import GossipProtocol
from lugspur.daemon.gossip.transport import Transport, bind_socket
from lugspur.daemon.leases.candidate import Candidate, LeadershipChanged, LeaseAcquired, rendezvous_order
from lugspur.daemon.leases.messages import (
    DenyLease,
    GrantLease,
    MalformedMessageError,
    Message,
    ReleaseLease,
    RequestLease,
    RoleAvailable,
    decode_messages,
    encode_messages,
)
from lugspur.daemon.leases.promise_store import CorruptPromiseStoreError, PromiseStore, PromiseStoreInUseError
from lugspur.daemon.leases.voter import CandidateId, LeaseVoter
from lugspur.daemon.probers import PROBING, Probers

if TYPE_CHECKING:
    from lugspur.daemon.cluster import UpstreamCluster

LEASES = 1  # the topic of these messages among a fleet's posts
BODY_MESSAGES = 7  # in one datagram: each takes up to some 150 bytes
AGAIN = (0.03, 0.09)  # seconds after which it is said again that a duty is given back: a datagram may be lost
SAID = {Status.ALIVE: "is there", Status.SUSPECT: "is doubted", Status.DEAD: "is gone", Status.LEFT: "has left"}


class Company:
    """Runs one daemon's place in its fleet; `say` writes a line to the log."""

    def __init__(self, row: model.Fleet, zone: str, beside: str, say: Callable[[str], None]) -> None:
        self._row, self._beside, self.say = row, beside, say
        self.probers: Probers | None = None
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._facts = MemberMetadata(zone[:MAX_ZONE_CHARACTERS], _version(), time.time())
        self.candidates: dict[str, Candidate] = {}
        self.voter: LeaseVoter | None = None
        self._promise_store: PromiseStore | None = None
        self._writing = False
        self._handed: list[tuple[str, Message]] = []
        self._drained = False
        self._history: TextIO | None = None
        self.transport: Transport

    @property
    def fleet(self) -> GossipProtocol:
        """What it knows of the others."""
        return self.transport.protocol

    def open(self) -> None:
        """Begin; raises OSError where the address, the key or the elector's folder can't be had."""
        row = self._row
        assert row.bind is not None
        wire = DatagramCodec(row.name, self._key())
        if row.member in row.electors:
            self._open_voter()
        try:
            sock = bind_socket(row.bind)
        except OSError as fault:
            self._close_promise_store()
            host, port = row.bind
            raise OSError(f"fleet can't have {host}:{port}: {fault.strerror or fault}") from fault
        host, port = row.advertise or sock.getsockname()[:2]
        fleet = GossipProtocol(
            codec=wire,
            name=row.member,
            address=(host, port),
            metadata=self._facts,
            seeds=list(row.seeds),
            now=clock.now(),
            wall_clock=time.time,
            rng=self._rng,
            period_seconds=row.period,
        )
        self.transport = Transport(sock, fleet, self._heard, self._woken, self._dues)
        if row.history:
            path = resolved(row.history, self._beside)
            try:
                self._history = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115  (until `leave`)
            except OSError as fault:
                raise OSError(f"fleet: history {path}: {fault.strerror or fault}") from fault
        for duty in row.duties:
            self.want(duty)
        self.say(f"member {row.member} of {row.name} at {host}:{port}")
        self.transport.flush()

    def _key(self) -> bytes:
        if not self._row.key:
            return b""
        path = resolved(self._row.key, self._beside)
        try:
            with open(path, "rb") as file:
                key = file.read(MAX_KEY_BYTES + 1)
        except OSError as fault:
            raise OSError(f"fleet: key {path}: {fault.strerror or fault}") from fault
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise OSError(f"fleet: key {path}: it has to have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        return key

    def _open_voter(self) -> None:
        row = self._row
        lease, promises = row.lease, None
        if row.folder:
            folder = resolved(row.folder, self._beside)
            try:
                self._promise_store = PromiseStore(folder, row.member, row.lease)
            except PromiseStoreInUseError as fault:
                raise OSError(f"fleet: {folder} is another elector's, which runs") from fault
            except CorruptPromiseStoreError as fault:
                # Guards against epochs that go back: only operators can know that nothing was promised since.
                raise OSError(f"fleet: {folder}: promises can't be read: {fault}") from fault
            except OSError as fault:
                raise OSError(f"fleet: {folder}: {fault.strerror or fault}") from fault
            lease, promises = self._promise_store.lease_seconds, self._promise_store.promises
            if self._promise_store.is_new:
                self.say(f"elector {row.member} remembers nothing: a new one, or its folder was lost")
        self.voter = LeaseVoter(lease, clock.now(), promises, int(time.time() * 1000))

    def _close_promise_store(self) -> None:
        if self._promise_store is not None:
            self._promise_store.close()
            self._promise_store = None

    def apply(self, file: model.File, clusters: Callable[[], Mapping[str, UpstreamCluster]]) -> None:
        """A file is in force: its checked pools are probed by one for all."""
        checks = {name: row.check for name, row in file.pools.items() if row.check is not None}
        if checks and self.probers is None and self._row.electors:
            self.probers = Probers(self, clusters)
        if self.probers is not None:
            self.probers.apply(checks)

    # ---- duties ------------------------------------------------------------------------------------

    def want(self, duty: str) -> Candidate:
        """Ask for a duty from now on, whenever nobody holds it."""
        row = self._row
        candidate = self.candidates[duty] = Candidate(duty, row.electors, row.lease, clock.now(), self._rng, self._rank)
        if self._drained:  # a reload brings a duty while callers are sent away: it is wanted once they are taken again
            candidate.resign(clock.now())
        return candidate

    def drop(self, duty: str) -> None:
        """Want a duty no more."""
        self.candidates[duty].resign(clock.now())
        self._woken(clock.now())
        del self.candidates[duty]
        self.transport.flush()

    @property
    def name(self) -> str:
        """This process's name in the fleet."""
        return self._row.member

    def others(self) -> list[str]:
        """All others that count as there."""
        return [name for name in self.fleet.present_members() if name != self._row.member]

    def first(self, duty: str, count: int) -> list[str]:
        """The first members in the order of a duty."""
        return self._ordered(duty)[:count]

    def post(self, name: str, topic: int, body: bytes) -> None:
        """Send something to a member, when the transport has its next turn."""
        self.fleet.send_message(clock.now(), name, topic, body)

    def may(self, duty: str, needs: float = 0.0) -> int | None:
        """The epoch that an act of this duty has to carry that takes so many seconds; None: it must not begin."""
        candidate = self.candidates.get(duty)
        return None if candidate is None else candidate.fencing_token(clock.now(), needs)

    def _rank(self, duty: str) -> int:
        return self._ordered(duty).index(self._row.member)

    def _ordered(self, duty: str) -> list[str]:
        ready = [name for name, record in self.fleet.present_members().items() if not record.metadata.is_draining]
        return rendezvous_order(duty, list({*ready, self._row.member}))

    def hand_on(self) -> None:
        """This daemon goes: its duties go to those who are next, at once."""
        self._drained = True
        facts = self._facts
        self.fleet.update_metadata(
            clock.now(), MemberMetadata(facts.zone, facts.version, facts.started_at, True, facts.requests_per_second)
        )
        for duty, candidate in self.candidates.items():
            if not candidate.resign(clock.now()):
                continue
            heirs = [name for name in self._ordered(duty) if name != self._row.member]
            if heirs:
                self._handed.append((heirs[0], RoleAvailable(duty, candidate.term.epoch)))
            self._handed += [
                (name, ReleaseLease(duty, candidate.term.epoch, candidate.term.round_number))
                for name in candidate.term.voters
            ]
        for delay in (0.0, *AGAIN):
            self._loop.call_later(delay, self._say_again)

    def _say_again(self) -> None:
        self._send(self._handed)
        self.transport.flush()

    def take_up(self) -> None:
        """This daemon stays after all: it wants its duties again."""
        self._handed.clear()
        self._drained = False
        self.fleet.update_metadata(clock.now(), self._facts)
        for candidate in self.candidates.values():
            candidate.campaign(clock.now())
        self.transport.flush()

    def leave(self) -> None:
        """Say goodbye, and let go of everything."""
        if self.probers is not None:
            self.probers.close()
        self.fleet.leave(clock.now())
        self.transport.close()
        self._close_promise_store()
        if self._history is not None:
            self._history.close()

    # ---- what happens --------------------------------------------------------------------------------

    def _heard(self, event: Event) -> None:
        if isinstance(event, MessageReceived):
            if event.topic == LEASES:
                self._body(event)
            elif event.topic == PROBING and self.probers is not None:
                self.probers.heard(event.body)
        elif isinstance(event, MemberChanged):
            self._changed(event)
        elif isinstance(event, NameConflict):
            host, port = event.address
            done = "this one is the younger and is silent for a while" if event.is_yielding else "it is the younger"
            self.say(f"another process at {host}:{port} uses the name {self._row.member}: {done}")

    def _changed(self, event: MemberChanged) -> None:
        record, former = event.record, event.previous
        if (
            former is None
            or former.status is not record.status
            or former.address != record.address
            or (former.instance_id != record.instance_id)
        ):
            host, port = record.address
            self.say(f"member {record.name} {SAID[Status(record.status)]} ({event.cause}) at {host}:{port}")
            for candidate in self.candidates.values():
                candidate.members_changed(clock.now())

    def _body(self, event: MessageReceived) -> None:
        with suppress(MalformedMessageError):
            for message in decode_messages(event.body):
                self._lease(CandidateId(event.sender, event.instance_id), message)

    def _lease(self, sender: CandidateId, message: Message) -> None:
        now = clock.now()
        if isinstance(message, RequestLease | ReleaseLease):
            if self.voter is not None:
                self.voter.receive(now, sender, message)
            return
        candidate = self.candidates.get(message.role)
        if candidate is not None and isinstance(message, GrantLease | DenyLease | RoleAvailable):
            candidate.receive(now, sender.name, message)

    def _dues(self) -> Iterator[float]:
        for candidate in self.candidates.values():
            yield candidate.due()

    def _woken(self, now: float) -> None:
        """Duties have their turn: what they say to this process's own elector, and it to them, takes no datagram."""
        out: list[tuple[str, Message]] = []
        for candidate in self.candidates.values():
            if now >= candidate.due():
                candidate.tick(now)
        while True:
            said = [word for candidate in self.candidates.values() for word in candidate.take_messages()]
            if self.voter is not None:
                said += self.voter.take_messages()
            if not said:
                break
            me = CandidateId(self._row.member, self.fleet.local_record.instance_id)
            for name, message in said:
                if name == me.name:
                    self._lease(me, message)
                else:
                    out.append((name, message))
        for candidate in self.candidates.values():
            for event in candidate.take_events():
                self._turned(event)
        if self._promise_store is not None and self.voter is not None and self.voter.unsaved and not self._writing:
            self._write(self._promise_store, self.voter)
        self._send(out)

    def _send(self, messages: list[tuple[str, Message]]) -> None:
        """One datagram for all that one member is to be told, as far as that fits."""
        bodies: defaultdict[str, list[Message]] = defaultdict(list)
        for name, message in messages:
            bodies[name].append(message)
        for name, words in bodies.items():
            for at in range(0, len(words), BODY_MESSAGES):
                self.fleet.send_message(clock.now(), name, LEASES, encode_messages(words[at : at + BODY_MESSAGES]))

    def _turned(self, turned: LeadershipChanged | LeaseAcquired) -> None:
        if self._history is not None and (isinstance(turned, LeaseAcquired) or not turned.is_leader):
            left = (
                self.candidates[turned.role].term.remaining(clock.now()) if isinstance(turned, LeaseAcquired) else 0.0
            )
            row = {
                "at": time.clock_gettime(time.CLOCK_BOOTTIME),
                "member": self._row.member,
                "life": self.fleet.local_record.instance_id,
                "duty": turned.role,
                "epoch": turned.epoch,
                "left": left,
            }
            self._history.write(json.dumps(row) + "\n")
        if isinstance(turned, LeaseAcquired):
            return
        if self.probers is not None:
            self.probers.turned(turned)
        what = "is ours" if turned.is_leader else "is ours no more"
        self.say(f"duty {turned.role} {what} under epoch {turned.epoch}: {turned.reason}")

    # ---- an elector's memory -----------------------------------------------------------------------

    def _write(self, promise_store: PromiseStore, voter: LeaseVoter) -> None:
        """Write promises down, in a thread; they are told when they will survive."""
        promises = voter.promises()
        duties, voter.unsaved = list(voter.unsaved), {}
        self._writing = True

        def done(fault: OSError | None) -> None:
            self._writing = False
            if fault is None:
                voter.confirm_saved(clock.now(), duties)
            else:
                self.say(f"promises can't be written, so none are given: {fault.strerror or fault}")
                voter.report_save_failure(duties)
            self.transport.flush()

        def work() -> None:
            fault = None
            try:
                promise_store.write(promises)
            except OSError as raised:
                fault = raised
            with suppress(RuntimeError):  # the loop is gone, and nobody is told
                self._loop.call_soon_threadsafe(done, fault)

        threading.Thread(target=work, name="promises", daemon=True).start()

    # ---- what operators see ------------------------------------------------------------------------

    def members(self) -> str:
        """All members that are known, as one line of JSON."""
        fleet = self.fleet
        rows = [fleet.local_record, *(member.record for member in fleet.members.values())]
        return json.dumps(
            {
                "fleet": self._row.name,
                "member": self._row.member,
                "digest": fleet.digest,
                "members": [
                    {
                        "name": row.name,
                        "address": f"{row.host}:{row.port}",
                        "state": Status(row.status).name.lower(),
                        "zone": row.metadata.zone,
                        "version": row.metadata.version,
                        "started": row.metadata.started_at,
                        "draining": row.metadata.is_draining,
                        "elector": row.name in self._row.electors,
                    }
                    for row in sorted(rows, key=lambda row: row.name)
                ],
                "counts": dict(sorted(fleet.counters.items())),
            }
        )

    def view(self) -> str:
        """How many are there, and a number that is the same for all that see the same: a line for scripts."""
        fleet = self.fleet
        return json.dumps(
            {
                "member": self._row.member,
                "there": fleet.present_count,
                "digest": fleet.digest,
                "bytes": fleet.counters["bytes sent"],
            }
        )

    def duties(self) -> str:
        """All duties that this daemon wants, as one line of JSON."""
        now = clock.now()
        rows = []
        for duty, candidate in sorted(self.candidates.items()):
            term = candidate.term
            held = candidate.fencing_token(now) is not None
            rows.append(
                {
                    "duty": duty,
                    "ours": held,
                    "epoch": term.epoch if held else term.highest_epoch,
                    "holder": self._row.member if held else term.holder,
                    "left": round(term.remaining(now), 3),
                }
            )
        down, vain = ({}, 0) if self.probers is None else (self.probers.down(), self.probers.vain)
        return json.dumps({"member": self._row.member, "duties": rows, "down": down, "vain": vain})

    def ask(self, asked: str) -> tuple[int, str]:
        """`DUTY [SECONDS]`: whether an act of that duty may begin here that takes so long, and under which epoch."""
        duty, _, needs = asked.partition(" ")
        try:
            seconds = float(needs or 0.0)
        except ValueError:
            return 400, "the body has to be a duty's name, and seconds if you like"
        if duty not in self.candidates:
            return 404, f"no duty {duty!r} is wanted here"
        epoch = self.may(duty, seconds) if seconds >= 0.0 else None
        candidate = self.candidates[duty]
        if epoch is None:
            return 409, json.dumps({"duty": duty, "holder": candidate.term.holder})
        return 200, json.dumps({"duty": duty, "epoch": epoch, "left": round(candidate.term.remaining(clock.now()), 3)})


def _version() -> str:
    try:
        return version("lugspur")[:MAX_VERSION_CHARACTERS]
    except PackageNotFoundError:
        return "checkout"
