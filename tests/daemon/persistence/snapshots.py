"""Small snapshots for the tests of persistence."""

from __future__ import annotations

from random import Random

from lugspur.daemon.persistence.snapshot_format import encode_record, encode_snapshot
from lugspur.discovery import state_codec
from lugspur.discovery.endpoints import Endpoint, server_id
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    Learned,
    ListUpdateKind,
    Outcome,
    RequestClass,
    RetrySafety,
    Send,
    ServerRow,
    Settings,
)

READ = RequestClass("read", latency_target=0.4, deadline=1.0, retry_safety=RetrySafety.SAFE)
SETTINGS = Settings(classes=(READ,))


def endpoints(count: int = 3, started: float = 0.0) -> list[Endpoint]:
    return [
        Endpoint(
            ServerRow(server_id(f"s-{n}"), started_at=started, zone=server_id("kingston-main-a")),
            ("127.0.0.1", 9000 + n),
        )
        for n in range(count)
    ]


def taught(rows: list[Endpoint], now: float = 1000.0, slow: int = 0, bad: int = 0, rounds: int = 60) -> Balancer:
    """Return a balancer that has sent requests: the first `slow` backends are slow, the next `bad` ones fail."""
    balancer = Balancer(SETTINGS, 7)
    balancer.update_servers(now, ListUpdateKind.STALE, [row.row for row in rows])
    names = [row.row.server for row in rows]
    for number in range(rounds):
        at = now + 0.02 * number
        actions = balancer.request(at, f"r{number}", deadline=at + 1.0)
        while actions and isinstance(send := actions[0], Send):
            place = names.index(send.server)
            took = 0.3 if place < slow else 0.01
            outcome = Outcome.ERROR if slow <= place < slow + bad else Outcome.OK
            actions = balancer.finish_attempt(
                at + took, f"r{number}", send_number(balancer, f"r{number}"), outcome, took
            )
    return balancer


def send_number(balancer: Balancer, rid: str) -> int:
    return len(balancer.requests[rid].attempts) - 1


def text(
    written: float = 1000.0, rows: list[Endpoint] | None = None, learned: Learned | None = None, name: str = "channel"
) -> bytes:
    """Return a complete file of one pool."""
    rows = endpoints() if rows is None else rows
    learned = taught(rows).export_learned() if learned is None else learned
    records = [encode_record("pool", name, {"at": written})]
    records += (encode_record("backend", name, state_codec.encode_endpoint(row)) for row in rows)
    records += (encode_record("learned", name, state_codec.encode_learned_server(row)) for row in learned.servers)
    records.append(encode_record("tier", name, state_codec.encode_learned_pools(learned)))
    return encode_snapshot(written, records)


def other(seed: int) -> bytes:
    """Return another complete file, of another length."""
    return text(1000.0 + seed, endpoints(1 + Random(seed).randrange(4)))
