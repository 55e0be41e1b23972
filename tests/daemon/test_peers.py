"""A daemon in a fleet: what reloads, drains and failing starts do to its singleton roles."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from daemonic import HEAD, pool, route, served

from lugspur.config.load import load
from lugspur.daemon.run import RunningDaemon

FLEET = """[fleet]
name = "f"
member = "a"
address = "127.0.0.1:0"
advertise = "127.0.0.1:9"
electors = ["a", "b", "c"]
duties = ["mine"]
"""
CHECKED = pool("p", "127.0.0.1:9", more='check = { every = "1s" }') + route("r", "/*", 'pool = "p"\nclass = "read"')


def test_reload_starts_and_ends_the_role_of_a_checked_pool() -> None:
    async def play() -> None:
        async with served(CHECKED + FLEET) as up:
            peers = up.running.peers
            assert peers is not None and set(peers.candidates) == {"mine", "probe:p"}
            cluster = up.daemon.clusters["p"]
            cluster.set_unhealthy(set(cluster.overrides.latest), cluster.pool.now())
            assert cluster.health.is_empty()
            await up.reload(CHECKED.replace('check = { every = "1s" }', "") + FLEET)
            assert set(peers.candidates) == {"mine"}
            assert cluster.on_connection_attempt is None and not cluster.health.is_empty()
            await up.reload(CHECKED + FLEET)
            assert set(peers.candidates) == {"mine", "probe:p"} and cluster.on_connection_attempt is not None

    asyncio.run(play())


def test_drained_daemon_does_not_campaign_for_a_role_that_a_reload_adds() -> None:
    async def play() -> None:
        async with served(CHECKED.replace('check = { every = "1s" }', "") + FLEET) as up:
            peers = up.running.peers
            assert peers is not None
            peers.hand_over_roles()
            await up.reload(CHECKED + FLEET)
            assert peers.candidates["probe:p"].due() == float("inf")
            peers.reclaim_roles()
            assert peers.candidates["probe:p"].due() < float("inf")

    asyncio.run(play())


def test_health_checker_does_not_put_back_a_banned_backend() -> None:
    async def play() -> None:
        async with served(CHECKED + FLEET) as up:
            cluster = up.daemon.clusters["p"]
            [server] = cluster.overrides.latest
            cluster.set_unhealthy({server}, cluster.pool.now())
            cluster.set_banned(server, True, cluster.pool.now())
            cluster.set_unhealthy(set(), cluster.pool.now())
            assert cluster.health.is_empty()
            cluster.set_banned(server, False, cluster.pool.now())
            assert not cluster.health.is_empty()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("more", "message"),
    [
        ('key = "none"', "key .*none: No such file"),
        ('folder = "none"', "none: No such file"),
        ('history = "none/x"', "history .*none/x: No such file"),
    ],
)
def test_start_without_its_files_raises_one_error(tmp_path: Path, more: str, message: str) -> None:
    async def play() -> None:
        file = tmp_path / "f.toml"
        file.write_text(HEAD + CHECKED + FLEET + more + "\n")
        with pytest.raises(OSError, match=message):
            await RunningDaemon(str(file)).start(load(str(file)))

    asyncio.run(play())


def test_key_of_a_wrong_length_raises_one_error(tmp_path: Path) -> None:
    async def play() -> None:
        file = tmp_path / "f.toml"
        file.write_text(HEAD + CHECKED + FLEET + 'key = "key"\n')
        for size in (0, 15, 65):
            (tmp_path / "key").write_bytes(b"k" * size)
            with pytest.raises(OSError, match="it has to have 16 to 64 bytes"):
                await RunningDaemon(str(file)).start(load(str(file)))

    asyncio.run(play())
