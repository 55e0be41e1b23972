"""The power of two choices (Mitzenmacher 2001): of two random ready servers, the better one is used."""

from bisect import bisect_right
from random import Random

from lugspur.load_balancing.model import RetrySafety
from lugspur.load_balancing.request_state import Request
from lugspur.load_balancing.server import Server
from lugspur.load_balancing.server_pool import ServerPool
from lugspur.load_balancing.server_table import ServerTable
from lugspur.load_balancing.slow_start import MAX_DRAWS, SlowStart

RETRY_WINDOW_FRACTION = 0.9  # part of a keyed class's deduplication window in which retries are sent


class TwoChoicePick:
    """Finds the candidate servers for an attempt; it sends nothing."""

    def __init__(self, table: ServerTable, slow_start: SlowStart, rng: Random) -> None:
        self._table = table
        self._slow_start = slow_start
        self._rng = rng

    def rank_candidates(
        self, now: float, request: Request, servers: list[Server], is_first: bool
    ) -> list[Server]:
        """Return the candidates among `servers`, best first; `is_first` for the first attempt in the subset.

        Guards requests against waiting while servers outside the subset are idle, above all where it is
        narrow or a server of it is slow or dead: where its candidates are all busy or outliers, two of all
        servers are drawn too, and assumed to have as many requests of other instances in flight as the
        subset's have of this one. Could harm where others have far more traffic: their servers are busier.
        """
        table = self._table
        kind = table.settings.classes[request.class_index]
        tier_latency = table.tier_latency or kind.latency_target  # equal for all before the first success
        drawn = self._draw_two(now, request, servers, is_first)
        scores = {server: server.score(now, tier_latency) for server in drawn}
        if is_first and all(s.in_flight or s.ejected_until > now or s.is_outlier(now) for s in scores):
            pool = table.class_pools[request.class_index]
            others = pool.sent.per_second(now) * table.tier_latency / max(1, len(pool.subset))
            for server in self._draw_two(now, request, pool.ready, False):
                if server not in pool.subset:
                    scores[server] = server.score(now, tier_latency, others)
        if kind.retry_safety is RetrySafety.UNSAFE:
            # Guards requests that can't be retried against an outlier: its breaker passes requests until it
            # has seen enough, and one a second then. Others still find out whether it has recovered.
            # Could harm where requests themselves cause the errors: their server is avoided for a window.
            return sorted(scores, key=lambda s: (s.ejected_until > now, s.is_outlier(now), scores[s]))
        return sorted(scores, key=lambda s: (s not in table.reinstated, s.ejected_until > now, scores[s]))

    def _draw_two(self, now: float, request: Request, servers: list[Server], is_first: bool) -> list[Server]:
        """Return two random servers, fewer if there are no more; an ejected one if there is no other."""
        pool, rules = self._table.class_pools[request.class_index], self._table.settings.rules
        if now >= pool.next_warm_at:
            pool.count_warm(now, rules)
        attempted = [attempt.server for attempt in request.attempts]
        found = self._due_reinstated(now, pool) if is_first and self._table.reinstated else []
        ejected: list[Server] = []
        for _ in range(MAX_DRAWS if servers else 0):
            server = self._draw(servers, pool)
            if server in found or server in attempted:
                continue
            # A cold server gets no retries, and only as many first attempts as slow start allows.
            if server.warm_at(rules) > now and (not is_first or self._slow_start.skips(now, server, pool)):
                continue
            if server.ejected_until > now:
                ejected = [server]
                continue
            found.append(server)
            if len(found) == 2:
                break
        if not found and attempted:
            found = self._draw_unattempted(now, servers, attempted)
        return found or ejected

    def _draw(self, servers: list[Server], pool: ServerPool) -> Server:
        """Return a random server, weighted by its part of the subset if `servers` is the subset."""
        if servers is not pool.subset:
            return servers[int(self._rng.random() * len(servers))]
        place = pool.subset_begin + pool.subset_width * self._rng.random()
        return servers[min(bisect_right(pool.subset_ends, place), len(servers) - 1)]

    def _draw_unattempted(self, now: float, servers: list[Server], attempted: list[Server]) -> list[Server]:
        """Return one of the warm servers that had no attempt of this request yet, if there is one.

        Guards the last attempt where servers are few: draws with replacement may find only servers that had
        one, one time in 256 with two servers and one in ten with four of which three had one.
        """
        rules = self._table.settings.rules
        left = [s for s in servers if s not in attempted and max(s.ejected_until, s.warm_at(rules)) <= now]
        return [self._rng.choice(left)] if left else []

    def _due_reinstated(self, now: float, pool: ServerPool) -> list[Server]:
        """Return a reinstated server that is due a request and has got none since, if there is one."""
        due = [server for server, at in self._table.reinstated.items() if at <= now and server in pool.ready]
        return due[:1] if not self._slow_start.is_superseded else []

    def retry_servers(self, now: float, request: Request) -> list[Server]:
        """Return the servers that a retry may be sent to; guards requests against running twice."""
        kind = self._table.settings.classes[request.class_index]
        pool = self._table.class_pools[request.class_index]
        first = request.first_that_may_have_run()
        if first is None or kind.retry_safety is RetrySafety.SAFE:
            return pool.ready
        window = RETRY_WINDOW_FRACTION * kind.deduplication_window
        if kind.retry_safety is RetrySafety.UNSAFE or now - first.sent_at >= window:
            return []
        return pool.retry_servers(kind, first.server.row)
