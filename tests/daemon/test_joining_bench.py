"""Runs the measurements of request coalescing with fewer reads, but the same backends, faults and checks."""

from __future__ import annotations

import asyncio

import pytest

from lugspur.bench.joining import JOIN, burst, busy, faults


def test_200_like_reads_collapse_into_a_few_calls_and_each_meets_its_deadline() -> None:
    # The backend works for longer than a loaded machine takes to accept 200 connections. If it worked for less, late
    # reads would rightly cause a third call.
    result = asyncio.run(burst(200, JOIN.replace("{", '{ within = "5s",'), work_seconds=0.25))
    assert result.calls <= 2 and result.tally.statuses == {200: 200}


@pytest.mark.parametrize("seed", [1, 2])
def test_no_answer_is_lost_wrong_or_older_than_its_tenants_write(seed: int) -> None:
    result = asyncio.run(faults(600, seed))
    assert result.sent == 600 and not (result.lost or result.wrong or result.stale), result
    assert result.statuses[200] > 300 and result.calls < 600


def test_a_tenant_that_floods_leaves_the_others_their_places() -> None:
    result = asyncio.run(busy(JOIN, 1.0, flood=100, joined=30))
    others = result["others"]
    assert others.statuses and set(others.statuses) == {200} and result["busy"].statuses.get(503, 0) > 0
