"""Learned state that an instance hands over to its replacement; open requests are not handed over."""

from collections.abc import Sequence

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.cost_baseline import CostBaseline
from lugspur.load_balancing.model import Learned, LearnedPool, LearnedServer, ServerId
from lugspur.load_balancing.server import Server
from lugspur.load_balancing.server_pool import ServerPool
from lugspur.load_balancing.server_table import ServerTable


def export_learned(table: ServerTable, costs: CostBaseline, server_ids: Sequence[ServerId] | None) -> Learned:
    """Return the learned state of the servers with these ids, or of all servers."""
    wanted = tuple(table.servers) if server_ids is None else server_ids
    known = (table.servers[server_id] for server_id in wanted if server_id in table.servers)
    servers = tuple(_export_server(server) for server in known)
    pools = tuple(_export_pool(pool) for pool in table.pools)
    return Learned(servers, pools, table.tier_latency, costs.seconds_per_cost, costs.samples)


def import_learned(now: float, table: ServerTable, costs: CostBaseline, learned: Learned) -> None:
    """Continue from another instance's state.

    A server is the same if its id and start time are; what was learned of a server before a restart is lost.
    """
    table.tier_latency = learned.pooled
    costs.seconds_per_cost, costs.samples = learned.pace, learned.paced
    for known in learned.servers:
        server = table.servers.get(known.server)
        if server is not None and server.row.started_at == known.started:
            _import_server(server, known)
    if len(learned.pools) == len(table.pools):
        for pool, saved in zip(table.pools, learned.pools, strict=True):
            _import_pool(pool, saved)
    table.choose_subsets(now)


def _export_server(server: Server) -> LearnedServer:
    return LearnedServer(
        server=server.row.server,
        started=server.row.started_at,
        latency=server.latency,
        seen=server.latency_updated_at,
        downs=server.consecutive_rejections,
        down_until=server.ejected_until,
        cold_credit=server.slow_start_credit,
        cold_seen=server.slow_start_credited_at,
        breaker=server.breaker.export_learned() if server.breaker is not None else None,
    )


def _import_server(server: Server, known: LearnedServer) -> None:
    server.latency, server.latency_updated_at = known.latency, known.seen
    server.consecutive_rejections, server.ejected_until = known.downs, known.down_until
    server.slow_start_credit, server.slow_start_credited_at = known.cold_credit, known.cold_seen
    if known.breaker is not None:
        server.breaker = CircuitBreaker()
        server.breaker.import_learned(known.breaker)


def _export_pool(pool: ServerPool) -> LearnedPool:
    rates = pool.offered.export_learned(), pool.sent.export_learned(), pool.served.export_learned()
    first_request_at = pool.first_request_at if pool.first_request_at < float("inf") else None
    return LearnedPool(rates, first_request_at, pool.breaker.export_learned())


def _import_pool(pool: ServerPool, saved: LearnedPool) -> None:
    for rate, value in zip((pool.offered, pool.sent, pool.served), saved.rates, strict=True):
        rate.import_learned(value)
    pool.first_request_at = float("inf") if saved.born is None else saved.born
    pool.breaker.import_learned(saved.breaker)
