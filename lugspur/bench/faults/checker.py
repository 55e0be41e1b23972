"""Judges a history: each rule is a pure function from what was seen to what was broken."""

from __future__ import annotations

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from lugspur.bench.faults.history import Call, History, Invalid, Item, Order, OrderTry, Read

TIMING_SLACK = 0.25  # seconds on top of a bound of time, for the rig's own delays on a loaded machine
NOT_RUN = frozenset({408, 421, 429, 503})  # statuses that promise that the attempt has not run
KEYED_STATUSES = frozenset({200, 409, 500, 502, 503, 504})


class Rule(enum.Enum):
    """What may be broken."""

    DECIDED_ONCE = "two contents confirmed under one edition"
    LOST = "confirmed and not read back"
    BACKWARDS = "a read is older than an earlier one"
    REFUSED_AFTER_CONFIRMED = "confirmed and then refused"
    REFUSED_WITHOUT_CAUSE = "a valid order refused without a conflict"
    REFUSED_IN_FORCE = "refused and in force"
    INVALID = "an invalid order confirmed"
    CUT_OFF_CONFIRMS = "a machine that is cut off confirms"
    CUT_OFF_REFUSES = "a machine that is cut off refuses"
    CUT_OFF_READS = "a machine that is cut off answers a read"
    STALE = "an old configuration is used"
    USEFUL = "not useful again in time"
    RAN_TWICE = "ran twice"
    ANSWERS = "a wrong answer"


@dataclass(frozen=True)
class Violation:
    """One breach of a rule; `subject` is what `History.around` shows more of."""

    rule: Rule
    subject: str
    at: float
    detail: str
    where: str = ""  # where it was seen first; the same elsewhere, or again, is no other violation


@dataclass(frozen=True)
class Bounds:
    """The settings' bounds that the rules name, in seconds."""

    edition: float = 2.0
    contact: float = 3.0


def check(history: History, bounds: Bounds) -> list[Violation]:
    """All breaches, in the order of time."""
    index = _Index(history)
    found = [
        *_decided_once(index),
        *_read_back(history, index),
        *_refusals(history, index),
        *_cut_off(history, bounds),
        *_served(history, index, bounds),
        *_useful(history),
        *_runs(history),
        *_answers(history),
    ]
    first: dict[tuple[Rule, str, str], Violation] = {}
    for violation in sorted(found, key=lambda violation: violation.at):
        first.setdefault((violation.rule, violation.subject, violation.detail), violation)
    return list(first.values())


@dataclass(frozen=True, eq=False)
class _Sent:
    """One item of an order, and when that was first sent; `refused`: nothing of it may be in force."""

    at: float
    item: Item
    order: Order
    refused: bool


class _Index:
    """Orders and their tries, by what the rules ask for."""

    def __init__(self, history: History) -> None:
        self.tries: dict[int, list[OrderTry]] = defaultdict(list)  # by the orders' numbers
        for sent in sorted(history.tries, key=lambda sent: sent.began):
            self.tries[sent.order.ident].append(sent)
        self._by_name: dict[str, list[_Sent]] = defaultdict(list)
        self._by_edition: dict[tuple[str, int], list[_Sent]] = defaultdict(list)
        for tries in self.tries.values():
            order = tries[0].order
            refused = any(sent.refused for sent in tries) and not any(sent.confirmed for sent in tries)
            for item in order.items:
                found = _Sent(tries[0].began, item, order, refused or not order.valid)
                self._by_name[item.name].append(found)
                self._by_edition[item.name, item.edition].append(found)
        self._read_at: dict[tuple[str, int], float] = {}  # when an edition was first read
        for read in history.reads:
            for item in read.items:
                key = item.name, item.edition
                self._read_at[key] = min(self._read_at.get(key, math.inf), read.began)

    def knows(self, name: str) -> bool:
        """Whether any order was about this name."""
        return name in self._by_name

    def sent(self, name: str, until: float) -> Iterator[_Sent]:
        """What was sent of a name up to a time."""
        return (found for found in self._by_name.get(name, ()) if found.at <= until)

    def sent_under(self, item: Item, until: float) -> Iterator[_Sent]:
        """What was sent under the edition of an item up to a time."""
        return (found for found in self._by_edition.get((item.name, item.edition), ()) if found.at <= until)

    def overtaken(self, item: Item, until: float) -> bool:
        """Whether a higher edition, which may be in force, was sent up to a time; or is, though it was refused."""
        return any(
            found.item.edition > item.edition
            and (not found.refused or self._read_at.get((item.name, found.item.edition), math.inf) <= until)
            for found in self.sent(item.name, until)
        )


# ---- what was confirmed -------------------------------------------------------------------------


def _decided_once(index: _Index) -> Iterator[Violation]:
    confirmed: dict[tuple[str, int], dict[bytes | None, OrderTry]] = defaultdict(dict)
    for tries in index.tries.values():
        first = next((sent for sent in tries if sent.confirmed), None)
        if first is None:
            continue
        for item in first.order.items:
            # Under a higher edition that stands an older one has no effect, and is acknowledged all the same.
            if not index.overtaken(item, first.ended):
                confirmed[item.name, item.edition].setdefault(item.content, first)
    for (name, edition), contents in confirmed.items():
        if len(contents) > 1:
            orders = ", ".join(f"order {sent.order.ident} at {sent.machine}" for sent in contents.values())
            at = max(sent.ended for sent in contents.values())
            yield Violation(Rule.DECIDED_ONCE, name, at, f"edition {edition:x}: {orders}")


@dataclass(frozen=True)
class _Floor:
    """What must be read of a name from now on: this, or a higher edition."""

    item: Item
    cause: str
    rule: Rule


def _read_back(history: History, index: _Index) -> Iterator[Violation]:
    reads = [read for read in history.reads if read.status == 200]
    events: list[tuple[float, int, OrderTry | Read]] = []
    events += [(sent.ended, 0, sent) for sent in history.tries if sent.confirmed]
    events += [(read.ended, 0, read) for read in reads]
    events += [(read.began, 1, read) for read in reads]
    floors: dict[str, _Floor] = {}
    for _, kind, event in sorted(events, key=lambda row: row[:2]):
        if isinstance(event, OrderTry):
            for item in event.order.items:
                _raise(floors, _Floor(item, f"order {event.order.ident} confirmed at {event.machine}", Rule.LOST))
        elif kind == 0:
            for item in event.items:
                _raise(floors, _Floor(item, "read before", Rule.BACKWARDS))
        else:
            yield from _read_above(event, floors, index)


def _raise(floors: dict[str, _Floor], floor: _Floor) -> None:
    standing = floors.get(floor.item.name)
    if standing is None or floor.item.edition > standing.item.edition:
        floors[floor.item.name] = floor


def _read_above(read: Read, floors: dict[str, _Floor], index: _Index) -> Iterator[Violation]:
    """One read against all that stood when it began."""
    found = {item.name: item for item in read.items}
    for name, floor in floors.items():
        below = floor.item
        item = found.get(name)
        if item is None:
            dropped = below.content is None or any(
                sent.item.content is None and sent.item.edition > below.edition and not sent.refused
                for sent in index.sent(name, read.ended)
            )
            if not dropped:
                detail = f"{below} ({floor.cause}) is absent"
                yield Violation(floor.rule, name, read.began, detail, f"at {read.machine}")
        elif item.edition < below.edition or (item.edition == below.edition and item.content != below.content):
            detail = f"{below} ({floor.cause}) is read as {item}"
            yield Violation(floor.rule, name, read.began, detail, f"at {read.machine}")
    for item in read.items:
        same = [sent for sent in index.sent_under(item, read.ended) if sent.item == item]
        if not same:
            yield Violation(Rule.REFUSED_IN_FORCE, item.name, read.began, f"{item} was never sent")
        elif all(sent.refused for sent in same):
            detail = f"{item} of order {same[0].order.ident} was refused and is read"
            yield Violation(Rule.REFUSED_IN_FORCE, item.name, read.began, detail, f"at {read.machine}")


# ---- what was refused ---------------------------------------------------------------------------


def _refusals(history: History, index: _Index) -> Iterator[Violation]:
    for tries in index.tries.values():
        order = tries[0].order
        taken = next((sent for sent in tries if sent.confirmed), None)
        if not order.valid:
            if taken is not None and not _without_effect(order, taken, index):
                yield Violation(Rule.INVALID, order.items[0].name, taken.ended, f"order {order.ident}")
            continue
        for sent in tries:
            if not sent.refused:
                continue
            subject = order.items[0].name
            if taken is not None and not any(index.overtaken(item, sent.ended) for item in order.items):
                detail = f"order {order.ident}: 200 at {taken.machine}, {sent.status} at {sent.machine}"
                yield Violation(Rule.REFUSED_AFTER_CONFIRMED, subject, sent.ended, detail)
            elif sent.status != 409 or not _contested(order, sent.ended, index):
                detail = f"order {order.ident}: {sent.status} at {sent.machine}"
                yield Violation(Rule.REFUSED_WITHOUT_CAUSE, subject, sent.ended, detail)


def _without_effect(order: Order, taken: OrderTry, index: _Index) -> bool:
    """Whether an invalid order had no effect, and could not be told from an old one that was right once."""
    overtaken = all(index.overtaken(item, taken.ended) for item in order.items)
    return order.invalid is Invalid.BESIDE_OTHERS and overtaken


def _contested(order: Order, until: float, index: _Index) -> bool:
    """Whether another content under the same edition was sent."""
    return any(
        rival.order.valid and rival.item.content != item.content
        for item in order.items
        for rival in index.sent_under(item, until)
    )


# ---- cuts ---------------------------------------------------------------------------------------


def _cut_off(history: History, bounds: Bounds) -> Iterator[Violation]:
    for span in history.spans:
        since = span.began + bounds.edition + TIMING_SLACK

        def inside(event: OrderTry | Read, since: float = since, until: float = span.ended) -> bool:
            return event.began >= since and event.ended <= until

        for sent in history.tries:
            if sent.machine not in span.isolated or not inside(sent):
                continue
            detail = f"order {sent.order.ident}: {sent.status}, {sent.began - span.began:.2f} s into {span.kind}"
            if sent.confirmed:
                yield Violation(Rule.CUT_OFF_CONFIRMS, sent.machine, sent.ended, detail)
            elif sent.refused and sent.order.valid:
                yield Violation(Rule.CUT_OFF_REFUSES, sent.machine, sent.ended, detail)
        for read in history.reads:
            if read.machine in span.isolated and inside(read) and read.status == 200:
                where = f"{read.began - span.began:.2f} s after its beginning"
                detail = f"{span.kind} at {span.began:.2f}"
                yield Violation(Rule.CUT_OFF_READS, read.machine, read.ended, detail, where)


def _served(history: History, index: _Index, bounds: Bounds) -> Iterator[Violation]:
    """Requests on operators' routes, by the service that answered; 404 shows a route that is not there."""
    floors: dict[str, list[tuple[float, Item]]] = defaultdict(list)
    for sent in history.tries:
        if sent.confirmed:
            due = _due(sent.ended, history, bounds)
            for item in sent.order.items:
                floors[item.name].append((due, item))
    for call in history.calls:
        if not index.knows(call.route) or call.status not in (200, 404):
            continue
        due_items = [item for due, item in floors[call.route] if due + TIMING_SLACK <= call.began]
        if not due_items:
            continue
        floor = max(due_items, key=lambda item: item.edition)
        fitting = [
            sent
            for sent in index.sent(call.route, call.ended)
            if sent.item.edition >= floor.edition and _shows(call, sent.item)
        ]
        if any(not sent.refused for sent in fitting):
            continue
        rule = Rule.REFUSED_IN_FORCE if fitting else Rule.STALE
        told = f"{call.status} {call.service}".strip()
        detail = f"{told} though {floor} was confirmed"
        yield Violation(rule, call.route, call.began, detail, f"at {call.sidecar}")


def _shows(call: Call, item: Item) -> bool:
    if call.status == 404:
        return item.content is None
    return item.content is not None and item.service == call.service


def _due(confirmed: float, history: History, bounds: Bounds) -> float:
    """When all proxies must go by what was confirmed: later where no majority was there in the meantime."""
    due = confirmed + bounds.edition
    for span in sorted(history.spans, key=lambda span: span.began):
        if span.stalled and span.began < due and span.ended + bounds.contact > confirmed:
            due = max(due, span.ended + bounds.contact + bounds.edition)
    return due


def _useful(history: History) -> Iterator[Violation]:
    for recovery in history.recoveries:
        if recovery.seconds > recovery.limit:
            took = f"{recovery.seconds:.2f} s" if math.isfinite(recovery.seconds) else "never"
            detail = f"{took} after {recovery.kind}, allowed {recovery.limit:.1f} s"
            yield Violation(Rule.USEFUL, recovery.machine, recovery.at, detail)


# ---- requests -----------------------------------------------------------------------------------


def _runs(history: History) -> Iterator[Violation]:
    by_attempt = Counter(history.runs)
    by_key: Counter[str] = Counter()
    first: dict[str, Call] = {}
    for call in history.calls:
        if call.key:
            by_key[call.key] += by_attempt[call.attempt]
            first.setdefault(call.key, call)
        elif call.unsafe and by_attempt[call.attempt] > 1:
            detail = f"attempt ran {by_attempt[call.attempt]} times"
            yield Violation(Rule.RAN_TWICE, call.attempt, call.began, detail)
    for key, times in by_key.items():
        if times > 1:
            yield Violation(Rule.RAN_TWICE, key, first[key].began, f"key ran {times} times")


def _answers(history: History) -> Iterator[Violation]:
    ran = set(history.runs)
    keys = {call.attempt: call.key for call in history.calls}
    first: dict[str, bytes] = {}
    for call in sorted(history.calls, key=lambda call: call.ended):
        for wrong in _wrong(call, ran, keys, first):
            yield Violation(Rule.ANSWERS, call.attempt, call.ended, wrong)


def _wrong(call: Call, ran: set[str], keys: dict[str, str], first: dict[str, bytes]) -> Iterator[str]:
    """What is wrong with one answer; `first` has the answer of each key."""

    def same(other: str) -> bool:
        return other == call.attempt or (bool(call.key) and keys.get(other) == call.key)

    if call.status in NOT_RUN and (call.key or call.unsafe) and call.attempt in ran:
        yield f"{call.status}, which promises that it has not run, and it ran"
    if call.key and call.status is not None and call.status not in KEYED_STATUSES:
        yield f"{call.status} to a keyed operation"
    if call.status != 200:
        return
    if not same(call.echoed):
        yield f"carries the id {call.echoed!r}"
    if not same(call.ran):
        yield f"is the answer to {call.ran!r}"
    elif call.ran not in ran:
        yield f"{call.ran} never ran"
    if call.key and first.setdefault(call.key, call.body) != call.body:
        yield "differs from the first answer of its key"
