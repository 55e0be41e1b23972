"""The balancer continues with other settings: learned state is kept, open requests keep their class."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.daemon.class_indexes import keep_class_indexes
from lugspur.load_balancing import (
    Balancer,
    Fail,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestClass,
    RetrySafety,
    Send,
    ServerRow,
    Settings,
    Tenant,
)

READ = RequestClass("read", retry_safety=RetrySafety.SAFE, late_value=1.0)
BOOK = RequestClass("book", late_value=1.0)


def balancer(*classes: RequestClass) -> Balancer:
    one = Balancer(Settings(classes=classes), seed=1)
    one.update_servers(0.0, ListUpdateKind.COMPLETE, [ServerRow(1), ServerRow(2)])
    return one


def test_learned_state_is_kept() -> None:
    one = balancer(READ)
    [send] = one.request(1.0, "a")
    assert isinstance(send, Send)
    one.finish_attempt(1.2, "a", 0, Outcome.OK, 0.2, True)
    one.change_settings(
        2.0, Settings(classes=(replace(READ, latency_target=0.5), BOOK), tenants=(Tenant("t", quota=3.0),))
    )
    assert one.table.servers[send.server].latency == 0.2 and one.costs.samples == 1
    [again] = one.request(2.0, "b", class_index=1, tenant=0)
    assert isinstance(again, Send)


def test_class_of_an_open_request_cannot_change() -> None:
    one = balancer(BOOK)
    one.request(1.0, "a")
    with pytest.raises(ValueError, match=r"classes\[0\]: a request of this class is open"):
        one.change_settings(1.1, Settings(classes=(READ,)))
    one.change_settings(1.1, Settings(classes=(BOOK, READ)))
    [fail] = one.finish_attempt(1.2, "a", 0, Outcome.INTERRUPTED, 0.2)
    assert isinstance(fail, Fail)
    one.change_settings(1.3, Settings(classes=(READ,)))  # allowed, as no request of the class is open


def test_retry_budget_keeps_the_retries_counted_so_far() -> None:
    one = balancer(READ)
    for number in range(30):
        rid = f"r{number}"
        one.request(1.0, rid)
        one.finish_attempt(1.0, rid, 0, Outcome.INTERRUPTED, 0.0)
    spent = len(one.retry_budget._retries)
    one.change_settings(
        1.0, replace(one.settings, classes=(replace(READ, latency_target=0.9),)) if not one.requests else one.settings
    )
    assert len(one.retry_budget._retries) == spent > 0


def test_bound_class_goes_only_to_its_servers_and_open_requests_keep_their_pool() -> None:
    one = balancer(READ)
    one.update_servers(1.0, ListUpdateKind.COMPLETE, [ServerRow(1), ServerRow(2, host_type=7)])
    one.request(1.0, "free")
    bound = replace(READ, allowed_host_types=(7,))
    before = one.table.class_pools[0]
    one.change_settings(1.0, Settings(classes=(READ, bound)))
    assert one.table.class_pools[0] is before and before.pending == 1
    for number in range(10):
        [send] = one.request(1.1, f"r{number}", 1)
        assert isinstance(send, Send) and send.server == 2
    one.finish_attempt(1.2, "free", 0, Outcome.OK, 0.1)
    assert before.pending == 0 and one.table.class_pools[1].pending == 10
    one.change_settings(1.3, Settings(classes=(READ, bound)))
    assert len(one.table.pools) == 2


def test_begun_stream_is_not_pending_and_bound_stream_is_not_retried() -> None:
    one = balancer(READ)
    for rid in ("bound", "begun"):
        one.request(1.0, rid)
    one.bind_to_attempt(1.1, "bound", 0)
    one.begin_response(1.1, "begun", 0)
    one.begin_response(1.2, "begun", 0)
    assert one.table.class_pools[0].pending == 1
    for rid in ("bound", "begun"):
        assert [type(action) for action in one.finish_attempt(1.3, rid, 0, Outcome.INTERRUPTED, 0.3)] == [
            Reject
        ]  # a rejection, as retries of the class are safe
    assert one.table.class_pools[0].pending == 0 and not one.requests
    assert one.bind_to_attempt(1.4, "bound", 0) == [] and one.begin_response(1.4, "begun", 0) == []


CLASSES = st.lists(
    st.integers(0, 6).map(lambda n: RequestClass(f"c{n % 3}", value=n)), min_size=1, max_size=4, unique=True
)


@given(st.lists(st.tuples(CLASSES, st.sets(st.integers(0, 12))), min_size=1, max_size=6))
def test_indexes_of_open_requests_stay_and_the_list_stays_bounded(
    steps: list[tuple[list[RequestClass], set[int]]],
) -> None:
    known: list[RequestClass] = []
    for wanted, open_ in steps:
        held = {at for at in open_ if at < len(known)}
        after = keep_class_indexes(known, wanted, held)
        assert all(after[at] == known[at] for at in held) and set(wanted) <= set(after)
        assert len(after) <= max(len(known), len(held) + len(wanted))
        known = after
