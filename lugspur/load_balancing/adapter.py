"""Adapter between the simulator's wire (JSON lines) and the decision module; it decides nothing."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

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
LIMITS = {
    "allows_cancel": "Cancel",
    "allows_hedging": "SecondCopies",
    "max_attempts": "MaxAttempts",
}


class WireFault(Exception):
    """A line that the wire does not allow."""


def _named(kind: Any, names: dict[str, str], values: dict[str, Any]) -> Any:
    return kind(**pick_known(kind, {ours: values.get(theirs) for ours, theirs in names.items()}))


def _places(bound: list[int] | None) -> tuple[int, ...] | None:
    return None if bound is None else tuple(bound)


def read_settings(wire: dict[str, Any]) -> Settings:
    """Settings of the wire in the module's own terms; unknown keys are ignored, absent ones defaulted."""
    classes = tuple(
        RequestClass(
            **pick_known(
                RequestClass,
                {
                    "name": row.get("Name"),
                    "latency_target": row.get("Aim"),
                    "deadline": row.get("HardLimit"),
                    "retry_safety": RETRY_SAFETIES.get(row.get("Repeat"), RetrySafety.UNSAFE),
                    "deduplication_scope": DEDUPLICATION_SCOPES.get(
                        row.get("Group"), DeduplicationScope.CELL
                    ),
                    "deduplication_window": row.get("Window"),
                    "value": row.get("Credit"),
                    "late_value": row.get("LateWorth"),
                    "streaming": row.get("Streaming"),
                    "allowed_host_types": _places(row.get("BoundTo")),
                    "allowed_zones": _places(row.get("AllowedIn")),
                },
            )
        )
        for row in wire.get("Services") or ()
    )
    tenants = tuple(
        _named(Tenant, {"name": "Name", "share": "Share", "quota": "AllowancePerS"}, row)
        for row in wire.get("Orgs") or ()
    )
    values = {
        "classes": classes or None,
        "tenants": tenants,
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
        "limits": _named(Limits, LIMITS, wire.get("Bounds") or {}),
        "rules": _named(Rules, RULES, wire.get("Rules") or {}),
    }
    return Settings(**pick_known(Settings, values))


def read_row(row: dict[str, Any]) -> ServerRow:
    """One entry of a `Register`."""
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
    """One action as a message of the wire."""
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


class Link:
    """All instances of one process, and the numbered lists that they share read-only."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.fresh: set[int] = set()
        self.lists: dict[int, tuple[ServerRow, ...]] = {}

    def _members(self, b: Balancer, now: float, e: dict[str, Any]) -> list[Action]:
        kind = LIST_UPDATE_KINDS[e["Mode"]]
        rows: tuple[ServerRow, ...] = ()
        if kind is not ListUpdateKind.FAILED:
            if e["List"] not in self.lists:
                raise WireFault(f"unknown list number {e['List']}")
            rows = self.lists[e["List"]]
        out = b.update_servers(now, kind, rows)
        if e["ProxyId"] in self.fresh:
            self.fresh.discard(e["ProxyId"])
            out += b.start(now)
        return out

    @staticmethod
    def _call(b: Balancer, now: float, e: dict[str, Any]) -> list[Action]:
        return b.request(
            now,
            e["Ref"],
            e.get("Kind", 0),
            e.get("ClientGroup", 0),
            e.get("Deadline"),
            e.get("Effort", 0.0),
            e.get("Retry", False),
        )

    @staticmethod
    def _returned(b: Balancer, now: float, e: dict[str, Any]) -> list[Action]:
        how = OUTCOMES[e["How"]]
        return b.finish_attempt(
            now, e["Ref"], e.get("RoundNo", 0), how, e.get("CostTime", 0.0), e.get("Last", False)
        )

    def event(self, now: float, e: dict[str, Any]) -> list[Action]:
        """Hand one event to its instance; returns the instance's actions."""
        name = e["m"]
        if name == "Register":
            self.lists[e["List"]] = tuple(read_row(row) for row in e.get("Rows") or ())
            return []
        instance = e["ProxyId"]
        if name == "OpenInstance":
            self.instances[instance] = Balancer(read_settings(e.get("Settings") or {}), e.get("Entropy", 0))
            self.fresh.add(instance)
            return []
        balancer = self.instances.get(instance)
        if balancer is None:
            raise WireFault(f"instance {instance} was never opened")
        if name == "Teardown":
            del self.instances[instance]
            self.fresh.discard(instance)
            return []
        if name == "Members":
            return self._members(balancer, now, e)
        handler = HANDLERS.get(name)
        if handler is None:
            raise WireFault(f"unknown message {name!r}")
        return handler(balancer, now, e)


HANDLERS: dict[str, Callable[[Balancer, float, dict[str, Any]], list[Action]]] = {
    "Call": Link._call,
    "Returned": Link._returned,
    "Wake": lambda b, now, e: b.fire_timer(now, e["Tag"]),
    "Aborted": lambda b, now, e: b.cancel_request(now, e["Ref"]),
    "Started": lambda b, now, e: b.begin_response(now, e["Ref"], e.get("RoundNo", 0)),
    "PingResult": lambda b, now, e: [],
    "NeighbourSays": lambda b, now, e: [],
}


def serve(source: BinaryIO, sink: BinaryIO, errors: Any) -> int:
    """Answer batches until the input ends; returns the exit code."""
    link = Link()
    now: float | None = None
    latest = float("-inf")
    number = 0
    replies: list[bytes] = []
    event: Any
    for number, line in enumerate(source, 1):
        try:
            event = orjson.loads(line)
            if not isinstance(event, dict) or "m" not in event:
                raise WireFault("not a message")
            name = event["m"]
            if name == "Tick":
                if now is not None:
                    raise WireFault("a Tick inside a batch")
                now = float(event["Time"])
                if not now >= latest:
                    raise WireFault("the clock goes backwards")
                latest = now
                continue
            if now is None:
                raise WireFault(f"{name!r} outside a batch")
            if name == "Flush":
                replies.append(b'{"m":"Eor"}\n')
                sink.write(b"\n".join(replies))
                sink.flush()
                replies.clear()
                now = None
                continue
        except (WireFault, ValueError, KeyError, TypeError) as fault:
            return _reject(errors, number, fault)
        try:
            actions = link.event(now, event)
        except (WireFault, KeyError, TypeError) as fault:
            if isinstance(fault, WireFault) or _in_adapter(fault):
                return _reject(errors, number, fault)
            replies.append(_bail(event, fault))
            continue
        except Exception as fault:
            replies.append(_bail(event, fault))
            continue
        if actions:
            instance = event["ProxyId"]
            for action in actions:
                replies.append(orjson.dumps(write_action(instance, action)))
    if now is not None:
        return _reject(errors, number, WireFault("the input ended inside a batch"))
    return 0


def _in_adapter(fault: BaseException) -> bool:
    """Whether the fault arose in reading the message (a missing or odd field), not in a decision."""
    trace = fault.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return trace is not None and trace.tb_frame.f_code.co_filename == __file__


def _bail(event: dict[str, Any], fault: BaseException) -> bytes:
    text = f"{type(fault).__name__}: {fault}"
    return orjson.dumps({"m": "BailOut", "ProxyId": event.get("ProxyId", 0), "NoteText": text})


def _reject(errors: Any, number: int, fault: BaseException) -> int:
    what = f"missing field {fault}" if isinstance(fault, KeyError) else str(fault)
    print(f"adapter: line {number}: {what}".replace("\n", " "), file=errors)
    return 2


def main() -> int:
    """Run on standard input and output."""
    try:
        return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)
    except BrokenPipeError:
        # The reader is gone: nothing is owed to it, and the flush at exit must not complain either.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
