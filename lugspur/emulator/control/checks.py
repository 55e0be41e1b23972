"""Guarantees that hold in every history: each check raises Violation as soon as one is broken."""

from __future__ import annotations

from dataclasses import dataclass, field

from lugspur.mesh.control.change_requests import Confirmed, NoQuorum, Outcome, Refused
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.register import Register

Content = tuple[str, str, int, bytes | None]
Numbered = tuple[str, str, int]  # kind, name and edition


class Violation(AssertionError):
    """A guarantee that was broken."""


def content_of(entry: Entry) -> Content:
    """Return an entry's fields as a hashable key."""
    return entry.kind, entry.name, entry.edition, entry.value


@dataclass(slots=True, eq=False)
class Submission:
    """A change request that was sent to one node once. Until it has an outcome, any outcome is possible."""

    entries: list[Entry]
    confirmed_before: bool
    confirmed_index: int  # index up to which changes were known to some caller as in force when this request was sent
    has_ended: bool = False
    is_rejected: bool = False  # whether the caller was told that the request never takes effect


class DecidedStates:
    """The state after each change as the first node that learned it has it; all other nodes must agree."""

    def __init__(self) -> None:
        self.states: dict[int, frozenset[Content]] = {}
        self.in_force: set[Content] = set()

    def record(self, ip: str, register: Register) -> None:
        """Record the state of a replica; raises Violation if another replica has another state at this index."""
        state = frozenset(content_of(item.entry) for item in register.items.values())
        known = self.states.setdefault(register.index, state)
        if known != state:
            raise Violation(f"{ip}: change {register.index} differs by {sorted(known ^ state, key=str)}")
        self.in_force |= state

    @property
    def last_index(self) -> int:
        """The latest index that any replica has reached."""
        return max(self.states, default=0)


class ChangeRequestChecker:
    """All change requests that were sent, and their outcomes as the callers received them."""

    def __init__(self, decided_states: DecidedStates) -> None:
        self._decided_states = decided_states
        self._submissions: dict[Content, list[Submission]] = {}
        self.confirmed: dict[Numbered, bytes | None] = {}
        self._confirmed_contents: set[Content] = set()
        self.confirmed_index = 0  # index up to which some caller was told that all changes are in force

    def record_submission(self, entries: list[Entry]) -> Submission:
        """Record that a change request is sent to a node."""
        contents = [content_of(entry) for entry in entries]
        confirmed_before = all(content in self._confirmed_contents for content in contents)
        submission = Submission(entries, confirmed_before, self.confirmed_index)
        for content in contents:
            self._submissions.setdefault(content, []).append(submission)
        return submission

    def record_outcome(self, submission: Submission, outcome: Outcome, register: Register) -> None:
        """Record the outcome of a submission; `register` is the state of the node that reported it."""
        if submission.has_ended:
            raise Violation(f"a change request ended twice: {submission.entries}")
        submission.has_ended = True
        submission.is_rejected = isinstance(outcome, Refused | NoQuorum)
        if isinstance(outcome, Refused) and register.index < submission.confirmed_index:
            raise Violation(
                f"refused at index {register.index}, index {submission.confirmed_index} was confirmed before: "
                f"{submission.entries}"
            )
        if isinstance(outcome, Confirmed):
            self.confirmed_index = max(self.confirmed_index, register.index)
            for entry in submission.entries:
                self._confirm(entry, register)
        elif isinstance(outcome, Refused) and submission.confirmed_before:
            raise Violation(f"refused after it was confirmed: {submission.entries}")
        self.check_rejected(submission.entries)

    def _confirm(self, entry: Entry, register: Register) -> None:
        item = register.items.get((entry.kind, entry.name))
        if item is None or item.entry.edition < entry.edition:
            raise Violation(f"confirmed but not in force: {entry}")
        self._confirmed_contents.add(content_of(entry))
        if item.entry.edition > entry.edition:
            return  # a later edition is in force, and the content of this edition is no longer known
        if item.entry.value != entry.value:
            raise Violation(f"confirmed, but its edition has another content: {entry}")
        numbered = (entry.kind, entry.name, entry.edition)
        if self.confirmed.setdefault(numbered, entry.value) != entry.value:
            raise Violation(f"two contents confirmed under one edition: {entry}")

    def check_rejected(self, entries: list[Entry]) -> None:
        """Check that no entry is in force whose every submission was rejected."""
        for entry in entries:
            content = content_of(entry)
            submissions = self._submissions.get(content, [])
            if (
                content in self._decided_states.in_force
                and submissions
                and all(submission.is_rejected for submission in submissions)
            ):
                raise Violation(f"refused and in force: {entry}")

    def check_history(self) -> None:
        """Check a finished history.

        No rejected content is in force, and each confirmed content is in force or was replaced by a later edition.
        """
        for content, submissions in self._submissions.items():
            if content in self._decided_states.in_force and all(submission.is_rejected for submission in submissions):
                raise Violation(f"refused and in force: {content}")
        editions = {
            (kind, name): (edition, value)
            for kind, name, edition, value in self._decided_states.states[self._decided_states.last_index]
        }
        for (kind, name, edition), value in self.confirmed.items():
            current = editions.get((kind, name))
            if current is None or current[0] < edition or (current[0] == edition and current[1] != value):
                raise Violation(f"confirmed and lost: {kind} {name!r} {edition}")


@dataclass(slots=True, frozen=True)
class KeyRun:
    """A run of an operation: the owner of its reservation, and the time at which the reservation was requested."""

    owner: bytes
    sent_at: float


@dataclass(slots=True)
class KeyRunChecker:
    """The latest run of each operation, by idempotency key.

    `window` is the deduplication window in seconds; `is_enforced` tells whether a second run within it is a violation.
    """

    window: float = float("inf")
    is_enforced: bool = True
    runs: dict[bytes, KeyRun] = field(default_factory=dict)

    def record_run(self, key: bytes, owner: bytes, sent_at: float = 0.0) -> None:
        """Record that an operation runs whose reservation was requested at `sent_at`."""
        previous = self.runs.get(key)
        if self.is_enforced and previous is not None and sent_at - previous.sent_at < self.window:
            raise Violation(
                f"{key!r} ran for {previous.owner!r} and, {sent_at - previous.sent_at:.1f} s later, for {owner!r}"
            )
        self.runs[key] = KeyRun(owner, sent_at)
