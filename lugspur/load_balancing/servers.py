"""What is known of servers, of the pools that they are in, and of requests and their attempts."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.event_rate import EventRate
from lugspur.load_balancing.model import DeduplicationScope, RequestId, ServerRow

DOWN_FIRST = 0.5  # seconds for which a server is left alone that took no connection, or no request...
DOWN_MOST = 4.0  # ...doubling to so many, each drawn anew from half to one and a half times that
STALE = 5.0  # seconds after which a silent server's latency counts half, the tier's the other half


class Server:
    """What an instance knows of one server of the next tier."""

    __slots__ = (
        "breaker",
        "cold_credit",
        "cold_seen",
        "down_until",
        "downs",
        "latency",
        "out",
        "row",
        "seen",
    )

    def __init__(self, row: ServerRow) -> None:
        self.row = row
        self.breaker: CircuitBreaker | None = None  # made at the first call: most rows of a big list see none
        self.out: dict[Attempt, None] = {}  # attempts in flight, oldest first
        self.latency = 0.0  # the breaker's current latency, failures counted as the time-out
        self.seen = 0.0
        self.cold_credit = self.cold_seen = 0.0
        self.downs = 0  # calls in a row that it did not take
        self.down_until = 0.0

    def turned_away(self, now: float, rng: Random) -> None:
        """It took no connection, or no request: leave it alone for a while, longer each time.

        Guards requests against a dead or full server that is still listed. With nothing in flight it looks
        idle whenever the others are busy, and a breaker that sees few calls passes it dozens of times, each
        at the cost of a dial. Drawn anew each time: instances must not all come back at the same moment.
        """
        self.downs += 1
        self.down_until = now + min(DOWN_MOST, DOWN_FIRST * 2.0 ** (self.downs - 1)) * (0.5 + rng.random())

    def took(self) -> None:
        """It has answered. What hangs or breaks proves nothing: it may have begun before the server died."""
        self.downs, self.down_until = 0, 0.0

    def learn(self, now: float, latency: float) -> None:
        """Move the latency that picks follow."""
        self.latency += (latency - self.latency) / 4.0 if self.latency > 0.0 else latency
        self.seen = now

    def score(self, now: float, pooled: float, unseen: float = 0.0) -> float:
        """Current latency x (in-flight + 1), with what others are taken to have in flight; lower is better.

        Guards against stale averages (a silent server drifts to the tier's latency: a recovered one is tried
        again) and against hung servers (an attempt out for longer than the current latency is a sample).
        """
        latency = pooled
        if self.latency > 0.0:
            fresh = STALE / (STALE + now - self.seen)
            latency += (self.latency - pooled) * fresh
        out = self.out
        if out:
            latency = max(latency, now - next(iter(out)).since)
        return latency * (len(out) + unseen + 1.0)

    def mostly_fails(self, now: float) -> bool:
        """Whether it is an outlier by its breaker."""
        return self.breaker is not None and self.breaker.is_outlier(now)


class Attempt:
    """One send of a request."""

    __slots__ = ("maybe_ran", "open", "sent", "server", "since", "strained")

    def __init__(self, server: Server, sent: float) -> None:
        self.server = server
        self.sent = sent
        self.since = sent  # when the server could begin
        self.open = True
        self.maybe_ran = True  # until its outcome proves otherwise
        self.strained = False  # whether its end speaks of too much work for the servers there are


class Request:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "attempts",
        "begun",
        "bound",
        "cost",
        "counted",
        "deadline",
        "done",
        "id",
        "kind",
        "most",
        "open",
        "partial",
        "until",
    )

    def __init__(self, rid: RequestId, kind: int, deadline: float, most: int) -> None:
        self.id = rid
        self.most = most  # attempts, by the settings that it began with
        self.kind = kind
        self.deadline = deadline
        self.until = deadline  # no attempt is waited for longer than this
        self.attempts: list[Attempt] = []
        self.open = 0
        self.done = False
        self.cost = 1.0  # the work that is expected of it
        self.bound = False  # a part of it has passed: the request belongs to one attempt
        self.begun = False  # its answer has begun
        self.partial = False  # a part of it is still to come from its client: no server works on it
        self.counted = False  # whether it counts among those that wait for an answer

    def first_maybe(self) -> Attempt | None:
        """The first attempt that may have run, or may be running."""
        return next((a for a in self.attempts if a.maybe_ran), None)


class Pool:
    """The servers that some of the classes may go to, and the slice of them that ordinary picks draw from.

    Guards placement: every pick, first or further, comes from a list that holds open servers alone.
    """

    __slots__ = (
        "begin",
        "born",
        "breaker",
        "ends",
        "groups",
        "kinds",
        "owed",
        "rate",
        "ready",
        "sent",
        "served",
        "warm_from",
        "warm_part",
        "width",
        "working",
        "zones",
    )

    def __init__(self, kinds: Sequence[int] | None, zones: Sequence[int] | None) -> None:
        self.kinds = kinds
        self.zones = zones
        self.ready: list[Server] = []
        self.working: list[Server] = []  # the part of `ready` that ordinary picks draw from...
        self.ends: list[float] = []  # ...where each one's stretch of the slice ends, by size...
        self.begin = self.width = 0.0  # ...and the slice
        self.groups: dict[
            tuple[DeduplicationScope, int], list[Server]
        ] = {}  # which servers drop each other's repeats
        self.rate, self.sent, self.served = (
            EventRate(),
            EventRate(),
            EventRate(),
        )  # requests offered, attempts, served
        self.born = float("inf")  # when the first request came
        self.owed = 0  # requests that a final answer is owed for
        self.breaker = CircuitBreaker()  # of requests, whichever servers they went to
        self.warm_from = float("inf")  # when the next of the cold servers is warm
        self.warm_part = 1.0

    def opens(self, row: ServerRow) -> bool:
        """Whether the classes of this pool may go to this server."""
        return (self.kinds is None or row.host_type in self.kinds) and (
            self.zones is None or row.zone in self.zones
        )

    def part_rate(self, now: float) -> float:
        """What each server of the slice gets from here, in calls a second.

        By calls sent: refused clients come back and count again. Where all are cold, by calls offered.
        """
        rate = self.warm_part * self.sent.per_second(now) + (1.0 - self.warm_part) * self.rate.per_second(now)
        return rate / max(1, len(self.working))
