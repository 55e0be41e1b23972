"""Checks a history: each rule is a pure function from the observed events to the violations among them."""

from __future__ import annotations

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from lugspur.bench.faults.history import Call, History, InvalidReason, Item, Order, OrderAttempt, Read

TIMING_SLACK = 0.25  # seconds added to each time bound for the rig's own delays on a loaded machine
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # statuses which promise that the attempt has not run
# Statuses that a keyed operation may end with.
KEYED_STATUSES = frozenset({200, 409, 500, 502, 503, 504})


class Rule(enum.Enum):
    """A rule, named by its violation; the value is the heading of these violations in reports."""

    DECIDED_ONCE = "two contents confirmed under one edition"
    CONFIRMED_LOST = "confirmed and not read back"
    READ_WENT_BACK = "a read is older than an earlier one"
    REFUSED_AFTER_CONFIRMED = "confirmed and then refused"
    REFUSED_WITHOUT_CAUSE = "a valid order refused without a conflict"
    REFUSED_IN_FORCE = "refused and in force"
    INVALID_CONFIRMED = "an invalid order confirmed"
    ISOLATED_CONFIRMS = "a machine that is cut off confirms"
    ISOLATED_REFUSES = "a machine that is cut off refuses"
    ISOLATED_READS = "a machine that is cut off answers a read"
    STALE_CONFIGURATION = "an old configuration is used"
    LATE_RECOVERY = "not useful again in time"
    RAN_TWICE = "ran twice"
    WRONG_RESPONSE = "a wrong answer"


@dataclass(frozen=True)
class Violation:
    """One violation of a rule; `History.events_around` lists the events that concern `subject`."""

    rule: Rule
    subject: str
    at: float
    detail: str
    where: str = ""  # where it was observed first; the same one observed elsewhere or later is not counted again


@dataclass(frozen=True)
class Bounds:
    """The time bounds of the settings that the rules apply, in seconds."""

    edition: float = 2.0
    contact: float = 3.0


def check(history: History, bounds: Bounds) -> list[Violation]:
    """Return all violations, ordered by time."""
    index = _OrderIndex(history)
    violations = [
        *_check_decided_once(index),
        *_check_read_back(history, index),
        *_check_refusals(history, index),
        *_check_isolated(history, bounds),
        *_check_routes_in_use(history, index, bounds),
        *_check_recovery(history),
        *_check_runs(history),
        *_check_responses(history),
    ]
    first: dict[tuple[Rule, str, str], Violation] = {}
    for violation in sorted(violations, key=lambda violation: violation.at):
        first.setdefault((violation.rule, violation.subject, violation.detail), violation)
    return list(first.values())


@dataclass(frozen=True, eq=False)
class _SentItem:
    """One item of an order, and the time at which the order was first sent.

    `refused` tells that no item of the order may be in force.
    """

    at: float
    item: Item
    order: Order
    refused: bool


class _OrderIndex:
    """Index of the orders and their attempts, by the keys that the rules look up."""

    def __init__(self, history: History) -> None:
        self.attempts: dict[int, list[OrderAttempt]] = defaultdict(list)  # by order number
        for attempt in sorted(history.order_attempts, key=lambda attempt: attempt.began):
            self.attempts[attempt.order.number].append(attempt)
        self._by_name: dict[str, list[_SentItem]] = defaultdict(list)
        self._by_edition: dict[tuple[str, int], list[_SentItem]] = defaultdict(list)
        for attempts in self.attempts.values():
            order = attempts[0].order
            refused = any(attempt.refused for attempt in attempts) and not any(
                attempt.confirmed for attempt in attempts
            )
            for item in order.items:
                sent_item = _SentItem(attempts[0].began, item, order, refused or not order.valid)
                self._by_name[item.name].append(sent_item)
                self._by_edition[item.name, item.edition].append(sent_item)
        self._read_at: dict[tuple[str, int], float] = {}  # when an edition was first read
        for read in history.reads:
            for item in read.items:
                key = item.name, item.edition
                self._read_at[key] = min(self._read_at.get(key, math.inf), read.began)

    def has_orders_for(self, name: str) -> bool:
        """Return whether any order contained this name."""
        return name in self._by_name

    def sent_items(self, name: str, until: float) -> Iterator[_SentItem]:
        """Return the items of a name that were sent up to a time."""
        return (sent_item for sent_item in self._by_name.get(name, ()) if sent_item.at <= until)

    def sent_under_edition(self, item: Item, until: float) -> Iterator[_SentItem]:
        """Return the items that were sent under the name and edition of an item up to a time."""
        return (sent_item for sent_item in self._by_edition.get((item.name, item.edition), ()) if sent_item.at <= until)

    def is_superseded(self, item: Item, until: float) -> bool:
        """Return whether a higher edition that may be in force was sent up to a time.

        A refused edition counts from the time at which it was read: it is in force although it was refused.
        """
        return any(
            sent_item.item.edition > item.edition
            and (not sent_item.refused or self._read_at.get((item.name, sent_item.item.edition), math.inf) <= until)
            for sent_item in self.sent_items(item.name, until)
        )


# ---- confirmed orders ---------------------------------------------------------------------------


def _check_decided_once(index: _OrderIndex) -> Iterator[Violation]:
    confirmed: dict[tuple[str, int], dict[bytes | None, OrderAttempt]] = defaultdict(dict)
    for attempts in index.attempts.values():
        first = next((attempt for attempt in attempts if attempt.confirmed), None)
        if first is None:
            continue
        for item in first.order.items:
            # An edition older than the one in force has no effect, and is acknowledged all the same.
            if not index.is_superseded(item, first.ended):
                confirmed[item.name, item.edition].setdefault(item.content, first)
    for (name, edition), contents in confirmed.items():
        if len(contents) > 1:
            orders = ", ".join(f"order {attempt.order.number} at {attempt.machine}" for attempt in contents.values())
            at = max(attempt.ended for attempt in contents.values())
            yield Violation(Rule.DECIDED_ONCE, name, at, f"edition {edition:x}: {orders}")


@dataclass(frozen=True)
class _EditionFloor:
    """The lowest edition of a name that later reads may return."""

    item: Item
    cause: str
    rule: Rule


def _check_read_back(history: History, index: _OrderIndex) -> Iterator[Violation]:
    reads = [read for read in history.reads if read.status == 200]
    events: list[tuple[float, int, OrderAttempt | Read]] = []
    events += [(attempt.ended, 0, attempt) for attempt in history.order_attempts if attempt.confirmed]
    events += [(read.ended, 0, read) for read in reads]
    events += [(read.began, 1, read) for read in reads]
    floors: dict[str, _EditionFloor] = {}
    for _, kind, event in sorted(events, key=lambda row: row[:2]):
        if isinstance(event, OrderAttempt):
            for item in event.order.items:
                _raise_floor(
                    floors,
                    _EditionFloor(
                        item, f"order {event.order.number} confirmed at {event.machine}", Rule.CONFIRMED_LOST
                    ),
                )
        elif kind == 0:
            for item in event.items:
                _raise_floor(floors, _EditionFloor(item, "read before", Rule.READ_WENT_BACK))
        else:
            yield from _check_read(event, floors, index)


def _raise_floor(floors: dict[str, _EditionFloor], floor: _EditionFloor) -> None:
    current = floors.get(floor.item.name)
    if current is None or floor.item.edition > current.item.edition:
        floors[floor.item.name] = floor


def _check_read(read: Read, floors: dict[str, _EditionFloor], index: _OrderIndex) -> Iterator[Violation]:
    """Compare one read with the floors that applied when it began."""
    read_items = {item.name: item for item in read.items}
    for name, floor in floors.items():
        required = floor.item
        item = read_items.get(name)
        if item is None:
            withdrawn = required.content is None or any(
                sent_item.item.content is None and sent_item.item.edition > required.edition and not sent_item.refused
                for sent_item in index.sent_items(name, read.ended)
            )
            if not withdrawn:
                detail = f"{required} ({floor.cause}) is absent"
                yield Violation(floor.rule, name, read.began, detail, f"at {read.machine}")
        elif item.edition < required.edition or (item.edition == required.edition and item.content != required.content):
            detail = f"{required} ({floor.cause}) is read as {item}"
            yield Violation(floor.rule, name, read.began, detail, f"at {read.machine}")
    for item in read.items:
        same_items = [sent_item for sent_item in index.sent_under_edition(item, read.ended) if sent_item.item == item]
        if not same_items:
            yield Violation(Rule.REFUSED_IN_FORCE, item.name, read.began, f"{item} was never sent")
        elif all(sent_item.refused for sent_item in same_items):
            detail = f"{item} of order {same_items[0].order.number} was refused and is read"
            yield Violation(Rule.REFUSED_IN_FORCE, item.name, read.began, detail, f"at {read.machine}")


# ---- refused orders -----------------------------------------------------------------------------


def _check_refusals(history: History, index: _OrderIndex) -> Iterator[Violation]:
    for attempts in index.attempts.values():
        order = attempts[0].order
        confirmed = next((attempt for attempt in attempts if attempt.confirmed), None)
        if not order.valid:
            if confirmed is not None and not _had_no_effect(order, confirmed, index):
                yield Violation(Rule.INVALID_CONFIRMED, order.items[0].name, confirmed.ended, f"order {order.number}")
            continue
        for attempt in attempts:
            if not attempt.refused:
                continue
            subject = order.items[0].name
            if confirmed is not None and not any(index.is_superseded(item, attempt.ended) for item in order.items):
                detail = f"order {order.number}: 200 at {confirmed.machine}, {attempt.status} at {attempt.machine}"
                yield Violation(Rule.REFUSED_AFTER_CONFIRMED, subject, attempt.ended, detail)
            elif attempt.status != 409 or not _has_rival(order, attempt.ended, index):
                detail = f"order {order.number}: {attempt.status} at {attempt.machine}"
                yield Violation(Rule.REFUSED_WITHOUT_CAUSE, subject, attempt.ended, detail)


def _had_no_effect(order: Order, confirmed: OrderAttempt, index: _OrderIndex) -> bool:
    """Return whether an invalid order had no effect and could not be told from an old one that used to be valid."""
    superseded = all(index.is_superseded(item, confirmed.ended) for item in order.items)
    return order.invalid is InvalidReason.IN_CONTEXT and superseded


def _has_rival(order: Order, until: float, index: _OrderIndex) -> bool:
    """Return whether other content was sent under the same edition."""
    return any(
        rival.order.valid and rival.item.content != item.content
        for item in order.items
        for rival in index.sent_under_edition(item, until)
    )


# ---- network partitions and recovery ------------------------------------------------------------


def _check_isolated(history: History, bounds: Bounds) -> Iterator[Violation]:
    for span in history.spans:
        since = span.began + bounds.edition + TIMING_SLACK

        def inside(event: OrderAttempt | Read, since: float = since, until: float = span.ended) -> bool:
            return event.began >= since and event.ended <= until

        for attempt in history.order_attempts:
            if attempt.machine not in span.isolated or not inside(attempt):
                continue
            detail = (
                f"order {attempt.order.number}: {attempt.status}, {attempt.began - span.began:.2f} s into {span.kind}"
            )
            if attempt.confirmed:
                yield Violation(Rule.ISOLATED_CONFIRMS, attempt.machine, attempt.ended, detail)
            elif attempt.refused and attempt.order.valid:
                yield Violation(Rule.ISOLATED_REFUSES, attempt.machine, attempt.ended, detail)
        for read in history.reads:
            if read.machine in span.isolated and inside(read) and read.status == 200:
                where = f"{read.began - span.began:.2f} s after its beginning"
                detail = f"{span.kind} at {span.began:.2f}"
                yield Violation(Rule.ISOLATED_READS, read.machine, read.ended, detail, where)


def _check_routes_in_use(history: History, index: _OrderIndex, bounds: Bounds) -> Iterator[Violation]:
    """Check requests on the operators' routes: the service that responds shows which edition the proxy uses.

    A 404 shows that the proxy has no such route.
    """
    floors: dict[str, list[tuple[float, Item]]] = defaultdict(list)
    for attempt in history.order_attempts:
        if attempt.confirmed:
            deadline = _propagation_deadline(attempt.ended, history, bounds)
            for item in attempt.order.items:
                floors[item.name].append((deadline, item))
    for call in history.calls:
        if not index.has_orders_for(call.route) or call.status not in (200, 404):
            continue
        required_items = [item for deadline, item in floors[call.route] if deadline + TIMING_SLACK <= call.began]
        if not required_items:
            continue
        floor = max(required_items, key=lambda item: item.edition)
        matching = [
            sent_item
            for sent_item in index.sent_items(call.route, call.ended)
            if sent_item.item.edition >= floor.edition and _matches_response(call, sent_item.item)
        ]
        if any(not sent_item.refused for sent_item in matching):
            continue
        rule = Rule.REFUSED_IN_FORCE if matching else Rule.STALE_CONFIGURATION
        response = f"{call.status} {call.service}".strip()
        detail = f"{response} though {floor} was confirmed"
        yield Violation(rule, call.route, call.began, detail, f"at {call.sidecar}")


def _matches_response(call: Call, item: Item) -> bool:
    if call.status == 404:
        return item.content is None
    return item.content is not None and item.service == call.service


def _propagation_deadline(confirmed: float, history: History, bounds: Bounds) -> float:
    """Return the time from which all proxies must use a confirmed edition.

    That time is later where no majority was available in the meantime.
    """
    deadline = confirmed + bounds.edition
    for span in sorted(history.spans, key=lambda span: span.began):
        if span.stalled and span.began < deadline and span.ended + bounds.contact > confirmed:
            deadline = max(deadline, span.ended + bounds.contact + bounds.edition)
    return deadline


def _check_recovery(history: History) -> Iterator[Violation]:
    for recovery in history.recoveries:
        if recovery.seconds > recovery.limit:
            took = f"{recovery.seconds:.2f} s" if math.isfinite(recovery.seconds) else "never"
            detail = f"{took} after {recovery.kind}, allowed {recovery.limit:.1f} s"
            yield Violation(Rule.LATE_RECOVERY, recovery.machine, recovery.at, detail)


# ---- requests -----------------------------------------------------------------------------------


def _check_runs(history: History) -> Iterator[Violation]:
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


def _check_responses(history: History) -> Iterator[Violation]:
    executed = set(history.runs)
    keys = {call.attempt: call.key for call in history.calls}
    first: dict[str, bytes] = {}
    for call in sorted(history.calls, key=lambda call: call.ended):
        for error in _response_errors(call, executed, keys, first):
            yield Violation(Rule.WRONG_RESPONSE, call.attempt, call.ended, error)


def _response_errors(call: Call, executed: set[str], keys: dict[str, str], first: dict[str, bytes]) -> Iterator[str]:
    """Yield what is wrong with one response; `first` holds the first response body of each key."""

    def is_own_attempt(other: str) -> bool:
        return other == call.attempt or (bool(call.key) and keys.get(other) == call.key)

    if call.status in NOT_RUN_STATUSES and (call.key or call.unsafe) and call.attempt in executed:
        yield f"{call.status} promises that the attempt has not run, but it ran"
    if call.key and call.status is not None and call.status not in KEYED_STATUSES:
        yield f"{call.status} to a keyed operation"
    if call.status != 200:
        return
    if not is_own_attempt(call.echoed_attempt):
        yield f"carries the attempt id {call.echoed_attempt!r}"
    if not is_own_attempt(call.executed_attempt):
        yield f"is the response to {call.executed_attempt!r}"
    elif call.executed_attempt not in executed:
        yield f"{call.executed_attempt} never ran"
    if call.key and first.setdefault(call.key, call.body) != call.body:
        yield "differs from the first response of its key"
