"""The session as a function of received data and time: silence, expiry, servers that lag, and invalid data."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kazoo.protocol import serialization as kazoo
from kazoo.security import ACL, Id
from session_harness import SessionHarness, run_in_loop

from lugspur.standins.zookeeper.ensemble import digest
from lugspur.zookeeper import records as r
from lugspur.zookeeper.jute import InputArchive, JuteDecodeError, decode, encode, length_prefixed
from lugspur.zookeeper.records import ErrorCode, EventType, Op
from lugspur.zookeeper.session import (
    BEHIND_REASON,
    CLOSED_REASON,
    MAX_FRAME_BYTES,
    MAX_WATCH_PATH_BYTES,
    MAX_XID,
    Connected,
    Disconnected,
    Expired,
    Reply,
    Session,
    SessionOptions,
    SessionState,
    WatchTriggered,
)


def connect(harness: SessionHarness, index: int = 0) -> SessionHarness:
    """Connect to a server and move all data."""
    harness.connect(index)
    harness.settle()
    assert harness.session.state is SessionState.CONNECTED
    return harness


def accepted_session(timeout: float = 9.0, session_id: int = 5) -> Session:
    """Return a session that has received the response of a server, without a server."""
    session = Session(SessionOptions(timeout))
    session.connection_made(0.0)
    session.take_output()
    response = r.ConnectResponse(0, int(timeout * 1000), session_id, b"p" * 16)
    assert session.data_received(0.0, length_prefixed(encode(response) + b"\0")) == [
        Connected(True, session_id, timeout)
    ]
    return session


def disconnection_reasons(harness: SessionHarness) -> list[str]:
    return [event.reason for event in harness.events if isinstance(event, Disconnected)]


# ---- records, compared with kazoo's --------------------------------------------------------------


@pytest.mark.parametrize(
    "ours, theirs",
    [
        (r.ConnectRequest(0, 7, 10_000, 99, b"p" * 16, False), kazoo.Connect(0, 7, 10_000, 99, b"p" * 16, False)),
        (r.ReadRequest("/ä", True), kazoo.GetData("/ä", True)),
        (r.ReadRequest("/a", False), kazoo.GetChildren2("/a", False)),
        (r.Delete("/a", 3), kazoo.Delete("/a", 3)),
        (r.SetData("/a", b"x", -1), kazoo.SetData("/a", b"x", -1)),
        (r.Create("/a", b"x", r.OPEN_ACL, 3), kazoo.Create("/a", b"x", [ACL(31, Id("world", "anyone"))], 3)),
        (r.Auth(0, "digest", b"u:p"), kazoo.Auth(0, "digest", "u:p")),
        (r.Path("/a"), kazoo.Sync("/a")),
    ],
)
def test_requests_are_encoded_as_by_kazoo(ours: object, theirs: object) -> None:
    assert encode(ours) == bytes(theirs.serialize())  # type: ignore[attr-defined]


def test_a_transaction_is_encoded_as_by_kazoo() -> None:
    ours = r.encode_transaction(((Op.DELETE, r.Delete("/a", 1)), (Op.CHECK, r.Check("/b", 2))))
    assert ours == bytes(kazoo.Transaction([kazoo.Delete("/a", 1), kazoo.CheckVersion("/b", 2)]).serialize())


@given(st.binary(max_size=200))
def test_invalid_records_raise_only_jute_decode_errors(data: bytes) -> None:
    for kind in (r.Stat, r.Children, r.Data, r.WatcherEvent, r.Acls, r.ConnectResponse):
        try:
            decode(kind, InputArchive(data))
        except JuteDecodeError:
            continue


# ---- silence ------------------------------------------------------------------------------------


def test_a_ping_is_sent_after_a_third_of_the_timeout_and_silence_ends_the_connection_after_two() -> None:
    session = accepted_session(9.0)
    assert session.next_tick_at() == 3.0 and session.tick(2.9) == [] and session.take_output() == b""
    session.tick(3.0)
    assert decode(r.RequestHeader, InputArchive(session.take_output()[4:])) == r.RequestHeader(r.PING_XID, Op.PING)
    assert session.tick(5.9) == []
    assert (
        session.tick(6.0) == [Disconnected("the server sent nothing in time")]
        and session.state is SessionState.DISCONNECTED
    )


def test_any_data_of_the_server_keeps_the_connection_alive() -> None:
    session = accepted_session(9.0)
    session.data_received(5.0, length_prefixed(encode(r.ReplyHeader(r.PING_XID, 1, 0))))
    assert session.tick(6.0) == [] and session.tick(11.0) == [Disconnected("the server sent nothing in time")]


def test_a_server_that_does_not_accept_the_session_is_given_up_in_time_to_try_all_others() -> None:
    session = Session(SessionOptions(9.0), server_count=4)
    session.connection_made(0.0)
    assert session.connect_timeout * 3 <= 9.0 / 3.0 and session.tick(session.connect_timeout) == [
        Disconnected("the server sent nothing in time")
    ]


def test_a_process_that_was_stopped_for_longer_than_its_session_learns_the_expiry_from_a_server() -> None:
    async def run() -> None:
        harness = connect(SessionHarness())
        first_id = harness.session.id
        harness.cluster.ensemble.end(first_id)  # the client does not notice it
        harness.now += 1000.0
        harness.handle(harness.session.tick(harness.now))
        assert disconnection_reasons(harness) == ["the server sent nothing in time"] and not harness.expired
        harness.disconnect()
        harness.recover()
        assert harness.expired and harness.session.id not in (0, first_id)

    run_in_loop(run())


# ---- one session, many connections ---------------------------------------------------------------


def test_the_session_is_resumed_at_another_server_with_its_watches() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/w", b"1")
        harness.cluster.write("/boxes")
        connect(harness)
        first_id = harness.session.id
        for op, row in (
            (Op.GET_DATA, r.ReadRequest("/w", True)),
            (Op.EXISTS, r.ReadRequest("/new", True)),
            (Op.GET_CHILDREN2, r.ReadRequest("/", True)),
        ):
            harness.session.send_request(harness.now, op, row)
        harness.settle()
        harness.disconnect()
        harness.cluster.write("/w", b"2")
        harness.cluster.write("/new")
        before = len(harness.events)
        connect(harness, index=2)
        triggered = {(event.kind, event.path) for event in harness.events[before:] if isinstance(event, WatchTriggered)}
        assert harness.session.id == first_id and Connected(False, first_id, 10.0) in harness.events
        assert triggered == {(EventType.CHANGED, "/w"), (EventType.CREATED, "/new"), (EventType.CHILDREN, "/")}

    run_in_loop(run())


def test_watches_are_restored_in_requests_of_limited_size() -> None:
    session = accepted_session()
    for at in range(3000):
        session.send_request(0.0, Op.EXISTS, r.ReadRequest(f"/{at:0100d}", True))
        session.data_received(0.0, length_prefixed(encode(r.ReplyHeader(at + 1, 9, ErrorCode.NO_NODE))))
    session.connection_lost("cut")
    session.connection_made(1.0)
    session.take_output()
    session.data_received(1.0, length_prefixed(encode(r.ConnectResponse(0, 9000, 5, b"p" * 16)) + b"\0"))
    paths: set[str] = set()
    sent = session.take_output()
    while sent:
        length = int.from_bytes(sent[:4], "big")
        assert length < MAX_WATCH_PATH_BYTES + 300
        source = InputArchive(sent[4 : 4 + length])
        assert decode(r.RequestHeader, source).xid == r.SET_WATCHES_XID
        row = decode(r.SetWatches, source)
        assert row.since == 9
        paths.update(row.exists)
        sent = sent[4 + length :]
    assert len(paths) == 3000


def test_an_expired_session_is_replaced_by_one_without_its_watches() -> None:
    async def run() -> None:
        harness = connect(SessionHarness())
        first_id = harness.session.id
        harness.session.send_request(harness.now, Op.EXISTS, r.ReadRequest("/new", True))
        harness.settle()
        harness.disconnect()
        harness.cluster.ensemble.end(first_id)
        harness.recover()
        assert Expired() in harness.events and harness.session.id != first_id
        assert isinstance(harness.events[-1], Reply) or Connected(True, harness.session.id, 10.0) in harness.events
        assert not harness.connection or "/new" not in harness.connection.watches.data

    run_in_loop(run())


def test_a_server_that_lags_rejects_the_client_or_is_given_up() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes")
        harness.servers[1].lag()
        harness.cluster.write("/boxes/a")
        connect(harness)
        harness.connect(1)
        harness.settle()
        assert harness.session.state is SessionState.DISCONNECTED and not harness.expired
        # A server that does not check the zxid accepts the client; its first reply shows that it lags.
        session = accepted_session()
        session.zxid = 500
        session.connection_lost("cut")
        session.connection_made(1.0)
        session.data_received(1.0, length_prefixed(encode(r.ConnectResponse(0, 9000, 5, b"p" * 16)) + b"\0"))
        token = session.send_request(1.0, Op.SYNC, r.Path("/"))
        old = encode(r.ReplyHeader(token, 499, 0)) + encode(r.Path("/"))
        assert session.data_received(1.0, length_prefixed(old)) == [
            Disconnected("the server lags behind other servers")
        ]

    run_in_loop(run())


@pytest.mark.parametrize("is_allowed", [False, True])
def test_a_read_only_server_is_rejected_unless_allowed(is_allowed: bool) -> None:
    session = Session(SessionOptions(read_only=is_allowed))
    session.connection_made(0.0)
    events = session.data_received(0.0, length_prefixed(encode(r.ConnectResponse(0, 9000, 5, b"p" * 16)) + b"\1"))
    assert events == ([Connected(True, 5, 9.0)] if is_allowed else [Disconnected("the server is read-only")])


def test_credentials_are_sent_first_and_invalid_ones_end_the_connection() -> None:
    async def run() -> None:
        harness = SessionHarness(options=SessionOptions(auth=(("digest", b"rosa:secret"),)))
        guarded = (r.Acl(r.PERM_ALL, "digest", digest(b"rosa:secret")),)
        harness.cluster.ensemble.commit(harness.cluster.operator, ((Op.CREATE, r.Create("/boxes", b"", guarded, 0)),))
        connect(harness)
        assert harness.snapshot_count() == 1
        wrong = SessionHarness(options=SessionOptions(auth=(("digest", b"no-colon"),)))
        wrong.connect()
        wrong.settle()
        assert "the server rejected the credentials" in disconnection_reasons(wrong)

    run_in_loop(run())


def test_a_reply_to_addwatch_without_a_body_means_that_it_is_unimplemented() -> None:
    session = accepted_session()
    token = session.send_request(0.0, Op.ADD_WATCH, r.AddWatch("/a", r.PERSISTENT_RECURSIVE))
    events = session.data_received(0.0, length_prefixed(encode(r.ReplyHeader(token, 1, 0))))
    assert events == [Reply(token, Op.ADD_WATCH, ErrorCode.UNIMPLEMENTED, None)]


def test_closing_ends_the_session_at_the_server() -> None:
    async def run() -> None:
        harness = connect(SessionHarness())
        harness.session.close(harness.now)
        harness.settle()
        assert harness.session.state is SessionState.CLOSED and not harness.cluster.ensemble.sessions

    run_in_loop(run())


# ---- invalid data of servers --------------------------------------------------------------------


@pytest.mark.parametrize(
    "data",
    [
        (1 << 30).to_bytes(4, "big"),
        b"\xff\xff\xff\xff",
        (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        length_prefixed(b""),
        length_prefixed(b"short"),
        length_prefixed(encode(r.ReplyHeader(77, 1, 0))),
        length_prefixed(encode(r.ReplyHeader(1, 1, 0)) + b"\x7f\xff\xff\xff"),
    ],
    ids=["1 GB", "negative", "one byte too many", "empty", "short", "no such request", "a list of 2 billion"],
)
def test_invalid_data_ends_the_connection_and_takes_no_memory(data: bytes) -> None:
    session = accepted_session()
    session.send_request(0.0, Op.GET_CHILDREN2, r.ReadRequest("/", False))
    [event] = session.data_received(0.0, data)
    assert isinstance(event, Disconnected) and "invalid data" in event.reason and session.next_tick_at() == float("inf")
    session.connection_made(1.0)
    assert session.state is SessionState.CONNECTING  # the next connection starts with empty buffers


@given(st.binary(max_size=300), st.booleans())
def test_no_data_of_a_server_raises_an_error(data: bytes, is_accepted: bool) -> None:
    session = accepted_session() if is_accepted else Session(SessionOptions())
    if not is_accepted:
        session.connection_made(0.0)
    session.data_received(0.0, data)


@given(st.lists(st.integers(min_value=0, max_value=400), max_size=8))
def test_data_may_be_split_anywhere(cuts: list[int]) -> None:
    stat = r.Stat(*range(1, 12))
    data = b"".join(
        length_prefixed(frame)
        for frame in (
            encode(r.ReplyHeader(1, 9, 0)) + encode(r.Data(b"x" * 50, stat)),
            encode(r.ReplyHeader(r.EVENT_XID, -1, 0)) + encode(r.WatcherEvent(EventType.CHANGED, 3, "/a")),
            encode(r.ReplyHeader(2, 9, ErrorCode.NO_NODE)),
        )
    )
    session = accepted_session()
    session.send_request(0.0, Op.GET_DATA, r.ReadRequest("/a", True))
    session.send_request(0.0, Op.GET_DATA, r.ReadRequest("/b", True))
    offsets = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    events = [event for start, end in pairwise(offsets) for event in session.data_received(0.0, data[start:end])]
    assert events == [
        Reply(1, Op.GET_DATA, 0, r.Data(b"x" * 50, stat)),
        WatchTriggered(EventType.CHANGED, "/a"),
        Reply(2, Op.GET_DATA, ErrorCode.NO_NODE, None),
    ]


def test_a_request_without_a_connection_raises_an_error() -> None:
    session = accepted_session()
    session.connection_lost("cut")
    with pytest.raises(RuntimeError):
        session.send_request(0.0, Op.SYNC, r.Path("/"))


def test_a_server_that_closes_the_connection_before_it_accepts_the_session_may_lag() -> None:
    session = Session(SessionOptions())
    session.connection_made(0.0)
    assert session.connection_lost(CLOSED_REASON) == [Disconnected(CLOSED_REASON)]  # no change has been seen yet
    session.zxid = 7
    session.connection_made(1.0)
    assert session.connection_lost(CLOSED_REASON) == [Disconnected(BEHIND_REASON)]


def test_request_numbers_restart_before_they_overflow() -> None:
    session = accepted_session()
    session._xid = MAX_XID - 1
    assert [session.send_request(0.0, Op.SYNC, r.Path("/")) for _ in range(2)] == [MAX_XID, 1]
