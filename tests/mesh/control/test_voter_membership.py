"""Which replicas should vote next."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lugspur.mesh.control.messages import Membership, Voter
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.voter_membership import ClusterView, Presence, Tolerance, next_membership

CURRENT = Membership(4, [Voter(f"10.0.0.{n}", f"u{n}", f"z{n}") for n in (1, 2, 3)])
THERE = {voter.ip: Presence(voter.uid, voter.zone) for voter in CURRENT.voters}
SPARE = {"10.0.0.4": Presence("u4", "z1"), "10.0.0.5": Presence("u5", "z2")}
ABSENCE_TIMEOUT = 5.0


def situation(
    presences: dict[str, Presence],
    absent: dict[str, float] | None = None,
    machines: int = 1,
    zones: int = 0,
    complete: tuple[int, ...] = (1, 2, 3),
    overdue: bool = False,
    avoid: frozenset[str] = frozenset(),
    membership: Membership = CURRENT,
) -> ClusterView:
    return ClusterView(
        membership,
        presences,
        absent or {},
        ABSENCE_TIMEOUT,
        {f"10.0.0.{n}" for n in complete},
        overdue,
        Tolerance(machines, zones),
        avoid,
    )


def follows(found: ClusterView) -> set[str] | None:
    """Who is new on the next membership, which changes one voter at the most."""
    following = next_membership(found)
    if following is None:
        return None
    before = found.membership
    assert (following.epoch, following.previous_voters) == (before.epoch + 1, before.voters)
    gone = {(v.ip, v.uid) for v in before.voters} - {(v.ip, v.uid) for v in following.voters}
    new = {(v.ip, v.uid) for v in following.voters} - {(v.ip, v.uid) for v in before.voters}
    assert len(gone) <= 1 and len(new) == 1
    return {f"{ip}/{uid}" for ip, uid in new}


@pytest.mark.parametrize(
    ("machines", "zones", "voters"), [(0, 0, 3), (1, 0, 3), (2, 0, 5), (3, 0, 7), (0, 1, 3), (0, 2, 5), (1, 1, 3)]
)
def test_as_many_voters_as_the_tolerated_losses_require(machines: int, zones: int, voters: int) -> None:
    assert Tolerance(machines, zones).voter_count == voters


def test_nothing_changes_without_a_cause_or_without_a_candidate() -> None:
    assert follows(situation(THERE | SPARE)) is None
    assert follows(situation(THERE, {"10.0.0.1": 99.0})) is None
    assert follows(situation(THERE | SPARE, {"10.0.0.1": 4.0})) is None


def test_a_voter_that_is_unreachable_leaves_or_has_another_disk_is_replaced() -> None:
    # The zone that has least voters then.
    assert follows(situation(THERE | SPARE, {"10.0.0.1": 6.0}, complete=(2, 3))) == {"10.0.0.4/u4"}
    assert follows(situation(THERE | SPARE, {"10.0.0.2": 6.0}, complete=(1, 3))) == {"10.0.0.5/u5"}
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    assert follows(situation(THERE | SPARE | leaving)) == {"10.0.0.5/u5"}
    assert follows(situation(THERE | leaving)) is None
    wiped = {"10.0.0.3": Presence("wiped", "z3")}
    assert follows(situation(THERE | wiped, complete=(1, 2))) == {"10.0.0.3/wiped"}
    gone = {"10.0.0.4": Presence("u4", "z1", True)}  # a candidate that leaves is none
    assert follows(situation(THERE | gone, {"10.0.0.1": 6.0}, complete=(2, 3))) is None


def test_a_lost_disk_is_replaced_first_and_a_failing_disk_is_no_candidate() -> None:
    wiped, leaving = {"10.0.0.3": Presence("wiped", "z3")}, {"10.0.0.1": Presence("u1", "z1", True)}
    assert follows(situation(THERE | SPARE | wiped | leaving, complete=(1, 2))) == {"10.0.0.3/wiped"}
    failing = {"10.0.0.2": Presence("u2", "z2", failing=True)}
    assert follows(situation(THERE | SPARE | failing)) == {"10.0.0.5/u5"}
    both = {"10.0.0.4": Presence("u4", "z1", failing=True), "10.0.0.5": Presence("u5", "z2", failing=True)}
    assert follows(situation(THERE | both | failing)) is None
    unfit = {"10.0.0.3": Presence("wiped", "z3", failing=True)}
    assert follows(situation(THERE | unfit, complete=(1, 2))) is None


def test_a_recently_absent_replica_gets_a_vote_only_where_there_is_no_other() -> None:
    lost, avoid = {"10.0.0.1": 6.0}, frozenset({"10.0.0.4"})
    assert follows(situation(THERE | SPARE, lost, complete=(2, 3), avoid=avoid)) == {"10.0.0.5/u5"}
    one = {"10.0.0.4": SPARE["10.0.0.4"]}
    assert follows(situation(THERE | one, lost, complete=(2, 3), avoid=avoid)) == {"10.0.0.4/u4"}


def test_no_voter_is_replaced_that_its_successor_must_read_from() -> None:
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    # The third has not caught up: one would be left.
    assert follows(situation(THERE | SPARE | leaving, complete=(1, 2))) is None
    assert follows(situation(THERE | SPARE | leaving, complete=(1, 3))) == {"10.0.0.5/u5"}
    assert follows(situation(THERE | SPARE, {"10.0.0.1": 6.0}, complete=(2, 3))) == {"10.0.0.4/u4"}
    wiped = {"10.0.0.3": Presence("wiped", "z3")}
    assert follows(situation(THERE | wiped, complete=(1, 3))) is None
    assert follows(situation(THERE | wiped, complete=(1, 2))) == {"10.0.0.3/wiped"}


def test_an_overdue_epoch_is_left_with_the_voters_that_are_there() -> None:
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    assert follows(situation(THERE | SPARE | leaving, complete=(1, 2), overdue=True)) == {"10.0.0.5/u5"}


@pytest.mark.parametrize("voters", [3, 5, 7])
@pytest.mark.parametrize("cause", ["silent", "leaving", "failing", "wiped"])
def test_no_step_leaves_less_than_a_complete_majority(voters: int, cause: str) -> None:
    all_of = [Voter(f"10.0.0.{n}", f"u{n}", f"z{n}") for n in range(1, voters + 1)]
    presences = {v.ip: Presence(v.uid, v.zone) for v in all_of} | {"10.0.0.9": Presence("u9", "z9")}
    went = {
        "silent": Presence("u1", "z1"),
        "leaving": Presence("u1", "z1", leaving=True),
        "failing": Presence("u1", "z1", failing=True),
        "wiped": Presence("wiped", "z1"),
    }[cause]
    for count in range(voters + 1):
        complete = tuple(range(1, count + 1))
        found = situation(
            presences | {"10.0.0.1": went},
            {"10.0.0.1": 6.0} if cause == "silent" else None,
            (voters - 1) // 2,
            complete=complete,
            membership=Membership(4, all_of),
        )
        step = next_membership(found)
        left = len(set(complete) - {1})
        assert (step is not None) == (left >= majority(voters)), (count, step)


def test_too_few_voters_are_filled_one_by_one() -> None:
    assert follows(situation(THERE | SPARE, machines=2)) == {"10.0.0.4/u4"}
    assert follows(situation(THERE | SPARE, machines=2, complete=(1, 2))) is None  # four would need three
    assert follows(situation(THERE, machines=2)) is None


def test_votes_are_spread_over_zones_where_one_zone_could_take_the_majority() -> None:
    crowded = {ip: Presence(p.uid, "z1" if ip != "10.0.0.3" else "z3") for ip, p in THERE.items()}
    elsewhere = {"10.0.0.4": Presence("u4", "z2"), "10.0.0.5": Presence("u5", "z1")}
    assert follows(situation(crowded | elsewhere, zones=1)) == {"10.0.0.4/u4"}
    assert follows(situation(crowded | elsewhere)) is None  # no zone is to be lost
    assert follows(situation(crowded | {"10.0.0.5": Presence("u5", "z1")}, zones=1)) is None
    assert follows(situation(THERE | SPARE, zones=1)) is None


def test_votes_are_spread_over_regions_where_a_region_may_be_lost() -> None:
    regions = {"z1": "east", "z2": "east", "z3": "west", "z4": "north"}
    north = {"10.0.0.4": Presence("u4", "z4")}

    def spread(presences: dict[str, Presence], lost: Tolerance) -> set[str] | None:
        return follows(replace(situation(presences), tolerance=lost, regions=regions))

    assert spread(THERE | north, Tolerance(1, 1, 1)) == {"10.0.0.4/u4"}  # z1 and z2 go at once
    assert spread(THERE | north, Tolerance(1, 1)) is None
    assert spread(THERE | {"10.0.0.4": Presence("u4", "z2")}, Tolerance(1, 1, 1)) is None


def test_a_lost_voter_is_replaced_in_the_region_that_has_fewest_votes() -> None:
    regions = {"z1": "east", "z2": "east", "z3": "west", "z4": "north"}
    left = {ip: presence for ip, presence in THERE.items() if ip != "10.0.0.3"}
    spares = {"10.0.0.4": Presence("u4", "z2"), "10.0.0.5": Presence("u5", "z4")}
    found = situation(left | spares, absent={"10.0.0.3": ABSENCE_TIMEOUT + 1.0})
    assert follows(replace(found, tolerance=Tolerance(1, 0, 1), regions=regions)) == {"10.0.0.5/u5"}
