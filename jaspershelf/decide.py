"""All decisions of the balancer: which server, whether at all, again, or not any more.

Interface (settings, list rows, outcomes, actions): jaspershelf/model.py.

Pure and sans-I/O: every method takes the time, returns the actions to carry out, and reads no clock.
All randomness comes from the seed. The mechanism is that of go-zero PR #5366 with SRE-book throttling
(docs/design.md): each server has a breaker that refuses locally with the larger of an error chance and
a latency chance; of two random ready servers the one with the lower latency x (in-flight + 1) is taken.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from math import exp, log, sqrt
from random import Random

from jaspershelf.model import (
    NEVER_RAN,
    Action,
    Cancel,
    Discovery,
    Fail,
    Group,
    Learned,
    LearnedBreaker,
    LearnedPool,
    LearnedServer,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestId,
    Send,
    ServerId,
    ServerRow,
    Settings,
    State,
    Subscribe,
    Timer,
)

WINDOW = 10.0  # seconds that the error ratio looks back
BUCKETS = 40
K = 1.5  # accepted calls are worth this many requests...
MIN_K = 1.1  # ...and this many when every recent bucket fails
PROTECTION = 5  # requests that never count against a server
OUTLIER_LEAST = 2  # failures in the window that make an outlier of a server where they are most of its calls
FORCE_PASS = 1.0  # seconds between calls that pass whatever the ratio
DOWN_FIRST = 0.5  # seconds for which a server is left alone that took no connection, or no request...
DOWN_MOST = 4.0  # ...doubling to so many, each drawn anew from half to one and a half times that
ACTIVATION = 3.0  # the latency chance starts at this multiple of the baseline...
CEILING = 0.95  # ...and is full at this part of the timeout...
LATENCY_CAP = 0.3  # ...where it has this value

AIM_PART = 0.98  # attempts end this early in the wanted time: the answer still has to reach the client
LATE_KEPT = 0.5  # classes whose late answers keep more of their worth are waited for

DRAWS = 8  # random draws for two candidates, at most
EXTRA_FREE = 5.0  # further attempts in any span where no retry budget is stated...
EXTRA_SHARE = 0.2  # ...and for each request taken in it: more would feed an overload...
EXTRA_SPAN = 10.0  # ...over so many seconds
EDGE = 1e-5  # seconds by which a span is read to the budget's disadvantage: clocks are rounded
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which repeats are sent

STALE = 5.0  # seconds after which a silent server's latency counts half, the tier's the other half
BACK_FROM, BACK_TO = 0.5, 3.0  # seconds after operators put a server back: its first call is due then
WORKING_SPREAD = 1.0  # servers of a slice beyond the first, for each root of the calls usually in flight
WORKING_EVERY = 3.0  # seconds between looks at the size of the working set

ROOM = 0.7  # the dearest class is taken while the tier's expected latency is under this part of its aim...
ROOM_LEAST = 0.35  # ...one worth nothing under this part
ROOM_LOST = 0.57  # ...each shrinks to this part of itself, at servers that lose what they are sent...
ROOM_SLOPE = 8.0  # ...which it reaches where one request in so many fails
ROOM_TRIED = 0.1  # part of the offered rate that counts as served: stuck requests must not hold all room
ROOM_ALWAYS = 3.0  # requests that are taken whatever was served lately: a start, a proxy with few calls...
ROOM_CHANCE = 2.0  # ...and so many for each server of its part, beyond one by the root: what comes by chance
SHARE_SPAN = 5.0  # seconds of its share that a tenant may use at once: a burst, not a surplus

POOL_PROTECTION = 1.0  # requests that never count against a pool: all of a proxy's calls fill its window...
POOL_KEEPS = 0.85  # ...worthless requests are refused beyond 1 / this times those served...
POOL_WORTH = 0.45  # ...the dearest beyond 1 / (this less)

PACED = 16  # answers before the baseline by cost refuses anything: the first may have stood in a queue
HOPELESS = 0.6  # a request needs this part of that baseline at least: costs are hints, servers differ

LENGTHS_MOST = 256  # lengths of tries that are told apart; rarer ones are forgotten first

#: Outcomes that speak of too much work for the servers there are.
STRAIN = frozenset({Outcome.FULL, Outcome.TIMEOUT, Outcome.UNREACHABLE})

SUBSCRIBE = 1  # timer token


class Breaker:
    """The design's chance of refusing locally: a call to one server, or any request of a pool."""

    __slots__ = (
        "_accepts", "_failing", "_failures", "_requests", "_ring", "_width", "baseline", "current",
        "last_pass",
    )

    def __init__(self, window: float = WINDOW) -> None:
        self._width = window / BUCKETS
        self._ring: deque[list[int]] = deque()  # [bucket number, requests, accepts, failures]
        self._requests = self._accepts = self._failures = self._failing = 0
        self.baseline = self.current = 0.0
        self.last_pass = float("-inf")

    def _count(self, now: float) -> list[int]:
        """The bucket of now, with one more request in it."""
        number = int(now / self._width)
        ring = self._ring
        if not ring or ring[-1][0] < number:
            self._expire(number)
            ring.append([number, 0, 0, 0])
        ring[-1][1] += 1
        self._requests += 1
        return ring[-1]

    def _expire(self, number: int) -> None:
        ring = self._ring
        while ring and ring[0][0] <= number - BUCKETS:
            old = ring.popleft()
            self._requests -= old[1]
            self._accepts -= old[2]
            self._failures -= old[3]
        self._failing = min(self._failing, len(ring))

    def save(self) -> LearnedBreaker:
        """What it counted, for one that goes on in its place."""
        return LearnedBreaker(self.baseline, self.current, tuple((n, r, a, f) for n, r, a, f in self._ring))

    def load(self, learned: LearnedBreaker) -> None:
        """Go on where another was."""
        self.baseline, self.current = learned.baseline, learned.current
        self._ring = deque([list(bucket) for bucket in learned.window[-BUCKETS:]])
        _, self._requests, self._accepts, self._failures = (
            [sum(column) for column in zip(*self._ring, strict=True)] if self._ring else [0, 0, 0, 0])
        self._failing = 0

    def refused(self, now: float) -> None:
        """Count a call refused here."""
        self._count(now)

    def accepted(self, now: float) -> None:
        """Count a call that the server accepted."""
        self._count(now)[2] += 1
        self._accepts += 1
        self._failing = 0

    def failed(self, now: float) -> None:
        """Count an error, time-out, full refusal or failed connection."""
        bucket = self._count(now)
        if not bucket[2] and not bucket[3]:
            self._failing += 1  # newest run of buckets that only failed
        bucket[3] += 1
        self._failures += 1

    def sample(self, latency: float) -> None:
        """Move both averages by the latency of a success."""
        if self.current <= 0.0:
            self.baseline = self.current = latency
            return
        weight = 4.0 if latency < self.baseline else 100.0
        self.baseline += (latency - self.baseline) / weight
        self.current += (latency - self.current) / 4.0

    def failed_part(self, now: float) -> float:
        """The part of the calls that failed, of those not refused here."""
        self._expire(int(now / self._width))
        return self._failures / (self._failures + self._accepts + PROTECTION)

    def mostly_fails(self, now: float) -> bool:
        """Whether most of the calls that went out failed, and not just one."""
        self._expire(int(now / self._width))
        return self._failures >= OUTLIER_LEAST and self._failures > self._accepts

    def error_ratio(self, now: float, most: float = K, protection: float = PROTECTION) -> float:
        """Adaptive throttling over the window; K falls as the newest failing buckets grow."""
        self._expire(int(now / self._width))
        k = most - (most - MIN_K) * self._failing / BUCKETS
        return max(0.0, (self._requests - protection - k * self._accepts) / (self._requests + 1))

    def latency_ratio(self, timeout: float) -> float:
        """The capped chance for a current latency far over the baseline; 0 without a usable timeout."""
        threshold = ACTIVATION * self.baseline
        span = CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        return min(max((self.current - threshold) / span * LATENCY_CAP, 0.0), LATENCY_CAP)

    def drop_probability(self, now: float, timeout: float) -> float:
        """The larger of the two chances."""
        return max(self.error_ratio(now), self.latency_ratio(timeout))

    def refuses(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to refuse this call; one call a second passes while calls are dropped."""
        chance = self.drop_probability(now, timeout)
        if chance <= 0.0:
            return False
        if now - self.last_pass < FORCE_PASS and rng.random() < chance:
            self.refused(now)
            return True
        self.last_pass = now
        return False


class Rate:
    """Events a second, smoothed over two seconds."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.read(now) + 0.5
        self._at = now

    def save(self) -> tuple[float, float]:
        """Its value, and as of when."""
        return self._value, self._at

    def load(self, saved: tuple[float, float]) -> None:
        """Go on where another was."""
        self._value, self._at = saved

    def read(self, now: float) -> float:
        """The rate as of now."""
        return self._value * max(0.0, 1.0 - (now - self._at) / 2.0)


class Budget:
    """The retry budget: attempts beyond each request's first against the requests taken, in any span.

    Guards against retries that feed an overload, and keeps the rule where one is stated. Could harm where
    many first attempts fail for other causes than load: what would be saved by a second is lost.
    """

    __slots__ = ("_extra", "_free", "_share", "_span", "_taken")

    def __init__(self, free: float, share: float, span: float) -> None:
        self._free, self._share, self._span = free, share, span
        self._taken: deque[float] = deque()
        self._extra: deque[float] = deque()

    def adopt(self, other: Budget) -> None:
        """Go on by another's figures, with what was taken and spent so far."""
        self._free, self._share, self._span = other._free, other._share, other._span

    def allot(self, free: float) -> None:
        """So many further attempts are free in any span, from now on: those who share the budget are more or fewer."""
        self._free = free

    def take(self, now: float) -> None:
        """Count a request taken, refused ones too."""
        self._taken.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Whether one more further attempt may be sent now."""
        self._expire(now)
        return len(self._extra) + 1.0 <= self._free + self._share * len(self._taken)

    def spend(self, now: float) -> None:
        """Count a further attempt."""
        self._extra.append(now)

    def _expire(self, now: float) -> None:
        while self._taken and self._taken[0] <= now - self._span + EDGE:
            self._taken.popleft()
        while self._extra and self._extra[0] < now - self._span - EDGE:
            self._extra.popleft()


class Server:
    """What an instance knows of one server of the next tier."""

    __slots__ = (
        "breaker", "cold_credit", "cold_seen", "down_until", "downs", "latency", "out", "row", "seen",
    )

    def __init__(self, row: ServerRow) -> None:
        self.row = row
        self.breaker: Breaker | None = None  # made at the first call: most rows of a big list see none
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
        return self.breaker is not None and self.breaker.mostly_fails(now)


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
        "attempts", "begun", "bound", "cost", "counted", "deadline", "done", "id", "kind", "most", "open",
        "partial", "until",
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

    __slots__ = ("begin", "born", "breaker", "ends", "groups", "kinds", "owed", "rate", "ready", "sent",
                 "served", "warm_from", "warm_part", "width", "working", "zones")

    def __init__(self, kinds: Sequence[int] | None, zones: Sequence[int] | None) -> None:
        self.kinds = kinds
        self.zones = zones
        self.ready: list[Server] = []
        self.working: list[Server] = []  # the part of `ready` that ordinary picks draw from...
        self.ends: list[float] = []  # ...where each one's stretch of the slice ends, by size...
        self.begin = self.width = 0.0  # ...and the slice
        self.groups: dict[tuple[Group, int], list[Server]] = {}  # which servers drop each other's repeats
        self.rate, self.sent, self.served = Rate(), Rate(), Rate()  # requests offered, attempts, served
        self.born = float("inf")  # when the first request came
        self.owed = 0  # requests that a final answer is owed for
        self.breaker = Breaker()  # of requests, whichever servers they went to
        self.warm_from = float("inf")  # when the next of the cold servers is warm
        self.warm_part = 1.0

    def opens(self, row: ServerRow) -> bool:
        """Whether the classes of this pool may go to this server."""
        return (self.kinds is None or row.kind in self.kinds) and (
            self.zones is None or row.zone in self.zones)

    def part_rate(self, now: float) -> float:
        """What each server of the slice gets from here, in calls a second.

        By calls sent: refused clients come back and count again. Where all are cold, by calls offered.
        """
        rate = self.warm_part * self.sent.read(now) + (1.0 - self.warm_part) * self.rate.read(now)
        return rate / max(1, len(self.working))


class Balancer:
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[ServerId, Server] = {}
        places = {(c.only_kinds, c.only_zones): Pool(c.only_kinds, c.only_zones) for c in settings.classes}
        self.pools = list(places.values())
        self.pool_of = [places[c.only_kinds, c.only_zones] for c in settings.classes]
        tenants = () if settings.tier else settings.tenants  # only the first tier sheds by share
        self.shares = [t.quota / settings.balancers for t in tenants]  # what of each is due here...
        self.due = [1.0 + SHARE_SPAN * share for share in self.shares]  # ...how many requests of it now...
        self.due_at = [0.0] * len(self.due)  # ...as of then
        self.look_at = 0.0
        self.pooled = 0.0  # current latency of the tier
        self.requests: dict[RequestId, Request] = {}
        rules = settings.rules
        self.budget = Budget(EXTRA_FREE, EXTRA_SHARE, EXTRA_SPAN)
        if rules.extra_span > 0.0:
            self.budget = Budget(rules.extra_free, rules.extra_share, rules.extra_span)
        self.asking = False
        self.backoff = 1.0
        dearest = max(c.worth for c in settings.classes) or 1.0
        span = (ROOM - ROOM_LEAST) / dearest
        self.room = [c.aim * (ROOM_LEAST + span * c.worth) for c in settings.classes]
        self.pace = 0.0  # baseline of latency for each unit of cost...
        self.paced = 0  # ...and the answers behind it
        self.accept_worth = [1.0 / (POOL_KEEPS - POOL_WORTH * c.worth / dearest) for c in settings.classes]
        self.lengths: list[dict[int, int]] = [{} for _ in settings.classes]  # of tries, in steps of 2%...
        self.usual = [0] * len(settings.classes)  # ...and the commonest
        self.retired = False  # another goes on in its place
        self.back: dict[Server, float] = {}  # put back, and when a call is due where none has come

    def adopt(self, now: float, settings: Settings) -> None:
        """Go on by other settings, keep what was learned of servers; raises ValueError and changes nothing.

        Guards requests that are open: each is judged by the class that it began with, so that one must stand
        at the same place as before. A pool stays when no class is bound to its servers any more: there are as
        many as ways in which classes were ever bound.
        """
        settings.check()
        before, after = self.settings.classes, settings.classes
        for request in self.requests.values():
            if request.kind >= len(after) or after[request.kind] != before[request.kind]:
                raise ValueError(f"classes[{request.kind}]: a request of it is open")
        fresh = Balancer(settings, 0)
        for kind, row in enumerate(before[:len(after)]):
            if row == after[kind]:
                fresh.lengths[kind], fresh.usual[kind] = self.lengths[kind], self.usual[kind]
        self.settings = settings
        places = {(pool.kinds, pool.zones): pool for pool in self.pools}
        for row in after:
            places.setdefault((row.only_kinds, row.only_zones), Pool(row.only_kinds, row.only_zones))
        self.pools = list(places.values())
        self.pool_of = [places[row.only_kinds, row.only_zones] for row in after]
        self.shares, self.due, self.due_at = fresh.shares, fresh.due, fresh.due_at
        self.room, self.accept_worth = fresh.room, fresh.accept_worth
        self.lengths, self.usual = fresh.lengths, fresh.usual
        self.budget.adopt(fresh.budget)
        self._arrange(now)

    # ---- going on in another's place -------------------------------------------------------

    def learned(self, among: Sequence[ServerId] | None = None) -> Learned:
        """What was learned, but for requests: they end where they began. `among`: of these servers alone."""
        if among is None:
            among = tuple(self.servers)
        found = (self.servers[server] for server in among if server in self.servers)
        return Learned(
            tuple(LearnedServer(
                s.row.server, s.row.started, s.latency, s.seen, s.downs, s.down_until,
                s.cold_credit, s.cold_seen, s.breaker.save() if s.breaker is not None else None,
            ) for s in found),
            tuple(LearnedPool(
                (p.rate.save(), p.sent.save(), p.served.save()), p.born if p.born < float("inf") else None,
                p.breaker.save(),
            ) for p in self.pools),
            self.pooled, self.pace, self.paced,
        )

    def recall(self, now: float, learned: Learned) -> None:
        """Go on with what another learned; call it once the list is there, before the first request.

        A server counts as the same by its name and its start: of one that was restarted nothing holds.
        """
        self.pooled, self.pace, self.paced = learned.pooled, learned.pace, learned.paced
        for known in learned.servers:
            server = self.servers.get(known.server)
            if server is None or server.row.started != known.started:
                continue
            server.latency, server.seen = known.latency, known.seen
            server.downs, server.down_until = known.downs, known.down_until
            server.cold_credit, server.cold_seen = known.cold_credit, known.cold_seen
            if known.breaker is not None:
                server.breaker = Breaker()
                server.breaker.load(known.breaker)
        if len(learned.pools) == len(self.pools):
            for pool, saved in zip(self.pools, learned.pools, strict=True):
                for rate, value in zip((pool.rate, pool.sent, pool.served), saved.rates, strict=True):
                    rate.load(value)
                pool.born = float("inf") if saved.born is None else saved.born
                pool.breaker.load(saved.breaker)
        self._resize(now)

    def put_back(self, now: float, server_id: ServerId) -> None:
        """Operators say that this server may serve again.

        Guards it against being left out for long where calls are few: cold servers are drawn seldom. One call
        goes to it at some moment that differs from instance to instance, so that they don't come together.
        """
        server = self.servers.get(server_id)
        if server is not None:
            self.back[server] = now + BACK_FROM + (BACK_TO - BACK_FROM) * self.rng.random()

    def retire(self, on: bool) -> None:
        """Another goes on in its place (or does not): cold servers get their budget from that one alone.

        Guards cold servers: two that follow each other are one proxy, and both budgets would add up.
        """
        self.retired = on

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Call once, after the first list was given."""
        if self.settings.discovery is not Discovery.ON_REQUEST:
            return []
        # All instances start together: spread the first calls over what the rules allow unasked.
        return self._ask_in(now, 0.4 * self.settings.rules.ask_within * self.rng.random())

    def _ask_in(self, now: float, delay: float) -> list[Action]:
        if self.asking:
            return []
        self.asking = True
        return [Timer(now + delay, SUBSCRIBE)]

    def members(self, now: float, kind: ListKind, rows: Sequence[ServerRow]) -> list[Action]:
        """A list, a change to it, or the news that a call to discovery failed."""
        if kind is ListKind.BROKEN:
            # Jittered and doubling: every instance lost the same service at the same time.
            delay = self.backoff * (0.5 + self.rng.random())
            self.backoff = min(2.0 * self.backoff, max(1.0, self.settings.rules.ask_within))
            return self._ask_in(now, delay)
        if kind is not ListKind.STALE:
            self.backoff = 1.0
        if kind is not ListKind.PATCH:
            listed = {row.server for row in rows}
            for server in self.servers.values():
                if server.row.server not in listed:
                    # Size and start time are kept: it may come back as the same process, still cold.
                    server.row = replace(server.row, state=State.GONE)
        for row in rows:
            known = self.servers.get(row.server)
            if known is None:
                self.servers[row.server] = Server(row)
                continue
            if row.started > known.row.started:
                known.breaker = None  # a new process: nothing learned of the old one holds
                known.latency = 0.0
                # The phase is drawn anew too: a credit counted from before the restart would be full at
                # every instance at once, and the first call of each would push the cold server over.
                known.cold_credit = known.cold_seen = 0.0
                known.took()
            known.row = row
        self._forget(now)
        self._arrange(now)
        return []

    def _forget(self, now: float) -> None:
        """Guards memory against servers that are replaced under new ids for as long as the program runs.

        One that is gone stays while attempts are out, and while it would still be cold: it may come back as
        the same process.
        """
        for key, server in tuple(self.servers.items()):
            if server.row.state is State.GONE and not server.out and self._cold_until(server) <= now:
                del self.servers[key]
                self.back.pop(server, None)

    def _arrange(self, now: float) -> None:
        """Rebuild the lists of ready servers; drained and gone ones leave them at once."""
        # A ring in scattered order, the same at every instance.
        ready = [s for s in self.servers.values() if s.row.state is State.UP]
        ready.sort(key=lambda s: (s.row.server * 0x9E3779B1 & 0xFFFFFFFF, s.row.server))
        for pool in self.pools:
            pool.ready = [s for s in ready if pool.opens(s.row)]
            pool.groups = {}
            for server in pool.ready:
                pool.groups.setdefault((Group.ZONE, server.row.zone), []).append(server)
                pool.groups.setdefault((Group.CELL, server.row.cell), []).append(server)
        self._resize(now)

    def _resize(self, now: float) -> None:
        """Choose the slice of each pool's ring that ordinary calls are spread over.

        Guards against sparse windows: with few calls to many servers a breaker never leaves its protection,
        averages go stale, and the own in-flight says nothing. Acts where there are other instances. A
        server's stretch is as long as its size; whole steps cover every server alike.
        """
        self.look_at = now + WORKING_EVERY
        for pool in self.pools:
            total = sum(s.row.size or 1.0 for s in pool.ready)
            mean = total / max(1, len(pool.ready))
            want = mean * (1.0 + WORKING_SPREAD * sqrt(pool.rate.read(now) * self.pooled))
            step = total / self.settings.balancers  # only whole steps cover every server alike
            pool.width = min(total, step * max(1, round(want / step))) if total else 0.0
            pool.begin = step * self.settings.me
            pool.working = []
            pool.ends = []
            at = 0.0
            for _ in range(2):  # the slice may reach past the ring's end
                for server in pool.ready:
                    at += server.row.size or 1.0
                    if pool.begin < at and at - (server.row.size or 1.0) < pool.begin + pool.width:
                        pool.working.append(server)
                        pool.ends.append(at)
            self._count_warm(now, pool)

    def _count_warm(self, now: float, pool: Pool) -> None:
        until = [self._cold_until(s) for s in pool.working]
        cold = [t for t in until if t > now]
        pool.warm_from = min(cold, default=float("inf"))
        pool.warm_part = 1.0 - len(cold) / len(until) if until else 1.0

    def _cold_until(self, server: Server) -> float:
        started = server.row.started
        return started + self.settings.rules.cold_for if started > 0.0 else 0.0

    def _spares_cold(self, now: float, server: Server, pool: Pool) -> bool:
        """Whether a cold server is passed over for this call.

        Guards against pushing it over: this instance alone gives it at most the part of a warm peer's
        share that it can do for certain, both on average (a draw) and in any short span (a budget).
        """
        if self.retired:
            return True
        rules = self.settings.rules
        age = max(0.0, now - server.row.started)
        part = rules.cold_from + (1.0 - rules.cold_from) * min(1.0, age / max(rules.cold_for, 1e-6))
        draws = min(float(DRAWS), 2.0 / max(pool.warm_part, 0.01))
        if self.rng.random() >= part / draws:
            return True
        pace = 2.0 * part * sum(p.part_rate(now) for p in self.pools if p.opens(server.row))
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same moment
            server.cold_seen = now
        most = max(1.0, pace * rules.fall_after)
        server.cold_credit = min(most, server.cold_credit + pace * (now - server.cold_seen))
        server.cold_seen = now
        return server.cold_credit < 1.0

    # ---- requests ------------------------------------------------------------------------

    def request(
        self, now: float, rid: RequestId, kind: int = 0, tenant: int = 0, deadline: float | None = None,
        cost: float = 0.0, retry: bool = False, partial: bool = False,
    ) -> list[Action]:
        """A new request; exactly one final answer is owed from here on.

        `partial`: a part of it is still to come, and `whole` will tell when it is there.
        """
        self.settings.check_request(kind, tenant, deadline, cost)
        if rid in self.requests:
            raise ValueError(f"rid: {rid!r} is open already")
        if deadline is None:
            deadline = now + self.settings.classes[kind].deadline
        request = Request(rid, kind, deadline, self.settings.limits.max_attempts)
        request.until = self._worth_until(now, kind, deadline, retry)
        self.requests[rid] = request
        self.budget.take(now)
        pool = self.pool_of[kind]
        pool.rate.add(now)
        if now >= self.look_at:
            self._resize(now)
        out: list[Action] = []
        request.partial = partial
        self._count(request, not partial)
        pool.born = min(pool.born, now)
        request.cost = cost or 1.0
        # Guards against work that cannot end in time: a heavy request, a caller with too little time left.
        hopeless = now + self._least(request) >= request.until
        if hopeless:
            self.pace *= 0.94  # a refusal teaches nothing: no unfair baseline stays for good
        over = self._over_share(now, tenant)
        taken = not hopeless and self._admits(now, kind, over)
        # The list stands in for a dead slice, less its cold servers: others' slices share their budget.
        rest = (pool.working, True), (pool.ready, False)
        if not taken or not any(self._send(now, request, among, first, out) for among, first in rest):
            self._answer(now, request, out)
        return out

    def _least(self, request: Request) -> float:
        return HOPELESS * self.pace * request.cost if self.paced >= PACED else 0.0

    def _over_share(self, now: float, tenant: int) -> bool:
        """Whether a request is beyond its tenant's share, by a token bucket filled at this instance's part.

        Guards the others against one tenant's burst: what is over the share is worth little and goes first.
        Acts where requests fail, in the measure that they do. Could harm where one instance has most of a
        tenant's traffic: its part of the share is soon used up.
        """
        share = self.shares[tenant] if self.shares else 0.0
        if share <= 0.0:
            return False
        due = self.due[tenant] + share * (now - self.due_at[tenant])
        self.due[tenant] = due = min(due, 1.0 + SHARE_SPAN * share)
        self.due_at[tenant] = now
        if due < 1.0:
            return True
        self.due[tenant] -= 1.0
        return False

    def _always(self, pool: Pool) -> float:
        """How many requests may be owed here whatever was served lately.

        Guards thin traffic: what one of many proxies has in hand by chance is no queue while servers could
        take it. Chance goes with the root of the part of the tier that is this proxy's; never more than two a
        server, one in work and one that waits, so that all proxies together stay under that sum.
        """
        part = len(pool.ready) / self.settings.balancers
        return ROOM_ALWAYS + ROOM_CHANCE * min(part, sqrt(part))

    def _admits(self, now: float, kind: int, over: bool) -> bool:
        """Whether the tiers below can be expected to serve one more request of this class in time.

        Guards against overload: what would end late is refused at once, before it costs work, and the
        cheapest class first. Acts at the first tier alone (a refusal further down wastes the work above), by
        pool, so that a jam of a bound class holds no room of the others: once the requests owed, over those
        served a second, make a wait too long for the class, or by the design's throttle over whole requests.
        The wait shrinks with the part that fails: queues that lose requests must drain before they serve.
        The throttle guards against sparse windows: at many proxies each breaker of one server stays under its
        protection while all of them fail. Could harm: a short burst at a proxy with few calls is refused.
        """
        if self.settings.tier:
            return True
        pool = self.pool_of[kind]
        shrink = min(1.0, ROOM_SLOPE * pool.breaker.failed_part(now))
        room = (1.0 - (1.0 - ROOM_LOST) * shrink) * self.room[kind]
        if over:
            room *= 1.0 - (1.0 - self.settings.over_share_worth) * shrink
        age = now - pool.born
        # Guards the start: nothing can have been served yet, and smoothed rates still count from zero.
        served = pool.rate.read(now) * (1.0 if age < room else ROOM_TRIED)
        served = max(served, pool.served.read(now))
        served /= 1.0 - exp(-max(age, 0.2) / 2.0)
        if pool.owed > room * served + self._always(pool):
            return False
        if self.rng.random() < pool.breaker.error_ratio(now, self.accept_worth[kind], POOL_PROTECTION):
            pool.breaker.refused(now)
            return False
        return True

    def _worth_until(self, now: float, kind: int, deadline: float, retry: bool) -> float:
        """Until when an answer earns something.

        Guards against work for answers that are worth little: servers full of it keep timely ones waiting.
        Acts where late answers lose half or more. First tries of a class all last alike and are the
        commonest; another length is a client's last try, begun a class deadline before its end. Where clients
        mark their repeats an unmarked try is the first, however short: that client has little patience.
        """
        row = self.settings.classes[kind]
        if row.late_worth > LATE_KEPT or row.streaming:
            return deadline
        begun = now
        if self.settings.tier == 0:
            seen, length = self.lengths[kind], round(50.0 * log(max(deadline - now, 1e-6)))
            seen[length] = seen.get(length, 0) + 1
            if len(seen) > LENGTHS_MOST:  # Guards memory against callers that never ask for the same time.
                self.lengths[kind] = seen = {k: n // 2 for k, n in seen.items() if n > 1}
            if seen[length] > seen.get(self.usual[kind], 0):
                self.usual[kind] = length
            may_repeat = retry or not self.settings.marks_retry
            if may_repeat and abs(length - self.usual[kind]) > 1 and seen[self.usual[kind]] >= 4:
                begun = min(now, deadline - row.deadline)
        elif self.settings.passes_deadline:
            return deadline
        return min(deadline, begun + AIM_PART * row.aim)

    def _send(
        self, now: float, request: Request, among: list[Server], first: bool, out: list[Action]
    ) -> bool:
        """Send an attempt to the best candidate whose breaker does not refuse; False if there is none."""
        timeout = self.settings.classes[request.kind].aim
        for server in self._offers(now, request, among, first):
            if server.breaker is None:
                server.breaker = Breaker()
            if not server.breaker.refuses(now, timeout, self.rng):
                break
        else:
            return False
        self.back.pop(server, None)
        if server.cold_credit > 0.0:
            server.cold_credit -= 1.0
        if request.attempts:
            self.budget.spend(now)
        attempt = Attempt(server, now)
        if not request.partial:
            server.out[attempt] = None
        self.pool_of[request.kind].sent.add(now)
        request.attempts.append(attempt)
        request.open += 1
        within = request.until - now if request.until < request.deadline else 0.0
        out.append(Send(request.id, server.row.server, within))
        return True

    def _offers(self, now: float, request: Request, among: list[Server], first: bool) -> list[Server]:
        """The candidates, the best first.

        Guards requests against waiting behind others in a slice while servers outside it stand idle, most of
        all where it is narrow or a server of it is slow or dead: where all candidates of the slice are busy
        or outliers, two of all servers are drawn too, taken to hold of others' what ours hold of ours on
        average. Could harm where others have far more traffic: their servers are busier than they seem.
        """
        pooled = self.pooled or self.settings.classes[request.kind].aim  # before any answer all are alike
        scores = {s: s.score(now, pooled) for s in self._candidates(now, request, among, first)}
        if first and all(s.out or s.down_until > now or s.mostly_fails(now) for s in scores):
            pool = self.pool_of[request.kind]
            unseen = pool.sent.read(now) * self.pooled / max(1, len(pool.working))
            for server in self._candidates(now, request, pool.ready, False):
                if server not in pool.working:
                    scores[server] = server.score(now, pooled, unseen)
        if self.settings.classes[request.kind].repeat is Repeat.UNSAFE:
            # Guards what can't be tried again against an outlier: its breaker lets calls through until it has
            # seen enough, and once a second then. What can be goes on finding out whether it has recovered.
            # Could harm where requests themselves are at fault: their server is shunned for a window.
            return sorted(scores, key=lambda s: (s.down_until > now, s.mostly_fails(now), scores[s]))
        return sorted(scores, key=lambda s: (s not in self.back, s.down_until > now, scores[s]))

    def _candidates(self, now: float, request: Request, among: list[Server], first: bool) -> list[Server]:
        """Two random ready servers, fewer where there are no more; one that is down if there is no other."""
        count = len(among)
        found: list[Server] = []
        down: list[Server] = []
        pool = self.pool_of[request.kind]
        if now >= pool.warm_from:
            self._count_warm(now, pool)
        tried = [a.server for a in request.attempts]
        if first and self.back:
            found = self._due_back(now, pool)
        for _ in range(DRAWS if among else 0):
            if among is pool.working:
                at = bisect_right(pool.ends, pool.begin + pool.width * self.rng.random())
                server = among[min(at, count - 1)]
            else:
                server = among[int(self.rng.random() * count)]
            if server in found or server in tried:
                continue
            if self._cold_until(server) > now and (not first or self._spares_cold(now, server, pool)):
                continue
            if server.down_until > now:
                down = [server]
                continue
            found.append(server)
            if len(found) == 2:
                break
        if not found and tried:
            # Guards the last try where servers are few: draws with replacement may meet nothing but what was
            # tried, one time in 256 with two servers and one in ten with four of which three were.
            left = [s for s in among if s not in tried and max(s.down_until, self._cold_until(s)) <= now]
            found = [self.rng.choice(left)] if left else []
        return found or down

    def _due_back(self, now: float, pool: Pool) -> list[Server]:
        """A server that was put back and has got nothing since, if its moment has come."""
        due = [s for s, at in self.back.items() if at <= now and s in pool.ready]
        return due[:1] if not self.retired else []

    def _among(self, now: float, request: Request) -> list[Server]:
        """Where a further attempt may go by the rules; empty if nowhere.

        Guards the rule against doing an effect twice.
        """
        kind = self.settings.classes[request.kind]
        pool = self.pool_of[request.kind]
        first = request.first_maybe()
        if first is None or kind.repeat is Repeat.SAFE:
            return pool.ready
        if kind.repeat is Repeat.UNSAFE or now - first.sent >= WINDOW_MARGIN * kind.window:
            return []
        if kind.group is Group.ALL:
            return pool.ready
        row = first.server.row
        return pool.groups.get((kind.group, row.zone if kind.group is Group.ZONE else row.cell), [])

    def _again(self, now: float, request: Request, out: list[Action]) -> bool:
        """Try a further attempt within the rules and the retry budget."""
        if request.done or request.bound or now >= request.until or not self.budget.allows(now):
            return False
        if len(request.attempts) >= request.most:
            return False
        return self._send(now, request, self._among(now, request), False, out)

    def _answer(self, now: float, request: Request, out: list[Action]) -> None:
        """The final answer: refused where that promise holds, else failed."""
        # Guards admission against failures that no load made, from spoilt answers to a server's own faults:
        # refusing work does not cure them. Could harm: an overloaded tier that fails fast, as proxies that
        # refuse make it, shows in what is owed alone.
        if any(attempt.strained for attempt in request.attempts):
            self.pool_of[request.kind].breaker.failed(now)
        kind = self.settings.classes[request.kind]
        free = kind.repeat is Repeat.SAFE or (kind.repeat is Repeat.KEYED and kind.group is Group.ALL)
        out.append(Refuse(request.id) if free or request.first_maybe() is None else Fail(request.id))
        self._finish(request, out)

    def _count(self, request: Request, on: bool) -> None:
        """Whether it is one of those that wait for an answer: work that the servers have before them."""
        if request.counted is not on:
            request.counted = on
            self.pool_of[request.kind].owed += 1 if on else -1

    def whole(self, now: float, rid: RequestId, deadline: float) -> list[Action]:
        """The last byte of a partial request has come: its time counts from here.

        Guards servers and admission against slow uploads: while one comes nothing runs, so that it says
        neither that its server hangs nor that requests pile up.
        """
        request = self.requests.get(rid)
        if request is None or request.done or not request.partial:
            return []
        request.partial = False
        self._count(request, not request.begun)
        for attempt in request.attempts:
            if attempt.open and not request.begun:
                attempt.since = now
                attempt.server.out[attempt] = None
        return self.extend(now, rid, deadline)

    def _finish(self, request: Request, out: list[Action]) -> None:
        request.done = True
        self._count(request, False)
        if not request.bound:
            out += self._cancels(request)
        if not request.open:
            self.requests.pop(request.id, None)

    def _cancels(self, request: Request, spared: int = -1) -> list[Action]:
        if not self.settings.limits.cancel:
            return []
        return [Cancel(request.id, n) for n, a in enumerate(request.attempts) if a.open and n != spared]

    def extend(self, now: float, rid: RequestId, deadline: float) -> list[Action]:
        """Somebody else waits for its answer too, and longer: attempts that are out keep their time."""
        request = self.requests.get(rid)
        if request is not None and not request.done and deadline > request.deadline:
            if request.until >= request.deadline:
                request.until = deadline
            else:  # late answers are worth little: the newcomer's aim counts from now
                aim = self.settings.classes[request.kind].aim
                request.until = max(request.until, min(deadline, now + AIM_PART * aim))
            request.deadline = deadline
        return []

    def outcome(
        self, now: float, rid: RequestId, number: int, how: Outcome, latency: float, last: bool = False
    ) -> list[Action]:
        """An attempt ended; unknown ones are ignored."""
        request = self.requests.get(rid)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.open:
            return []
        attempt.open = False
        attempt.maybe_ran = how not in NEVER_RAN
        # An error that took longer than the room speaks of a time-out behind.
        attempt.strained = how in STRAIN or latency > self.room[request.kind]
        request.open -= 1
        self._learn(now, attempt, how, latency, self.settings.classes[request.kind].aim)
        if how is Outcome.OK:
            gap = latency / request.cost - self.pace
            self.pace += gap / (4.0 if gap < 0.0 else 100.0) if self.paced else gap
            self.paced += 1
        out: list[Action] = []
        if request.done:
            if not request.open:
                self.requests.pop(rid, None)
        elif last or how is Outcome.OK:
            pool = self.pool_of[request.kind]
            pool.served.add(now)
            pool.breaker.accepted(now)
            self._finish(request, out)
        elif not request.open and not self._again(now, request, out):
            self._answer(now, request, out)
        return out

    def _learn(self, now: float, attempt: Attempt, how: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.out.pop(attempt, None)
        breaker = server.breaker
        if breaker is None or how is Outcome.VOID or attempt.sent < server.row.started:
            return
        if how in NEVER_RAN:
            server.turned_away(now, self.rng)
        elif how in (Outcome.OK, Outcome.ERROR):
            server.took()
        if how is Outcome.OK:
            breaker.accepted(now)
            if breaker.current <= 0.0 and self.pooled > 0.0:
                breaker.sample(min(latency, self.pooled))  # no baseline from one slow answer alone
            breaker.sample(latency)
            server.learn(now, latency)
            self.pooled += (latency - self.pooled) / 32.0 if self.pooled > 0.0 else latency
        elif how is not Outcome.CANCELLED:
            breaker.failed(now)
            # Guards against a server that fails fast and so looks quick: a failure costs a time-out.
            server.learn(now, max(latency, timeout))

    def bind(self, now: float, rid: RequestId, number: int) -> list[Action]:
        """A part of a stream has gone to this attempt's server: the request belongs to it."""
        request = self.requests.get(rid)
        if request is None or request.done:
            return []
        request.bound = True
        return self._cancels(request, number)

    def begun(self, now: float, rid: RequestId, number: int) -> list[Action]:
        """The answer of a stream has begun: the request belongs to this attempt, and waits for nothing.

        Guards admission against streams that go on for long: they are no queue that would make others late.
        """
        request = self.requests.get(rid)
        if request is not None and not request.done and not request.begun:
            request.begun = True
            self._count(request, False)
            # Guards a server that gives a long answer against looking as if it hung.
            for attempt in request.attempts:
                attempt.server.out.pop(attempt, None)
        return self.bind(now, rid, number)

    def gone(self, now: float, rid: RequestId) -> list[Action]:
        """The client left; no answer is owed any more."""
        request = self.requests.get(rid)
        out: list[Action] = []
        if request is not None and not request.done:
            self._finish(request, out)
        return out

    def timer(self, now: float, token: int) -> list[Action]:
        """A timer fell due; stale ones are ignored."""
        if token == SUBSCRIBE and self.asking:
            self.asking = False
            return [Subscribe()]
        return []
