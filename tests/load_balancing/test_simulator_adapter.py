"""The adapter as a process, with scripted conversations."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lugspur.load_balancing import adapter
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import DiscoveryMode, Outcome, RetrySafety

ROOT = Path(__file__).parents[2]
Message = dict[str, Any]

SETTINGS: Message = {
    "Instances": 2,
    "Services": [
        {"Name": "x", "Aim": 1.0, "HardLimit": 4.0, "Repeat": "retryable", "Credit": 2.0},
        {"Name": "y", "Aim": 1.0, "HardLimit": 4.0, "Repeat": "fragile", "Credit": 5.0, "LateWorth": 0.8},
    ],
    "Bounds": {"Cancel": True, "MaxAttempts": 3, "Unheard": 1},
    "Orgs": [{"Name": "o", "Share": 1.0, "AllowancePerS": 9.0}],
    "HostTypes": ["k"],
    "Tiers": ["one"],
    "Zones": ["here"],
    "Novelty": {"a": 1},
}
ROWS: list[Message] = [{"Backend": 70 + i, "Readiness": "U", "Units": 1} for i in range(6)]


def opened(instance: int, settings: Message = SETTINGS) -> list[Message]:
    return [
        {
            "m": "OpenInstance",
            "ProxyId": instance,
            "Entropy": 11 + instance,
            "Settings": {**settings, "Ordinal": instance},
        },
        {"m": "Register", "List": 0, "Rows": ROWS},
        {"m": "Members", "ProxyId": instance, "Mode": "stale_copy", "Version": 1, "List": 0},
    ]


def batch(time: float, events: list[Message]) -> str:
    lines = [{"m": "Tick", "Time": time}, *events, {"m": "Flush"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def converse(text: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lugspur.load_balancing.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **env},
        timeout=60,
        check=False,
    )


def replies(text: str, **env: str) -> list[list[Message]]:
    done = converse(text, **env)
    assert (done.returncode, done.stderr) == (0, "")
    out: list[list[Message]] = [[]]
    for line in done.stdout.splitlines():
        message = json.loads(line)
        if message["m"] == "Eor":
            out.append([])
        else:
            out[-1].append(message)
    return out[:-1]


def calls(instance: int, first: int, count: int) -> list[Message]:
    return [
        {"m": "Call", "ProxyId": instance, "Ref": f"c{instance}_{n}", "Kind": n % 2, "Deadline": 14.0}
        for n in range(first, first + count)
    ]


def conversation(instances: list[int]) -> str:
    """Return a start, a list, requests, outcomes, a drain and a restart."""
    text = batch(9.0, []) + batch(10.0, [e for i in instances for e in opened(i)])
    text += batch(10.1, [e for i in instances for e in calls(i, 0, 3)])
    text += batch(
        10.2,
        [
            {
                "m": "Returned",
                "ProxyId": i,
                "Ref": f"c{i}_0",
                "RoundNo": 0,
                "Backend": 70,
                "CostTime": 0.1,
                "How": "overloaded",
            }
            for i in instances
        ],
    )
    drained = [{"m": "Register", "List": 3, "Rows": [{"Backend": 70, "Readiness": "L"}]}]
    updates = [{"m": "Members", "ProxyId": i, "Mode": "patch", "Version": 2, "List": 3} for i in instances]
    text += batch(10.3, [*drained, *updates, *(e for i in instances for e in calls(i, 3, 40))])
    text += batch(10.4, [{"m": "Teardown", "ProxyId": i} for i in instances])
    return text + batch(10.5, [e for i in instances for e in [*opened(i), *calls(i, 90, 2)]])


def test_conversation_of_several_batches() -> None:
    got = replies(conversation([0]))
    assert got[0] == got[1] == []
    assert [m["m"] for m in got[2]] == ["Relay"] * 3
    assert {m["Backend"] for m in got[2]} <= {r["Backend"] for r in ROWS}
    assert got[2][0]["Within"] == pytest.approx(0.98) and got[2][1]["Within"] == 0.0
    assert [m["m"] for m in got[3]] in (["Relay"], ["NotNow"])
    assert got[4] and all(m.get("Backend") != 70 for m in got[4]), "sent to a server that drains"
    assert got[5] == []
    assert [m["m"] for m in got[6]] == ["Relay"] * 2


def test_actions_do_not_depend_on_the_process_or_the_hash_seed() -> None:
    def by_instance(batches: list[list[Message]]) -> dict[int, list[Message]]:
        return {i: [m for b in batches for m in b if m["ProxyId"] == i] for i in (0, 1)}

    together = by_instance(replies(conversation([0, 1]), PYTHONHASHSEED="1"))
    assert together == by_instance(replies(conversation([0, 1]), PYTHONHASHSEED="2"))
    alone = {i: by_instance(replies(conversation([i])))[i] for i in (0, 1)}
    assert together == alone
    assert together[0] != together[1]


@pytest.mark.parametrize(("field", "row"), [("BoundTo", "Hw"), ("AllowedIn", "FailureDomain")])
def test_placement_reaches_the_balancer(field: str, row: str) -> None:
    settings = json.loads(json.dumps(SETTINGS)) | {"Zones": ["here", "there"], "HostTypes": ["k", "l"]}
    settings["Services"][0][field] = [1]
    events = opened(0, settings)
    events[1] = {**events[1], "Rows": [{**r, row: n % 2} for n, r in enumerate(ROWS)]}
    got = replies(batch(10.0, events) + batch(10.1, calls(0, 0, 40)))[1]
    to = {n % 2: {m["Backend"] % 2 for m in got if int(m["Ref"][3:]) % 2 == n} for n in (0, 1)}
    assert to == {0: {1}, 1: {0, 1}}


def test_actions_do_not_depend_on_names() -> None:
    renamed = json.loads(json.dumps(SETTINGS))
    for row, name in zip(renamed["Services"], ("p", "q"), strict=True):
        row["Name"] = name
    renamed["Orgs"][0]["Name"] = "r"
    renamed |= {"Tiers": ["zwei"], "Zones": ["elsewhere"], "HostTypes": ["odd"]}
    tail = batch(10.1, calls(0, 0, 30))
    assert replies(batch(10.0, opened(0)) + tail) == replies(batch(10.0, opened(0, renamed)) + tail)


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("{\n", 1, "line 1"),
        ("[1]\n", 1, "not a message"),
        ('{"m":"Call"}\n', 1, "outside a batch"),
        ('{"m":"Tick"}\n', 1, "missing field 'Time'"),
        ('{"m":"Tick","Time":1}\n{"m":"Tick","Time":2}\n', 2, "a Tick inside a batch"),
        (batch(5.0, []) + batch(4.0, []), 3, "the clock goes backwards"),
        ('{"m":"Tick","Time":1}\n{"m":"Call"}\n', 2, "missing field 'ProxyId'"),
        ('{"m":"Tick","Time":1}\n{"m":"Call","ProxyId":5,"Ref":"a"}\n', 2, "instance 5 was never opened"),
        (batch(1.0, opened(0)) + batch(2.0, [{"m": "Hum", "ProxyId": 0}]), 7, "unknown message 'Hum'"),
        (batch(1.0, opened(0)) + batch(2.0, [{"m": "Call", "ProxyId": 0}]), 7, "missing field 'Ref'"),
        (
            batch(1.0, opened(0))
            + batch(2.0, [{"m": "Members", "ProxyId": 0, "Mode": "whole", "Version": 2, "List": 9}]),
            7,
            "unknown list number 9",
        ),
        ('{"m":"Tick","Time":1}\n', 1, "the input ended inside a batch"),
    ],
)
def test_invalid_line_is_reported_with_its_number(text: str, line: int, message: str) -> None:
    done = converse(text)
    assert done.returncode == 2
    [error] = done.stderr.splitlines()
    assert f"line {line}" in error and message in error and "Traceback" not in error


def test_exception_in_a_decision_is_reported_as_bail_out() -> None:
    bad = [{"m": "Call", "ProxyId": 0, "Ref": "a", "Kind": 9, "Deadline": 3.0}]
    [_, [message]] = replies(batch(1.0, opened(0)) + batch(2.0, bad))
    assert message["m"] == "BailOut" and message["NoteText"].startswith("ValueError: kind")


def test_closed_output_ends_the_process_without_an_error() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "lugspur.load_balancing.adapter"],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdin and process.stdout and process.stderr
    process.stdout.close()
    try:
        process.stdin.write((batch(1.0, []) * 2).encode())
        process.stdin.close()
    except BrokenPipeError:
        pass
    assert process.stderr.read() == b""
    process.wait(60)
    process.stderr.close()


def test_settings_are_read_from_the_protocol() -> None:
    settings = adapter.read_settings(
        {
            **SETTINGS,
            "RegistryMode": "on_request",
            "Report": {"Via": "pull", "Fields": ["rif", "x9"]},
            "Penalties": {"Waste": 0.25, "Unheard": 1},
            "FamilyInfo": {"PassesDeadline": False},
            "ClientHabits": {"MarksRetry": True},
        }
    )
    assert settings.classes[1].retry_safety is RetrySafety.UNSAFE and settings.classes[1].value == 5.0
    assert settings.discovery is DiscoveryMode.ON_REQUEST
    assert settings.clients_mark_retries
    assert not settings.callers_pass_deadline and settings.limits.max_attempts == 3
    assert adapter.read_settings({}).classes, "absent keys take defaults"


def test_costs_reach_the_balancer_and_unused_messages_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: list[tuple[Any, ...]] = []

    def note(_: Balancer, *given: Any) -> list[Any]:
        seen.append(given)
        return []

    for name in ("request", "finish_attempt"):
        monkeypatch.setattr(Balancer, name, note)
    link = adapter.Instances()
    for event in opened(0):
        link.event(1.0, event)
    link.event(2.0, {"m": "Call", "ProxyId": 0, "Ref": "a", "Deadline": 3.0, "Effort": 0.5, "Retry": True})
    link.event(2.0, {"m": "Returned", "ProxyId": 0, "Ref": "a", "How": "success", "Telemetry": [3, 1]})
    assert link.event(2.0, {"m": "PingResult", "ProxyId": 0, "Backend": 70, "How": "success"}) == []
    assert seen[0][-2:] == (0.5, True) and seen[1][1:4] == ("a", 0, Outcome.OK)
