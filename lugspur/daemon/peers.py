"""The daemon in its fleet: its membership, its singleton roles, and its lease voter if it is one of the voters."""

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
from lugspur.config.load import resolve_path
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
from lugspur.daemon.probers import HEALTH_CHECKS_TOPIC, PoolHealthChecks

if TYPE_CHECKING:
    from lugspur.daemon.cluster import UpstreamCluster

LEASES_TOPIC = 1  # topic of lease messages in gossip datagrams
MAX_MESSAGES_PER_DATAGRAM = 7  # each takes up to some 150 bytes
# Messages that hand over a role are repeated, because a datagram may be lost.
HAND_OVER_REPEAT_DELAYS_SECONDS = (0.03, 0.09)
STATUS_TEXTS = {
    Status.ALIVE: "is alive",
    Status.SUSPECT: "is suspected",
    Status.DEAD: "is dead",
    Status.LEFT: "has left",
}


class Peers:
    """The membership of one daemon in its fleet; `log` writes a line to the log."""

    def __init__(self, row: model.Fleet, zone: str, config_path: str, log: Callable[[str], None]) -> None:
        self._config, self._config_path, self.log = row, config_path, log
        self.health_checks: PoolHealthChecks | None = None
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._metadata = MemberMetadata(zone[:MAX_ZONE_CHARACTERS], _version(), time.time())
        self.candidates: dict[str, Candidate] = {}
        self.voter: LeaseVoter | None = None
        self._promise_store: PromiseStore | None = None
        self._is_saving = False
        self._hand_over_messages: list[tuple[str, Message]] = []
        self._is_drained = False
        self._history: TextIO | None = None
        self.transport: Transport

    @property
    def fleet(self) -> GossipProtocol:
        """Return the gossip protocol, which knows all members."""
        return self.transport.protocol

    def open(self) -> None:
        """Join the fleet; raises OSError if the address, the key or the voter's directory can't be used."""
        row = self._config
        assert row.bind is not None
        codec = DatagramCodec(row.name, self._read_key())
        if row.member in row.electors:
            self._open_voter()
        try:
            sock = bind_socket(row.bind)
        except OSError as error:
            self._close_promise_store()
            host, port = row.bind
            raise OSError(f"fleet can't bind {host}:{port}: {error.strerror or error}") from error
        host, port = row.advertise or sock.getsockname()[:2]
        fleet = GossipProtocol(
            codec=codec,
            name=row.member,
            address=(host, port),
            metadata=self._metadata,
            seeds=list(row.seeds),
            now=clock.now(),
            wall_clock=time.time,
            rng=self._rng,
            period_seconds=row.period,
        )
        self.transport = Transport(sock, fleet, self._receive_event, self._run_due_candidates, self._due_times)
        if row.history:
            path = resolve_path(row.history, self._config_path)
            try:
                self._history = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115  (until `close`)
            except OSError as error:
                raise OSError(f"fleet: history {path}: {error.strerror or error}") from error
        for role in row.duties:
            self.request_role(role)
        self.log(f"member {row.member} of {row.name} at {host}:{port}")
        self.transport.flush()

    def _read_key(self) -> bytes:
        if not self._config.key:
            return b""
        path = resolve_path(self._config.key, self._config_path)
        try:
            with open(path, "rb") as file:
                key = file.read(MAX_KEY_BYTES + 1)
        except OSError as error:
            raise OSError(f"fleet: key {path}: {error.strerror or error}") from error
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise OSError(f"fleet: key {path}: it has to have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        return key

    def _open_voter(self) -> None:
        row = self._config
        lease, promises = row.lease, None
        if row.folder:
            folder = resolve_path(row.folder, self._config_path)
            try:
                self._promise_store = PromiseStore(folder, row.member, row.lease)
            except PromiseStoreInUseError as error:
                raise OSError(f"fleet: {folder} is in use by another elector") from error
            except CorruptPromiseStoreError as error:
                # Without them, epochs could go back; only operators can know that nothing was promised since.
                raise OSError(f"fleet: {folder}: promises can't be read: {error}") from error
            except OSError as error:
                raise OSError(f"fleet: {folder}: {error.strerror or error}") from error
            lease, promises = self._promise_store.lease_seconds, self._promise_store.promises
            if self._promise_store.is_new:
                self.log(f"elector {row.member} has no promises on disk: it is new, or its folder was lost")
        self.voter = LeaseVoter(lease, clock.now(), promises, int(time.time() * 1000))

    def _close_promise_store(self) -> None:
        if self._promise_store is not None:
            self._promise_store.close()
            self._promise_store = None

    def apply(self, file: model.File, clusters: Callable[[], Mapping[str, UpstreamCluster]]) -> None:
        """Put a file into force: each of its checked pools gets one health checker for the whole fleet."""
        checks = {name: row.check for name, row in file.pools.items() if row.check is not None}
        if checks and self.health_checks is None and self._config.electors:
            self.health_checks = PoolHealthChecks(self, clusters)
        if self.health_checks is not None:
            self.health_checks.apply(checks)

    # ---- roles ------------------------------------------------------------------------------------

    def request_role(self, role: str) -> Candidate:
        """Campaign for a role from now on, whenever it has no leader."""
        row = self._config
        candidate = self.candidates[role] = Candidate(
            role, row.electors, row.lease, clock.now(), self._rng, self._rank_for
        )
        if self._is_drained:  # a reload added it during a drain: it campaigns once that ends
            candidate.resign(clock.now())
        return candidate

    def withdraw_from_role(self, role: str) -> None:
        """Resign from a role, and no longer campaign for it."""
        self.candidates[role].resign(clock.now())
        self._run_due_candidates(clock.now())
        del self.candidates[role]
        self.transport.flush()

    @property
    def name(self) -> str:
        """Return this process's name in the fleet."""
        return self._config.member

    def other_members(self) -> list[str]:
        """Return the names of all other members that are present."""
        return [name for name in self.fleet.present_members() if name != self._config.member]

    def first_members(self, role: str, count: int) -> list[str]:
        """Return the first `count` members in the role's order of succession."""
        return self._members_in_order(role)[:count]

    def send_message(self, name: str, topic: int, body: bytes) -> None:
        """Send a message to a member with the transport's next datagrams."""
        self.fleet.send_message(clock.now(), name, topic, body)

    def fencing_token(self, role: str, duration_seconds: float = 0.0) -> int | None:
        """Return the fencing token for an action of that duration under the role; None if it must not begin."""
        candidate = self.candidates.get(role)
        return None if candidate is None else candidate.fencing_token(clock.now(), duration_seconds)

    def _rank_for(self, role: str) -> int:
        return self._members_in_order(role).index(self._config.member)

    def _members_in_order(self, role: str) -> list[str]:
        ready = [name for name, record in self.fleet.present_members().items() if not record.metadata.is_draining]
        return rendezvous_order(role, list({*ready, self._config.member}))

    def hand_over_roles(self) -> None:
        """Resign from all roles and name the successors at once, since this daemon is draining."""
        self._is_drained = True
        metadata = self._metadata
        self.fleet.update_metadata(
            clock.now(),
            MemberMetadata(metadata.zone, metadata.version, metadata.started_at, True, metadata.requests_per_second),
        )
        for role, candidate in self.candidates.items():
            if not candidate.resign(clock.now()):
                continue
            successors = [name for name in self._members_in_order(role) if name != self._config.member]
            if successors:
                self._hand_over_messages.append((successors[0], RoleAvailable(role, candidate.term.epoch)))
            self._hand_over_messages += [
                (name, ReleaseLease(role, candidate.term.epoch, candidate.term.round_number))
                for name in candidate.term.voters
            ]
        for delay in (0.0, *HAND_OVER_REPEAT_DELAYS_SECONDS):
            self._loop.call_later(delay, self._repeat_hand_over)

    def _repeat_hand_over(self) -> None:
        self._send_messages(self._hand_over_messages)
        self.transport.flush()

    def reclaim_roles(self) -> None:
        """Campaign for all roles again, since the drain has ended."""
        self._hand_over_messages.clear()
        self._is_drained = False
        self.fleet.update_metadata(clock.now(), self._metadata)
        for candidate in self.candidates.values():
            candidate.campaign(clock.now())
        self.transport.flush()

    def close(self) -> None:
        """Announce the departure, and close the transport, the promise store and the history."""
        if self.health_checks is not None:
            self.health_checks.close()
        self.fleet.leave(clock.now())
        self.transport.close()
        self._close_promise_store()
        if self._history is not None:
            self._history.close()

    # ---- events --------------------------------------------------------------------------------

    def _receive_event(self, event: Event) -> None:
        if isinstance(event, MessageReceived):
            if event.topic == LEASES_TOPIC:
                self._receive_lease_messages(event)
            elif event.topic == HEALTH_CHECKS_TOPIC and self.health_checks is not None:
                self.health_checks.receive(event.body)
        elif isinstance(event, MemberChanged):
            self._record_member_change(event)
        elif isinstance(event, NameConflict):
            host, port = event.address
            resolution = (
                "this process is the younger one and sends nothing for a while"
                if event.is_yielding
                else "the other is the younger one"
            )
            self.log(f"another process at {host}:{port} uses the name {self._config.member}: {resolution}")

    def _record_member_change(self, event: MemberChanged) -> None:
        record, former = event.record, event.previous
        if (
            former is None
            or former.status is not record.status
            or former.address != record.address
            or (former.instance_id != record.instance_id)
        ):
            host, port = record.address
            self.log(f"member {record.name} {STATUS_TEXTS[Status(record.status)]} ({event.cause}) at {host}:{port}")
            for candidate in self.candidates.values():
                candidate.handle_membership_change(clock.now())

    def _receive_lease_messages(self, event: MessageReceived) -> None:
        with suppress(MalformedMessageError):
            for message in decode_messages(event.body):
                self._route_lease_message(CandidateId(event.sender, event.instance_id), message)

    def _route_lease_message(self, sender: CandidateId, message: Message) -> None:
        now = clock.now()
        if isinstance(message, RequestLease | ReleaseLease):
            if self.voter is not None:
                self.voter.receive(now, sender, message)
            return
        candidate = self.candidates.get(message.role)
        if candidate is not None and isinstance(message, GrantLease | DenyLease | RoleAvailable):
            candidate.receive(now, sender.name, message)

    def _due_times(self) -> Iterator[float]:
        for candidate in self.candidates.values():
            yield candidate.due()

    def _run_due_candidates(self, now: float) -> None:
        """Run the candidates that are due; messages between them and this process's own voter need no datagram."""
        remote_messages: list[tuple[str, Message]] = []
        for candidate in self.candidates.values():
            if now >= candidate.due():
                candidate.tick(now)
        while True:
            messages = [message for candidate in self.candidates.values() for message in candidate.take_messages()]
            if self.voter is not None:
                messages += self.voter.take_messages()
            if not messages:
                break
            local_id = CandidateId(self._config.member, self.fleet.local_record.instance_id)
            for name, message in messages:
                if name == local_id.name:
                    self._route_lease_message(local_id, message)
                else:
                    remote_messages.append((name, message))
        for candidate in self.candidates.values():
            for event in candidate.take_events():
                self._record_leadership(event)
        if (
            self._promise_store is not None
            and self.voter is not None
            and self.voter.unsaved_promises
            and not self._is_saving
        ):
            self._save_promises(self._promise_store, self.voter)
        self._send_messages(remote_messages)

    def _send_messages(self, messages: list[tuple[str, Message]]) -> None:
        """Send messages, those of one member in as few datagrams as they fit."""
        bodies: defaultdict[str, list[Message]] = defaultdict(list)
        for name, message in messages:
            bodies[name].append(message)
        for name, member_messages in bodies.items():
            for at in range(0, len(member_messages), MAX_MESSAGES_PER_DATAGRAM):
                body = encode_messages(member_messages[at : at + MAX_MESSAGES_PER_DATAGRAM])
                self.fleet.send_message(clock.now(), name, LEASES_TOPIC, body)

    def _record_leadership(self, change: LeadershipChanged | LeaseAcquired) -> None:
        if self._history is not None and (isinstance(change, LeaseAcquired) or not change.is_leader):
            left = (
                self.candidates[change.role].term.remaining_seconds(clock.now())
                if isinstance(change, LeaseAcquired)
                else 0.0
            )
            row = {
                "at": time.clock_gettime(time.CLOCK_BOOTTIME),
                "member": self._config.member,
                "life": self.fleet.local_record.instance_id,
                "duty": change.role,
                "epoch": change.epoch,
                "left": left,
            }
            self._history.write(json.dumps(row) + "\n")
        if isinstance(change, LeaseAcquired):
            return
        if self.health_checks is not None:
            self.health_checks.leadership_changed(change)
        what = "is ours" if change.is_leader else "is ours no more"
        self.log(f"duty {change.role} {what} under epoch {change.epoch}: {change.reason}")

    # ---- the voter's promises -----------------------------------------------------------------------

    def _save_promises(self, promise_store: PromiseStore, voter: LeaseVoter) -> None:
        """Save promises to disk in a thread; the voter grants the leases only after that."""
        promises = voter.promises()
        roles, voter.unsaved_promises = list(voter.unsaved_promises), {}
        self._is_saving = True

        def done(error: OSError | None) -> None:
            self._is_saving = False
            if error is None:
                voter.confirm_saved(clock.now(), roles)
            else:
                self.log(f"promises can't be written, so no leases are granted: {error.strerror or error}")
                voter.report_save_failure(roles)
            self.transport.flush()

        def write() -> None:
            error = None
            try:
                promise_store.write(promises)
            except OSError as raised:
                error = raised
            with suppress(RuntimeError):  # the loop has closed, so there is nothing to report to
                self._loop.call_soon_threadsafe(done, error)

        threading.Thread(target=write, name="promises", daemon=True).start()

    # ---- admin responses ----------------------------------------------------------------------

    def members_json(self) -> str:
        """Return all known members as one line of JSON."""
        fleet = self.fleet
        rows = [fleet.local_record, *(member.record for member in fleet.members.values())]
        return json.dumps(
            {
                "fleet": self._config.name,
                "member": self._config.member,
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
                        "elector": row.name in self._config.electors,
                    }
                    for row in sorted(rows, key=lambda row: row.name)
                ],
                "counts": dict(sorted(fleet.counters.items())),
            }
        )

    def summary_json(self) -> str:
        """Return the number of present members and a digest, equal for equal views, as one line of JSON for scripts."""
        fleet = self.fleet
        return json.dumps(
            {
                "member": self._config.member,
                "there": fleet.present_count,
                "digest": fleet.digest,
                "bytes": fleet.counters["bytes sent"],
            }
        )

    def roles_json(self) -> str:
        """Return all roles that this daemon campaigns for as one line of JSON."""
        now = clock.now()
        rows = []
        for role, candidate in sorted(self.candidates.items()):
            term = candidate.term
            is_leader = candidate.fencing_token(now) is not None
            rows.append(
                {
                    "duty": role,
                    "ours": is_leader,
                    "epoch": term.epoch if is_leader else term.highest_epoch,
                    "holder": self._config.member if is_leader else term.holder,
                    "left": round(term.remaining_seconds(now), 3),
                }
            )
        unhealthy, failed_connections = (
            ({}, 0)
            if self.health_checks is None
            else (self.health_checks.excluded_backends(), self.health_checks.failed_connections)
        )
        return json.dumps(
            {"member": self._config.member, "duties": rows, "down": unhealthy, "vain": failed_connections}
        )

    def check_role(self, request: str) -> tuple[int, str]:
        """Return the status and body for `ROLE [SECONDS]`: whether such an action may begin here under the role.

        The body of a permission has the epoch, which is the fencing token.
        """
        role, _, duration = request.partition(" ")
        try:
            seconds = float(duration or 0.0)
        except ValueError:
            return 400, "the body has to be a duty's name, and seconds if you like"
        if role not in self.candidates:
            return 404, f"no duty {role!r} is wanted here"
        epoch = self.fencing_token(role, seconds) if seconds >= 0.0 else None
        candidate = self.candidates[role]
        if epoch is None:
            return 409, json.dumps({"duty": role, "holder": candidate.term.holder})
        return 200, json.dumps(
            {"duty": role, "epoch": epoch, "left": round(candidate.term.remaining_seconds(clock.now()), 3)}
        )


def _version() -> str:
    try:
        return version("lugspur")[:MAX_VERSION_CHARACTERS]
    except PackageNotFoundError:
        return "checkout"
