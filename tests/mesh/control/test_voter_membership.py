"""The choice of the voters of the next epoch."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lugspur.mesh.control.messages import Membership, OverdueMembership, Voter
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.voter_membership import (
    MAX_EARLIER_EPOCHS,
    ClusterView,
    Presence,
    Tolerance,
    next_membership,
)

CURRENT = Membership(4, [Voter(f"10.0.0.{n}", f"u{n}", f"z{n}") for n in (1, 2, 3)])
PRESENT = {voter.ip: Presence(voter.uid, voter.zone) for voter in CURRENT.voters}
SPARE = {"10.0.0.4": Presence("u4", "z1"), "10.0.0.5": Presence("u5", "z2")}
ABSENCE_TIMEOUT = 5.0


def cluster_view(
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


def new_voters(view: ClusterView) -> set[str] | None:
    """Return the new voter in the next membership, which changes at most one voter, or None for no change."""
    following = next_membership(view)
    if following is None:
        return None
    before = view.membership
    assert (following.epoch, following.previous_voters) == (before.epoch + 1, before.voters)
    removed = {(v.ip, v.uid) for v in before.voters} - {(v.ip, v.uid) for v in following.voters}
    added = {(v.ip, v.uid) for v in following.voters} - {(v.ip, v.uid) for v in before.voters}
    assert len(removed) <= 1 and len(added) == 1
    return {f"{ip}/{uid}" for ip, uid in added}


@pytest.mark.parametrize(
    ("machines", "zones", "voters"), [(0, 0, 3), (1, 0, 3), (2, 0, 5), (3, 0, 7), (0, 1, 3), (0, 2, 5), (1, 1, 3)]
)
def test_the_number_of_voters_follows_from_the_tolerated_losses(machines: int, zones: int, voters: int) -> None:
    assert Tolerance(machines, zones).voter_count == voters


def test_nothing_changes_without_a_cause_or_without_a_candidate() -> None:
    assert new_voters(cluster_view(PRESENT | SPARE)) is None
    assert new_voters(cluster_view(PRESENT, {"10.0.0.1": 99.0})) is None
    assert new_voters(cluster_view(PRESENT | SPARE, {"10.0.0.1": 4.0})) is None


def test_a_voter_that_is_unreachable_leaves_or_has_another_disk_is_replaced() -> None:
    # The new voter is in the zone that has the fewest voters without the replaced one.
    assert new_voters(cluster_view(PRESENT | SPARE, {"10.0.0.1": 6.0}, complete=(2, 3))) == {"10.0.0.4/u4"}
    assert new_voters(cluster_view(PRESENT | SPARE, {"10.0.0.2": 6.0}, complete=(1, 3))) == {"10.0.0.5/u5"}
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    assert new_voters(cluster_view(PRESENT | SPARE | leaving)) == {"10.0.0.5/u5"}
    assert new_voters(cluster_view(PRESENT | leaving)) is None
    wiped = {"10.0.0.3": Presence("wiped", "z3")}
    assert new_voters(cluster_view(PRESENT | wiped, complete=(1, 2))) == {"10.0.0.3/wiped"}
    leaving_spare = {"10.0.0.4": Presence("u4", "z1", True)}  # a replica that leaves is no candidate
    assert new_voters(cluster_view(PRESENT | leaving_spare, {"10.0.0.1": 6.0}, complete=(2, 3))) is None


def test_a_lost_disk_is_replaced_first_and_a_failing_disk_is_no_candidate() -> None:
    wiped, leaving = {"10.0.0.3": Presence("wiped", "z3")}, {"10.0.0.1": Presence("u1", "z1", True)}
    assert new_voters(cluster_view(PRESENT | SPARE | wiped | leaving, complete=(1, 2))) == {"10.0.0.3/wiped"}
    failing = {"10.0.0.2": Presence("u2", "z2", failing=True)}
    assert new_voters(cluster_view(PRESENT | SPARE | failing)) == {"10.0.0.5/u5"}
    both = {"10.0.0.4": Presence("u4", "z1", failing=True), "10.0.0.5": Presence("u5", "z2", failing=True)}
    assert new_voters(cluster_view(PRESENT | both | failing)) is None
    unfit = {"10.0.0.3": Presence("wiped", "z3", failing=True)}
    assert new_voters(cluster_view(PRESENT | unfit, complete=(1, 2))) is None


def test_a_recently_absent_replica_gets_a_vote_only_where_there_is_no_other() -> None:
    lost, avoid = {"10.0.0.1": 6.0}, frozenset({"10.0.0.4"})
    assert new_voters(cluster_view(PRESENT | SPARE, lost, complete=(2, 3), avoid=avoid)) == {"10.0.0.5/u5"}
    only_spare = {"10.0.0.4": SPARE["10.0.0.4"]}
    assert new_voters(cluster_view(PRESENT | only_spare, lost, complete=(2, 3), avoid=avoid)) == {"10.0.0.4/u4"}


def test_no_voter_is_replaced_whose_reservations_its_successor_must_read() -> None:
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    # The third voter has not caught up, so that only one complete voter would remain.
    assert new_voters(cluster_view(PRESENT | SPARE | leaving, complete=(1, 2))) is None
    assert new_voters(cluster_view(PRESENT | SPARE | leaving, complete=(1, 3))) == {"10.0.0.5/u5"}
    assert new_voters(cluster_view(PRESENT | SPARE, {"10.0.0.1": 6.0}, complete=(2, 3))) == {"10.0.0.4/u4"}
    wiped = {"10.0.0.3": Presence("wiped", "z3")}
    assert new_voters(cluster_view(PRESENT | wiped, complete=(1, 3))) is None
    assert new_voters(cluster_view(PRESENT | wiped, complete=(1, 2))) == {"10.0.0.3/wiped"}


def test_an_overdue_epoch_ends_even_without_a_complete_majority() -> None:
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    assert new_voters(cluster_view(PRESENT | SPARE | leaving, complete=(1, 2), overdue=True)) == {"10.0.0.5/u5"}


def test_a_step_without_a_complete_majority_that_stays_lists_the_voters_of_the_epochs_before() -> None:
    # Guards against TWICE of review/1: without them a new voter could not ask the voters that hold the reservations.
    earlier = [[Voter("10.0.0.9", "u9", "z9")], [Voter("10.0.0.8", "u8", "z8")]]
    current = OverdueMembership(4, CURRENT.voters, earlier[0], earlier[1:])
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    for complete, past in (((1, 3), [current.voters]), ((1, 2), [current.voters, *earlier])):
        view = cluster_view(PRESENT | SPARE | leaving, complete=complete, overdue=True, membership=current)
        following = next_membership(view)
        assert following is not None and following.past_voters == past
    long = OverdueMembership(4, CURRENT.voters, earlier[0], earlier[1:] * 2 * MAX_EARLIER_EPOCHS)
    view = cluster_view(PRESENT | SPARE | leaving, complete=(1,), overdue=True, membership=long)
    following = next_membership(view)
    assert following is not None and len(following.past_voters) == 1 + MAX_EARLIER_EPOCHS


@pytest.mark.parametrize("voters", [3, 5, 7])
@pytest.mark.parametrize("cause", ["silent", "leaving", "failing", "wiped"])
def test_no_step_leaves_less_than_a_complete_majority(voters: int, cause: str) -> None:
    all_voters = [Voter(f"10.0.0.{n}", f"u{n}", f"z{n}") for n in range(1, voters + 1)]
    presences = {v.ip: Presence(v.uid, v.zone) for v in all_voters} | {"10.0.0.9": Presence("u9", "z9")}
    first_voter = {
        "silent": Presence("u1", "z1"),
        "leaving": Presence("u1", "z1", leaving=True),
        "failing": Presence("u1", "z1", failing=True),
        "wiped": Presence("wiped", "z1"),
    }[cause]
    for count in range(voters + 1):
        complete = tuple(range(1, count + 1))
        view = cluster_view(
            presences | {"10.0.0.1": first_voter},
            {"10.0.0.1": 6.0} if cause == "silent" else None,
            (voters - 1) // 2,
            complete=complete,
            membership=Membership(4, all_voters),
        )
        step = next_membership(view)
        remaining = len(set(complete) - {1})
        assert (step is not None) == (remaining >= majority(voters)), (count, step)


def test_missing_voters_are_added_one_by_one() -> None:
    assert new_voters(cluster_view(PRESENT | SPARE, machines=2)) == {"10.0.0.4/u4"}
    assert (
        new_voters(cluster_view(PRESENT | SPARE, machines=2, complete=(1, 2))) is None
    )  # four voters would need three complete ones
    assert new_voters(cluster_view(PRESENT, machines=2)) is None


def test_votes_are_spread_over_zones_where_one_zone_could_take_the_majority() -> None:
    crowded = {ip: Presence(p.uid, "z1" if ip != "10.0.0.3" else "z3") for ip, p in PRESENT.items()}
    elsewhere = {"10.0.0.4": Presence("u4", "z2"), "10.0.0.5": Presence("u5", "z1")}
    assert new_voters(cluster_view(crowded | elsewhere, zones=1)) == {"10.0.0.4/u4"}
    assert new_voters(cluster_view(crowded | elsewhere)) is None  # no loss of a zone has to be tolerated
    assert new_voters(cluster_view(crowded | {"10.0.0.5": Presence("u5", "z1")}, zones=1)) is None
    assert new_voters(cluster_view(PRESENT | SPARE, zones=1)) is None


def test_votes_are_spread_over_regions_where_a_region_may_be_lost() -> None:
    regions = {"z1": "east", "z2": "east", "z3": "west", "z4": "north"}
    north = {"10.0.0.4": Presence("u4", "z4")}

    def spread(presences: dict[str, Presence], lost: Tolerance) -> set[str] | None:
        return new_voters(replace(cluster_view(presences), tolerance=lost, regions=regions))

    assert spread(PRESENT | north, Tolerance(1, 1, 1)) == {
        "10.0.0.4/u4"
    }  # z1 and z2 are in one region and fail together
    assert spread(PRESENT | north, Tolerance(1, 1)) is None
    assert spread(PRESENT | {"10.0.0.4": Presence("u4", "z2")}, Tolerance(1, 1, 1)) is None


def test_a_lost_voter_is_replaced_in_the_region_that_has_fewest_votes() -> None:
    regions = {"z1": "east", "z2": "east", "z3": "west", "z4": "north"}
    remaining = {ip: presence for ip, presence in PRESENT.items() if ip != "10.0.0.3"}
    spares = {"10.0.0.4": Presence("u4", "z2"), "10.0.0.5": Presence("u5", "z4")}
    view = cluster_view(remaining | spares, absent={"10.0.0.3": ABSENCE_TIMEOUT + 1.0})
    assert new_voters(replace(view, tolerance=Tolerance(1, 0, 1), regions=regions)) == {"10.0.0.5/u5"}
