"""The HTTP calls of applications: locks, numbers, keys and watches.

Each call is validated before anything is submitted; an invalid one gets an error response of the kinds in `ErrorKind`.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec

from lugspur.interfaces import Request, Responder
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
from lugspur.mesh.coordination.watches import Watch, WatchResponse, WatchTable
from lugspur.mesh.http_api import HttpApi, fail, reply

MAX_HOLD_MS = 600_000  # maximum time of a lock, in milliseconds
MAX_WAIT_MS = 60_000  # maximum time that a watch waits, in milliseconds
MAX_VALUE_CHARACTERS = 4096  # maximum length of a key's value
MAX_NUMBER = (1 << 63) - 1  # maximum fencing token or revision
NAME = re.compile(r"[A-Za-z0-9_~-][A-Za-z0-9_.~-]{0,127}")
HOLDER = re.compile(r"[!-~]{1,128}")  # printable, without spaces
#: How long an expired watch waits for this node to learn of puts that a majority knows.
LEARN_DELAY_SECONDS = 0.5

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
    """A body that must be an object, but whose content is ignored."""


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
    """The parameters of a watch."""

    group: str
    after: int
    wait_seconds: float


def read_body(decoder: msgspec.json.Decoder[Body], request: Request) -> Body:
    """Decode a call's body; raises MeshError (BAD_REQUEST)."""
    try:
        return decoder.decode(request.body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MeshError(ErrorKind.BAD_REQUEST, str(error)) from None


def check_name(name: str) -> str:
    """Return the name of a lock, number or key; raises MeshError (BAD_REQUEST) if it is invalid."""
    if not NAME.fullmatch(name):
        raise MeshError(
            ErrorKind.BAD_REQUEST, "a name has 1 to 128 letters, digits and _ . ~ -, and begins with no dot"
        )
    return name


def check_key(name: str) -> str:
    """Return the name of a key, which must contain a group; raises MeshError (BAD_REQUEST) if it is invalid."""
    if GROUP_SEPARATOR not in check_name(name):
        raise MeshError(ErrorKind.BAD_REQUEST, "a key's name begins with its group and a dot")
    return name


def check_group(name: str) -> str:
    """Return the name of a group; raises MeshError (BAD_REQUEST) if it is invalid."""
    if check_name(name).find(GROUP_SEPARATOR) != len(name) - 1:
        raise MeshError(ErrorKind.BAD_REQUEST, "a group's name ends with its only dot")
    return name


def _check_holder(holder: str) -> str:
    if not HOLDER.fullmatch(holder):
        raise MeshError(ErrorKind.BAD_REQUEST, "holder has 1 to 128 printable characters without spaces")
    return holder


def _check_range(field: str, value: int, minimum: int, maximum: int) -> int:
    if not minimum <= value <= maximum:
        raise MeshError(ErrorKind.BAD_REQUEST, f"{field} is not from {minimum} to {maximum}")
    return value


def read_watch_query(request: Request, name: str) -> WatchQuery:
    """Return the parameters of a watch; raises MeshError (BAD_REQUEST) if they are invalid."""
    query = parse_qs(request.target.partition(b"?")[2].decode("ascii", "replace"))
    numbers: dict[str, int] = {}
    for field in ("after", "wait_ms"):
        values = query.get(field, [])
        if len(values) > 1 or not all(re.fullmatch("[0-9]{1,19}", value, re.ASCII) for value in values):
            raise MeshError(ErrorKind.BAD_REQUEST, f"{field} is given once, as a whole number")
        numbers[field] = int(values[0]) if values else 0
    after = _check_range("after", numbers["after"], 0, MAX_NUMBER)
    wait_ms = _check_range("wait_ms", numbers["wait_ms"], 0, MAX_WAIT_MS)
    return WatchQuery(check_group(name), after, wait_ms / 1000.0)


class CoordinationCalls:
    """Handlers of the calls; a call gets its response once a majority has decided or confirmed it, or it failed."""

    def __init__(
        self,
        submit: Callable[[Command, Callable[[Result], None]], None],
        watches: WatchTable,
        call_later: Callable[[float, Callable[[], None]], Any],
    ) -> None:
        """`submit` runs a command; `call_later` calls a function after a number of seconds."""
        self._submit, self._watches, self._call_later = submit, watches, call_later
        self.waiting: set[Responder] = set()  # callers without a response, except those of watches
        self._watching: set[Responder] = set()  # callers of watches without a response
        self.outcome_counts: Counter[str] = Counter()  # calls since the start of the process, by call and outcome
        self.is_leaving = False

    def add_to(self, calls: HttpApi) -> None:
        """Register the handlers at an address."""
        calls.add("POST", "/locks/*/open", self.open_lock)
        calls.add("POST", "/locks/*/heartbeat", self.renew_lock)
        calls.add("POST", "/locks/*/close", self.close_lock)
        calls.add("POST", "/numbers/*", self.take_number)
        calls.add("POST", "/cells/*/replace", self.put_cell)
        calls.add("GET", "/cells/*/read", self.read_cell)
        calls.add("GET", "/watch/*", self.watch)

    # ---- calls that run one command ----------------------------------------------------------------

    def open_lock(self, request: Request, caller: Responder, names: list[str]) -> None:
        """Acquire a lock, or extend it."""
        body = read_body(_open_decoder, request)
        hold_ms = _check_range("hold_ms", body.hold_ms, 1, MAX_HOLD_MS)
        self._run_command("open", caller, AcquireLock(check_name(names[0]), _check_holder(body.holder), hold_ms))

    def renew_lock(self, request: Request, caller: Responder, names: list[str]) -> None:
        """Extend a lock that the caller holds."""
        body = read_body(_heartbeat_decoder, request)
        fence = _check_range("fence", body.fence, 0, MAX_NUMBER)
        hold_ms = _check_range("hold_ms", body.hold_ms, 1, MAX_HOLD_MS)
        command = RenewLock(check_name(names[0]), _check_holder(body.holder), fence, hold_ms)
        self._run_command("heartbeat", caller, command)

    def close_lock(self, request: Request, caller: Responder, names: list[str]) -> None:
        """Release a lock."""
        body = read_body(_close_decoder, request)
        fence = _check_range("fence", body.fence, 0, MAX_NUMBER)
        self._run_command("close", caller, ReleaseLock(check_name(names[0]), _check_holder(body.holder), fence))

    def take_number(self, request: Request, caller: Responder, names: list[str]) -> None:
        """Take the next number under a name."""
        read_body(_empty_decoder, request)
        self._run_command("number", caller, IssueNumber(check_name(names[0])))

    def put_cell(self, request: Request, caller: Responder, names: list[str]) -> None:
        """Put a value to a key."""
        body = read_body(_replace_decoder, request)
        if len(body.value) > MAX_VALUE_CHARACTERS:
            raise MeshError(ErrorKind.TOO_LARGE, f"a value has {MAX_VALUE_CHARACTERS} characters at most")
        if body.enabled is not None:
            _check_range("enabled", body.enabled, 0, MAX_NUMBER)
        self._run_command("replace", caller, PutCell(check_key(names[0]), body.value, body.enabled))

    def read_cell(self, _request: Request, caller: Responder, names: list[str]) -> None:
        """Read a key."""
        self._run_command("read", caller, ReadCell(check_key(names[0])))

    def _run_command(self, call: str, caller: Responder, command: Command) -> None:
        caller.on_disconnect = lambda: self.waiting.discard(caller)
        self.waiting.add(caller)
        self._submit(command, lambda result: self._respond(call, caller, command, result))

    def _respond(self, call: str, caller: Responder, command: Command, result: Result) -> None:
        is_waiting = caller in self.waiting
        self.waiting.discard(caller)
        self._count(call, result)
        if isinstance(result, LockGranted) and isinstance(command, AcquireLock):
            events.info("lock-granted", lock=command.name, holder=command.holder, fence=result.fence)
        elif isinstance(result, LockLost) and isinstance(command, RenewLock):
            events.info("lock-lost", lock=command.name, holder=command.holder, fence=command.fence)
        if is_waiting:
            respond_with_result(caller, result)

    def _count(self, call: str, result: Result) -> None:
        outcome = result.error_kind if isinstance(result, CommandFailed) else OUTCOMES[type(result)]
        self.outcome_counts[f"{call} {outcome}"] += 1

    # ---- watches -------------------------------------------------------------------------

    def watch(self, request: Request, caller: Responder, names: list[str]) -> None:
        """Respond with the puts of a group above a revision, as soon as there are any."""
        query = read_watch_query(request, names[0])
        if self.is_leaving:
            raise MeshError(ErrorKind.LEAVING)
        caller.on_disconnect = lambda: self._watching.discard(caller)
        self._watching.add(caller)
        if query.after == 0:
            self._respond_with_revision(caller, query)
            return
        try:
            response = self._watches.find_response(query.group, query.after)
            if response is not None:
                self._respond_to_watch(caller, response)
            else:
                self._wait(caller, query)
        except MeshError as error:
            self._fail_watch(caller, error)

    def _respond_with_revision(self, caller: Responder, query: WatchQuery) -> None:
        def on_result(result: Result) -> None:
            if isinstance(result, GroupRevision):
                self._respond_to_watch(caller, WatchResponse([], result.revision))
            else:
                self._fail_watch(caller, error_of(result))

        self._submit(ReadGroup(query.group), on_result)

    def _wait(self, caller: Responder, query: WatchQuery) -> None:
        """Wait for puts; the requested revision may be above the one that this node knows, or above the latest one."""
        watch = Watch(
            query.group,
            query.after,
            steady_clock() + query.wait_seconds,
            on_response=lambda response: self._respond_to_watch(caller, response),
            on_deadline=lambda: self._confirm_no_puts(caller, query),
            on_failure=lambda error: self._fail_watch(caller, error),
        )

        def on_caller_gone() -> None:
            self._watching.discard(caller)
            self._watches.remove(watch)

        caller.on_disconnect = on_caller_gone
        self._watches.add(watch)
        if query.after > self._watches.revision(query.group):
            self._check_revision_exists(caller, query, watch)

    def _check_revision_exists(self, caller: Responder, query: WatchQuery, watch: Watch) -> None:
        """Fail a watch whose revision is above the latest one that a majority confirms."""

        def on_result(result: Result) -> None:
            if isinstance(result, GroupRevision) and query.after > result.revision and self._watches.is_waiting(watch):
                self._watches.remove(watch)
                error = MeshError(ErrorKind.BAD_REQUEST, f"after is above the present revision {result.revision}")
                self._fail_watch(caller, error)

        self._submit(ReadGroup(query.group), on_result)

    def _confirm_no_puts(self, caller: Responder, query: WatchQuery) -> None:
        """Respond to an expired watch: without puts once a majority confirms there are none, or with late puts."""

        def on_result(result: Result) -> None:
            if not isinstance(result, GroupRevision):
                self._fail_watch(caller, error_of(result))
            elif result.revision <= max(query.after, self._watches.revision(query.group)):
                self._respond_with_known_puts(caller, query)
            else:
                self._call_later(
                    LEARN_DELAY_SECONDS, lambda: self._respond_with_known_puts(caller, query, result.revision)
                )

        self._submit(ReadGroup(query.group), on_result)

    def _respond_with_known_puts(self, caller: Responder, query: WatchQuery, proven_revision: int = 0) -> None:
        try:
            response = self._watches.find_response(query.group, query.after)
        except MeshError as error:
            self._fail_watch(caller, error)
            return
        if self._watches.revision(query.group) < proven_revision:
            self._fail_watch(caller, MeshError(ErrorKind.NO_QUORUM, "this node lacks the latest puts"))
        else:
            self._respond_to_watch(caller, response or WatchResponse([], query.after))

    def _respond_to_watch(self, caller: Responder, response: WatchResponse) -> None:
        if caller not in self._watching:
            return
        self._watching.discard(caller)
        self.outcome_counts["watch answered"] += 1
        puts = [{"name": put.name, "value": put.value, "revision": put.revision} for put in response.puts]
        reply(caller, _encode({"events": puts, "revision": response.revision}))

    def _fail_watch(self, caller: Responder, error: MeshError) -> None:
        if caller not in self._watching:
            return
        self._watching.discard(caller)
        self.outcome_counts[f"watch {error.code}"] += 1
        fail(caller, error)

    # ---- shutdown --------------------------------------------------------------------------

    def leave(self) -> None:
        """Fail all watches, since this process is shutting down."""
        self.is_leaving = True
        self._watches.fail_all(MeshError(ErrorKind.LEAVING))


#: The outcome under which each type of result is counted.
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
    """Return the error of a failed command; any other result belongs to another call."""
    if isinstance(result, CommandFailed):
        return MeshError(ErrorKind(result.error_kind), result.detail)
    return MeshError(ErrorKind.UNCLEAR, "the answer belongs to another call")


def respond_with_result(caller: Responder, result: Result) -> None:
    """Respond to a call with the result of its command."""
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
