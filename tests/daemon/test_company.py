"""A daemon in a fleet: what reloads, drains and failing starts do to its duties."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from daemonic import HEAD, pool, route, served

from lugspur.config.load import load
from lugspur.daemon.run import Running

FLEET = """[fleet]
name = "f"
member = "a"
address = "127.0.0.1:0"
advertise = "127.0.0.1:9"
electors = ["a", "b", "c"]
duties = ["mine"]
"""
CHECKED = pool("p", "127.0.0.1:9", more='check = { every = "1s" }') + route("r", "/*", 'pool = "p"\nclass = "read"')


def test_a_reload_begins_and_ends_what_a_pool_asks_for() -> None:
    async def play() -> None:
        async with served(CHECKED + FLEET) as up:
            company = up.running.company
            assert company is not None and set(company.candidates) == {"mine", "probe:p"}
            cluster = up.daemon.clusters["p"]
            cluster.set_unhealthy(set(cluster.overrides.latest), cluster.pool.now())
            assert cluster.standing.empty()
            await up.reload(CHECKED.replace('check = { every = "1s" }', "") + FLEET)
            assert set(company.candidates) == {"mine"}
            assert cluster.on_connection_attempt is None and not cluster.standing.empty()
            await up.reload(CHECKED + FLEET)
            assert set(company.candidates) == {"mine", "probe:p"} and cluster.on_connection_attempt is not None

    asyncio.run(play())


def test_a_drained_daemon_wants_no_duty_that_a_reload_brings() -> None:
    async def play() -> None:
        async with served(CHECKED.replace('check = { every = "1s" }', "") + FLEET) as up:
            company = up.running.company
            assert company is not None
            company.hand_on()
            await up.reload(CHECKED + FLEET)
            assert company.candidates["probe:p"].due() == float("inf")
            company.take_up()
            assert company.candidates["probe:p"].due() < float("inf")

    asyncio.run(play())


def test_what_operators_have_taken_out_a_prober_does_not_put_back() -> None:
    async def play() -> None:
        async with served(CHECKED + FLEET) as up:
            cluster = up.daemon.clusters["p"]
            [server] = cluster.overrides.latest
            cluster.set_unhealthy({server}, cluster.pool.now())
            cluster.set_banned(server, True, cluster.pool.now())
            cluster.set_unhealthy(set(), cluster.pool.now())
            assert cluster.standing.empty()
            cluster.set_banned(server, False, cluster.pool.now())
            assert not cluster.standing.empty()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ('key = "none"', "key .*none: No such file"),
        ('folder = "none"', "none: No such file"),
        ('history = "none/x"', "history .*none/x: No such file"),
    ],
)
def test_a_start_without_its_files_is_one_fault(tmp_path: Path, more: str, said: str) -> None:
    async def play() -> None:
        file = tmp_path / "f.toml"
        file.write_text(HEAD + CHECKED + FLEET + more + "\n")
        with pytest.raises(OSError, match=said):
            await Running(str(file)).start(load(str(file)))

    asyncio.run(play())


def test_a_key_of_a_wrong_length_is_one_fault(tmp_path: Path) -> None:
    async def play() -> None:
        file = tmp_path / "f.toml"
        file.write_text(HEAD + CHECKED + FLEET + 'key = "key"\n')
        for size in (0, 15, 65):
            (tmp_path / "key").write_bytes(b"k" * size)
            with pytest.raises(OSError, match="it has to have 16 to 64 bytes"):
                await Running(str(file)).start(load(str(file)))

    asyncio.run(play())
