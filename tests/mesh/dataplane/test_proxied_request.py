"""Requests of callers with simulated backends: one answer to each, and no unsafe request sent twice without proof."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from meshcalls import call, route

from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)
from lugspur.mesh.dataplane.endpoints import EndpointListing
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.proxied_request import ProxiedRequest
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.observability.failures import BreakerRejection, SelectionSummary
from lugspur.seams import Request

OK = BackendResponse(200, b"Lugspur-Postmark: p\r\n", b"hi")
BROKE = BackendResponse(500, b"Lugspur-Postmark: p\r\n", b"no")


class Caller:
    """A caller that waits for one answer."""

    peer = ""

    def __init__(self) -> None:
        self.gone: Callable[[], None] | None = None
        self.answers: list[tuple[int, bytes, bytes]] = []

    def admit(self) -> None:
        pass

    def answer(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.answers.append((status, head, body))

    def passing(self) -> None:
        return None


class SentRequest:
    """A request that was handed to the simulated backends."""

    def __init__(self, rig: Rig, at: int) -> None:
        self._rig, self._at = rig, at

    def cancel(self) -> None:
        self._rig.cancelled.append(self._at)

    def withdraw(self) -> None:
        self._rig.withdrawn.append(self._at)


class Rig:
    """A proxy whose backends and key reservations are simulated."""

    def __init__(self, kind: str = "safe", tries: int = 2, backends: int = 3, slack: float = 20.0) -> None:
        self.sent: list[tuple[str, ForwardRequest, Callable[[ForwardResponse], None]]] = []
        self.cancelled: list[int] = []
        self.withdrawn: list[int] = []
        self.claimed: list[tuple[bytes, Callable[[ReservationOutcome], None]]] = []
        self.reservation_ids: list[bytes] = []
        self.released: list[bytes] = []
        self.unreachable: set[str] = set()
        table = RouteTable()
        for entry in read_changes(call(route("r", mail_class=kind, tries=tries, deadline_ms=500, target_ms=200))):
            table.apply(entry)
        self.proxy = Proxy(
            table, self, self, Random(1), retry_ratio=0.2, retry_slack=slack, retry_window=10.0, zone="z0"
        )
        self.proxy.sender = "mine"
        self.proxy.update_endpoints("s", {f"i-{n}": EndpointListing(f"10.0.0.{n}", f"z{n}") for n in range(backends)})

    # the carrier and the keys
    def is_reachable(self, ip: str) -> bool:
        return ip not in self.unreachable

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> SentRequest:
        self.sent.append((ip, forward, respond))
        return SentRequest(self, len(self.sent) - 1)

    def reserve(
        self,
        key: bytes,
        owner: bytes,
        seconds_left: float,
        timeout: float,
        on_outcome: Callable[[ReservationOutcome], None],
    ) -> None:
        self.claimed.append((key, on_outcome))
        self.reservation_ids.append(owner)

    def release(self, key: bytes, owner: bytes) -> None:
        self.released.append(key)

    def abandon(self, key: bytes, owner: bytes) -> None:
        self.released.append(key)

    def ask(self, target: bytes = b"/r/1", **headers: str) -> Caller:
        caller = Caller()
        named = {b"host": b"a.example", b"lugspur-attempt-id": b"t1"}
        named |= {k.replace("_", "-").encode(): v.encode() for k, v in headers.items()}
        lines = [b"%b: %b\r\n" % (k.title(), v) for k, v in named.items() if k != b"host"]
        self.proxy.handle(Request(b"GET", target, named, lines, b"", self.proxy.loop.time(), True), caller)
        return caller

    def reply(
        self, how: RequestOutcome, answer: BackendResponse | None = None, sent: bool = True, at: int = -1
    ) -> None:
        _, forward, respond = self.sent[at]
        respond(ForwardResponse(forward.number, how, answer, sent))


def play(what: Callable[[Any], Any], **settings: Any) -> None:
    async def run() -> None:
        async with asyncio.timeout(10.0):
            done = what(Rig(**settings))
            if done is not None:
                await done

    asyncio.run(run())


def test_own_headers_are_set_whatever_the_caller_sent_and_the_answer_is_returned() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(lugspur_sender="forged", lugspur_deliver_to="i-9", lugspur_deliver_by_ms="300", x_other="kept")
        [(ip, forward, _)] = rig.sent
        head = b"".join(forward.header_lines)
        assert head.count(b"Lugspur-Sender") == 1 and b"Lugspur-Sender: mine\r\n" in head
        assert b"Deliver-To" not in head and b"Deliver-By" not in head and b"X-Other: kept" in head
        assert b"Host: a.example\r\n" in head and b"Lugspur-Attempt-Id: t1\r\n" in head
        assert 0.25 < forward.seconds_left <= 0.3 and forward.backend == "i-" + ip[-1]
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers == [(200, OK.head, b"hi")] and not rig.proxy.open_requests

    play(what)


@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        (b"/other/", {}, 404),
        (b"/r/1", {"host": "b.example"}, 404),
        (b"/r/1", {"lugspur_attempt_id": ""}, 400),
        (b"/r/1", {"lugspur_attempt_id": "a, b"}, 400),
        (b"/r/1", {"lugspur_deliver_by_ms": "soon"}, 400),
        (b"/r/1", {"lugspur_deliver_by_ms": "0"}, 504),
        (b"r/1", {}, 400),
        (b"/r/1", {"lugspur_attempt_id": "x" * 300}, 400),
    ],
)
def test_an_invalid_request_is_rejected_by_the_proxy(target: bytes, headers: dict[str, str], status: int) -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(target, **headers)
        assert [answer[0] for answer in caller.answers] == [status] and not rig.sent

    play(what)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "upload"])
def test_a_rejected_request_goes_to_another_backend_and_costs_no_attempt(kind: str) -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        assert len({ip for ip, _, _ in rig.sent}) == 3 and not caller.answers
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        [(status, head, _)] = caller.answers
        assert status == 503 and b"Retry-After: " in head  # at once, and when to come back

    play(what, kind=kind, tries=1, slack=0.0)


def test_a_request_that_may_have_run_is_retried_only_if_safe_and_within_the_budget() -> None:
    def unsafe(rig: Rig) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        assert [answer[0] for answer in caller.answers] == [502] and len(rig.sent) == 1

    def safe(rig: Rig) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.INVALID_RESPONSE)
        assert len(rig.sent) == 2 and not caller.answers
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers[0][0] == 200

    def spent(rig: Rig) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        assert len(rig.sent) == 1 and caller.answers[0][0] == 502  # it may have run: no promise

    for kind in ("unsafe", "upload"):
        play(unsafe, kind=kind, tries=3)
    play(safe)
    play(spent, slack=0.0)


def test_a_rejection_after_an_unknown_outcome_proves_nothing() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        rig.reply(RequestOutcome.NOT_RUN)
        assert [answer[0] for answer in caller.answers] == [502]

    play(what)


def test_a_backends_failure_is_returned_if_no_attempt_succeeds() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.ANSWERED, BROKE)
        assert len(rig.sent) == 2
        rig.reply(RequestOutcome.ANSWERED, BROKE)
        assert caller.answers == [(500, BROKE.head, b"no")]

    play(what)


def test_retries_of_all_requests_stay_within_the_budget() -> None:
    def what(rig: Rig) -> None:
        rig.proxy.proxy_count = 2
        for _ in range(100):
            rig.ask()
            rig.reply(RequestOutcome.UNKNOWN)
            if rig.proxy.open_requests:
                rig.reply(RequestOutcome.UNKNOWN)
            for endpoint in rig.proxy.services["s"].values():
                endpoint.breakers.clear()  # what is tried here is the budget alone
        further = len(rig.sent) - 100
        assert 10 <= further <= 0.5 * (0.2 * 100 + 20.0 / 2) + 1  # its part of half of what the rules allow

    play(what, tries=2)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "upload", "tracked"])
def test_an_answer_within_one_clock_tick_is_returned(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def what(rig: Rig) -> None:
        now = rig.proxy.loop.time()
        monkeypatch.setattr(rig.proxy.loop, "time", lambda: now)  # as a loop does that counts milliseconds
        caller = rig.ask(lugspur_operation_key="k")
        if kind == "tracked":
            rig.claimed[0][1](Acquired())
        rig.reply(RequestOutcome.ANSWERED, OK)
        monkeypatch.undo()
        assert [answer[0] for answer in caller.answers] == [200]

    play(what, kind=kind)


def test_reservation_ids_are_unique_over_requests_and_processes() -> None:
    names: list[bytes] = []

    def what(rig: Rig) -> None:
        for _ in range(3):
            rig.ask(lugspur_operation_key="k")
        names.extend(rig.reservation_ids)
        rig.claimed[1][1](Acquired())
        [(_, forward, _)] = rig.sent
        assert (forward.key, forward.owner, forward.attempt_id) == (b"k", rig.reservation_ids[1], b"t1")

    play(what, kind="tracked")
    play(what, kind="tracked")  # another process
    assert len(names) == len(set(names)) == 6


def test_a_keyed_request_is_sent_only_once_its_key_is_reserved() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        [(key, over)] = rig.claimed
        assert key == b"k" and not rig.sent
        over(Acquired())
        assert rig.sent[0][1].key == b"k" and rig.sent[0][1].owner == rig.reservation_ids[0]
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers[0][0] == 200 and not rig.released

    play(what, kind="tracked")


@pytest.mark.parametrize(
    ("how", "status"),
    [(AlreadyCompleted(OK), 200), (TakenByAnother(True), 409), (TakenByAnother(False), 503), (Undecided(), 503)],
)
def test_a_repeated_keyed_request_gets_the_first_answer_or_the_state_of_the_key(
    how: ReservationOutcome, status: int
) -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](how)
        assert caller.answers[0][0] == status and not rig.sent

    play(what, kind="tracked")


def test_a_key_is_released_only_with_proof_that_nothing_ran() -> None:
    def proven(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        for _ in range(3):
            rig.reply(RequestOutcome.NOT_RUN, sent=False)
        assert caller.answers[0][0] == 503 and rig.released == [b"k"]

    def unknown(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        rig.reply(RequestOutcome.UNKNOWN)
        assert caller.answers[0][0] == 502 and not rig.released

    def left(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        assert caller.gone is not None
        caller.gone()
        assert rig.released == [b"k"]
        rig.claimed[0][1](Acquired())  # it was won all the same
        assert rig.released == [b"k", b"k"] and not rig.sent

    for case in (proven, unknown, left):
        play(case, kind="tracked")


def test_an_unused_key_is_released_also_after_the_caller_has_disconnected() -> None:
    def left(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        assert caller.gone is not None
        caller.gone()
        assert not rig.released  # it may run yet
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        assert rig.released == [b"k"] and len(rig.sent) == 1

    async def late(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        while not caller.answers:
            await asyncio.sleep(0.01)
        assert caller.answers[0][0] == 504 and not rig.released
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        assert rig.released == [b"k"] and len(rig.sent) == 1

    for case in (left, late):
        play(case, kind="tracked")


def test_a_key_is_kept_if_the_request_may_have_run_after_the_caller_disconnected() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        assert caller.gone is not None
        caller.gone()
        rig.reply(RequestOutcome.UNKNOWN)
        assert not rig.released

    play(what, kind="tracked")


def test_a_key_is_released_when_proof_comes_after_a_lost_connection() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.UNKNOWN, cause=FailureCause.LINK_LOST))
        assert caller.answers[0][0] == 502 and not rig.released
        for how in (RequestOutcome.UNKNOWN, RequestOutcome.ANSWERED):
            respond(ForwardResponse(forward.number, how))
            assert not rig.released  # no proof
        for _ in range(2):
            respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, cause=FailureCause.NEVER_RECEIVED))
        assert rig.released == [b"k"] and len(caller.answers) == 1 and len(rig.sent) == 1

    play(what, kind="tracked")


def test_a_proof_after_an_answer_does_not_release_the_key() -> None:
    def what(rig: Rig) -> None:
        rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.ANSWERED, OK))
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN))
        assert not rig.released

    play(what, kind="tracked")


def test_the_account_of_a_failure_shows_why_no_endpoint_was_selected() -> None:
    def what(rig: Rig) -> None:
        rig.unreachable = {"10.0.0.0"}
        for _ in range(200):
            rig.ask()
            while rig.proxy.open_requests:
                rig.reply(RequestOutcome.NOT_RUN, sent=False)
        told = [failed.pick for failed in rig.proxy.failures.latest() if not failed.steps]
        assert told and all(pick is not None and (pick.known, pick.unreachable) == (3, 1) for pick in told)
        drawn = [refusal for pick in told if pick is not None for refusal in pick.refusals]
        assert drawn and all(r.term == "errors" and r.chance > 0.3 and r.backend in ("i-1", "i-2") for r in drawn)
        rig.unreachable = {f"10.0.0.{n}" for n in range(3)}
        rig.ask()
        assert rig.proxy.failures.latest()[-1].pick == SelectionSummary(3, 0, 3, 0)
        assert (
            SelectionSummary(3, 0, 1, 1, (BreakerRejection("i-1", 0.5, "errors"),)).text() == "3/0/1/1/i-1:errors:0.50"
        )

    play(what, slack=0.0)


def test_a_disconnected_callers_safe_request_is_cancelled_and_a_keyed_one_is_not() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        if rig.claimed:
            rig.claimed[0][1](Acquired())
        assert caller.gone is not None
        caller.gone()
        assert rig.cancelled == ([] if rig.claimed else [0])
        assert rig.withdrawn == []

    play(what)
    play(what, kind="tracked")


@pytest.mark.parametrize("kind", ["unsafe", "upload"])
def test_a_disconnected_callers_unsafe_request_without_key_is_withdrawn(kind: str) -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask()
        assert caller.gone is not None
        caller.gone()
        assert (rig.cancelled, rig.withdrawn) == ([], [0])
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, None, False, cause=FailureCause.CANCELLED))
        assert not caller.answers and len(rig.sent) == 1
        [endpoint] = [e for e in rig.proxy.services["s"].values() if e.id == forward.backend]
        assert endpoint.deprioritised_until == 0.0 and not endpoint.breaker("r").failure_ratio(rig.proxy.loop.time())

    play(what, kind=kind)


def test_a_hedged_request_goes_out_before_the_deadline_which_is_answered() -> None:
    async def what(rig: Rig) -> None:
        way = rig.proxy.table.find(b"a.example", b"/r/1")
        assert way is not None
        way.average_latency = 0.02
        caller = rig.ask()
        while not caller.answers:
            await asyncio.sleep(0.01)
        assert caller.answers[0][0] == 504 and len(rig.sent) == 2 and len(rig.cancelled) == 2

    play(what)


def test_no_hedged_request_goes_out_once_all_attempts_are_spent() -> None:
    async def what(rig: Rig) -> None:
        rig.ask()
        rig.reply(RequestOutcome.ANSWERED, OK)  # the route's pace is known from here on
        caller = rig.ask()
        rig.reply(RequestOutcome.ANSWERED, BROKE)  # the first try fails, and the second one is sent
        assert len(rig.sent) == 3
        [request] = rig.proxy.open_requests
        assert isinstance(request, ProxiedRequest)
        request._send_hedge()  # the copy that was set with the first try falls due while the second one is at work
        assert len(rig.sent) == 3 and not caller.answers

    play(what, slack=100.0)


def test_selection_prefers_the_own_zone_and_low_latency_and_load() -> None:
    def what(rig: Rig) -> None:
        counts = {"10.0.0.0": 0, "10.0.0.1": 0, "10.0.0.2": 0}
        for _ in range(60):
            rig.ask()
            counts[rig.sent[-1][0]] += 1
            rig.reply(RequestOutcome.ANSWERED, OK)
            for endpoint in rig.proxy.services["s"].values():
                endpoint.latency = 1.0
                endpoint.breakers.clear()
        assert counts["10.0.0.0"] == 60  # alike but for the zone
        for _ in range(60):
            for endpoint in rig.proxy.services["s"].values():
                endpoint.latency = 4.0 if endpoint.id == "i-0" else 1.0
                endpoint.breakers.clear()
            rig.ask()
            counts[rig.sent[-1][0]] += 1
            rig.reply(RequestOutcome.ANSWERED, OK)
        assert counts["10.0.0.0"] == 60 and min(counts.values()) > 10

    play(what)


def test_without_a_reachable_backend_a_request_is_rejected_at_once() -> None:
    def what(rig: Rig) -> None:
        rig.unreachable = {"10.0.0.0", "10.0.0.1", "10.0.0.2"}
        assert rig.ask().answers[0][0] == 503
        rig.proxy.update_endpoints("s", {})
        assert rig.ask().answers[0][0] == 503

    play(what)


def test_rejections_on_one_route_open_no_breaker_of_another() -> None:
    def what(rig: Rig) -> None:
        for entry in read_changes(call(route("urgent"))):
            rig.proxy.table.apply(entry)
        for _ in range(100):
            rig.ask()
            while rig.proxy.open_requests:
                rig.reply(RequestOutcome.NOT_RUN, sent=False)
        assert rig.proxy.ended["breaker-refused"] > 20  # those that may wait are refused here by now
        before = len(rig.sent)
        for _ in range(20):
            rig.ask(b"/urgent/1")
            rig.reply(RequestOutcome.ANSWERED, OK)
        assert len(rig.sent) == before + 20

    play(what, slack=0.0)


def test_a_returning_caller_is_recognised_by_its_time_left() -> None:
    def what(rig: Rig) -> None:
        for told, back in (("500", False), ("499", False), ("400", True), ("500", False)):
            rig.ask(lugspur_deliver_by_ms=told)
            assert rig.sent[-1][1].was_rejected is back
        rig.proxy.table.find(b"a.example", b"/r/").longest_time = 0.0  # type: ignore[union-attr]
        rig.ask(lugspur_deliver_by_ms="300")
        assert not rig.sent[-1][1].was_rejected
        for _ in range(2000):  # callers give less than they did: what is usual is learned anew
            rig.ask(lugspur_deliver_by_ms="200")
        assert not rig.sent[-1][1].was_rejected

    play(what)


def test_retries_of_rejected_callers_are_spread_over_a_third_of_their_time() -> None:
    def what(rig: Rig) -> None:
        rig.unreachable = {f"10.0.0.{n}" for n in range(3)}
        told = []
        for _ in range(50):
            caller = rig.ask(lugspur_deliver_by_ms="60000")
            assert caller.answers[0][0] == 503
            told.append(float(caller.answers[0][1].split(b":")[1]))
        assert min(told) >= 0.09 and max(told) <= 0.168  # rounded: the route's deadline is half a second
        assert max(told) - min(told) > 0.03

    play(what)


def test_the_account_of_a_failure_lists_attempts_and_causes() -> None:
    def what(rig: Rig) -> None:
        rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, None, False, 9, FailureCause.QUEUE_FULL))
        _, forward, respond = rig.sent[1]
        respond(ForwardResponse(forward.number, RequestOutcome.UNKNOWN, cause=FailureCause.LINK_LOST))
        [failed] = rig.proxy.failures.latest()
        assert (failed.attempt, failed.how, failed.route, failed.service) == ("t1", "maybe-ran", "r", "s")
        assert failed.keyed and failed.claim == "won" and failed.sends == 1 and failed.turned_away == 1
        assert failed.edition == 7 and failed.had_s == pytest.approx(0.5, abs=0.01)
        first, second = failed.steps
        assert (first.backend, first.how, first.cause) == (rig.sent[0][1].backend, "not_run", "no_room")
        assert (second.backend, second.how, second.cause) == (rig.sent[1][1].backend, "maybe", "link_lost")

    play(what, kind="tracked")


def test_disconnected_callers_and_unknown_routes_are_counted_and_kept() -> None:
    def what(rig: Rig) -> None:
        caller = rig.ask()
        assert caller.gone is not None
        caller.gone()
        rig.ask(b"/nowhere")
        left, strayed = rig.proxy.failures.latest()
        assert left.how == "gone" and left.waited_for == (rig.sent[0][1].backend,)
        assert strayed.how == "no-route" and strayed.attempt == "t1"
        assert rig.proxy.ended == {"gone": 1, "no-route": 1}

    play(what)


def test_at_shutdown_callers_learn_whether_their_request_may_have_run() -> None:
    def under_way(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        [proxied_request] = rig.proxy.open_requests
        proxied_request.end()
        assert caller.answers[0][0] == 502 and not rig.released
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert len(caller.answers) == 1

    def waits(rig: Rig) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        [proxied_request] = rig.proxy.open_requests
        proxied_request.end()
        assert caller.answers[0][0] == 503 and rig.released == [b"k"] and not rig.sent

    for case in (under_way, waits):
        play(case, kind="tracked")
