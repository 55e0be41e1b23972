"""The store of entries: copies agree for any order of changes, and subscribers resume from a sequence number."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import Store

entries = st.builds(
    Entry,
    st.just("routes"),
    st.sampled_from("ab"),
    st.integers(1, 4),
    st.one_of(st.none(), st.sampled_from([b"x", b"y"])),
)


@given(st.lists(entries), st.randoms())
def test_stores_agree_for_any_order_of_changes_and_editions_never_decrease(changes: list[Entry], rng: Any) -> None:
    one, other = Store(), Store()
    for entry in changes:
        before = one.get(entry.kind, entry.name)
        one.merge([entry])
        after = one.get(entry.kind, entry.name)
        assert after is not None and (before is None or after.edition >= before.edition)
    shuffled = list(changes)
    rng.shuffle(shuffled)
    other.merge(shuffled + shuffled)
    assert {(e.name, e.edition, e.value) for e in one.all()} == {(e.name, e.edition, e.value) for e in other.all()}


@given(st.lists(entries), st.integers(0, 20))
def test_the_changes_after_a_sequence_number_are_all_that_a_subscriber_lacks(changes: list[Entry], cut: int) -> None:
    source, copy = Store(), Store()
    source.merge(changes[:cut])
    copy.merge(source.all())
    sequence = source.latest_sequence
    source.merge(changes[cut:])
    copy.merge(source.changed_after(sequence))
    assert {(e.name, e.edition, e.value) for e in copy.all()} == {(e.name, e.edition, e.value) for e in source.all()}
