"""Adapter between the simulator's protocol (JSON lines) and the balancer; it makes no decisions.

A batch is a `Tick` with the time, events, and a `Flush`; the reply is the actions, one a line, and an `Eor`.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any, BinaryIO, TextIO

import orjson

from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    Action,
    Cancel,
    DeduplicationScope,
    DiscoveryMode,
    Fail,
    Limits,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestClass,
    RetrySafety,
    Rules,
    Send,
    ServerRow,
    ServerState,
    Settings,
    StartTimer,
    Subscribe,
    Tenant,
    pick_known,
)

SERVER_STATES = {"U": ServerState.UP, "L": ServerState.DRAINING, "D": ServerState.GONE}
RETRY_SAFETIES = {"retryable": RetrySafety.SAFE, "dedup": RetrySafety.KEYED, "fragile": RetrySafety.UNSAFE}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
DISCOVERY_MODES = {"pushed": DiscoveryMode.PUSHED, "on_request": DiscoveryMode.ON_REQUEST}
LIST_UPDATE_KINDS = {
    "stale_copy": ListUpdateKind.STALE,
    "whole": ListUpdateKind.COMPLETE,
    "patch": ListUpdateKind.PATCH,
    "broken": ListUpdateKind.FAILED,
}
OUTCOMES = {
    "success": Outcome.OK,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.OVERLOADED,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.INTERRUPTED,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.NOT_PROCESSED,
}
RULES = {
    "drain_grace": "DrainGrace",
    "answer_slack": "GraceToAnswer",
    "discovery_interval": "AskEvery",
    "slow_start_fraction": "ColdFrom",
    "slow_start_seconds": "Cold",
    "overload_multiple": "FallMultiple",
    "overload_seconds": "TipAfter",
    "retry_budget_minimum": "ExtraFree",
    "retry_budget_ratio": "ExtraPerRequest",
    "retry_budget_window": "RatioSpan",
}
TENANT = {
    "name": "Name",
    "share": "Share",
    "quota": "AllowancePerS",
}
LIMITS = {
    "allows_cancel": "Cancel",
    "allows_hedging": "SecondCopies",
    "max_attempts": "MaxAttempts",
}


class WireError(Exception):
    """A line violates the protocol; the message says why."""


def _read_dataclass(kind: Any, names: dict[str, str], values: dict[str, Any]) -> Any:
    """Build a dataclass from `values`; `names` maps fields to keys, and absent keys take defaults."""
    return kind(**pick_known(kind, {field: values.get(key) for field, key in names.items()}))


def _read_indices(bound: list[int] | None) -> tuple[int, ...] | None:
    return None if bound is None else tuple(bound)


def _read_class(row: dict[str, Any]) -> RequestClass:
    values = {
        "name": row.get("Name"),
        "latency_target": row.get("Aim"),
        "deadline": row.get("HardLimit"),
        "retry_safety": RETRY_SAFETIES.get(row.get("Repeat", ""), RetrySafety.UNSAFE),
        "deduplication_scope": DEDUPLICATION_SCOPES.get(row.get("Group", ""), DeduplicationScope.CELL),
        "deduplication_window": row.get("Window"),
        "value": row.get("Credit"),
        "late_value": row.get("LateWorth"),
        "streaming": row.get("Streaming"),
        "allowed_host_types": _read_indices(row.get("BoundTo")),
        "allowed_zones": _read_indices(row.get("AllowedIn")),
    }
    return RequestClass(**pick_known(RequestClass, values))


def read_settings(wire: dict[str, Any]) -> Settings:
    """Convert settings from the protocol; unknown keys are ignored, absent keys take defaults."""
    values = {
        "classes": tuple(_read_class(row) for row in wire.get("Services") or ()) or None,
        "tenants": tuple(_read_dataclass(Tenant, TENANT, row) for row in wire.get("Orgs") or ()),
        "instance_count": wire.get("Instances"),
        "instance_index": wire.get("Ordinal"),
        "tier": wire.get("Tier"),
        "tier_count": len(wire.get("Tiers") or ()) or None,
        "zone": wire.get("Zone"),
        "zone_count": len(wire.get("Zones") or ()) or None,
        "discovery": DISCOVERY_MODES.get(wire.get("RegistryMode", "pushed"), DiscoveryMode.PUSHED),
        "over_quota_value": wire.get("OverShareWorth"),
        "callers_pass_deadline": (wire.get("FamilyInfo") or {}).get("PassesDeadline"),
        "clients_mark_retries": (wire.get("ClientHabits") or {}).get("MarksRetry"),
        "limits": _read_dataclass(Limits, LIMITS, wire.get("Bounds") or {}),
        "rules": _read_dataclass(Rules, RULES, wire.get("Rules") or {}),
    }
    return Settings(**pick_known(Settings, values))


def read_row(row: dict[str, Any]) -> ServerRow:
    """Convert a `Register` row; raises KeyError without `Backend` or for an unknown `Readiness`."""
    return ServerRow(
        row["Backend"],
        SERVER_STATES[row.get("Readiness", "U")],
        row.get("FailureDomain", 0),
        row.get("Cluster", 0),
        row.get("Units", 1.0),
        row.get("StartTime", 0.0),
        row.get("Hw", 0),
    )


def write_action(instance: int, action: Action) -> dict[str, Any]:
    """Convert an action to a message of the protocol."""
    if isinstance(action, Send):
        return {
            "m": "Relay",
            "ProxyId": instance,
            "Ref": action.request,
            "Backend": action.server,
            "Within": action.timeout,
        }
    if isinstance(action, Reject):
        return {
            "m": "NotNow",
            "ProxyId": instance,
            "Ref": action.request,
            "NotBeforeFor": action.retry_after,
        }
    if isinstance(action, Fail):
        return {"m": "ReportFailure", "ProxyId": instance, "Ref": action.request}
    if isinstance(action, Cancel):
        return {"m": "UndoSend", "ProxyId": instance, "Ref": action.request, "RoundNo": action.attempt}
    if isinstance(action, StartTimer):
        return {"m": "Sleep", "ProxyId": instance, "When": action.at, "Tag": action.token}
    assert isinstance(action, Subscribe)
    return {"m": "Watch", "ProxyId": instance, "Want": True}


class Instances:
    """All balancer instances of one process, and the numbered server lists that they share read-only."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.unstarted: set[int] = set()  # instances that have not received a server list yet
        self.lists: dict[int, tuple[ServerRow, ...]] = {}

    def event(self, now: float, event: dict[str, Any]) -> list[Action]:
        """Pass one event to its instance and return the instance's actions; raises WireError or KeyError."""
        name = event["m"]
        if name == "Register":
            self.lists[event["List"]] = tuple(read_row(row) for row in event.get("Rows") or ())
            return []
        instance = event["ProxyId"]
        if name == "OpenInstance":
            settings = read_settings(event.get("Settings") or {})
            self.instances[instance] = Balancer(settings, event.get("Entropy", 0))
            self.unstarted.add(instance)
            return []
        balancer = self.instances.get(instance)
        if balancer is None:
            raise WireError(f"instance {instance} was never opened")
        if name == "Teardown":
            del self.instances[instance]
            self.unstarted.discard(instance)
            return []
        if name == "Members":
            return self._update_servers(balancer, now, event)
        handler = HANDLERS.get(name)
        if handler is None:
            raise WireError(f"unknown message {name!r}")
        return handler(balancer, now, event)

    def _update_servers(self, balancer: Balancer, now: float, event: dict[str, Any]) -> list[Action]:
        kind = LIST_UPDATE_KINDS[event["Mode"]]
        rows: tuple[ServerRow, ...] = ()
        if kind is not ListUpdateKind.FAILED:
            if event["List"] not in self.lists:
                raise WireError(f"unknown list number {event['List']}")
            rows = self.lists[event["List"]]
        actions = balancer.update_servers(now, kind, rows)
        if event["ProxyId"] in self.unstarted:
            self.unstarted.discard(event["ProxyId"])
            actions += balancer.start(now)
        return actions


def _request(balancer: Balancer, now: float, event: dict[str, Any]) -> list[Action]:
    return balancer.request(
        now,
        event["Ref"],
        event.get("Kind", 0),
        event.get("ClientGroup", 0),
        event.get("Deadline"),
        event.get("Effort", 0.0),
        event.get("Retry", False),
    )


def _finish_attempt(balancer: Balancer, now: float, event: dict[str, Any]) -> list[Action]:
    how = OUTCOMES[event["How"]]
    number, latency, last = event.get("RoundNo", 0), event.get("CostTime", 0.0), event.get("Last", False)
    return balancer.finish_attempt(now, event["Ref"], number, how, latency, last)


HANDLERS: dict[str, Callable[[Balancer, float, dict[str, Any]], list[Action]]] = {
    "Call": _request,
    "Returned": _finish_attempt,
    "Wake": lambda balancer, now, event: balancer.fire_timer(now, event["Tag"]),
    "Aborted": lambda balancer, now, event: balancer.cancel_request(now, event["Ref"]),
    "Started": lambda balancer, now, event: balancer.begin_response(
        now, event["Ref"], event.get("RoundNo", 0)
    ),
    "PingResult": lambda balancer, now, event: [],
    "NeighbourSays": lambda balancer, now, event: [],
}


class BatchReader:
    """Reads lines and collects the replies of a batch."""

    def __init__(self) -> None:
        self._link = Instances()
        self._now: float | None = None  # time of the open batch; None outside batches
        self._latest = float("-inf")
        self._replies: list[bytes] = []

    @property
    def is_open(self) -> bool:
        """Return whether a batch has begun and is not flushed yet."""
        return self._now is not None

    def read(self, line: bytes) -> bytes | None:
        """Process one line; return the reply to the whole batch at its end, else None.

        Raises WireError, ValueError, KeyError or TypeError for a line that violates the protocol.
        """
        event: Any = orjson.loads(line)
        if not isinstance(event, dict) or "m" not in event:
            raise WireError("not a message")
        if event["m"] == "Tick":
            self._begin(event)
        elif self._now is None:
            raise WireError(f"{event['m']!r} outside a batch")
        elif event["m"] == "Flush":
            return self._flush()
        else:
            self._handle_event(self._now, event)
        return None

    def _begin(self, tick: dict[str, Any]) -> None:
        if self._now is not None:
            raise WireError("a Tick inside a batch")
        now = float(tick["Time"])
        if not now >= self._latest:
            raise WireError("the clock goes backwards")
        self._now = self._latest = now

    def _flush(self) -> bytes:
        reply = b"\n".join([*self._replies, b'{"m":"Eor"}\n'])
        self._replies.clear()
        self._now = None
        return reply

    def _handle_event(self, now: float, event: dict[str, Any]) -> None:
        """Collect an event's actions; an exception of the balancer fails this event alone, with a BailOut."""
        try:
            actions = self._link.event(now, event)
        except Exception as error:
            if _is_wire_error(error):
                raise
            self._replies.append(_bail_out(event, error))
            return
        for action in actions:
            self._replies.append(orjson.dumps(write_action(event["ProxyId"], action)))


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Reply to batches until the input ends; return the exit code."""
    batches = BatchReader()
    number = 0
    for number, line in enumerate(source, 1):
        try:
            reply = batches.read(line)
        except (WireError, ValueError, KeyError, TypeError) as error:
            return _reject(errors, number, error)
        if reply is not None:
            sink.write(reply)
            sink.flush()
    if batches.is_open:
        return _reject(errors, number, WireError("the input ended inside a batch"))
    return 0


def _is_wire_error(error: BaseException) -> bool:
    """Return whether the error arose in reading the message (a missing or odd field), not in a decision."""
    if isinstance(error, WireError):
        return True
    if not isinstance(error, KeyError | TypeError):
        return False
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return trace is not None and trace.tb_frame.f_code.co_filename == __file__


def _bail_out(event: dict[str, Any], error: BaseException) -> bytes:
    text = f"{type(error).__name__}: {error}"
    return orjson.dumps({"m": "BailOut", "ProxyId": event.get("ProxyId", 0), "NoteText": text})


def _reject(errors: TextIO, number: int, error: BaseException) -> int:
    what = f"missing field {error}" if isinstance(error, KeyError) else str(error)
    print(f"adapter: line {number}: {what}".replace("\n", " "), file=errors)
    return 2


def main() -> int:
    """Run on standard input and output."""
    try:
        return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
    except BrokenPipeError:
        # The reader has closed the pipe: no reply is due, and the flush at exit must not fail either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
