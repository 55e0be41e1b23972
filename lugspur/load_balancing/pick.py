"""Which servers a request may go to: two random ready ones, the better one first."""

from __future__ import annotations

from bisect import bisect_right
from math import sqrt

from lugspur.load_balancing.admission import Admission
from lugspur.load_balancing.model import DeduplicationScope, RetrySafety
from lugspur.load_balancing.servers import Pool, Request, Server

DRAWS = 8  # random draws for two candidates, at most
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which repeats are sent
WORKING_SPREAD = 1.0  # servers of a slice beyond the first, for each root of the calls usually in flight
WORKING_EVERY = 3.0  # seconds between looks at the size of the working set


class Picker(Admission):
    """The part of a balancer that finds candidates; what it goes by is the balancer's.

    On top of the part that says no, not beside it: compiled classes have one base.
    """

    pools: list[Pool]
    pooled: float
    look_at: float
    back: dict[Server, float]
    retired: bool

    def _resize(self, now: float) -> None:
        """Choose the slice of each pool's ring that ordinary calls are spread over.

        Guards against sparse windows: with few calls to many servers a breaker never leaves its protection,
        averages go stale, and the own in-flight says nothing. Acts where there are other instances. A
        server's stretch is as long as its size; whole steps cover every server alike.
        """
        self.look_at = now + WORKING_EVERY
        for pool in self.pools:
            total = sum(s.row.weight or 1.0 for s in pool.ready)
            mean = total / max(1, len(pool.ready))
            want = mean * (1.0 + WORKING_SPREAD * sqrt(pool.rate.per_second(now) * self.pooled))
            step = total / self.settings.instance_count  # only whole steps cover every server alike
            pool.width = min(total, step * max(1, round(want / step))) if total else 0.0
            pool.begin = step * self.settings.instance_index
            pool.working = []
            pool.ends = []
            at = 0.0
            for _ in range(2):  # the slice may reach past the ring's end
                for server in pool.ready:
                    at += server.row.weight or 1.0
                    if pool.begin < at and at - (server.row.weight or 1.0) < pool.begin + pool.width:
                        pool.working.append(server)
                        pool.ends.append(at)
            self._count_warm(now, pool)

    def _count_warm(self, now: float, pool: Pool) -> None:
        until = [self._cold_until(s) for s in pool.working]
        cold = [t for t in until if t > now]
        pool.warm_from = min(cold, default=float("inf"))
        pool.warm_part = 1.0 - len(cold) / len(until) if until else 1.0

    def _cold_until(self, server: Server) -> float:
        started = server.row.started_at
        return started + self.settings.rules.slow_start_seconds if started > 0.0 else 0.0

    def _spares_cold(self, now: float, server: Server, pool: Pool) -> bool:
        """Whether a cold server is passed over for this call.

        Guards against pushing it over: this instance alone gives it at most the part of a warm peer's
        share that it can do for certain, both on average (a draw) and in any short span (a budget).
        """
        if self.retired:
            return True
        rules = self.settings.rules
        age = max(0.0, now - server.row.started_at)
        part = rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * min(
            1.0, age / max(rules.slow_start_seconds, 1e-6)
        )
        draws = min(float(DRAWS), 2.0 / max(pool.warm_part, 0.01))
        if self.rng.random() >= part / draws:
            return True
        pace = 2.0 * part * sum(p.part_rate(now) for p in self.pools if p.opens(server.row))
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same moment
            server.cold_seen = now
        most = max(1.0, pace * rules.overload_seconds)
        server.cold_credit = min(most, server.cold_credit + pace * (now - server.cold_seen))
        server.cold_seen = now
        return server.cold_credit < 1.0

    def _offers(self, now: float, request: Request, among: list[Server], first: bool) -> list[Server]:
        """The candidates, the best first.

        Guards requests against waiting behind others in a slice while servers outside it stand idle, most of
        all where it is narrow or a server of it is slow or dead: where all candidates of the slice are busy
        or outliers, two of all servers are drawn too, taken to hold of others' what ours hold of ours on
        average. Could harm where others have far more traffic: their servers are busier than they seem.
        """
        pooled = (
            self.pooled or self.settings.classes[request.kind].latency_target
        )  # before any answer all are alike
        scores = {s: s.score(now, pooled) for s in self._candidates(now, request, among, first)}
        if first and all(s.out or s.down_until > now or s.mostly_fails(now) for s in scores):
            pool = self.pool_of[request.kind]
            unseen = pool.sent.per_second(now) * self.pooled / max(1, len(pool.working))
            for server in self._candidates(now, request, pool.ready, False):
                if server not in pool.working:
                    scores[server] = server.score(now, pooled, unseen)
        if self.settings.classes[request.kind].retry_safety is RetrySafety.UNSAFE:
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
        if first is None or kind.retry_safety is RetrySafety.SAFE:
            return pool.ready
        if (
            kind.retry_safety is RetrySafety.UNSAFE
            or now - first.sent >= WINDOW_MARGIN * kind.deduplication_window
        ):
            return []
        if kind.deduplication_scope is DeduplicationScope.ALL:
            return pool.ready
        row = first.server.row
        return pool.groups.get(
            (
                kind.deduplication_scope,
                row.zone if kind.deduplication_scope is DeduplicationScope.ZONE else row.cell,
            ),
            [],
        )
