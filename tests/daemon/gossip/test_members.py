"""Gossip members in virtual time: how the faults listed in docs/duties.md affect the views of all members."""

from __future__ import annotations

from random import Random

import pytest

from lugspur.daemon.gossip.events import MemberChanged, MessageReceived, NameConflict
from lugspur.daemon.gossip.membership_table import MAX_MEMBERS
from lugspur.daemon.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    MemberMetadata,
    MemberRecord,
    Packet,
    Ping,
    Status,
    Updates,
    UserMessage,
)
from lugspur.daemon.gossip.protocol import GossipProtocol
from lugspur.daemon.gossip.rate_limits import MAX_SOURCE_BURST_DATAGRAMS
from lugspur.emulator.datagrams import Address, partition
from lugspur.emulator.members import GossipFleet

CONVERGENCE_SECONDS = 10.0  # ten protocol periods, within which all views have to agree again


def status(fleet: GossipFleet, at: int, of: str) -> Status | None:
    """Return the status of one member in the view of another."""
    member = fleet.running()[fleet.address(at)].members.get(of)
    return None if member is None else Status(member.record.status)


@pytest.mark.parametrize("count", [2, 3, 5, 50])
def test_all_members_join_by_two_seeds(count: int) -> None:
    assert GossipFleet(count, 1).run_until_converged() <= CONVERGENCE_SECONDS


@pytest.mark.parametrize(("count", "seed"), [(3, 1), (5, 2), (50, 3)])
def test_killed_member_is_dead_in_all_views_within_ten_periods(count: int, seed: int) -> None:
    fleet = GossipFleet(count, seed)
    fleet.run_until_converged()
    fleet.network.kill(fleet.address(2))
    fleet.run_until_converged(CONVERGENCE_SECONDS)
    assert all(status(fleet, at, "m2") is Status.DEAD for at in range(count) if at != 2)


def test_member_that_leaves_is_removed_at_once_and_never_suspected() -> None:
    fleet = GossipFleet(10, 4)
    fleet.run_until_converged()
    started_at = fleet.network.now
    leaving = fleet.running()[fleet.address(3)]
    leaving.leave(started_at)
    fleet.network.flush(fleet.address(3))
    fleet.network.kill(fleet.address(3))
    assert fleet.run_until_converged(2.0) <= 2.0
    assert all(status(fleet, at, "m3") is Status.LEFT for at in range(10) if at != 3)
    assert fleet.count_false_suspicions(started_at) == 0


@pytest.mark.parametrize(("count", "cut"), [(5, 2), (20, 10), (50, 17)])
def test_halves_of_a_partition_that_declared_each_other_dead_merge_again(count: int, cut: int) -> None:
    fleet = GossipFleet(count, 5)
    fleet.run_until_converged()
    inside = [fleet.address(number) for number in range(cut)]
    fleet.network.is_cut = partition(inside)
    fleet.network.run(40.0)
    for address, protocol in fleet.running().items():
        assert protocol.present_count == (cut if address in inside else count - cut)
    fleet.network.is_cut = lambda origin, to: False
    fleet.run_until_converged(CONVERGENCE_SECONDS)


def test_member_that_only_receives_is_declared_dead_and_returns() -> None:
    fleet = GossipFleet(8, 6)
    fleet.run_until_converged()
    receive_only = fleet.address(5)
    fleet.network.is_cut = lambda origin, to: origin == receive_only
    fleet.network.run(15.0)
    assert all(status(fleet, at, "m5") is Status.DEAD for at in range(8) if at != 5)
    fleet.network.is_cut = lambda origin, to: False
    fleet.run_until_converged(CONVERGENCE_SECONDS)


@pytest.mark.parametrize("seconds", [0.3, 3.0, 30.0])
def test_paused_process_suspects_nobody(seconds: float) -> None:
    fleet = GossipFleet(10, 7)
    fleet.run_until_converged()
    started_at = fleet.network.now
    paused = fleet.address(4)
    fleet.network.pause(paused, seconds)
    fleet.network.run(seconds)
    fleet.run_until_converged(CONVERGENCE_SECONDS)
    assert fleet.count_false_suspicions(started_at, excluding=["m4"]) == 0


def test_lost_datagrams_and_short_pauses_cause_no_suspicion() -> None:
    fleet = GossipFleet(20, 8)
    fleet.run_until_converged()
    fleet.network.loss, fleet.network.duplication, fleet.network.max_extra_delay = 0.05, 0.1, 0.05
    started_at = fleet.network.now
    while fleet.network.now < started_at + 60.0:
        fleet.network.pause(fleet.address(Random(fleet.network.now).randrange(20)), 0.3)
        fleet.network.run(1.0)
    assert fleet.count_false_suspicions(started_at) == 0


def test_restarted_member_has_another_instance_id_and_a_greater_incarnation() -> None:
    fleet = GossipFleet(6, 9)
    fleet.run_until_converged()
    before = fleet.running()[fleet.address(3)].local_record
    fleet.network.kill(fleet.address(3))
    fleet.network.run(1.0)
    fleet.start(3)
    fleet.run_until_converged(CONVERGENCE_SECONDS)
    seen = [protocol.members["m3"].record for at, protocol in fleet.running().items() if at != fleet.address(3)]
    assert all(record.instance_id != before.instance_id and record.incarnation > before.incarnation for record in seen)


def test_restarted_member_rejoins_though_its_wall_clock_went_back_an_hour() -> None:
    fleet = GossipFleet(6, 10)
    fleet.run_until_converged()
    fleet.network.kill(fleet.address(3))
    fleet.start(3, clock_lag=3600.0)
    fleet.run_until_converged(CONVERGENCE_SECONDS)
    assert not any(isinstance(event, NameConflict) for event in fleet.running()[fleet.address(3)].take_events())


def test_datagrams_of_a_former_process_change_nothing() -> None:
    fleet = GossipFleet(4, 11)
    fleet.run_until_converged()
    former = fleet.running()[fleet.address(3)]
    old = former.codec.encode(Packet("m3", former.local_record.instance_id, "m1", Updates([former.local_record])))
    fleet.network.kill(fleet.address(3))
    fleet.start(3)
    fleet.run_until_converged(CONVERGENCE_SECONDS)
    now = fleet.running()[fleet.address(1)].members["m3"].record
    for _ in range(10):
        fleet.running()[fleet.address(1)].receive(fleet.network.now, old, fleet.address(3))
    assert fleet.running()[fleet.address(1)].members["m3"].record == now
    message = former.codec.encode(Packet("m3", former.local_record.instance_id, "m1", UserMessage(1, b"old")))
    fleet.running()[fleet.address(1)].receive(fleet.network.now, message, fleet.address(3))
    assert not any(isinstance(event, MessageReceived) for event in fleet.running()[fleet.address(1)].take_events())


def test_younger_of_two_processes_with_one_name_falls_silent() -> None:
    fleet = GossipFleet(5, 12)
    fleet.run_until_converged()
    conflicts: list[tuple[str, NameConflict]] = []

    def on_flush(address: Address, protocol: GossipProtocol) -> None:
        conflicts.extend(
            (f"{address[0]}", event) for event in protocol.take_events() if isinstance(event, NameConflict)
        )

    fleet.network.on_flush = on_flush  # type: ignore[assignment]  # all nodes of this network are gossip members
    fleet.start(7, "m2")
    fleet.network.run(25.0)
    assert any(event.is_yielding for where, event in conflicts if where == fleet.address(7)[0])
    assert not any(event.is_yielding for where, event in conflicts if where == fleet.address(2)[0])
    fleet.network.run(1.0)
    others = [fleet.running()[fleet.address(at)] for at in (0, 1, 3, 4)]
    assert {protocol.members["m2"].record.address for protocol in others} == {fleet.address(2)}


def test_member_changes_its_address() -> None:
    fleet = GossipFleet(5, 13)
    fleet.run_until_converged()
    protocol = fleet.running()[fleet.address(2)]
    fleet.network.kill(fleet.address(2))
    protocol.change_address(fleet.network.now, fleet.address(9))
    fleet.network.add(fleet.address(9), protocol)
    fleet.run_until_converged(CONVERGENCE_SECONDS)
    assert fleet.running()[fleet.address(0)].members["m2"].record.address == fleet.address(9)
    fleet.network.run(10.0)
    assert fleet.has_converged()


def test_metadata_reaches_all_members() -> None:
    fleet = GossipFleet(20, 14)
    fleet.run_until_converged()
    fleet.running()[fleet.address(2)].update_metadata(
        fleet.network.now, MemberMetadata("z", "1", 0.0, is_draining=True)
    )
    fleet.network.flush(fleet.address(2))
    fleet.network.run_until(
        lambda: all(
            protocol.members["m2"].record.metadata.is_draining
            for at, protocol in fleet.running().items()
            if at != fleet.address(2)
        ),
        CONVERGENCE_SECONDS,
    )


def test_dead_seeds_and_seeds_of_another_fleet_cost_little() -> None:
    fleet = GossipFleet(1, 15)
    alone = fleet.start(5)
    fleet.network.kill(fleet.address(0))
    foreign = fleet.start(6, fleet="another")
    alone.seeds.append(fleet.address(6))
    fleet.network.run(60.0)
    assert alone.is_alone and foreign.is_alone and alone.present_count == 1
    assert alone.counters["sent"] <= 130  # about one ping per protocol period, and no acks
    assert foreign.counters["another fleet"] > 10


def test_membership_table_is_bounded_and_absent_members_make_room() -> None:
    protocol = GossipFleet(1, 16).running()[GossipFleet.address(0)]
    for number in range(MAX_MEMBERS + 100):
        record = MemberRecord(f"x{number}", number, 1, "10.1.0.1", 1 + number)
        data = protocol.codec.encode(Packet(record.name, number, "m0", Ping(number, 0, [record])))
        protocol.receive(number * 0.1, data, ("10.1.0.1", 1 + number))
        protocol.take_datagrams()
    assert len(protocol.members) == MAX_MEMBERS - 1 and protocol.present_count == MAX_MEMBERS
    assert protocol.counters["too many members"] == 101
    known = protocol.members["x5"].record
    left = MemberRecord(
        known.name, known.instance_id, known.incarnation, known.host, known.port, Status.LEFT, known.name
    )
    protocol.receive(
        200.0, protocol.codec.encode(Packet("x5", known.instance_id, "m0", Updates([left]))), known.address
    )
    max_extra_delay = MemberRecord("late", 1, 1, "10.1.0.2", 5)
    protocol.receive(
        200.1, protocol.codec.encode(Packet("late", 1, "m0", Ping(1, 0, [max_extra_delay]))), max_extra_delay.address
    )
    assert "late" in protocol.members and "x5" not in protocol.members  # the absent member made room for the new one


def test_false_reports_do_not_kill_members_that_answer() -> None:
    fleet = GossipFleet(8, 17)
    fleet.run_until_converged()
    started_at = fleet.network.now
    false_reporter = fleet.running()[fleet.address(7)]

    def send_false_reports() -> None:
        for at in range(6):
            record = false_reporter.members[f"m{at}"].record
            for state in (Status.SUSPECT, Status.DEAD):
                report = MemberRecord(
                    record.name, record.instance_id, record.incarnation, record.host, record.port, state, "m7"
                )
                for to in range(7):
                    data = false_reporter.codec.encode(
                        Packet("m7", false_reporter.local_record.instance_id, f"m{to}", Updates([report]))
                    )
                    fleet.running()[fleet.address(to)].receive(fleet.network.now, data, fleet.address(7))
                    fleet.network.flush(fleet.address(to))

    for _ in range(20):
        send_false_reports()
        fleet.network.run(0.5)
    deaths = {
        (change.record.name, who)
        for when, who, change in fleet.changes
        if when >= started_at and change.record.status is Status.DEAD and change.record.reported_by != "m7"
    }
    assert not deaths
    fleet.run_until_converged(CONVERGENCE_SECONDS)


def test_flood_from_one_address_leaves_others_served() -> None:
    fleet = GossipFleet(6, 18)
    fleet.run_until_converged()
    started_at, victim = fleet.network.now, fleet.running()[fleet.address(1)]
    rng = Random(1)
    for _ in range(100):
        for _ in range(100):
            victim.receive(fleet.network.now, rng.randbytes(rng.randrange(MAX_DATAGRAM_BYTES)), ("10.9.9.9", 9))
        fleet.network.run(0.1)
    assert victim.counters["too many"] > 10_000 - MAX_SOURCE_BURST_DATAGRAMS - 1100
    assert fleet.count_false_suspicions(started_at) == 0 and fleet.has_converged()


def test_incarnations_far_ahead_of_the_wall_clock_are_rejected() -> None:
    protocol = GossipFleet(1, 19).running()[GossipFleet.address(0)]
    record = MemberRecord("x", 1, (1 << 52) - 1, "10.1.0.1", 1)
    protocol.receive(1.0, protocol.codec.encode(Packet("x", 1, "m0", Updates([record]))), record.address)
    assert not protocol.members and protocol.counters["from the future"] == 1


def test_updates_are_retransmitted_a_bounded_number_of_times() -> None:
    fleet = GossipFleet(30, 20)
    fleet.run_until_converged()
    fleet.network.run(20.0)
    sent = fleet.total("sent")
    fleet.network.run(30.0)
    assert (
        fleet.total("sent") - sent <= 30 * 30 * 2.1
    )  # a ping and an ack per protocol period: no update is retransmitted any more


def test_member_changes_carry_their_cause() -> None:
    fleet = GossipFleet(3, 21)
    fleet.run_until_converged()
    fleet.network.kill(fleet.address(2))
    fleet.network.run(20.0)
    fleet.start(2)
    fleet.network.run(5.0)
    seen = [
        (change.cause, Status(change.record.status))
        for _, who, change in fleet.changes
        if who == "m0" and change.record.name == "m2"
    ]
    causes = [cause for cause, _ in seen]
    assert causes[0] in ("came", "reported by another member") and "restarted" in causes
    assert [state for _, state in seen if state in (Status.SUSPECT, Status.DEAD)][-1] is Status.DEAD
    assert isinstance(fleet.changes[0][2], MemberChanged)


def test_members_with_different_keys_do_not_see_each_other() -> None:
    fleet = GossipFleet(2, 22)
    keyed = fleet.start(3, key=b"k" * 16)
    fleet.network.run(10.0)
    assert keyed.present_count == 1 and keyed.counters["garbage"] + keyed.counters["another key"] == 0
    assert all(protocol.present_count == 2 for at, protocol in fleet.running().items() if at != fleet.address(3))
