"""The calls of applications: locks, numbers, cells and watches.

Each body is checked before anything is done; what is wrong with it is one answer of the closed list.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages.coordination_records import (
    AcquireLock,
    CellFound,
    CellMissing,
    CellWritten,
    Command,
    CommandFailed,
    GroupRevision,
    IssueNumber,
    LockDenied,
    LockGranted,
    LockLost,
    LockReleaseConfirmed,
    LockRenewed,
    NumberIssued,
    PutCell,
    ReadCell,
    ReadGroup,
    ReleaseLock,
    RenewLock,
    Result,
    RevisionMismatch,
)
from lugspur.mesh.control_node.coordination_service import steady_clock
from lugspur.mesh.coordination.state import GROUP_SEPARATOR
from lugspur.mesh.coordination.watches import Watch, WatchAnswer, WatchTable
from lugspur.mesh.http_api import HttpApi, fail, reply
from lugspur.seams import Answerable, Request

MAX_HOLD_MS = 600_000
MAX_WAIT_MS = 60_000
MAX_VALUE_CHARACTERS = 4096
MAX_NUMBER = (1 << 63) - 1  # of a fence or a revision
NAME = re.compile(r"[A-Za-z0-9_~-][A-Za-z0-9_.~-]{0,127}")
HOLDER = re.compile(r"[!-~]{1,128}")  # printable, without spaces
BEHIND_TIMEOUT_SECONDS = 0.5  # for which a watch waits for this node to know what a majority has proven

_encode = msgspec.json.Encoder().encode


class OpenBody(msgspec.Struct):
    """The body of `POST /locks/ID/open`."""

    holder: str
    hold_ms: int


class HeartbeatBody(msgspec.Struct):
    """The body of `POST /locks/ID/heartbeat`."""

    holder: str
    fence: int
    hold_ms: int


class CloseBody(msgspec.Struct):
    """The body of `POST /locks/ID/close`."""

    holder: str
    fence: int


class EmptyBody(msgspec.Struct):
    """A body whose content does not matter, as long as it is an object."""


class ReplaceBody(msgspec.Struct):
    """The body of `POST /cells/ID/replace`."""

    value: str
    enabled: int | None = None


_open_decoder = msgspec.json.Decoder(OpenBody)
_heartbeat_decoder = msgspec.json.Decoder(HeartbeatBody)
_close_decoder = msgspec.json.Decoder(CloseBody)
_empty_decoder = msgspec.json.Decoder(EmptyBody)
_replace_decoder = msgspec.json.Decoder(ReplaceBody)

Body = TypeVar("Body")


@dataclass(slots=True, frozen=True)
class WatchQuery:
    """What a watch asks for."""

    group: str
    after: int
    wait_seconds: float


def read_body(decoder: msgspec.json.Decoder[Body], request: Request) -> Body:
    """Decode a call's body; raises MeshError (BAD_REQUEST)."""
    try:
        return decoder.decode(request.body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise MeshError(ErrorKind.BAD_REQUEST, str(fault)) from None


def check_name(name: str) -> str:
    """Return the name of a lock, number or key; raises MeshError (BAD_REQUEST) for what is none."""
    if not NAME.fullmatch(name):
        raise MeshError(
            ErrorKind.BAD_REQUEST, "a name has 1 to 128 letters, digits and _ . ~ -, and begins with no dot"
        )
    return name


def check_key(name: str) -> str:
    """Return the name of a key, which has a group; raises MeshError (BAD_REQUEST)."""
    if GROUP_SEPARATOR not in check_name(name):
        raise MeshError(ErrorKind.BAD_REQUEST, "a key's name begins with its group and a dot")
    return name


def check_group(name: str) -> str:
    """Return the name of a group; raises MeshError (BAD_REQUEST)."""
    if check_name(name).find(GROUP_SEPARATOR) != len(name) - 1:
        raise MeshError(ErrorKind.BAD_REQUEST, "a group's name ends with its only dot")
    return name


def _check_holder(holder: str) -> str:
    if not HOLDER.fullmatch(holder):
        raise MeshError(ErrorKind.BAD_REQUEST, "holder has 1 to 128 printable characters without spaces")
    return holder


def _check_range(field: str, value: int, least: int, most: int) -> int:
    if not least <= value <= most:
        raise MeshError(ErrorKind.BAD_REQUEST, f"{field} is not from {least} to {most}")
    return value


def read_watch_query(request: Request, name: str) -> WatchQuery:
    """What a watch asks for; raises MeshError (BAD_REQUEST)."""
    query = parse_qs(request.target.partition(b"?")[2].decode("ascii", "replace"))
    found: dict[str, int] = {}
    for field in ("after", "wait_ms"):
        values = query.get(field, [])
        if len(values) > 1 or not all(re.fullmatch("[0-9]{1,19}", value, re.ASCII) for value in values):
            raise MeshError(ErrorKind.BAD_REQUEST, f"{field} is given once, as a whole number")
        found[field] = int(values[0]) if values else 0
    after = _check_range("after", found["after"], 0, MAX_NUMBER)
    wait_ms = _check_range("wait_ms", found["wait_ms"], 0, MAX_WAIT_MS)
    return WatchQuery(check_group(name), after, wait_ms / 1000.0)


class CoordinationCalls:
    """Handlers of the calls; the answer comes once a majority has decided or confirmed it, or with the fault."""

    def __init__(
        self,
        submit: Callable[[Command, Callable[[Result], None]], None],
        watches: WatchTable,
        call_later: Callable[[float, Callable[[], None]], Any],
    ) -> None:
        """`submit` has a command carried out; `call_later` calls a function after so many seconds."""
        self._submit, self._watches, self._call_later = submit, watches, call_later
        self.waiting: set[Answerable] = set()  # callers without an answer, but for watches
        self._watching: set[Answerable] = set()  # callers of watches without an answer
        self.answers: Counter[str] = Counter()  # since the start, by call and outcome
        self.is_leaving = False

    def add_to(self, calls: HttpApi) -> None:
        """Take the calls at an address."""
        calls.add("POST", "/locks/*/open", self.open_lock)
        calls.add("POST", "/locks/*/heartbeat", self.renew_lock)
        calls.add("POST", "/locks/*/close", self.close_lock)
        calls.add("POST", "/numbers/*", self.take_number)
        calls.add("POST", "/cells/*/replace", self.put_cell)
        calls.add("GET", "/cells/*/read", self.read_cell)
        calls.add("GET", "/watch/*", self.watch)

    # ---- calls that are answered by one command --------------------------------------------------

    def open_lock(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Acquire a lock, or extend it."""
        body = read_body(_open_decoder, request)
        hold_ms = _check_range("hold_ms", body.hold_ms, 1, MAX_HOLD_MS)
        self._carry_out("open", caller, AcquireLock(check_name(found[0]), _check_holder(body.holder), hold_ms))

    def renew_lock(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Extend a lock that is held."""
        body = read_body(_heartbeat_decoder, request)
        fence = _check_range("fence", body.fence, 0, MAX_NUMBER)
        hold_ms = _check_range("hold_ms", body.hold_ms, 1, MAX_HOLD_MS)
        command = RenewLock(check_name(found[0]), _check_holder(body.holder), fence, hold_ms)
        self._carry_out("heartbeat", caller, command)

    def close_lock(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Release a lock."""
        body = read_body(_close_decoder, request)
        fence = _check_range("fence", body.fence, 0, MAX_NUMBER)
        self._carry_out("close", caller, ReleaseLock(check_name(found[0]), _check_holder(body.holder), fence))

    def take_number(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Take the next number under a name."""
        read_body(_empty_decoder, request)
        self._carry_out("number", caller, IssueNumber(check_name(found[0])))

    def put_cell(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Put a value to a key."""
        body = read_body(_replace_decoder, request)
        if len(body.value) > MAX_VALUE_CHARACTERS:
            raise MeshError(ErrorKind.TOO_LARGE, f"a value has {MAX_VALUE_CHARACTERS} characters at most")
        if body.enabled is not None:
            _check_range("enabled", body.enabled, 0, MAX_NUMBER)
        self._carry_out("replace", caller, PutCell(check_key(found[0]), body.value, body.enabled))

    def read_cell(self, _request: Request, caller: Answerable, found: list[str]) -> None:
        """Read a key."""
        self._carry_out("read", caller, ReadCell(check_key(found[0])))

    def _carry_out(self, call: str, caller: Answerable, command: Command) -> None:
        caller.gone = lambda: self.waiting.discard(caller)
        self.waiting.add(caller)
        self._submit(command, lambda result: self._answer(call, caller, command, result))

    def _answer(self, call: str, caller: Answerable, command: Command, result: Result) -> None:
        is_waiting = caller in self.waiting
        self.waiting.discard(caller)
        self._count(call, result)
        if isinstance(result, LockGranted) and isinstance(command, AcquireLock):
            events.info("lock-granted", lock=command.name, holder=command.holder, fence=result.fence)
        elif isinstance(result, LockLost) and isinstance(command, RenewLock):
            events.info("lock-lost", lock=command.name, holder=command.holder, fence=command.fence)
        if is_waiting:
            answer_result(caller, result)

    def _count(self, call: str, result: Result) -> None:
        outcome = result.error_kind if isinstance(result, CommandFailed) else OUTCOMES[type(result)]
        self.answers[f"{call} {outcome}"] += 1

    # ---- watches -------------------------------------------------------------------------

    def watch(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Answer with the puts of a group above a revision, as soon as there are any."""
        query = read_watch_query(request, found[0])
        if self.is_leaving:
            raise MeshError(ErrorKind.LEAVING)
        caller.gone = lambda: self._watching.discard(caller)
        self._watching.add(caller)
        if query.after == 0:
            self._answer_revision(caller, query)
            return
        try:
            answer = self._watches.answer(query.group, query.after)
            if answer is not None:
                self._answer_watch(caller, answer)
            else:
                self._wait(caller, query)
        except MeshError as fault:
            self._fail_watch(caller, fault)

    def _answer_revision(self, caller: Answerable, query: WatchQuery) -> None:
        def answered(result: Result) -> None:
            if isinstance(result, GroupRevision):
                self._answer_watch(caller, WatchAnswer([], result.revision))
            else:
                self._fail_watch(caller, error_of(result))

        self._submit(ReadGroup(query.group), answered)

    def _wait(self, caller: Answerable, query: WatchQuery) -> None:
        """Wait for puts; what is asked for may lie above what this node knows, or above all that there is."""
        watch = Watch(
            query.group,
            query.after,
            steady_clock() + query.wait_seconds,
            on_answer=lambda answer: self._answer_watch(caller, answer),
            on_deadline=lambda: self._prove_silence(caller, query),
            on_failure=lambda fault: self._fail_watch(caller, fault),
        )

        def left() -> None:
            self._watching.discard(caller)
            self._watches.remove(watch)

        caller.gone = left
        self._watches.add(watch)
        if query.after > self._watches.revision(query.group):
            self._check_after(caller, query, watch)

    def _check_after(self, caller: Answerable, query: WatchQuery, watch: Watch) -> None:
        """Fail a watch for what is above all that a majority knows."""

        def answered(result: Result) -> None:
            if isinstance(result, GroupRevision) and query.after > result.revision and self._watches.is_waiting(watch):
                self._watches.remove(watch)
                fault = MeshError(ErrorKind.BAD_REQUEST, f"after is above the present revision {result.revision}")
                self._fail_watch(caller, fault)

        self._submit(ReadGroup(query.group), answered)

    def _prove_silence(self, caller: Answerable, query: WatchQuery) -> None:
        """Nothing came: answer so once a majority confirms it, or with what this node had not learned yet."""

        def answered(result: Result) -> None:
            if not isinstance(result, GroupRevision):
                self._fail_watch(caller, error_of(result))
            elif result.revision <= max(query.after, self._watches.revision(query.group)):
                self._answer_known(caller, query)
            else:
                self._call_later(BEHIND_TIMEOUT_SECONDS, lambda: self._answer_known(caller, query, result.revision))

        self._submit(ReadGroup(query.group), answered)

    def _answer_known(self, caller: Answerable, query: WatchQuery, proven_revision: int = 0) -> None:
        try:
            answer = self._watches.answer(query.group, query.after)
        except MeshError as fault:
            self._fail_watch(caller, fault)
            return
        if self._watches.revision(query.group) < proven_revision:
            self._fail_watch(caller, MeshError(ErrorKind.NO_QUORUM, "this node lacks the latest puts"))
        else:
            self._answer_watch(caller, answer or WatchAnswer([], query.after))

    def _answer_watch(self, caller: Answerable, answer: WatchAnswer) -> None:
        if caller not in self._watching:
            return
        self._watching.discard(caller)
        self.answers["watch answered"] += 1
        puts = [{"name": put.name, "value": put.value, "revision": put.revision} for put in answer.puts]
        reply(caller, _encode({"events": puts, "revision": answer.revision}))

    def _fail_watch(self, caller: Answerable, fault: MeshError) -> None:
        if caller not in self._watching:
            return
        self._watching.discard(caller)
        self.answers[f"watch {fault.code}"] += 1
        fail(caller, fault)

    # ---- the end ---------------------------------------------------------------------------

    def leave(self) -> None:
        """Answer all watches: this process is about to end."""
        self.is_leaving = True
        self._watches.fail_all(MeshError(ErrorKind.LEAVING))


#: How each result is counted.
OUTCOMES: dict[type, str] = {
    LockGranted: "granted",
    LockDenied: "lock-held",
    LockRenewed: "renewed",
    LockLost: "lock-lost",
    LockReleaseConfirmed: "closed",
    NumberIssued: "taken",
    CellWritten: "written",
    RevisionMismatch: "revision-mismatch",
    CellFound: "found",
    CellMissing: "key-missing",
    GroupRevision: "revision",
}
REVISION_MISMATCH_STATUS = 412


def error_of(result: Result) -> MeshError:
    """The error of a command that has failed."""
    if isinstance(result, CommandFailed):
        return MeshError(ErrorKind(result.error_kind), result.detail)
    return MeshError(ErrorKind.UNCLEAR, "the answer belongs to another call")


def answer_result(caller: Answerable, result: Result) -> None:
    """Answer a call with the result of its command."""
    if isinstance(result, LockGranted):
        reply(caller, _encode({"fence": result.fence}))
    elif isinstance(result, LockRenewed | LockReleaseConfirmed):
        reply(caller)
    elif isinstance(result, LockDenied):
        fail(caller, MeshError(ErrorKind.LOCK_HELD))
    elif isinstance(result, LockLost):
        fail(caller, MeshError(ErrorKind.LOCK_LOST))
    elif isinstance(result, NumberIssued):
        reply(caller, _encode({"value": result.value}))
    elif isinstance(result, CellWritten):
        reply(caller, _encode({"revision": result.revision}))
    elif isinstance(result, RevisionMismatch):
        reply(caller, _encode({"revision": result.revision}), REVISION_MISMATCH_STATUS)
    elif isinstance(result, CellFound):
        reply(caller, _encode({"value": result.value, "revision": result.revision}))
    elif isinstance(result, CellMissing):
        fail(caller, MeshError(ErrorKind.KEY_MISSING))
    else:
        fail(caller, error_of(result))
