"""The maximum size of the configuration: every disk can store it, whichever machine joins."""

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
from test_voter_membership import PRESENT, SPARE, cluster_view, new_voters

from lugspur.mesh.control.capacity import CONFIGURATION_DISK_FRACTION, fits_on_disk, item_bytes, max_configuration_bytes
from lugspur.mesh.control.change_requests import Confirmed, Refused
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages import Change, Entry
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.control.register import Register
from lugspur.mesh.control.voter_membership import Presence
from lugspur.mesh.storage.disk import Disk

SMALL = 60_000  # bytes of a small disk, which has room for 10,000 bytes of configuration


def entry_of(name: str, size: int, edition: int = 1) -> Entry:
    return Entry("notes", name, edition, b"x" * size)


def node_with_disks(*disks: int) -> Node:
    node = Node()
    node.proposer = Proposer(node.replica, f"{IPS[0]}/life", Random(1), lambda: disks)
    return node


def decide(node: Node, *entries: Entry) -> None:
    proposal = proposal_of(node.submit(*entries))
    node.promises(proposal, *IPS[:2])
    node.accepts(proposal, *IPS[:2])


def test_a_request_that_the_smallest_disk_cannot_store_is_rejected_and_never_proposed() -> None:
    node = node_with_disks(600_000, SMALL, 0)
    proposal = proposal_of(node.submit(entry_of("a", 12_000)))
    effects = node.promises(proposal, *IPS[:2])
    assert not [message for _, message in effects.send if "Accept" in type(message).__name__]
    [outcome] = node.outcomes
    assert (
        isinstance(outcome, Refused) and outcome.error.kind is ErrorKind.TOO_LARGE and "10000" in outcome.error.detail
    )


def test_requests_are_accepted_until_their_sum_is_too_large_and_smaller_ones_always() -> None:
    node = node_with_disks(SMALL)
    for name in "ab":
        decide(node, entry_of(name, 4_500))
    too_large = proposal_of(node.submit(entry_of("c", 4_500)))
    node.promises(too_large, *IPS[:2])
    assert [type(outcome) for outcome in node.outcomes] == [Confirmed, Confirmed, Refused]
    node.proposer._disk_sizes = lambda: (SMALL // 10,)  # a disk without room for the items in force doesn't count
    decide(node, entry_of("c", 4_500))
    node.proposer._disk_sizes = lambda: (SMALL,)
    # The items in force exceed the limit, and this change makes them smaller.
    decide(node, entry_of("a", 4_400, 2), entry_of("b", 4_400, 2), Entry("notes", "c", 2, None))
    assert [type(outcome) for outcome in node.outcomes[3:]] == [Confirmed, Confirmed]


def test_without_a_known_disk_nothing_is_rejected() -> None:
    node = node_with_disks()
    decide(node, entry_of("a", 100_000))
    assert [type(outcome) for outcome in node.outcomes] == [Confirmed]


def test_a_machine_whose_disk_cannot_store_the_configuration_gets_no_vote() -> None:
    small = {ip: Presence(p.uid, p.zone, disk_bytes=SMALL) for ip, p in SPARE.items()}
    absent = {"10.0.0.1": 6.0}
    view = cluster_view(PRESENT | small, absent, complete=(2, 3))
    assert new_voters(replace(view, configuration_bytes=10_000)) == {"10.0.0.4/u4"}
    assert new_voters(replace(view, configuration_bytes=10_001)) is None
    larger = PRESENT | small | {"10.0.0.5": Presence("u5", "z2", disk_bytes=2 * SMALL)}
    assert new_voters(replace(cluster_view(larger, absent, complete=(2, 3)), configuration_bytes=10_001)) == {
        "10.0.0.5/u5"
    }


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
    restored.restore(rows_on_disk(register))
    other.learn(register.pages_after(0))
    assert restored.size_bytes == register.size_bytes and other.size_bytes in (register.size_bytes, 0)


def rows_on_disk(register: Register) -> list[tuple[bytes, bytes]]:
    """Return all rows of a register as they are on disk."""
    applied = Register().learn(register.pages_after(0))
    return [(key, value) for key, value in applied.write if value is not None]


@pytest.mark.parametrize("part", [0.9, 1.0])
def test_a_disk_stores_a_configuration_of_its_fraction_and_a_change_of_all_of_it(part: float, tmp_path: Path) -> None:
    """Verify CONFIGURATION_DISK_FRACTION on a real disk, with the items, the accepted value and all replacements."""

    async def run() -> None:
        disk = Disk(str(tmp_path), 1)
        max_bytes = int(disk.max_bytes * CONFIGURATION_DISK_FRACTION * part)
        items = [(b"i%d" % number, max_bytes // 64) for number in range(64)]
        disk.start()
        for turn in range(4):
            value = bytes([65 + turn]) * max_bytes
            done = asyncio.Event()
            disk.write([(b"mvote", value)], done.set)
            await done.wait()
            done = asyncio.Event()
            rows = [(key, value[:size]) for key, size in items]
            disk.write([*rows, (b"mindex", b"1")], done.set)
            await done.wait()
        assert not disk.fault and disk.failures == 0
        disk.close(5.0)

    asyncio.run(asyncio.wait_for(run(), 60.0))
