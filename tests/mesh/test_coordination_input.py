"""Calls for coordination that are wrong: one clear error each, with nothing done."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from lugspur.interfaces import Request
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages.coordination_records import (
    CellWritten,
    Command,
    CommandFailed,
    GroupRevision,
    LockGranted,
    PutCell,
    ReadGroup,
    Result,
)
from lugspur.mesh.control_node.coordination_calls import CoordinationCalls
from lugspur.mesh.coordination.state import CoordinationState
from lugspur.mesh.coordination.watches import WatchTable
from lugspur.mesh.http_api import HttpApi


class Caller:
    """Who waits for the answer to a call."""

    peer = ""
    on_disconnect: Callable[[], None] | None = None

    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes, bytes]] = []

    def admit(self) -> None:
        pass

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.answers.append((status, head, body))

    def streaming_receiver(self) -> None:
        return None


class Address:
    """A dispatch address whose commands are noted and answered by the test."""

    def __init__(self) -> None:
        self.commands: list[tuple[Command, Callable[[Result], None]]] = []
        self.watches = WatchTable(CoordinationState(20.0))
        self.calls = CoordinationCalls(
            lambda command, on_result: self.commands.append((command, on_result)),
            self.watches,
            lambda delay, what: None,
        )
        self.api = HttpApi()
        self.calls.add_to(self.api)

    def call(self, method: str, path: str, body: bytes = b"") -> Caller:
        caller = Caller()
        self.api.handle(Request(method.encode(), path.encode(), {}, [], body, 0.0, True), caller)
        return caller


HELD = {"holder": "a", "hold_ms": 1000}
RENEWED = HELD | {"fence": 1}
WRONG_BODIES: list[tuple[str, Any]] = [
    ("/locks/l/open", []),
    ("/locks/l/open", "text"),
    ("/locks/l/open", None),
    ("/locks/l/open", {"holder": "a"}),
    ("/locks/l/open", HELD | {"holder": 5}),
    ("/locks/l/open", HELD | {"holder": ""}),
    ("/locks/l/open", HELD | {"holder": "a b"}),
    ("/locks/l/open", HELD | {"holder": "a" * 129}),
    ("/locks/l/open", HELD | {"hold_ms": 0}),
    ("/locks/l/open", HELD | {"hold_ms": -1}),
    ("/locks/l/open", HELD | {"hold_ms": 3 * 3600_000}),
    ("/locks/l/open", HELD | {"hold_ms": "1000"}),
    ("/locks/l/open", HELD | {"hold_ms": 1.5}),
    ("/locks/l/open", HELD | {"hold_ms": 1 << 70}),
    ("/locks/.l/open", HELD),
    ("/locks/l%20/open", HELD),
    ("/locks/" + "l" * 129 + "/open", HELD),
    ("/locks/l/heartbeat", HELD),
    ("/locks/l/heartbeat", RENEWED | {"fence": "1"}),
    ("/locks/l/heartbeat", RENEWED | {"fence": -1}),
    ("/locks/l/heartbeat", RENEWED | {"hold_ms": 0}),
    ("/locks/l/close", {"holder": "a"}),
    ("/locks/l/close", {"fence": 1}),
    ("/numbers/n", []),
    ("/numbers/n!", {}),
    ("/cells/g.a/replace", {}),
    ("/cells/g.a/replace", {"value": 1}),
    ("/cells/g.a/replace", {"value": "v", "enabled": -1}),
    ("/cells/g.a/replace", {"value": "v", "enabled": "1"}),
    ("/cells/nogroup/replace", {"value": "v"}),
    ("/cells/.a/replace", {"value": "v"}),
]


@pytest.mark.parametrize(("path", "body"), WRONG_BODIES, ids=str)
def test_a_wrong_body_or_name_is_refused_with_nothing_done(path: str, body: Any) -> None:
    address = Address()
    [(status, _, answer)] = address.call("POST", path, json.dumps(body).encode()).answers
    assert (status, json.loads(answer)["error"]) == (400, "bad-request")
    assert not address.commands and not address.calls.waiting


@pytest.mark.parametrize("body", [b"{", b"\xff", b"[1", b'{"holder":"a","hold_ms":1000', b"\x00"])
def test_a_body_that_is_no_json_is_refused(body: bytes) -> None:
    address = Address()
    [(status, _, answer)] = address.call("POST", "/locks/l/open", body).answers
    assert (status, json.loads(answer)["error"]) == (400, "bad-request") and not address.commands


def test_a_value_beyond_its_bound_is_refused_as_too_large() -> None:
    address = Address()
    body = json.dumps({"value": "v" * 4097}).encode()
    [(status, _, answer)] = address.call("POST", "/cells/g.a/replace", body).answers
    assert (status, json.loads(answer)["error"]) == (413, "too-large") and not address.commands
    address.call("POST", "/cells/g.a/replace", json.dumps({"value": "v" * 4096}).encode())
    assert len(address.commands) == 1


@pytest.mark.parametrize(
    "target",
    [
        "/watch/g?after=1",
        "/watch/g.a?after=1",
        "/watch/g..?after=1",
        "/watch/.?after=1",
        "/watch/g.?after=-1",
        "/watch/g.?after=x",
        "/watch/g.?after=1&after=2",
        "/watch/g.?after=1&wait_ms=1e3",
        "/watch/g.?after=1&wait_ms=3600000",
        "/watch/g.?after=%D9%A1",
    ],
)
def test_a_wrong_watch_is_refused_and_waits_for_nothing(target: str) -> None:
    address = Address()
    [(status, _, answer)] = address.call("GET", target).answers
    assert (status, json.loads(answer)["error"]) == (400, "bad-request")
    assert not address.commands and len(address.watches) == 0


def test_a_watch_above_the_present_revision_is_refused_once_that_is_proven() -> None:
    address = Address()
    caller = address.call("GET", "/watch/g.?after=5&wait_ms=1000")
    [(command, on_result)] = address.commands
    assert command == ReadGroup("g.") and len(address.watches) == 1 and not caller.answers
    on_result(GroupRevision(4))
    [(status, _, answer)] = caller.answers
    assert (status, json.loads(answer)["error"]) == (400, "bad-request") and len(address.watches) == 0


def test_a_watch_above_what_this_node_knows_waits_where_a_majority_knows_more() -> None:
    address = Address()
    caller = address.call("GET", "/watch/g.?after=5&wait_ms=1000")
    address.commands[0][1](GroupRevision(5))
    assert len(address.watches) == 1 and not caller.answers


def test_silence_is_answered_once_a_majority_confirms_it() -> None:
    address = Address()
    caller = address.call("GET", "/watch/g.?after=3&wait_ms=0")
    address.commands.pop(0)[1](GroupRevision(3))
    address.watches.tick(float("inf"))
    assert not caller.answers
    address.commands.pop(0)[1](GroupRevision(3))
    [(status, _, answer)] = caller.answers
    assert (status, json.loads(answer)) == (200, {"events": [], "revision": 3})


def test_silence_that_nobody_confirms_is_no_answer() -> None:
    address = Address()
    caller = address.call("GET", "/watch/g.?after=0")
    address.commands.pop(0)[1](CommandFailed(ErrorKind.NO_QUORUM.value, "x"))
    [(status, head, _)] = caller.answers
    assert status == 503 and b"Retry-After" in head


def test_watches_are_answered_when_the_node_leaves() -> None:
    address = Address()
    waiting = address.call("GET", "/watch/g.?after=3&wait_ms=60000")
    address.calls.leave()
    late = address.call("GET", "/watch/g.?after=3&wait_ms=60000")
    assert [caller.answers[0][0] for caller in (waiting, late)] == [503, 503]


def test_a_caller_that_has_left_is_not_answered() -> None:
    address = Address()
    caller = address.call("POST", "/locks/l/open", json.dumps(HELD).encode())
    watcher = address.call("GET", "/watch/g.?after=3&wait_ms=60000")
    assert caller.on_disconnect is not None and watcher.on_disconnect is not None
    caller.on_disconnect()
    watcher.on_disconnect()
    address.commands[0][1](LockGranted(1))
    assert not caller.answers and not watcher.answers and len(address.watches) == 0


def test_a_condition_is_handed_on_as_it_came() -> None:
    address = Address()
    for body in (b'{"value":"v"}', b'{"value":"v","enabled":0}', b'{"value":"v","enabled":7}'):
        address.call("POST", "/cells/g.a/replace", body)
    assert [command for command, _ in address.commands] == [
        PutCell("g.a", "v"),
        PutCell("g.a", "v", 0),
        PutCell("g.a", "v", 7),
    ]
    address.commands[0][1](CellWritten(3))
    assert address.calls.outcome_counts == {"replace written": 1}
