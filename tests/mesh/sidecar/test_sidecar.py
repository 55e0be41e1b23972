"""What a proxy makes of its backend's heartbeats, of callers without a configuration, and of lost connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

import pytest

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import (
    BodyChunk,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    Hello,
    Membership,
    Message,
    Subscribe,
    Unsubscribe,
    Voter,
)
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.upload_scheduler import CHUNK_BYTES
from lugspur.mesh.settings import load_settings
from lugspur.mesh.sidecar.backend_status import BackendStatus
from lugspur.mesh.sidecar.process import Sidecar
from lugspur.mesh.transport.dialer import Dialer
from lugspur.seams import Request

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
    """Who waits for the answer to a call."""

    peer = ""
    gone: Callable[[], None] | None = None
    status = 0

    def admit(self) -> None:
        pass

    def answer(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.status = status

    def passing(self) -> None:
        return None


def play(folder: Path, what: Callable[[Sidecar], None]) -> None:
    async def run() -> None:
        path = folder / "f.toml"
        path.write_text(FILE)
        sidecar = Sidecar(load_settings(path), str(path))
        what(sidecar)
        for dialer in sidecar.peers.values():
            dialer.close()

    asyncio.run(run())


def request(body: bytes) -> Request:
    return Request(b"POST", b"/", {}, [], body, 0.0, True)


def heartbeat(
    sidecar: Sidecar, sequence: int, state: str = "accepting", ident: str = "i-1", service: str = "rooms"
) -> int:
    caller = Caller()
    body = json.dumps(
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
    sidecar.api.heartbeat(request(body), caller, [ident])
    return caller.status


def announced(sidecar: Sidecar) -> tuple[str, str]:
    """What the mesh knows of the machine's backend."""
    status = sidecar.backends.by_ip[sidecar.ip]
    return status.id, status.state


def test_closing_counts_once_and_for_good_whatever_comes_after_it(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        assert heartbeat(sidecar, 1) == 200 and announced(sidecar) == ("i-1", "accepting")
        assert heartbeat(sidecar, 3, "closing") == 200 and announced(sidecar) == ("i-1", "closing")
        local = sidecar.limiter.local_backend
        assert local is not None
        since, edition = local.closing_at, sidecar.registration.announced
        assert heartbeat(sidecar, 4, "closing") == 200 and local.closing_at == since  # its drain does not begin anew
        assert sidecar.registration.announced is edition  # nor is the mesh told again
        assert heartbeat(sidecar, 2) == 200 and announced(sidecar) == ("i-1", "closing")  # a late one
        # An incarnation that closes does not come back.
        assert heartbeat(sidecar, 5) == 200 and announced(sidecar) == ("i-1", "closing")

    play(tmp_path, what)


def test_another_incarnation_takes_the_place_and_the_former_ones_sign_off_does_not_take_it_back(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 7)
        assert heartbeat(sidecar, 1, ident="i-2", service="desk") == 200  # sequence numbers are each incarnation's own
        assert announced(sidecar) == ("i-2", "accepting") and sidecar.proxy.sender == "desk"
        assert heartbeat(sidecar, 8, "closing", ident="i-1") == 200 and announced(sidecar) == ("i-2", "accepting")
        caller = Caller()
        sidecar.registration.sign_off(request(b""), caller, ["i-1"])
        assert caller.status == 200 and announced(sidecar) == ("i-2", "accepting")
        sidecar.registration.sign_off(request(b""), caller, ["i-2"])
        assert announced(sidecar) == ("i-2", "gone")
        now = sidecar.loop.time()
        assert not sidecar.limiter.accepts(now + 9.0, "i-2") and not sidecar.limiter.accepts(now, "i-1")

    play(tmp_path, what)


def test_a_backend_whose_first_heartbeat_to_this_process_is_closing_gets_nothing_at_all(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        # It may have said so seconds ago, to the process that was here before this one.
        assert heartbeat(sidecar, 9, "closing") == 200 and announced(sidecar) == ("i-1", "closing")
        assert not sidecar.limiter.accepts(sidecar.loop.time(), "i-1")

    play(tmp_path, what)


def test_a_late_heartbeat_of_a_former_incarnation_does_not_take_the_present_ones_place(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 7)
        heartbeat(sidecar, 1, ident="i-2")
        assert heartbeat(sidecar, 8, ident="i-1") == 200 and announced(sidecar) == ("i-2", "accepting")
        assert sidecar.limiter.accepts(sidecar.loop.time(), "i-2")

    play(tmp_path, what)


def test_a_backend_that_has_signed_off_is_not_taken_for_a_new_one_by_a_late_heartbeat(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        caller = Caller()
        sidecar.registration.sign_off(request(b""), caller, ["i-1"])  # this process has just started
        assert caller.status == 200 and heartbeat(sidecar, 9) == 200
        assert sidecar.limiter.local_backend is None and sidecar.ip not in sidecar.backends.by_ip

    play(tmp_path, what)


def test_a_backend_that_sends_no_heartbeat_is_gone_until_it_sends_one(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
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
        assert heartbeat(sidecar, 4) == 200 and announced(sidecar)[1] == "closing"  # it had said so

    play(tmp_path, what)


def test_a_proxy_that_was_paused_itself_does_not_call_its_backend_silent(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 1)
        now = sidecar.loop.time()
        sidecar.tick(now + 0.1)
        sidecar.tick(now + 30.0)
        assert announced(sidecar)[1] == "accepting"
        for step in range(100):
            sidecar.tick(now + 30.0 + step * 0.1)
        assert announced(sidecar)[1] == "gone"

    play(tmp_path, what)


def test_a_proxy_without_a_configuration_or_that_shuts_down_answers_503(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        asked, caller = Request(b"GET", b"/r/1", {b"host": b"a"}, [], b"", sidecar.loop.time(), True), Caller()
        sidecar.handle(asked, caller)  # no news yet: 404 would say that there is no such route
        assert caller.status == 503
        sidecar.update_source.has_configuration = True
        asked.headers[b"lugspur-attempt-id"] = b"t1"
        caller = Caller()
        sidecar.handle(asked, caller)  # news without a single route
        assert caller.status == 503
        for leaving in (False, True):
            sidecar.is_leaving = leaving
            with pytest.raises(MeshError) as told:
                sidecar.api.readiness(asked, Caller(), [])
            assert told.value.kind is (ErrorKind.LEAVING if leaving else ErrorKind.NOT_READY)

    play(tmp_path, what)


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
    def what(sidecar: Sidecar) -> None:
        heartbeat(sidecar, 1)
        with pytest.raises(MeshError):
            sidecar.api.heartbeat(request(body), Caller(), ["i-1"])
        assert announced(sidecar) == ("i-1", "accepting")

    play(tmp_path, what)


def unconnected_dialer(ip: str) -> Dialer:
    """A dialer that reaches nobody: nothing listens at its port."""
    return Dialer(
        ip,
        1,
        "127.0.0.1",
        on_message=lambda *_: None,
        on_connected=lambda _: None,
        on_disconnected=lambda _: None,
    )


class Wire:
    """A connection to another proxy, as far as it is used here."""

    def __init__(self, peer: str) -> None:
        self.sent: list[Message] = []
        self.peer, self.is_greeted, self.peer_incarnation = peer, False, ""

    def send(self, message: Message) -> None:
        self.sent.append(message)


@pytest.mark.parametrize(
    ("granted", "how"),
    [(0, RequestOutcome.NOT_RUN), (CHUNK_BYTES, RequestOutcome.NOT_RUN), (50_000, RequestOutcome.UNKNOWN)],
)
def test_a_body_whose_end_was_not_sent_has_not_run_and_a_complete_one_may_have(
    tmp_path: Path, granted: int, how: RequestOutcome
) -> None:
    def what(sidecar: Sidecar) -> None:
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
        for upto in range(CHUNK_BYTES, granted + CHUNK_BYTES, CHUNK_BYTES):
            sidecar.message_received(wire, GrantBody(offer.number, min(upto, len(body))))  # type: ignore[arg-type]
        parts = [m for m in wire.sent[1:] if isinstance(m, BodyChunk)]
        assert b"".join(p.data for p in parts) == body[:granted]
        sidecar.disconnected(dialer)
        assert [(r.outcome, r.was_sent) for r in replies] == [(how, how == RequestOutcome.UNKNOWN)]
        assert not sidecar.outgoing.waits_for(ip)
        dialer.link = None
        dialer.close()

    play(tmp_path, what)


def test_a_machine_is_sent_requests_only_once_its_process_has_said_hello(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
        ip = "127.0.0.2"
        dialer = unconnected_dialer(ip)
        sidecar.peers[ip] = dialer
        assert not sidecar.proxy.carrier.is_reachable(ip)
        wire = Wire(ip)
        dialer.link = wire  # type: ignore[assignment]
        assert not sidecar.proxy.carrier.is_reachable(ip)  # its kernel took the connection: a frozen one's does as well
        sidecar.message_received(wire, Hello(ip, "theirs", False))  # type: ignore[arg-type]
        assert sidecar.proxy.carrier.is_reachable(ip)
        [stamped] = wire.sent
        assert isinstance(stamped, Hello) and stamped.sent_at > 0.0 and stamped.incarnation == sidecar.incarnation
        dialer.link = None
        assert not sidecar.proxy.carrier.is_reachable(ip)
        dialer.close()

    play(tmp_path, what)


def test_a_proxy_that_follows_another_control_node_ends_its_former_subscription(tmp_path: Path) -> None:
    def what(sidecar: Sidecar) -> None:
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

    play(tmp_path, what)
