"""Slow start: a server that has just started gets a small part of a warm server's requests at first."""

from random import Random

from lugspur.load_balancing.server import Server
from lugspur.load_balancing.server_pool import ServerPool
from lugspur.load_balancing.server_table import ServerTable

MAX_DRAWS = 8  # random draws at most to find two candidates


class SlowStart:
    """Decides which requests skip a cold server."""

    def __init__(self, table: ServerTable, rng: Random) -> None:
        self._table = table
        self._rng = rng
        self.is_superseded = False  # another instance has replaced this one

    def skips(self, now: float, server: Server, pool: ServerPool) -> bool:
        """Return whether this request skips a cold server.

        Guards it against overload: this instance alone gives it at most the part of a warm server's requests
        that it can certainly handle, both on average (a draw) and in any short span (a token bucket).
        """
        if self.is_superseded:
            return True
        rules = self._table.settings.rules
        warmth = min(1.0, max(0.0, now - server.row.started_at) / max(rules.slow_start_seconds, 1e-6))
        capacity = rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * warmth
        draws = min(float(MAX_DRAWS), 2.0 / max(pool.warm_fraction, 0.01))
        if self._rng.random() >= capacity / draws:
            return True
        rate = 2.0 * capacity * sum(p.rate_per_server(now) for p in self._table.pools if p.allows(server.row))
        if server.slow_start_credited_at <= 0.0:
            server.slow_start_credit = self._rng.random()  # instances must not all send at the same moment
            server.slow_start_credited_at = now
        max_credit = max(1.0, rate * rules.overload_seconds)
        earned = rate * (now - server.slow_start_credited_at)
        server.slow_start_credit = min(max_credit, server.slow_start_credit + earned)
        server.slow_start_credited_at = now
        return server.slow_start_credit < 1.0
