"""What happened in a run, as seen from outside; times are seconds of one monotonic clock."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

RETRIED = frozenset({408, 429})  # statuses of the 4xx that are no final refusals


@dataclass(frozen=True)
class Item:
    """One item of an order; no content: it is withdrawn. `service`: the service that a request on it shows."""

    name: str
    edition: int
    content: bytes | None
    service: str = ""

    def __str__(self) -> str:
        return f"{self.name}@{self.edition:x}{'' if self.content is not None else ' (withdrawn)'}"


class Invalid(enum.Enum):
    """Why an order is invalid."""

    NO = "valid"
    ITSELF = "by itself"
    BESIDE_OTHERS = "beside what stands"  # it can't be told from an old one that was right once, when it is overtaken


@dataclass(frozen=True)
class Order:
    """One call of an operator, which may be sent many times with the same bytes."""

    ident: int
    operator: str
    items: tuple[Item, ...]
    invalid: Invalid = Invalid.NO

    @property
    def valid(self) -> bool:
        """Whether it may come into force."""
        return self.invalid is Invalid.NO


@dataclass(frozen=True)
class OrderTry:
    """One sending of an order to one machine; no status: silence or a broken connection."""

    order: Order
    machine: str
    began: float
    ended: float
    status: int | None

    @property
    def confirmed(self) -> bool:
        """Whether it was acknowledged."""
        return self.status == 200

    @property
    def refused(self) -> bool:
        """Whether it was refused for good."""
        return self.status is not None and 400 <= self.status < 500 and self.status not in RETRIED


@dataclass(frozen=True)
class Read:
    """One answer to a read of the configuration: the items of routes, by name."""

    machine: str
    began: float
    ended: float
    status: int | None
    items: tuple[Item, ...] = ()


@dataclass(frozen=True)
class Call:
    """One request of a client at a proxy."""

    sidecar: str
    route: str
    attempt: str
    began: float
    ended: float
    status: int | None
    key: str = ""
    unsafe: bool = False
    echoed: str = ""  # the attempt id of the answer's header
    ran: str = ""  # the attempt id of the run whose answer it is, by the body
    service: str = ""  # the service that answered
    body: bytes = b""


@dataclass(frozen=True)
class Span:
    """A fault while it lasted. `isolated`: machines without a majority; `stalled`: no majority was there at all."""

    kind: str
    machines: tuple[str, ...]
    began: float
    ended: float
    isolated: tuple[str, ...] = ()
    stalled: bool = False


@dataclass(frozen=True)
class Recovery:
    """How long a machine took to confirm an order again after its fault was over; infinite if it did not."""

    kind: str
    machine: str
    at: float
    seconds: float
    limit: float


@dataclass
class History:
    """Everything that was seen."""

    tries: list[OrderTry] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)  # attempt ids, once for each run at a backend
    spans: list[Span] = field(default_factory=list)
    recoveries: list[Recovery] = field(default_factory=list)

    def around(self, subject: str, since: float, until: float) -> list[str]:
        """Lines of what concerns a subject (a name, a machine, an attempt or a key) in a time, in order."""
        rows: list[tuple[float, float, str]] = []
        for sent in self.tries:
            if subject == sent.machine or any(item.name == subject for item in sent.order.items):
                what = ", ".join(str(item) for item in sent.order.items)
                line = f"order {sent.order.ident} [{what}] at {sent.machine}: {sent.status}"
                rows.append((sent.began, sent.ended, line))
        for read in self.reads:
            found = [str(item) for item in read.items if item.name == subject]
            if found or subject == read.machine:
                rows.append((read.began, read.ended, f"read at {read.machine}: {read.status} {', '.join(found)}"))
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
