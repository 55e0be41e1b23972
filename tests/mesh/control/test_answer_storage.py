"""An answer is stored once a majority of the voters in force has it on disk, and is sent again until then."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lugspur.mesh.control.answer_storage import (
    MAX_PENDING_ANSWERS,
    MAX_PENDING_BYTES,
    RESEND_SECONDS,
    AnswerStorage,
)
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import BackendResponse, CompleteKey, Membership, ReserveKey, ReserveKeyReply, Voter
from lugspur.mesh.control.replica import Replica

ANSWER = BackendResponse(200, b"Lugspur-Postmark: p\r\n", b"hi")
WINDOW = 60.0


def membership(epoch: int, *ips: str) -> Membership:
    return Membership(epoch, [Voter(ip, f"uid-{ip}", "z") for ip in ips])


FIRST = membership(1, "a", "b", "c")


class Rig:
    """The storage of one proxy, with voters that the test answers for."""

    def __init__(self, acknowledging: str = "abc") -> None:
        self.sent: list[tuple[str, CompleteKey]] = []
        self.reports: list[bool] = []
        self.storage = AnswerStorage(lambda ip, message: self.sent.append((ip, message)), WINDOW)
        for ip in acknowledging:  # as voters that have granted the key
            self.storage.receive(ip, ReserveKeyReply(b"k", b"o", 1, True, acknowledges_answers=True))

    def store(
        self, now: float = 0.0, key: bytes = b"k", timeout: float = 0.5, answer: BackendResponse = ANSWER
    ) -> None:
        self.storage.store(now, FIRST, key, b"o", answer, timeout, self.reports.append)

    def acknowledge(self, ip: str, epoch: int = 1, key: bytes = b"k") -> None:
        self.storage.receive(
            ip, ReserveKeyReply(key, b"o", epoch, False, True, is_stored=True, acknowledges_answers=True)
        )

    def receivers(self) -> list[str]:
        """Return the voters that were sent the answer since the last call."""
        found = [ip for ip, message in self.sent if message.wants_reply and message.response == ANSWER]
        self.sent.clear()
        return found


def test_an_answer_is_stored_once_a_majority_has_it_on_disk() -> None:
    rig = Rig()
    rig.store()
    assert rig.receivers() == ["a", "b", "c"] and rig.reports == []
    rig.acknowledge("a")
    rig.acknowledge("a")
    assert rig.reports == [] and len(rig.storage) == 1
    rig.acknowledge("c")
    assert rig.reports == [True] and len(rig.storage) == 0
    rig.acknowledge("b")
    rig.storage.tick(WINDOW)
    assert rig.reports == [True] and rig.receivers() == []


def test_a_grant_or_a_reply_of_another_voter_or_epoch_acknowledges_nothing() -> None:
    rig = Rig()
    rig.store()
    rig.storage.receive("a", ReserveKeyReply(b"k", b"o", 1, False, True, response=ANSWER, acknowledges_answers=True))
    rig.storage.receive("b", ReserveKeyReply(b"k", b"o", 1, True, acknowledges_answers=True))
    rig.acknowledge("x")
    rig.acknowledge("y")
    rig.acknowledge("b", epoch=2)
    rig.acknowledge("a", key=b"other")
    assert rig.reports == []


def test_who_waits_learns_in_time_that_an_answer_is_not_stored_yet_and_it_is_sent_on() -> None:
    rig = Rig()
    rig.store(timeout=0.25)
    rig.acknowledge("a")
    rig.storage.tick(0.2)
    assert rig.reports == []
    rig.storage.tick(0.3)
    assert rig.reports == [False]
    rig.receivers()
    rig.storage.tick(RESEND_SECONDS + 0.1)
    assert rig.receivers() == ["b", "c"]
    rig.storage.tick(2.0 * RESEND_SECONDS)  # less and less often
    assert rig.receivers() == []
    rig.storage.tick(3.0 * RESEND_SECONDS + 0.2)
    assert rig.receivers() == ["b", "c"]
    rig.acknowledge("b")
    assert rig.reports == [False] and len(rig.storage) == 0


def test_an_answer_that_no_majority_can_acknowledge_holds_nobody_up() -> None:
    """A proxy that is cut off from the voters, or voters with a build that acknowledges nothing."""
    rig = Rig(acknowledging="a")
    rig.store()
    assert rig.reports == [False] and rig.receivers() == ["a", "b", "c"]
    rig = Rig()
    rig.store()
    rig.storage.voter_disconnected("a")
    assert rig.reports == []
    rig.storage.voter_disconnected("c")
    assert rig.reports == [False]
    rig = Rig()
    for ip in "ab":  # restarted with the former build
        rig.storage.receive(ip, ReserveKeyReply(b"j", b"o", 1, True))
    rig.store()
    assert rig.reports == [False] and not rig.storage.has_only_former_voters
    rig.storage.receive("c", ReserveKeyReply(b"j", b"o", 1, True))
    assert rig.storage.has_only_former_voters
    for ip in "abc":
        rig.storage.voter_disconnected(ip)
    assert not rig.storage.has_only_former_voters  # nothing is known of who connects next


def test_a_voter_that_is_connected_again_is_sent_what_it_has_not_acknowledged() -> None:
    """Its former connection may have ended before the answer arrived, or its process before it was written."""
    rig = Rig()
    rig.store()
    rig.acknowledge("b")
    rig.receivers()
    for ip in "abcx":
        rig.storage.voter_connected(ip)
    assert rig.receivers() == ["a", "c"]


def test_acknowledgements_of_former_voters_do_not_count_behind_a_change() -> None:
    rig = Rig("abcde")
    rig.store()
    rig.acknowledge("a")
    rig.receivers()
    rig.storage.membership_changed(membership(2, "b", "c", "d"))
    assert rig.receivers() == ["b", "c", "d"]
    rig.acknowledge("b")  # late, of the former epoch
    rig.acknowledge("c", epoch=2)
    assert rig.reports == []
    rig.acknowledge("d", epoch=2)
    assert rig.reports == [True]


def test_what_is_pending_is_bounded_in_number_bytes_and_time() -> None:
    rig = Rig()
    for number in range(MAX_PENDING_ANSWERS + 5):
        rig.store(key=b"k%d" % number)
    assert len(rig.storage) == MAX_PENDING_ANSWERS and rig.reports == [False] * 5
    rig = Rig()
    large = BackendResponse(200, b"", bytes(MAX_PENDING_BYTES // 4))
    for number in range(10):
        rig.store(key=b"k%d" % number, answer=large)
    assert len(rig.storage) == 4 and rig.reports == [False] * 6
    rig.storage.tick(WINDOW - 0.1)
    assert len(rig.storage) == 4
    rig.storage.tick(WINDOW)
    assert len(rig.storage) == 0 and rig.reports == [False] * 10
    rig.store()
    rig.acknowledge("a")
    rig.acknowledge("b")
    assert rig.reports[-1] is True


def make_replicas() -> dict[str, Replica]:
    """Return three voters of the first membership, each complete."""
    replicas = {}
    for voter in FIRST.voters:
        replica = Replica(voter.ip, voter.uid, "z", WINDOW, 1 << 24, lambda entries, forgotten: None)
        replica.bootstrap(0.0, FIRST.voters)
        replicas[voter.ip] = replica
    return replicas


@given(
    st.permutations(["a", "b", "c"]),
    st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["deliver", "sync", "crash"])), max_size=30),
    st.sampled_from("abc"),
)
def test_a_stored_answer_is_found_by_a_repeat_whatever_one_voter_lost_before_its_flush(
    order: list[str], steps: list[tuple[str, str]], lost: str
) -> None:
    """Messages arrive late, voters restart before their writes are synced; once told, any majority has the answer."""
    replicas = make_replicas()
    disks: dict[str, dict[bytes, bytes]] = {ip: {} for ip in replicas}
    unsynced: dict[str, list[Effects]] = {ip: [] for ip in replicas}
    in_transit: list[tuple[str, CompleteKey]] = []
    reports: list[bool] = []
    storage = AnswerStorage(lambda ip, message: in_transit.append((ip, message)), WINDOW)
    for ip in replicas:
        storage.receive(ip, ReserveKeyReply(b"", b"", 1, True, acknowledges_answers=True))
    storage.store(0.0, FIRST, b"k", b"o", ANSWER, 0.5, reports.append)

    def deliver(ip: str) -> None:
        for item in [item for item in in_transit if item[0] == ip]:
            in_transit.remove(item)
            unsynced[ip].append(replicas[ip].handle(0.0, "proxy", item[1]))

    def sync(ip: str) -> None:
        for effects in unsynced[ip]:
            for row, value in effects.write:
                assert value is not None
                disks[ip][row] = value
            for _, message in effects.after_sync:
                assert isinstance(message, ReserveKeyReply)
                storage.receive(ip, message)
        unsynced[ip].clear()

    def crash(ip: str) -> None:
        unsynced[ip].clear()
        in_transit[:] = [item for item in in_transit if item[0] != ip]
        storage.voter_disconnected(ip)
        replicas[ip] = make_replicas()[ip]
        replicas[ip].reservations.restore(disks[ip].items(), 0.0)
        storage.voter_connected(ip)

    for ip, what in steps:
        {"deliver": deliver, "sync": sync, "crash": crash}[what](ip)
    for ip in order:
        deliver(ip)
        sync(ip)
    assert len(storage) == 0 and reports and len(reports) == 1  # it is sent until a majority has it
    for ip in replicas:
        crash(ip)
    answers = []
    for ip in replicas:
        if ip != lost:
            effects = replicas[ip].handle(1.0, "proxy", ReserveKey(b"k", b"repeat", 1, 1.0))
            answers += [m.response for _, m in effects.send if isinstance(m, ReserveKeyReply)]
    assert ANSWER in answers
