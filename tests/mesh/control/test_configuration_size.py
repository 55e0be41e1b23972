"""How large the configuration may be: what every disk can store, whichever machine joins."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from controlparts import IPS, seed
from hypothesis import given
from hypothesis import strategies as st
from test_proposer import Node, proposal_of
from test_voter_membership import SPARE, THERE, follows, situation

from lugspur.mesh.control.capacity import CONFIGURATION_DISK_FRACTION, fits_on_disk, item_bytes, max_configuration_bytes
from lugspur.mesh.control.change_requests import Confirmed, Refused
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages import Change, Entry
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.control.register import Register
from lugspur.mesh.control.voter_membership import Presence
from lugspur.mesh.storage.disk import Disk

SMALL = 60_000  # bytes of a small disk: 10,000 of the configuration


def large(name: str, size: int, edition: int = 1) -> Entry:
    return Entry("notes", name, edition, b"x" * size)


def node(*disks: int) -> Node:
    found = Node()
    found.proposer = Proposer(found.replica, f"{IPS[0]}/life", Random(1), lambda: disks)
    return found


def settle(found: Node, *entries: Entry) -> None:
    proposal = proposal_of(found.submit(*entries))
    found.promises(proposal, *IPS[:2])
    found.accepts(proposal, *IPS[:2])


def test_a_request_that_the_smallest_disk_cannot_store_is_refused_and_never_proposed() -> None:
    found = node(600_000, SMALL, 0)
    proposal = proposal_of(found.submit(large("a", 12_000)))
    effects = found.promises(proposal, *IPS[:2])
    assert not [message for _, message in effects.send if "Accept" in type(message).__name__]
    [refused] = found.outcomes
    assert (
        isinstance(refused, Refused) and refused.error.kind is ErrorKind.TOO_LARGE and "10000" in refused.error.detail
    )


def test_requests_are_accepted_until_their_sum_is_too_large_and_smaller_ones_always() -> None:
    found = node(SMALL)
    for name in "ab":
        settle(found, large(name, 4_500))
    settle_refused = proposal_of(found.submit(large("c", 4_500)))
    found.promises(settle_refused, *IPS[:2])
    assert [type(how) for how in found.outcomes] == [Confirmed, Confirmed, Refused]
    found.proposer._disk_sizes = lambda: (SMALL // 10,)  # a disk that can't hold what stands is no reason to refuse
    settle(found, large("c", 4_500))
    found.proposer._disk_sizes = lambda: (SMALL,)
    settle(found, large("a", 4_400, 2), large("b", 4_400, 2), Entry("notes", "c", 2, None))  # above its part, and less
    assert [type(how) for how in found.outcomes[3:]] == [Confirmed, Confirmed]


def test_where_no_disk_is_known_nothing_is_refused() -> None:
    found = node()
    settle(found, large("a", 100_000))
    assert [type(how) for how in found.outcomes] == [Confirmed]


def test_a_machine_whose_disk_cannot_store_the_configuration_gets_no_vote() -> None:
    small = {ip: Presence(p.uid, p.zone, disk_bytes=SMALL) for ip, p in SPARE.items()}
    absent = {"10.0.0.1": 6.0}
    fitting = situation(THERE | small, absent, complete=(2, 3))
    assert follows(replace(fitting, configuration_bytes=10_000)) == {"10.0.0.4/u4"}
    assert follows(replace(fitting, configuration_bytes=10_001)) is None
    larger = THERE | small | {"10.0.0.5": Presence("u5", "z2", disk_bytes=2 * SMALL)}
    assert follows(replace(situation(larger, absent, complete=(2, 3)), configuration_bytes=10_001)) == {"10.0.0.5/u5"}


def test_a_sixth_machine_with_a_small_disk_does_not_limit_the_other_five() -> None:
    five = [600_000] * 5
    assert max_configuration_bytes(50_000, [*five, SMALL]) == 100_000
    assert max_configuration_bytes(9_000, [*five, SMALL]) == 10_000
    assert fits_on_disk(1 << 40, 0) and max_configuration_bytes(5, []) == 0


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9), st.one_of(st.none(), st.binary(max_size=50)))))
def test_the_register_counts_the_bytes_of_its_items(changes: list[tuple[str, int, bytes | None]]) -> None:
    register = seed(IPS[0]).register
    for number, (name, edition, value) in enumerate(changes):
        register.decide(Change(str(number), [Entry("notes", name, edition, value)]))
        assert register.size_bytes == sum(item_bytes(item.entry) for item in register.items.values())
    restored, other = Register(), Register()
    restored.restore(other_rows(register))
    other.learn(register.pages_after(0))
    assert restored.size_bytes == register.size_bytes and other.size_bytes in (register.size_bytes, 0)


def other_rows(register: Register) -> list[tuple[bytes, bytes]]:
    """All rows of a register as they lie on disk."""
    applied = Register().learn(register.pages_after(0))
    return [(key, value) for key, value in applied.write if value is not None]


@pytest.mark.parametrize("part", [0.9, 1.0])
def test_a_disk_stores_a_configuration_of_its_fraction_and_a_change_of_all_of_it(part: float, tmp_path: Path) -> None:
    """The measure behind CONFIGURATION_DISK_FRACTION: items, vote and replacements, on a real disk."""

    async def run() -> None:
        disk = Disk(str(tmp_path), 1)
        most = int(disk.max_bytes * CONFIGURATION_DISK_FRACTION * part)
        items = [(b"i%d" % number, most // 64) for number in range(64)]
        disk.start()
        for turn in range(4):
            whole = bytes([65 + turn]) * most
            done = asyncio.Event()
            disk.write([(b"mvote", whole)], done.set)
            await done.wait()
            done = asyncio.Event()
            rows = [(key, whole[:size]) for key, size in items]
            disk.write([*rows, (b"mindex", b"1")], done.set)
            await done.wait()
        assert not disk.fault and disk.failures == 0
        disk.close(5.0)

    asyncio.run(asyncio.wait_for(run(), 60.0))
