"""History of a run as observed from outside the mesh; all times are in seconds of one monotonic clock."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

RETRIABLE_4XX = frozenset({408, 429})  # 4xx statuses after which an order is sent again: they do not refuse it


@dataclass(frozen=True)
class Item:
    """One item of an order.

    `content` is None where the order withdraws the item; `service` is the service that serves requests on its route.
    """

    name: str
    edition: int
    content: bytes | None
    service: str = ""

    def __str__(self) -> str:
        return f"{self.name}@{self.edition:x}{'' if self.content is not None else ' (withdrawn)'}"


class InvalidReason(enum.Enum):
    """Why an order is invalid, if it is."""

    NONE = "valid"
    BY_ITSELF = "by itself"
    # The order contradicts the rest of the configuration. Once a higher edition supersedes it, it cannot be told from
    # an old order that used to be valid.
    IN_CONTEXT = "beside what stands"


@dataclass(frozen=True)
class Order:
    """One configuration change by an operator, which may be sent many times with the same bytes."""

    number: int
    operator: str
    items: tuple[Item, ...]
    invalid: InvalidReason = InvalidReason.NONE

    @property
    def valid(self) -> bool:
        """Whether the order may come into force."""
        return self.invalid is InvalidReason.NONE


@dataclass(frozen=True)
class OrderAttempt:
    """One attempt to send an order to one machine; `status` is None after a timeout or a broken connection."""

    order: Order
    machine: str
    began: float
    ended: float
    status: int | None

    @property
    def confirmed(self) -> bool:
        """Whether the machine acknowledged the order."""
        return self.status == 200

    @property
    def refused(self) -> bool:
        """Whether the machine refused the order for good."""
        return self.status is not None and 400 <= self.status < 500 and self.status not in RETRIABLE_4XX


@dataclass(frozen=True)
class Read:
    """One read of the configuration from a machine; `items` are the routes in the response."""

    machine: str
    began: float
    ended: float
    status: int | None
    items: tuple[Item, ...] = ()


@dataclass(frozen=True)
class Call:
    """One request of a client to a proxy."""

    sidecar: str
    route: str
    attempt: str
    began: float
    ended: float
    status: int | None
    key: str = ""
    unsafe: bool = False
    echoed_attempt: str = ""  # the attempt id in the response header
    executed_attempt: str = ""  # the attempt id of the run that produced the response, according to its body
    service: str = ""  # the service that responded
    body: bytes = b""


@dataclass(frozen=True)
class Span:
    """The period during which a fault lasted.

    `isolated` lists the machines that could not reach a majority; `stalled` tells that no machine could reach one.
    """

    kind: str
    machines: tuple[str, ...]
    began: float
    ended: float
    isolated: tuple[str, ...] = ()
    stalled: bool = False


@dataclass(frozen=True)
class Recovery:
    """How long a machine took to confirm an order after its fault ended; `seconds` is infinite if it never did."""

    kind: str
    machine: str
    at: float
    seconds: float
    limit: float


@dataclass
class History:
    """Everything observed during a run."""

    order_attempts: list[OrderAttempt] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)  # attempt ids, one entry for each run at a backend
    spans: list[Span] = field(default_factory=list)
    recoveries: list[Recovery] = field(default_factory=list)

    def events_around(self, subject: str, since: float, until: float) -> list[str]:
        """Return a line for each event in a period that concerns a name, machine, attempt or key, ordered by time."""
        rows: list[tuple[float, float, str]] = []
        for attempt in self.order_attempts:
            if subject == attempt.machine or any(item.name == subject for item in attempt.order.items):
                items = ", ".join(str(item) for item in attempt.order.items)
                line = f"order {attempt.order.number} [{items}] at {attempt.machine}: {attempt.status}"
                rows.append((attempt.began, attempt.ended, line))
        for read in self.reads:
            matching = [str(item) for item in read.items if item.name == subject]
            if matching or subject == read.machine:
                rows.append((read.began, read.ended, f"read at {read.machine}: {read.status} {', '.join(matching)}"))
        for call in self.calls:
            if subject in (call.attempt, call.key, call.route):
                line = f"call {call.attempt} on {call.route} at {call.sidecar}: {call.status} {call.service}"
                rows.append((call.began, call.ended, line))
        for span in self.spans:
            rows.append((span.began, span.ended, f"FAULT {span.kind} {','.join(span.machines)}"))
        return [
            f"{began:10.3f} +{ended - began:<6.3f} {line.rstrip()}"
            for began, ended, line in sorted(rows)
            if began <= until and ended >= since
        ]
