"""The sidecar process: heartbeats of its backend, callers without a configuration, and connections to peers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

import pytest

from lugspur.interfaces import Request
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import (
    BackendResponse,
    BodyChunk,
    CompleteKey,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    Hello,
    Membership,
    Message,
    ReserveKey,
    ReserveKeyReply,
    Subscribe,
    Unsubscribe,
    Voter,
)
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.upload_scheduler import CHUNK_BYTES, UploadKey, is_chunked
from lugspur.mesh.settings import load_settings
from lugspur.mesh.sidecar.backend_status import BackendStatus
from lugspur.mesh.sidecar.ending_records import KEY_PREFIX, RECORD_TIMEOUT_SECONDS, Ending, EndingRecords
from lugspur.mesh.sidecar.process import Sidecar
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import Link

FILE = """
[self]
node_name = "f"
ip = "127.0.0.1"
zone = "z"
serves = ["courier"]
service = "rooms"
[network]
inner_ports = [1, 1]
seed_nodes = ["127.0.0.1:1"]
[depot]
heartbeat_ms = 1000
"""


class Caller:
    """A caller that records the status of its response."""

    peer = ""
    on_disconnect: Callable[[], None] | None = None
    status = 0

    def admit(self) -> None:
        pass

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.status = status

    def streaming_receiver(self) -> None:
        return None


def send_to_voters(sidecar: Sidecar, send: Callable[[str, Message], None]) -> None:
    """Let a sidecar send its reservations and records by this function."""
    sidecar.reservations._client._send = sidecar.reservations.answers._send = send


class Voters:
    """Three voters that hold the records and reservations of one sidecar, and reply at once."""

    def __init__(self, sidecar: Sidecar, replying: str = "123") -> None:
        self._sidecar, self.replying = sidecar, replying
        self.records: dict[bytes, BackendResponse] = {}
        self.unanswered: list[tuple[str, CompleteKey]] = []
        sidecar.membership = Membership(1, [Voter(f"127.0.1.{n}", str(n), "z") for n in (1, 2, 3)])
        send_to_voters(sidecar, self._receive)

    def _receive(self, ip: str, message: Message) -> None:
        if isinstance(message, CompleteKey):
            self.unanswered.append((ip, message))
            if ip[-1] in self.replying:
                self.acknowledge(ip)
        elif isinstance(message, ReserveKey) and ip[-1] in self.replying:
            record = self.records.get(message.key)
            reply = ReserveKeyReply(message.key, message.owner, 1, record is None, record is not None, False, record)
            reply.acknowledges_answers = True
            self._sidecar.receive(ip, reply)

    def acknowledge(self, ip: str) -> None:
        """Store what a voter was sent, and acknowledge it."""
        for item in [item for item in self.unanswered if item[0] == ip]:
            self.unanswered.remove(item)
            message = item[1]
            self.records[message.key] = message.response
            reply = ReserveKeyReply(message.key, message.owner, 1, False, True)
            reply.is_stored = reply.acknowledges_answers = True
            self._sidecar.receive(ip, reply)


def status_before(state: str = "accepting", ident: str = "i-1") -> BackendStatus:
    """Return what the process before this one announced of the machine's backend."""
    return BackendStatus(ident, "rooms", "z", state, 9, 0.0)


def run_scenario(
    folder: Path,
    scenario: Callable[[Sidecar], None],
    before: BackendStatus | None = None,
    connect: bool = True,
    is_informed: bool = True,
) -> None:
    """Run a scenario with a sidecar that has just started.

    `before`: what the process before it announced, which it knows if it `is_informed`.
    """

    async def run() -> None:
        path = folder / "f.toml"
        path.write_text(FILE)
        sidecar = Sidecar(load_settings(path), str(path))
        if connect:
            Voters(sidecar)
        if is_informed:
            sidecar.registration.mesh_known(before)
        scenario(sidecar)
        for dialer in sidecar.peers.values():
            dialer.close()

    asyncio.run(run())


def request(body: bytes) -> Request:
    return Request(b"POST", b"/", {}, [], body, 0.0, True)


def heartbeat(
    sidecar: Sidecar, sequence: int, state: str = "accepting", ident: str = "i-1", service: str = "rooms"
) -> int:
    caller = Caller()
    sidecar.api.heartbeat(request(heartbeat_body(sequence, state, service)), caller, [ident])
    return caller.status


def heartbeat_body(sequence: int, state: str = "accepting", service: str = "rooms") -> bytes:
    return json.dumps(
        {
            "service": service,
            "address": "127.0.0.1:9",
            "zone": "z",
            "edition": "v1",
            "berths": 9,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": sequence,
        }
    ).encode()


def announced(sidecar: Sidecar) -> tuple[str, str]:
    """Return the id and state that the mesh knows of the machine's backend."""
    status = sidecar.backends.by_ip[sidecar.ip]
    return status.id, status.state


def test_a_backend_that_has_announced_its_closing_stays_closing(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        assert heartbeat(sidecar, 1) == 200 and announced(sidecar) == ("i-1", "accepting")
        assert heartbeat(sidecar, 3, "closing") == 200 and announced(sidecar) == ("i-1", "closing")
        local = sidecar.limiter.local_backend
        assert local is not None
        since, edition = local.closing_at, sidecar.registration.announced
        assert heartbeat(sidecar, 4, "closing") == 200 and local.closing_at == since  # The drain does not restart.
        assert sidecar.registration.announced is edition  # The status is not announced again.
        assert heartbeat(sidecar, 2) == 200 and announced(sidecar) == ("i-1", "closing")  # A late heartbeat.
        # A closing incarnation never accepts requests again.
        assert heartbeat(sidecar, 5) == 200 and announced(sidecar) == ("i-1", "closing")

    run_scenario(tmp_path, scenario)


def test_a_new_incarnation_replaces_the_former_one_whose_sign_off_then_has_no_effect(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 7)
        assert heartbeat(sidecar, 1, ident="i-2", service="desk") == 200  # Each incarnation has its own sequence.
        assert announced(sidecar) == ("i-2", "accepting") and sidecar.proxy.sender == "desk"
        assert heartbeat(sidecar, 8, "closing", ident="i-1") == 200 and announced(sidecar) == ("i-2", "accepting")
        caller = Caller()
        sidecar.registration.sign_off(request(b""), caller, ["i-1"])
        assert caller.status == 200 and announced(sidecar) == ("i-2", "accepting")
        sidecar.registration.sign_off(request(b""), caller, ["i-2"])
        assert announced(sidecar) == ("i-2", "gone")
        now = sidecar.loop.time()
        assert not sidecar.limiter.accepts(now + 9.0, "i-2") and not sidecar.limiter.accepts(now, "i-1")

    run_scenario(tmp_path, scenario)


def test_a_backend_of_another_service_is_admitted_to_by_no_times_of_the_former_one(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 1)
        sidecar.limiter.service_times.record("r", 2.0)
        heartbeat(sidecar, 1, ident="i-2")  # a restart of the same service keeps them
        assert sidecar.limiter.service_times.average == 2.0
        heartbeat(sidecar, 1, ident="i-3", service="desk")
        assert sidecar.limiter.service_times.average == 0.0

    run_scenario(tmp_path, scenario)


def test_a_backend_whose_first_heartbeat_says_closing_gets_no_requests(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        # The backend may have announced its closing seconds ago, to an earlier sidecar process.
        assert heartbeat(sidecar, 9, "closing") == 200 and announced(sidecar) == ("i-1", "closing")
        assert not sidecar.limiter.accepts(sidecar.loop.time(), "i-1")

    run_scenario(tmp_path, scenario)


def test_a_late_heartbeat_of_a_former_incarnation_does_not_replace_the_current_one(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 7)
        heartbeat(sidecar, 1, ident="i-2")
        assert heartbeat(sidecar, 8, ident="i-1") == 200 and announced(sidecar) == ("i-2", "accepting")
        assert sidecar.limiter.accepts(sidecar.loop.time(), "i-2")

    run_scenario(tmp_path, scenario)


def test_a_late_heartbeat_does_not_register_a_backend_that_has_signed_off(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        caller = Caller()
        sidecar.registration.sign_off(request(b""), caller, ["i-1"])  # The sidecar has just started.
        assert caller.status == 200 and heartbeat(sidecar, 9) == 200
        assert sidecar.limiter.local_backend is None and sidecar.ip not in sidecar.backends.by_ip

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("sequence", [0, 9])
@pytest.mark.parametrize("before", [None, status_before(), status_before("gone")])
def test_after_a_restart_a_late_heartbeat_does_not_undo_an_acknowledged_sign_off(
    tmp_path: Path, sequence: int, before: BackendStatus | None
) -> None:
    """Guards against requests that reach a backend long after its sign-off was acknowledged (review/6)."""
    # All control nodes may have been killed as well: then nothing is announced, but the records are on their disks.
    records: dict[bytes, BackendResponse] = {}

    def first(sidecar: Sidecar) -> None:
        voters, caller = Voters(sidecar), Caller()
        heartbeat(sidecar, 8)
        sidecar.registration.sign_off(request(b""), caller, ["i-1"])
        assert caller.status == 200 and announced(sidecar) == ("i-1", "gone")
        records.update(voters.records)

    def second(sidecar: Sidecar) -> None:
        voters = Voters(sidecar)
        voters.records = records
        assert heartbeat(sidecar, sequence) == 200  # before the sidecar knows what was announced
        sidecar.registration.mesh_known(before)
        assert heartbeat(sidecar, sequence + 1) == 200
        assert sidecar.limiter.local_backend is None and sidecar.ip not in sidecar.backends.by_ip
        assert heartbeat(sidecar, 0, ident="i-2") == 200 and announced(sidecar) == ("i-2", "accepting")

    run_scenario(tmp_path, first)
    run_scenario(tmp_path, second, is_informed=False)


@pytest.mark.parametrize("before", [None, status_before(), status_before("gone")])
def test_after_a_restart_a_backend_that_has_not_ended_is_back_with_its_first_heartbeat(
    tmp_path: Path, before: BackendStatus | None
) -> None:
    """`gone` is also said of a backend whose proxy was stopped; without an entry the whole core was killed."""

    def scenario(sidecar: Sidecar) -> None:
        assert heartbeat(sidecar, 9) == 200 and sidecar.limiter.local_backend is None
        sidecar.registration.mesh_known(before)
        assert announced(sidecar) == ("i-1", "accepting") and sidecar.limiter.accepts(sidecar.loop.time(), "i-1")

    run_scenario(tmp_path, scenario, is_informed=False)


def test_after_a_restart_a_late_heartbeat_does_not_undo_a_closing(tmp_path: Path) -> None:
    records: dict[bytes, BackendResponse] = {}

    def first(sidecar: Sidecar) -> None:
        voters = Voters(sidecar)
        heartbeat(sidecar, 8)
        assert heartbeat(sidecar, 10, "closing") == 200
        records.update(voters.records)

    def second(sidecar: Sidecar) -> None:
        Voters(sidecar).records = records
        assert heartbeat(sidecar, 9) == 200 and announced(sidecar) == ("i-1", "closing")
        assert not sidecar.limiter.accepts(sidecar.loop.time(), "i-1")

    run_scenario(tmp_path, first)
    run_scenario(tmp_path, second)


def test_without_contact_a_second_heartbeat_shows_that_a_backend_lives(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A machine that is cut off can look nothing up; an incarnation that has ended sends no second heartbeat."""

    def scenario(sidecar: Sidecar) -> None:
        now = sidecar.loop.time()
        for seconds, sequence, is_taken in ((0.0, 9, False), (0.1, 10, False), (1.0, 11, True)):
            monkeypatch.setattr(sidecar.loop, "time", lambda at=now + seconds: at)
            assert heartbeat(sidecar, sequence) == 200
            assert (sidecar.limiter.local_backend is not None) is is_taken
        monkeypatch.undo()

    run_scenario(tmp_path, scenario, connect=False, is_informed=False)


@pytest.mark.parametrize("ending", [b"signed-off", b"closing"])
def test_an_end_that_is_found_once_there_is_contact_binds_a_backend_that_was_taken_without(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ending: bytes
) -> None:
    """Guards against two late heartbeats that undo a sign-off for good while the voters start (review/6)."""

    def scenario(sidecar: Sidecar) -> None:
        voters, now = Voters(sidecar, replying=""), sidecar.loop.time()
        voters.records[KEY_PREFIX + b"i-1"] = BackendResponse(200, b"", ending)
        for seconds, sequence in ((0.0, 9), (1.0, 10)):
            monkeypatch.setattr(sidecar.loop, "time", lambda at=now + seconds: at)
            assert heartbeat(sidecar, sequence) == 200
        assert announced(sidecar) == ("i-1", "accepting")
        monkeypatch.setattr(sidecar.loop, "time", lambda: now + 2.0)
        sidecar.reservations.tick(now + 2.0)
        looked_up: list[Message] = []
        send_to_voters(sidecar, lambda ip, message: looked_up.append(message))
        for tenth in range(20):  # it is asked about once a second, each time until the reservations time out
            sidecar.registration.tick(now + 2.0 + tenth / 10.0)
            sidecar.reservations.tick(now + 3.0)
        assert len([message for message in looked_up if isinstance(message, ReserveKey)]) == 2 * 3
        voters.replying = "123"
        send_to_voters(sidecar, voters._receive)
        sidecar.registration.tick(now + 4.0)
        assert announced(sidecar) == ("i-1", "gone" if ending == b"signed-off" else "closing")
        assert heartbeat(sidecar, 11) == 200 and not sidecar.limiter.accepts(sidecar.loop.time(), "i-1")
        assert heartbeat(sidecar, 0, ident="i-2") == 200 and announced(sidecar) == ("i-2", "accepting")
        monkeypatch.undo()

    run_scenario(tmp_path, scenario, connect=False)


@pytest.mark.parametrize("ending", [b"signed-off", None])
def test_late_heartbeats_of_an_incarnation_that_signed_off_before_a_restart_do_not_replace_its_successor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ending: bytes | None
) -> None:
    """The one that lives and has not signed off takes over as before."""

    def scenario(sidecar: Sidecar) -> None:
        voters, now = Voters(sidecar), sidecar.loop.time()
        if ending is not None:
            voters.records[KEY_PREFIX + b"i-1"] = BackendResponse(200, b"", ending)
        assert heartbeat(sidecar, 0, ident="i-2") == 200 and announced(sidecar) == ("i-2", "accepting")
        for seconds, sequence in ((0.1, 9), (1.0, 10)):
            monkeypatch.setattr(sidecar.loop, "time", lambda at=now + seconds: at)
            assert heartbeat(sidecar, sequence) == 200
        assert announced(sidecar) == ("i-2" if ending else "i-1", "accepting")
        monkeypatch.undo()

    run_scenario(tmp_path, scenario, connect=False)


def test_the_closing_of_an_incarnation_that_is_not_the_current_one_binds_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against late heartbeats that undo an acknowledged closing, in this process and in the next one."""
    records: dict[bytes, BackendResponse] = {}

    def first(sidecar: Sidecar) -> None:
        voters, now = Voters(sidecar), sidecar.loop.time()
        assert heartbeat(sidecar, 0, ident="i-2") == 200
        assert heartbeat(sidecar, 10, "closing") == 200
        for seconds, sequence in ((0.1, 8), (1.0, 9)):
            monkeypatch.setattr(sidecar.loop, "time", lambda at=now + seconds: at)
            assert heartbeat(sidecar, sequence) == 200 and announced(sidecar) == ("i-2", "accepting")
        monkeypatch.undo()
        records.update(voters.records)

    def second(sidecar: Sidecar) -> None:
        Voters(sidecar).records = records
        assert heartbeat(sidecar, 9) == 200 and not sidecar.limiter.accepts(sidecar.loop.time(), "i-1")

    run_scenario(tmp_path, first, connect=False)
    assert records[KEY_PREFIX + b"i-1"].body == b"closing"
    run_scenario(tmp_path, second, connect=False)


def test_a_late_closing_of_another_service_gives_this_machines_requests_no_other_name(tmp_path: Path) -> None:
    """Guards against requests under the name of the service that had this address before a restart of the proxy."""

    def scenario(sidecar: Sidecar) -> None:
        assert heartbeat(sidecar, 30, "closing", ident="former", service="desk") == 200
        assert sidecar.proxy.sender == "rooms" and sidecar.limiter.local_backend is None
        assert heartbeat(sidecar, 40) == 200
        assert sidecar.proxy.sender == "rooms" and announced(sidecar) == ("i-1", "accepting")

    run_scenario(tmp_path, scenario)


def test_a_late_heartbeat_of_another_service_gives_this_machines_requests_no_other_name(tmp_path: Path) -> None:
    """Guards against requests under the name of the service that had this address before."""

    def scenario(sidecar: Sidecar) -> None:
        assert heartbeat(sidecar, 0, ident="former", service="desk") == 200
        assert sidecar.proxy.sender == "rooms" and sidecar.limiter.local_backend is None
        assert heartbeat(sidecar, 40) == 200
        assert sidecar.proxy.sender == "rooms" and announced(sidecar) == ("i-1", "accepting")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("how", ["sign-off", "closing"])
def test_a_backend_that_ends_is_acknowledged_once_a_majority_of_the_voters_has_it_on_disk(
    tmp_path: Path, how: str
) -> None:
    """Guards against an acknowledgement that only this process and the control node that it follows know of."""

    def end_backend(sidecar: Sidecar) -> Caller:
        caller = Caller()
        if how == "sign-off":
            sidecar.registration.sign_off(request(b""), caller, ["i-1"])
        else:
            sidecar.api.heartbeat(request(heartbeat_body(10, "closing")), caller, ["i-1"])
        return caller

    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 9)
        voters = Voters(sidecar, replying="1")
        first, second = end_backend(sidecar), end_backend(sidecar)
        assert [ip for ip, _ in voters.unanswered] == ["127.0.1.2", "127.0.1.3"]
        assert first.status == second.status == 0
        assert not sidecar.limiter.accepts(sidecar.loop.time() + 1.0, "i-1")  # Its own proxy goes by it at once.
        voters.acknowledge("127.0.1.3")
        assert first.status == second.status == end_backend(sidecar).status == 200

    def out_of_contact(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 9)
        voters = Voters(sidecar, replying="1")
        caller, left = end_backend(sidecar), end_backend(sidecar)
        assert left.on_disconnect is not None
        left.on_disconnect()
        sidecar.reservations.answers.tick(sidecar.loop.time() + RECORD_TIMEOUT_SECONDS)
        assert caller.status == 503 and left.status == 0
        later = end_backend(sidecar)
        voters.acknowledge("127.0.1.2")
        assert later.status == 200

    run_scenario(tmp_path, scenario)
    run_scenario(tmp_path, out_of_contact)


def test_a_sign_off_replaces_a_closing_that_is_not_recorded_yet(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 9)
        voters, closing, sign_off = Voters(sidecar, replying=""), Caller(), Caller()
        sidecar.api.heartbeat(request(heartbeat_body(10, "closing")), closing, ["i-1"])
        sidecar.registration.sign_off(request(b""), sign_off, ["i-1"])
        assert closing.status == sign_off.status == 0
        for ip in ("127.0.1.1", "127.0.1.2"):
            voters.acknowledge(ip)
        assert closing.status == sign_off.status == 200
        assert [response.body for response in voters.records.values()] == [b"signed-off"]

    run_scenario(tmp_path, scenario)


def test_voters_of_a_former_build_reply_nothing_and_an_end_is_acknowledged_all_the_same(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 0)
        heartbeat(sidecar, 1)
        Voters(sidecar, replying="")
        for is_fresh in (False, True):
            for n in (1, 2, 3):
                sidecar.reservations.answers.receive(f"127.0.1.{n}", ReserveKeyReply(b"", b"", 1, True))
            if is_fresh:
                sidecar.update_source.ip, sidecar.update_source.confirmed_at = "127.0.1.1", sidecar.loop.time()
            else:
                for n in (1, 2, 3):
                    sidecar.reservations.disconnected(f"127.0.1.{n}")
            caller = Caller()
            sidecar.registration.sign_off(request(b""), caller, ["i-1"])
            sidecar.reservations.answers.tick(sidecar.loop.time() + RECORD_TIMEOUT_SECONDS)
            assert caller.status == (200 if is_fresh else 503)

    run_scenario(tmp_path, scenario)


def test_what_a_killed_process_was_looking_up_does_not_count_as_ended(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        found: list[tuple[bool, Ending | None]] = []
        records = EndingRecords(sidecar.reservations, "x")
        records.look_up("i-1", lambda is_known, ending: found.append((is_known, ending)))
        assert found == [(True, None)]

        def taken(ip: str, message: Message) -> None:
            if isinstance(message, ReserveKey):
                sidecar.receive(ip, ReserveKeyReply(message.key, message.owner, 1, False, True, False))

        send_to_voters(sidecar, taken)
        records.look_up("i-1", lambda is_known, ending: found.append((is_known, ending)))
        assert found[1:] == [(False, None)]

    run_scenario(tmp_path, scenario)


def test_large_bodies_are_announced_to_a_machine_whose_settings_name_no_rate_of_its_link(tmp_path: Path) -> None:
    """Guards against whole bodies for which the receiver has no memory, and copies of them at the sender (review/8)."""

    def scenario(sidecar: Sidecar) -> None:
        assert sidecar.settings.own.limits.link_mbps == 0.0
        heartbeat(sidecar, 0)
        rate = sidecar.backends.by_ip[sidecar.ip].link_rate
        assert is_chunked(300_000, rate) and not is_chunked(200_000, rate)
        forward = ForwardRequest(1, "i-1", b"POST", b"/", [], b"", 9.0, 9.0, b"1", 1, False, "r", body_bytes=1 << 20)
        key = UploadKey(Link(lambda link, message: None, lambda link: None), 1)
        assert sidecar.incoming.uploads.offer(0.0, key, forward, (0, 0.0), 0.1)

    run_scenario(tmp_path, scenario)


def test_a_backend_that_sends_no_heartbeat_is_gone_until_it_sends_one(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 1)
        now = sidecar.loop.time()
        for step in range(40):
            sidecar.tick(now + step * 0.1)
        assert announced(sidecar)[1] == "accepting"
        for step in range(40, 42):
            sidecar.tick(now + step * 0.1)
        assert announced(sidecar)[1] == "gone"
        assert heartbeat(sidecar, 2) == 200 and announced(sidecar)[1] == "accepting"
        heartbeat(sidecar, 3, "closing")
        for step in range(90):
            sidecar.tick(now + step * 0.1)
        assert announced(sidecar)[1] == "gone"
        assert heartbeat(sidecar, 4) == 200 and announced(sidecar)[1] == "closing"  # It had announced its closing.

    run_scenario(tmp_path, scenario)


def test_a_pause_of_the_sidecar_does_not_make_its_backend_silent(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 1)
        now = sidecar.loop.time()
        sidecar.tick(now + 0.1)
        sidecar.tick(now + 30.0)
        assert announced(sidecar)[1] == "accepting"
        for step in range(100):
            sidecar.tick(now + 30.0 + step * 0.1)
        assert announced(sidecar)[1] == "gone"

    run_scenario(tmp_path, scenario)


def test_a_proxy_without_a_configuration_or_that_shuts_down_responds_with_503(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        message, caller = Request(b"GET", b"/r/1", {b"host": b"a"}, [], b"", sidecar.loop.time(), True), Caller()
        sidecar.handle(message, caller)  # There is no update yet; 404 would mean that the route does not exist.
        assert caller.status == 503
        sidecar.update_source.has_configuration = True
        message.headers[b"lugspur-attempt-id"] = b"t1"
        caller = Caller()
        sidecar.handle(message, caller)  # The configuration contains no routes.
        assert caller.status == 503
        for leaving in (False, True):
            sidecar.is_leaving = leaving
            with pytest.raises(MeshError) as raised:
                sidecar.api.readiness(message, Caller(), [])
            assert raised.value.kind is (ErrorKind.LEAVING if leaving else ErrorKind.NOT_READY)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"service": 1}',
        b'{"service":"s","state":"accepting","sequence":1}',
        b'{"service":"s","address":"no","state":"accepting","sequence":1}',
        b"x" * 9000,
    ],
)
def test_an_invalid_heartbeat_changes_nothing(tmp_path: Path, body: bytes) -> None:
    def scenario(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 1)
        with pytest.raises(MeshError):
            sidecar.api.heartbeat(request(body), Caller(), ["i-1"])
        assert announced(sidecar) == ("i-1", "accepting")

    run_scenario(tmp_path, scenario)


def unconnected_dialer(ip: str) -> Dialer:
    """Return a dialer that never connects, since nothing listens at its port."""
    return Dialer(
        ip,
        1,
        "127.0.0.1",
        on_message=lambda *_: None,
        on_connected=lambda _: None,
        on_disconnected=lambda _: None,
    )


class Wire:
    """A connection to another proxy, which records the messages sent on it."""

    def __init__(self, peer: str) -> None:
        self.sent: list[Message] = []
        self.unsent_bytes = 0
        self.on_writable: Callable[[Link], None] | None = None
        self.peer, self.has_received_hello, self.peer_incarnation = peer, False, ""

    def send(self, message: Message) -> None:
        self.sent.append(message)


@pytest.mark.parametrize(
    ("granted", "how"),
    [(0, RequestOutcome.NOT_RUN), (CHUNK_BYTES, RequestOutcome.NOT_RUN), (50_000, RequestOutcome.UNKNOWN)],
)
def test_a_body_whose_end_was_not_sent_has_not_run_and_a_complete_one_may_have(
    tmp_path: Path, granted: int, how: RequestOutcome
) -> None:
    def scenario(sidecar: Sidecar) -> None:
        ip, replies = "127.0.0.2", list[ForwardResponse]()
        wire = Wire(ip)
        dialer = unconnected_dialer(ip)
        dialer.link, sidecar.peers[ip] = wire, dialer  # type: ignore[assignment]
        sidecar.backends.by_ip[ip] = BackendStatus("i-9", "rooms", "z", "accepting", 9, 0.0, 330_000.0)
        body = bytes(50_000)
        forward = ForwardRequest(0, "i-9", b"POST", b"/", [], body, 5.0, 1.0, b"a", 1, False, "r")
        sidecar.proxy.carrier.carry(ip, forward, replies.append)
        [offer] = wire.sent
        assert isinstance(offer, ForwardRequest) and (offer.body_bytes, offer.body) == (len(body), b"")
        for up_to_offset in range(CHUNK_BYTES, granted + CHUNK_BYTES, CHUNK_BYTES):
            sidecar.message_received(wire, GrantBody(offer.number, min(up_to_offset, len(body))))  # type: ignore[arg-type]
        chunks = [m for m in wire.sent[1:] if isinstance(m, BodyChunk)]
        assert b"".join(chunk.data for chunk in chunks) == body[:granted]
        sidecar.disconnected(dialer)
        assert [(r.outcome, r.was_sent) for r in replies] == [(how, how == RequestOutcome.UNKNOWN)]
        assert not sidecar.outgoing.waits_for(ip)
        dialer.link = None
        dialer.close()

    run_scenario(tmp_path, scenario)


def test_a_machine_gets_requests_only_after_its_hello(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        ip = "127.0.0.2"
        dialer = unconnected_dialer(ip)
        sidecar.peers[ip] = dialer
        assert not sidecar.proxy.carrier.is_reachable(ip)
        wire = Wire(ip)
        dialer.link = wire  # type: ignore[assignment]
        # The kernel of a frozen process accepts connections too.
        assert not sidecar.proxy.carrier.is_reachable(ip)
        sidecar.message_received(wire, Hello(ip, "theirs", False))  # type: ignore[arg-type]
        assert sidecar.proxy.carrier.is_reachable(ip)
        [hello] = wire.sent
        assert isinstance(hello, Hello) and hello.sent_at > 0.0 and hello.incarnation == sidecar.incarnation
        dialer.link = None
        assert not sidecar.proxy.carrier.is_reachable(ip)
        dialer.close()

    run_scenario(tmp_path, scenario)


def test_following_another_control_node_ends_the_former_subscription(tmp_path: Path) -> None:
    def scenario(sidecar: Sidecar) -> None:
        wires = {ip: Wire(ip) for ip in ("127.0.0.2", "127.0.0.3")}
        for ip, wire in wires.items():
            dialer = unconnected_dialer(ip)
            dialer.link, sidecar.peers[ip] = wire, dialer  # type: ignore[assignment]
        sidecar.membership = Membership(1, [Voter(ip, "u", "z") for ip in wires])
        sidecar.update_source.select()
        former = wires[sidecar.update_source.ip]
        assert [type(message) for message in former.sent] == [Subscribe]
        sidecar.update_source.select()
        assert [type(message) for message in former.sent] == [Subscribe, Unsubscribe]
        assert [type(message) for message in wires[sidecar.update_source.ip].sent] == [Subscribe]
        for ip in wires:
            sidecar.peers[ip].link = None
            sidecar.peers[ip].close()

    run_scenario(tmp_path, scenario, connect=False)
