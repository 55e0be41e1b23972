"""What must hold over every history, whoever played it: raised as soon as it does not."""

from __future__ import annotations

from dataclasses import dataclass, field

from lugspur.mesh.control.change_requests import Confirmed, NoQuorum, Outcome, Refused
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.register import Register

Content = tuple[str, str, int, bytes | None]
Numbered = tuple[str, str, int]  # kind, name and edition


class Violation(AssertionError):
    """A promise that was not kept."""


def content_of(entry: Entry) -> Content:
    """What an entry brings, as a key."""
    return entry.kind, entry.name, entry.edition, entry.value


@dataclass(slots=True, eq=False)
class Sending:
    """An order that was sent to one node once; without an outcome it may have any."""

    entries: list[Entry]
    confirmed_before: bool
    floor: int  # the change up to which somebody had been told, when it was sent
    ended: bool = False
    never: bool = False  # its sender was told that it never comes into force


class Chain:
    """The state after each change, by whoever knew it first: all others must agree."""

    def __init__(self) -> None:
        self.states: dict[int, frozenset[Content]] = {}
        self.in_force: set[Content] = set()

    def observe(self, ip: str, register: Register) -> None:
        """A replica goes by this state."""
        state = frozenset(content_of(item.entry) for item in register.items.values())
        known = self.states.setdefault(register.index, state)
        if known != state:
            raise Violation(f"{ip}: change {register.index} differs by {sorted(known ^ state, key=str)}")
        self.in_force |= state

    @property
    def last(self) -> int:
        """The latest change that anybody knows."""
        return max(self.states, default=0)


class OrderBook:
    """All orders that were sent, and what their senders were told."""

    def __init__(self, chain: Chain) -> None:
        self._chain = chain
        self._sendings: dict[Content, list[Sending]] = {}
        self.confirmed: dict[Numbered, bytes | None] = {}
        self._confirmed_contents: set[Content] = set()
        self.floor = 0  # the change up to which somebody was told that all is in force

    def sent(self, entries: list[Entry]) -> Sending:
        """An order goes to a node."""
        contents = [content_of(entry) for entry in entries]
        confirmed_before = all(content in self._confirmed_contents for content in contents)
        sending = Sending(entries, confirmed_before, self.floor)
        for content in contents:
            self._sendings.setdefault(content, []).append(sending)
        return sending

    def ended(self, sending: Sending, outcome: Outcome, register: Register) -> None:
        """Its sender was told this, by a node that goes by this state."""
        if sending.ended:
            raise Violation(f"an order that ends twice: {sending.entries}")
        sending.ended = True
        sending.never = isinstance(outcome, Refused | NoQuorum)
        if isinstance(outcome, Refused) and register.index < sending.floor:
            raise Violation(
                f"refused by change {register.index}, {sending.floor} was confirmed before: {sending.entries}"
            )
        if isinstance(outcome, Confirmed):
            self.floor = max(self.floor, register.index)
            for entry in sending.entries:
                self._confirm(entry, register)
        elif isinstance(outcome, Refused) and sending.confirmed_before:
            raise Violation(f"refused, and confirmed before: {sending.entries}")
        self.check_never(sending.entries)

    def _confirm(self, entry: Entry, register: Register) -> None:
        item = register.items.get((entry.kind, entry.name))
        if item is None or item.entry.edition < entry.edition:
            raise Violation(f"confirmed and not in force: {entry}")
        self._confirmed_contents.add(content_of(entry))
        if item.entry.edition > entry.edition:
            return  # a later one stands, and nothing tells any more what this one's number had
        if item.entry.value != entry.value:
            raise Violation(f"confirmed, and another content stands under its edition: {entry}")
        number = (entry.kind, entry.name, entry.edition)
        if self.confirmed.setdefault(number, entry.value) != entry.value:
            raise Violation(f"two contents confirmed under one edition: {entry}")

    def check_never(self, entries: list[Entry]) -> None:
        """What is in force was not given up by all that sent it."""
        for entry in entries:
            content = content_of(entry)
            sendings = self._sendings.get(content, [])
            if content in self._chain.in_force and sendings and all(sending.never for sending in sendings):
                raise Violation(f"refused and in force: {entry}")

    def check_all(self) -> None:
        """At the end: nothing that is in force was refused, and what was confirmed stands or was replaced by later."""
        for content, sendings in self._sendings.items():
            if content in self._chain.in_force and all(sending.never for sending in sendings):
                raise Violation(f"refused and in force: {content}")
        editions = {
            (kind, name): (edition, value) for kind, name, edition, value in self._chain.states[self._chain.last]
        }
        for (kind, name, edition), value in self.confirmed.items():
            standing = editions.get((kind, name))
            if standing is None or standing[0] < edition or (standing[0] == edition and standing[1] != value):
                raise Violation(f"confirmed and lost: {kind} {name!r} {edition}")


@dataclass(slots=True, frozen=True)
class Run:
    """An operation that has run: under which claim, and when its first try was sent."""

    by: bytes
    sent_at: float


@dataclass(slots=True)
class KeyBook:
    """Which operations have run, by key; `window`: seconds in which a key runs once; `judged`: whether that is held."""

    window: float = float("inf")
    judged: bool = True
    runs: dict[bytes, Run] = field(default_factory=dict)

    def run(self, key: bytes, by: bytes, sent_at: float = 0.0) -> None:
        """The operation of this key runs, on a try that was sent then."""
        before = self.runs.get(key)
        if self.judged and before is not None and sent_at - before.sent_at < self.window:
            raise Violation(f"{key!r} ran for {before.by!r} and, {sent_at - before.sent_at:.1f} s later, for {by!r}")
        self.runs[key] = Run(by, sent_at)
