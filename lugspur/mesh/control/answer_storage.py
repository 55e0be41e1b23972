"""Stores the answers of keyed operations at a majority of the voters, without I/O.

A repeat of an operation asks the voters, and gets its answer as soon as one of them has it. So an answer that a
majority has on disk is found by every repeat, also behind a change of the voters: a new voter reads a majority of the
former ones. So a proxy returns an answer to its client once a majority has acknowledged it, or once it has waited long
enough, and repeats it until then: to voters that were disconnected or restarted before they wrote it, and to the voters
of a new membership, whose acknowledgements are counted from the start.

The proxy beside the backend stores the answer first. It may be cut off from the voters, so it reports whether the
answer is stored; where it isn't, the proxy of the client stores it too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lugspur.mesh.control.messages import BackendResponse, CompleteKey, Membership, ReserveKeyReply
from lugspur.mesh.control.quorum import majority

MAX_PENDING_ANSWERS = 1024  # beyond it the oldest is given up
MAX_PENDING_BYTES = 8 << 20  # of the bodies of all pending answers; beyond it the oldest is given up
RESEND_SECONDS = 1.0  # time until an answer is sent again to voters that have not acknowledged it; doubled each time

#: Called once with whether a majority has the answer on disk.
OnStored = Callable[[bool], None]


@dataclass(slots=True, kw_only=True, eq=False)
class _PendingAnswer:
    """An answer that no majority of `membership` has acknowledged yet."""

    message: CompleteKey
    membership: Membership
    wait_until: float  # by when `on_stored` is called, whatever has been acknowledged
    give_up_at: float
    resend_at: float
    resend_delay: float
    on_stored: OnStored | None  # None once it was called
    waits_always: bool  # whether it is called only then, even if no voter is known to acknowledge answers
    stored_by: set[str] = field(default_factory=set)  # addresses of voters that have acknowledged it

    @property
    def size(self) -> int:
        return len(self.message.response.body)

    def report(self, is_stored: bool) -> None:
        on_stored, self.on_stored = self.on_stored, None
        if on_stored is not None:
            on_stored(is_stored)


class AnswerStorage:
    """The answers that one process stores. `send` sends a message to a voter by its IP address."""

    def __init__(self, send: Callable[[str, CompleteKey], None], window: float) -> None:
        """`window`: seconds during which an operation may be repeated, and its answer is sent again if need be."""
        self._send, self._window = send, window
        self._pending: dict[tuple[bytes, bytes], _PendingAnswer] = {}  # by key and owner, the oldest first
        self._pending_bytes = 0
        # Voters that acknowledge answers: connected ones, with a build that does. Waiting for others is of no use.
        self._acknowledging: set[str] = set()
        self._former: set[str] = set()  # connected voters with a former build, which acknowledge nothing

    @property
    def has_only_former_voters(self) -> bool:
        """Whether all connected voters that have replied have a former build, which acknowledges nothing."""
        return bool(self._former) and not self._acknowledging

    def __len__(self) -> int:
        return len(self._pending)

    def store(
        self,
        now: float,
        membership: Membership,
        key: bytes,
        owner: bytes,
        response: BackendResponse,
        timeout: float,
        on_stored: OnStored,
        *,
        waits_always: bool = False,
    ) -> None:
        """Store the answer of the operation that `owner` has run; `on_stored` is called within `timeout` seconds.

        It is called at once if too few voters are known to acknowledge answers, unless `waits_always`.
        """
        former = self._pending.pop((key, owner), None)
        if former is not None:
            self._give_up(former)
        answer = _PendingAnswer(
            message=CompleteKey(key, owner, response, True),
            membership=membership,
            wait_until=now + timeout,
            give_up_at=now + self._window,
            resend_at=now + RESEND_SECONDS,
            resend_delay=RESEND_SECONDS,
            on_stored=on_stored,
            waits_always=waits_always,
        )
        self._pending[key, owner] = answer
        self._pending_bytes += answer.size
        self._send_to_missing(answer)
        if not self._can_be_acknowledged(answer):
            answer.report(False)
        while len(self._pending) > MAX_PENDING_ANSWERS or self._pending_bytes > MAX_PENDING_BYTES:
            self._give_up(self._pending.pop(next(iter(self._pending))))

    def _send_to_missing(self, answer: _PendingAnswer) -> None:
        for voter in answer.membership.voters:
            if voter.ip not in answer.stored_by:
                self._send(voter.ip, answer.message)

    def _can_be_acknowledged(self, answer: _PendingAnswer) -> bool:
        voters = answer.membership.voters
        return answer.waits_always or sum(voter.ip in self._acknowledging for voter in voters) >= majority(len(voters))

    def _give_up(self, answer: _PendingAnswer) -> None:
        """Stop storing an answer that is no longer pending."""
        self._pending_bytes -= answer.size
        answer.report(False)

    def receive(self, ip: str, message: ReserveKeyReply) -> None:
        """Process a voter's reply, which may acknowledge an answer."""
        if not message.acknowledges_answers:
            self._acknowledging.discard(ip)
            self._former.add(ip)
            return
        self._acknowledging.add(ip)
        self._former.discard(ip)
        answer = self._pending.get((message.key, message.owner))
        if answer is None or not message.is_stored or message.epoch != answer.membership.epoch:
            return
        voters = {voter.ip for voter in answer.membership.voters}
        if ip in voters:
            answer.stored_by.add(ip)
        if len(answer.stored_by) >= majority(len(voters)):
            del self._pending[message.key, message.owner]
            self._pending_bytes -= answer.size
            answer.report(True)

    def voter_connected(self, ip: str) -> None:
        """Send a reconnected voter what it may not have received, or may not have written before it restarted."""
        for answer in self._pending.values():
            if ip not in answer.stored_by and any(voter.ip == ip for voter in answer.membership.voters):
                self._send(ip, answer.message)

    def voter_disconnected(self, ip: str) -> None:
        """Report the answers that can't be acknowledged any more, now that a voter is disconnected."""
        self._acknowledging.discard(ip)
        self._former.discard(ip)
        for answer in list(self._pending.values()):
            if not self._can_be_acknowledged(answer):
                answer.report(False)

    def membership_changed(self, membership: Membership) -> None:
        """Send all pending answers to the voters of a new membership; former acknowledgements no longer count."""
        for answer in self._pending.values():
            answer.membership = membership
            answer.stored_by.clear()
            self._send_to_missing(answer)

    def tick(self, now: float) -> None:
        """Report answers that have been waited for long enough, and send them again or give them up."""
        for identity, answer in list(self._pending.items()):
            if now >= answer.give_up_at:
                del self._pending[identity]
                self._give_up(answer)
                continue
            if now >= answer.wait_until:
                answer.report(False)
            if now >= answer.resend_at:
                answer.resend_delay *= 2.0
                answer.resend_at = now + answer.resend_delay
                self._send_to_missing(answer)
