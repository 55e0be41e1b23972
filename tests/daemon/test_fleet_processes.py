"""Processes of one fleet with faults between them: by their histories, a singleton role never has two leaders."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from leasetime import lease_seconds

from lugspur.bench.fleet import DUTY, WITHIN, Rig, now


def play(
    folder: Path,
    what: Callable[[Rig], Awaitable[None]],
    count: int = 4,
    least: int = 1,
    memory: bool = True,
    lease: float = 0.0,
) -> None:
    """Run a course of faults; fail if two members led at one time, or if the leader changed less often than `least`.

    `lease`: the shortest lease in seconds; it is longer where the disk is slow.
    """

    async def run() -> None:
        async with Rig(folder, count, lease=max(lease, lease_seconds(folder)), persist_promises=memory) as rig:
            await rig.wait_until_agreed()
            await rig.wait_for_holder()
            await what(rig)
            await rig.wait_for_holder()
            wrong, hands = rig.check()
            assert not wrong
            assert hands >= least

    asyncio.run(run())


async def another(rig: Rig, than: int) -> int:
    """Wait until another member leads, and return its number."""
    return await rig.wait_for_holder([number for number in range(len(rig.members)) if number != than])


@pytest.mark.parametrize("leases", [1.0, 2.0, 10.0])
def test_stopped_leader_that_resumes_may_not_act(tmp_path: Path, leases: float) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        before = (await rig.call(holder, "POST", "/fleet/may", DUTY))[1]["epoch"]
        rig.suspend(holder)
        began = now()
        if leases > 1.0:
            other = await another(rig, holder)
            assert (await rig.call(other, "POST", "/fleet/may", DUTY))[1]["epoch"] > before
        await asyncio.sleep(max(0.0, leases * rig.lease - (now() - began)))
        rig.resume(holder)
        if leases > 1.0:  # its first word, when nobody has told it anything yet
            assert (await rig.call(holder, "POST", "/fleet/may", DUTY))[0] == 409
        await rig.wait_until_agreed()

    play(tmp_path, what, least=1 if leases > 1.0 else 0)


def test_killed_leader_is_succeeded(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        await rig.kill(holder)
        began = now()
        await another(rig, holder)
        assert now() - began < 4.0 * rig.lease
        await rig.start(holder)
        await rig.wait_until_agreed()

    play(tmp_path, what)


def test_leader_that_shuts_down_hands_over_at_once(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        member = rig.members[holder]
        assert member.process is not None
        member.signal(signal.SIGTERM)
        began = now()
        await another(rig, holder)
        assert now() - began < rig.lease  # else nobody could have it before the lease's end
        assert await asyncio.wait_for(member.process.wait(), WITHIN) == 0
        assert "resigned" in member.log()
        await rig.wait_until_agreed([number for number in range(len(rig.members)) if number != holder])

    play(tmp_path, what)


def test_drained_leader_hands_over_and_can_lead_again(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        assert (await rig.call(holder, "POST", "/drain"))[0] == 200
        heir = await another(rig, holder)
        assert (await rig.call(holder, "POST", "/undrain"))[0] == 200
        await rig.kill(heir)
        for number in range(len(rig.members)):
            if number not in (holder, heir):
                await rig.call(number, "POST", "/drain")
        assert await rig.wait_for_holder([holder]) == holder
        await rig.start(heir)

    play(tmp_path, what)


@pytest.mark.parametrize("way", ["both", "mute", "deaf"])
def test_partitioned_leader_stops_before_its_successor_starts(tmp_path: Path, way: str) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        rig.is_cut = {
            "both": lambda a, b: (a == holder) != (b == holder),
            "mute": lambda a, b: a == holder,
            "deaf": lambda a, b: b == holder,
        }[way]
        await another(rig, holder)
        assert await rig.holders([holder]) == []
        rig.is_cut = lambda origin, to: False
        await rig.wait_until_agreed()

    play(tmp_path, what)


def test_leader_partitioned_from_the_voters_alone_is_succeeded(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        while (holder := await rig.wait_for_holder()) < rig.electors:
            await rig.call(holder, "POST", "/drain")
            await another(rig, holder)
        electors = set(range(rig.electors))
        rig.is_cut = lambda a, b: (a == holder and b in electors) or (b == holder and a in electors)
        for number in electors:
            await rig.call(number, "POST", "/undrain")
        await another(rig, holder)
        rig.is_cut = lambda origin, to: False
        await rig.wait_until_agreed()

    play(tmp_path, what, count=5)


def test_partitions_without_a_majority_have_no_leader(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        side = {holder, 3 if holder < 3 else 0}  # the smaller half has the holder, and one elector at most
        rig.is_cut = lambda a, b: (a in side) != (b in side)
        larger = [number for number in range(5) if number not in side]
        assert await rig.wait_for_holder(larger) in larger
        assert await rig.holders(sorted(side)) == []
        parts = {0: 0, 1: 1, 2: 2, 3: 0, 4: 1}  # each elector in a part of its own
        rig.is_cut = lambda a, b: parts[a] != parts[b]
        await asyncio.sleep(2.0 * rig.lease)
        assert await rig.holders() == []
        rig.is_cut = lambda origin, to: False
        await rig.wait_until_agreed()

    play(tmp_path, what, count=5)


@pytest.mark.parametrize("memory", [True, False])
def test_all_voters_restart_at_once_and_one_after_another(tmp_path: Path, memory: bool) -> None:
    async def what(rig: Rig) -> None:
        for number in range(rig.electors):
            await rig.kill(number)
        for number in range(rig.electors):
            await rig.start(number)
        await rig.wait_for_holder()
        for number in range(rig.electors):
            await rig.kill(number)
            await rig.start(number)
        await rig.wait_until_agreed()

    play(tmp_path, what, least=0, memory=memory)


def test_leader_stays_over_restarts_of_voters_with_durable_promises(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        while (holder := await rig.wait_for_holder()) < rig.electors:
            await rig.call(holder, "POST", "/drain")
            await another(rig, holder)
        for number in range(rig.electors):
            await rig.kill(number)
            await rig.start(number)
            await rig.wait_until_agreed()
            assert await rig.wait_for_holder([holder]) == holder
        ends = now() + 1.5 * rig.lease  # electors that remember nothing promise nothing for a lease, and it runs out
        while now() < ends:
            assert await rig.holders([holder]) == [holder]
            await asyncio.sleep(0.1)
        log = rig.members[holder].log()
        assert log.count("is ours no more") == 0

    # A lease that a loaded machine does not outlast: while one elector starts both others have to be heard in time.
    play(tmp_path, what, count=5, lease=8.0)


def test_voter_that_lost_its_directory_and_voter_that_never_returns(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        await rig.kill(0)
        for path in (rig.members[0].folder / "promises").iterdir():
            path.unlink()
        await rig.start(0)
        await rig.wait_until_agreed()
        await rig.kill(1)
        rig.members[1].process = None
        await rig.wait_until_agreed([0, 2, 3])
        holder = await rig.wait_for_holder()
        await rig.kill(holder)
        await rig.start(holder)

    play(tmp_path, what)


@pytest.mark.parametrize("rates", [(1.05, 0.95, 1.05, 0.95), (0.95, 1.05, 1.05, 1.05)])
def test_clocks_that_run_five_percent_fast_and_slow(tmp_path: Path, rates: tuple[float, ...]) -> None:
    async def run() -> None:
        rig = Rig(tmp_path, 4, lease=lease_seconds(tmp_path))
        for member, rate in zip(rig.members, rates, strict=True):
            member.rate = rate
        async with rig:
            await rig.wait_until_agreed()
            for _ in range(3):
                holder = await rig.wait_for_holder()
                rig.suspend(holder)
                await another(rig, holder)
                rig.resume(holder)
            await rig.wait_until_agreed()
            wrong, hands = rig.check()
            assert not wrong and hands >= 3

    asyncio.run(run())


def test_one_third_of_datagrams_lost(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        rig.loss = 1 / 3
        for _ in range(3):
            holder = await rig.wait_for_holder()
            await rig.kill(holder)
            await another(rig, holder)
            await rig.start(holder)
        rig.loss = 0.0
        await rig.wait_until_agreed()

    play(tmp_path, what, least=3)


def test_corrupt_promises_fail_the_start_with_one_line(tmp_path: Path) -> None:
    async def run() -> None:
        async with Rig(tmp_path, 3) as rig:
            await rig.wait_until_agreed()
            member = rig.members[0]
            await rig.kill(0)
            (member.folder / "promises" / "promises").write_bytes(b"{}")
            done = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "lugspur", "run", str(member.folder / "file.toml")],
                capture_output=True,
                text=True,
                timeout=WITHIN,
                check=False,
            )
            assert done.returncode == 1
            assert "promises can't be read: its checksum is wrong" in done.stderr

    asyncio.run(run())


def test_command_line_shows_the_fleet_and_runs_as_leader(tmp_path: Path) -> None:
    async def what(rig: Rig) -> None:
        holder = await rig.wait_for_holder()
        other = next(number for number in range(3) if number != holder)

        async def command(number: int, *words: str) -> subprocess.CompletedProcess[str]:
            at = ["--at", f"127.0.0.1:{rig.members[number].management}"]
            return await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "lugspur", "fleet", words[0], *at, *words[1:]],
                capture_output=True,
                text=True,
                timeout=WITHIN,
                check=False,
            )

        shown = await command(holder, "show")
        assert all(f"m{number}" in shown.stdout for number in range(3)) and DUTY in shown.stdout
        assert (await command(holder, "members", "--json")).stdout.startswith("{")
        done = await command(holder, "run", DUTY, "--", "sh", "-c", "echo under $LUGSPUR_EPOCH")
        assert done.returncode == 0 and int(done.stdout.split()[1]) > 0
        done = await command(other, "run", DUTY, "--", "sh", "-c", "echo never")
        assert done.returncode == 3 and done.stdout == ""
        assert (await command(holder, "run", "--needs", "1h", DUTY, "--", "true")).returncode == 3
        assert (await command(holder, "run", "nobody-wants", "--", "true")).returncode == 1

    play(tmp_path, what, count=3, least=0)
