"""The simulator's wire as literal JSON lines, and the decisions of fixed seeds as digests of what was answered.

The lines and digests here were made with the build of 2 December 2026. They hold keys and values of the wire, not
names of the code, so that they outlive renames. A digest that differs means that some decision, some random draw or
some byte of an answer differs: that is a change of behaviour, never a matter of updating the digest in a refactoring.
"""

from __future__ import annotations

import hashlib
import io
from collections import Counter
from dataclasses import asdict, astuple, replace
from enum import Enum
from random import Random
from typing import Any

import orjson
import pytest

from lugspur.load_balancing.adapter import Instances, read_row, read_settings, serve, write_action
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import ListUpdateKind, Outcome

Message = dict[str, Any]

# ---- one conversation with every message of the wire ----------------------------------------------

SETTINGS = (
    b'{"Instances":2,"Ordinal":1,"Tier":0,"Tiers":["front"],"Zone":0,"Zones":["here","there"],'
    b'"RegistryMode":"on_request","OverShareWorth":0.2,'
    b'"Services":[{"Name":"read","Aim":1.0,"HardLimit":4.0,"Repeat":"retryable","Credit":2.0},'
    b'{"Name":"book","Aim":0.5,"HardLimit":3.0,"Repeat":"fragile","Group":"all","Credit":5.0,"LateWorth":0.8},'
    b'{"Name":"pay","Aim":1.0,"HardLimit":4.0,"Repeat":"dedup","Group":"zone","Window":1.5,"Credit":3.0,'
    b'"LateWorth":1.0,"Streaming":true,"BoundTo":[0,1],"AllowedIn":[0,1]}],'
    b'"Orgs":[{"Name":"o","Share":1.0,"AllowancePerS":9.0}],'
    b'"Bounds":{"Cancel":true,"SecondCopies":false,"MaxAttempts":3},'
    b'"FamilyInfo":{"PassesDeadline":true},"ClientHabits":{"MarksRetry":true},'
    b'"Rules":{"DrainGrace":1.0,"GraceToAnswer":0.1,"AskEvery":4.0,"ColdFrom":0.2,"Cold":9.0,"FallMultiple":3.0,'
    b'"TipAfter":2.0,"ExtraFree":3.0,"ExtraPerRequest":0.5,"RatioSpan":2.0}}'
)
ASKED = (
    b"""\
{"m":"Tick","Time":10.0}
{"m":"OpenInstance","ProxyId":4,"Entropy":11,"Settings":%b}
{"m":"Register","List":0,"Rows":[{"Backend":70,"Readiness":"U","FailureDomain":0,"Cluster":3,"Units":2.0,"StartTime":1.5,"Hw":1},{"Backend":71,"FailureDomain":1},{"Backend":72,"Readiness":"L"},{"Backend":73,"Readiness":"D"}]}
{"m":"Members","ProxyId":4,"Mode":"stale_copy","Version":1,"List":0}
{"m":"Flush"}
{"m":"Tick","Time":11.0}
{"m":"Wake","ProxyId":4,"Tag":1}
{"m":"Wake","ProxyId":4,"Tag":2}
{"m":"Members","ProxyId":4,"Mode":"broken","Version":1}
{"m":"Flush"}
{"m":"Tick","Time":12.0}
{"m":"Call","ProxyId":4,"Ref":"a","Kind":0,"ClientGroup":0,"Deadline":16.0,"Effort":1.0,"Retry":false}
{"m":"Call","ProxyId":4,"Ref":"b","Kind":1,"Deadline":15.0}
{"m":"Call","ProxyId":4,"Ref":"c","Kind":2,"Deadline":16.0}
{"m":"Flush"}
{"m":"Tick","Time":12.1}
{"m":"Returned","ProxyId":4,"Ref":"a","RoundNo":0,"Backend":70,"CostTime":0.1,"How":"overloaded","Last":false}
{"m":"Returned","ProxyId":4,"Ref":"b","RoundNo":0,"CostTime":0.1,"How":"broken"}
{"m":"Started","ProxyId":4,"Ref":"c","RoundNo":0}
{"m":"PingResult","ProxyId":4,"Backend":70,"How":"success"}
{"m":"NeighbourSays","ProxyId":4,"From":1}
{"m":"Flush"}
{"m":"Tick","Time":12.2}
{"m":"Aborted","ProxyId":4,"Ref":"a"}
{"m":"Returned","ProxyId":4,"Ref":"a","RoundNo":1,"CostTime":0.1,"How":"withdrawn","Last":true}
{"m":"Returned","ProxyId":4,"Ref":"c","RoundNo":0,"CostTime":0.2,"How":"success","Last":true}
{"m":"Register","List":1,"Rows":[{"Backend":70,"Readiness":"L"}]}
{"m":"Members","ProxyId":4,"Mode":"patch","Version":2,"List":1}
{"m":"Register","List":2,"Rows":[{"Backend":71}]}
{"m":"Members","ProxyId":4,"Mode":"whole","Version":3,"List":2}
{"m":"Call","ProxyId":4,"Ref":"late","Kind":0,"Deadline":12.0}
{"m":"Call","ProxyId":4,"Ref":"odd","Kind":9}
{"m":"Flush"}
{"m":"Tick","Time":12.3}
{"m":"Teardown","ProxyId":4}
{"m":"Flush"}
"""
    % SETTINGS
)
ANSWERED = b"""\
{"m":"Sleep","ProxyId":4,"When":10.72380728561571,"Tag":1}
{"m":"Eor"}
{"m":"Watch","ProxyId":4,"Want":true}
{"m":"Sleep","ProxyId":4,"When":12.059772386080496,"Tag":1}
{"m":"Eor"}
{"m":"Relay","ProxyId":4,"Ref":"a","Backend":71,"Within":0.9800000000000004}
{"m":"Relay","ProxyId":4,"Ref":"b","Backend":70,"Within":0.0}
{"m":"Relay","ProxyId":4,"Ref":"c","Backend":70,"Within":0.0}
{"m":"Eor"}
{"m":"Relay","ProxyId":4,"Ref":"a","Backend":70,"Within":0.8800000000000008}
{"m":"ReportFailure","ProxyId":4,"Ref":"b"}
{"m":"Eor"}
{"m":"UndoSend","ProxyId":4,"Ref":"a","RoundNo":1}
{"m":"NotNow","ProxyId":4,"Ref":"late","NotBeforeFor":0.0}
{"m":"BailOut","ProxyId":4,"NoteText":"ValueError: kind: 9 is not a whole number from 0 to 2"}
{"m":"Eor"}
{"m":"Eor"}
"""


def test_a_conversation_byte_by_byte() -> None:
    sink, errors = io.BytesIO(), io.StringIO()
    code = serve(io.BytesIO(ASKED), sink, errors)
    assert (code, errors.getvalue()) == (0, "")
    assert sink.getvalue() == ANSWERED


@pytest.mark.parametrize(
    ("lines", "number", "text"),
    [
        (b"[1]\n", 1, "not a message"),
        (b'{"m":"Tick","Time":2}\n{"m":"Flush"}\n{"m":"Tick","Time":1}\n', 3, "the clock goes backwards"),
        (b'{"m":"Call"}\n', 1, "'Call' outside a batch"),
        (b'{"m":"Tick","Time":1}\n{"m":"Tick"}\n', 2, "a Tick inside a batch"),
        (b'{"m":"Tick","Time":1}\n{"m":"Call","ProxyId":5,"Ref":"a"}\n', 2, "instance 5 was never opened"),
    ],
)
def test_a_rejected_line_ends_it_with_2_and_one_line(lines: bytes, number: int, text: str) -> None:
    errors = io.StringIO()
    assert serve(io.BytesIO(lines), io.BytesIO(), errors) == 2
    assert errors.getvalue() == f"adapter: line {number}: {text}\n"


# ---- the keys of the settings and of the list -------------------------------------------------------


def plain(value: Any) -> Any:
    """A dataclass by its values in order: names of fields may change, the order and the values may not."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    return value


READ = [
    [
        ["read", 1.0, 4.0, "safe", "cell", 0.0, 2.0, 0.0, False, None, None],
        ["book", 0.5, 3.0, "unsafe", "all", 0.0, 5.0, 0.8, False, None, None],
        ["pay", 1.0, 4.0, "keyed", "zone", 1.5, 3.0, 1.0, True, [0, 1], [0, 1]],
    ],
    [["o", 1.0, 9.0]],
    2,
    1,
    0,
    1,
    0,
    2,
    "on_request",
    0.2,
    True,
    True,
    [True, False, 3],
    [1.0, 0.1, 4.0, 0.2, 9.0, 3.0, 2.0, 3.0, 0.5, 2.0],
]
DEFAULTS = [
    [["request", 1.0, 5.0, "unsafe", "cell", 0.0, 1.0, 0.0, False, None, None]],
    [],
    1,
    0,
    0,
    1,
    0,
    1,
    "pushed",
    1.0,
    True,
    False,
    [False, False, 3],
    [0.0, 0.0, 10.0, 0.1, 30.0, 2.0, 1.0, 0.0, 0.0, 0.0],
]


def test_settings_keys_and_their_defaults() -> None:
    assert plain(astuple(read_settings(orjson.loads(SETTINGS)))) == READ
    assert plain(astuple(read_settings({}))) == DEFAULTS
    assert plain(astuple(read_settings({"Unknown": 1, "Services": [{"Unknown": 2}]}))) == DEFAULTS


@pytest.mark.parametrize(
    ("word", "read"),
    [("U", "up"), ("L", "draining"), ("D", "gone")],
)
def test_rows_of_the_list(word: str, read: str) -> None:
    row = {
        "Backend": 7,
        "Readiness": word,
        "FailureDomain": 2,
        "Cluster": 3,
        "Units": 1.5,
        "StartTime": 9.0,
        "Hw": 4,
    }
    assert plain(astuple(read_row(row))) == [7, read, 2, 3, 1.5, 9.0, 4]
    assert plain(astuple(read_row({"Backend": 7}))) == [7, "up", 0, 0, 1.0, 0.0, 0]


# ---- fixed seeds: what is answered to some hundreds of events -----------------------------------------

HOWS = ("success", "failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void")


class Simulation:
    """Plays a scripted day to one instance over the wire's messages and keeps every line of its answers."""

    def __init__(self, settings: Message, seed: int, servers: int) -> None:
        self.script = Random(seed)
        self.link = Instances()
        self.lines: list[bytes] = []
        self.now = 100.0
        self.ends: dict[tuple[str, int], tuple[float, str]] = {}  # by request and attempt: when and how it ends
        self.sent: dict[tuple[str, int], float] = {}
        self.tries: Counter[str] = Counter()
        self.final: set[str] = set()
        self.wakes: list[tuple[float, int]] = []
        self.jammed = False
        self.classes = len(settings["Services"])
        self.servers = servers
        self.dead: set[int] = set()
        self.lists = 0
        self.tell({"m": "OpenInstance", "Entropy": seed, "Settings": settings})
        self.members("stale_copy", [self.row(n) for n in range(servers)])

    def row(self, number: int, **values: Any) -> Message:
        base = {"Backend": number * 1000003 + 17, "FailureDomain": number % 2, "Cluster": number // 3, "Hw": number % 3}
        return {**base, "Units": 1.0 + number % 2, **values}

    def members(self, mode: str, rows: list[Message]) -> None:
        self.lists += 1
        self.link.event(self.now, {"m": "Register", "List": self.lists, "Rows": rows})
        self.tell({"m": "Members", "Mode": mode, "Version": self.lists, "List": self.lists})

    def tell(self, event: Message) -> None:
        for action in self.link.event(self.now, {"ProxyId": 3, **event}):
            message = write_action(3, action)
            self.lines.append(orjson.dumps([event["m"], message]))
            self.act(message)

    def act(self, message: Message) -> None:
        kind = message["m"]
        if kind == "Relay":
            self.relay(message)
        elif kind == "UndoSend":
            self.ends[message["Ref"], message["RoundNo"]] = (self.now, "withdrawn")
        elif kind == "Sleep":
            self.wakes.append((message["When"], message["Tag"]))
        elif kind == "Watch":
            self.members("whole", [self.row(n) for n in range(self.servers)])
        else:
            self.final.add(message["Ref"])

    def relay(self, message: Message) -> None:
        ref, server = message["Ref"], message["Backend"]
        attempt = ref, self.tries[ref]
        self.tries[ref] += 1
        took, how = self.script.expovariate(12.0 if server % 4 else 5.0), "success"
        if server in self.dead:
            took, how = 0.001, "unreachable"
        elif self.jammed:
            took *= 9.0
        elif self.script.random() < 0.06:
            how = self.script.choice(HOWS)
        if took > (message["Within"] or 3.0):
            took, how = message["Within"] or 3.0, "timed_out"
        self.sent[attempt] = self.now
        self.ends[attempt] = (self.now + took, how)

    def advance(self, until: float) -> None:
        while True:
            due = [(at, 0, ref, number, how) for (ref, number), (at, how) in self.ends.items() if at <= until]
            due += [(at, 1, "", tag, "") for at, tag in self.wakes if at <= until]
            if not due:
                break
            at, what, ref, number, how = min(due)
            self.now = max(self.now, at)
            if what:
                self.wakes.remove((at, number))
                self.tell({"m": "Wake", "Tag": number})
            else:
                self.end(ref, number, how)
        self.now = until

    def end(self, ref: str, number: int, how: str) -> None:
        del self.ends[ref, number]
        last = how == "success" and ref not in self.final
        if last:
            self.final.add(ref)
        cost = self.now - self.sent.pop((ref, number))
        self.tell({"m": "Returned", "Ref": ref, "RoundNo": number, "CostTime": cost, "How": how, "Last": last})

    def call(self, number: int) -> None:
        script, ref = self.script, f"r{number}"
        wait = script.choice((0.3, 3.0, 3.0, 3.0, 1.2))
        event: Message = {"m": "Call", "Ref": ref, "Kind": script.randrange(self.classes), "Deadline": self.now + wait}
        event |= {"ClientGroup": script.randrange(2), "Effort": script.choice((0.0, 0.0, 0.5, 2.0, 40.0))}
        self.tell({**event, "Retry": script.random() < 0.1})
        chance = script.random()
        if ref in self.final:
            return
        if chance < 0.03:
            self.final.add(ref)
            self.tell({"m": "Aborted", "Ref": ref})
        elif chance < 0.06:
            self.tell({"m": "Started", "Ref": ref, "RoundNo": self.tries[ref] - 1})

    def change(self) -> None:
        number, script = self.script.randrange(self.servers), self.script
        what = script.randrange(5)
        if what == 0:
            self.members("patch", [self.row(number, Readiness="L")])
        elif what == 1:
            self.members("patch", [self.row(number, StartTime=self.now)])
        elif what == 2:
            self.members("whole", [self.row(n) for n in range(self.servers) if n != number])
        elif what == 3:
            self.tell({"m": "Members", "Mode": "broken", "Version": 0})
        else:
            self.dead = {self.row(number)["Backend"]}

    def play(self, calls: int, rate: float) -> list[bytes]:
        for number in range(calls):
            self.jammed = calls * 2 // 5 <= number < calls * 3 // 5
            if number == calls * 3 // 4:
                self.dead = {self.row(n)["Backend"] for n in range(self.servers)}
            elif number == calls * 9 // 10:
                self.dead = set()
            self.advance(self.now + self.script.expovariate(rate))
            self.call(number)
            if number % 25 == 24:
                self.change()
        self.advance(self.now + 10.0)
        return self.lines


FRONT = orjson.loads(SETTINGS)
FRONT["Orgs"] += [{"Name": "p", "Share": 0.5, "AllowancePerS": 2.0}]
ONE_CLASS: Message = {
    "Services": [{"Name": "x", "Aim": 0.4, "HardLimit": 3.0, "Repeat": "retryable", "Credit": 1.0}],
    "Orgs": [{"Name": "o"}, {"Name": "p"}],
    "Bounds": {"MaxAttempts": 2},
}
LOWER = {**FRONT, "Tier": 1, "Tiers": ["front", "back"], "RegistryMode": "pushed", "Rules": {}}
LOWER["FamilyInfo"] = {"PassesDeadline": False}
LOWER["Services"] = [{**row, "Window": 0.2} for row in FRONT["Services"]]
SPARSE = {**FRONT, "Instances": 9, "Ordinal": 5, "ClientHabits": {}}

RUNS: dict[str, tuple[Message, int, int, float]] = {  # settings, servers, calls, calls a second
    "front": (FRONT, 9, 600, 60.0),
    "lower": (LOWER, 8, 500, 80.0),
    "sparse": (SPARSE, 20, 400, 6.0),
    "one class": (ONE_CLASS, 3, 900, 120.0),
}
DIGESTS = {
    "front": "0577ace0d153ee78b291e1e48d88aa428b80fb493f93bf3108611427803f3619",
    "lower": "efb2570d4b9cb59cd394eafee1c465cb30ca3f4e85bb93c7ea12e852ef0d81a1",
    "sparse": "0940df001a98ef2764287a151b8a866e148446d9db00adad98c1e5dce89c27b5",
    "one class": "57d1bb6a91522d4d366e110f450b97d8fb6c9ebdbe2e66102368501f4716bd51",
}
COUNTS = {
    "front": {"Sleep": 3, "Watch": 3, "Relay": 633, "UndoSend": 9, "NotNow": 147, "ReportFailure": 5},
    "lower": {"Sleep": 3, "Watch": 3, "Relay": 536, "UndoSend": 10, "NotNow": 50, "ReportFailure": 12},
    "sparse": {"Sleep": 4, "Watch": 4, "Relay": 368, "UndoSend": 9, "NotNow": 89, "ReportFailure": 9},
    "one class": {"Sleep": 4, "Watch": 4, "Relay": 447, "NotNow": 608},
}
SAMPLE = (  # of the first run: where it begins, and where it is overloaded
    b'["Members",{"m":"Sleep","ProxyId":3,"When":100.19059181594234,"Tag":1}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r0","Backend":17,"Within":0.0}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r1","Backend":7000038,"Within":0.0}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r2","Backend":4000029,"Within":0.0}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r278","Backend":17,"Within":0.0}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r279","Backend":8000041,"Within":0.0}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r280","Backend":4000029,"Within":0.0}]',
    b'["Call",{"m":"Relay","ProxyId":3,"Ref":"r281","Backend":4000029,"Within":0.980000000000004}]',
)


@pytest.mark.parametrize("name", RUNS)
def test_decisions_of_a_fixed_seed(name: str) -> None:
    settings, servers, calls, rate = RUNS[name]
    lines = Simulation(settings, 2026, servers).play(calls, rate)
    assert Counter(orjson.loads(line)[1]["m"] for line in lines) == COUNTS[name]
    if name == "front":
        assert (*lines[:4], *lines[300:304]) == SAMPLE
    assert hashlib.sha256(b"\n".join(lines)).hexdigest() == DIGESTS[name]


# ---- what the daemon asks beyond the wire --------------------------------------------------------------


class Embedding:
    """Plays a scripted day to one instance by the methods that the simulator's wire does not have."""

    def __init__(self, seed: int) -> None:
        self.script = Random(seed)
        self.settings = read_settings(FRONT)
        self.balancer = Balancer(self.settings, seed)
        self.lines: list[str] = []
        self.open: dict[tuple[str, int], float] = {}
        self.tries: Counter[str] = Counter()
        self.now = 100.0
        self.rows = [read_row({"Backend": n, "FailureDomain": n % 2, "Hw": n % 2}) for n in range(6)]
        self.note("members", self.balancer.update_servers(self.now, ListUpdateKind.COMPLETE, self.rows))
        self.note("start", self.balancer.start(self.now))

    def note(self, what: str, actions: list[Any]) -> None:
        for action in actions:
            message = write_action(3, action)
            self.lines.append(f"{what} {message['m']} {message}")
            if message["m"] == "Relay":
                rid = message["Ref"]
                self.open[rid, self.tries[rid]] = self.now
                self.tries[rid] += 1

    def request(self, rid: str, partial: bool) -> None:
        kind, tenant = self.script.randrange(3), self.script.randrange(2)
        deadline = self.now + self.script.choice((0.4, 2.0, 3.0))
        self.note("request", self.balancer.request(self.now, rid, kind, tenant, deadline, 0.0, False, partial))

    def end_some(self) -> None:
        for attempt, sent in list(self.open.items()):
            chance = self.script.random()
            if chance < 0.35:
                del self.open[attempt]
                how = self.script.choice((*[Outcome.OK] * 7, *Outcome))
                actions = self.balancer.finish_attempt(self.now, *attempt, how, self.now - sent, how is Outcome.OK)
                self.note("outcome", actions)

    def disturb(self, rid: str) -> None:
        balancer, chance = self.balancer, self.script.random()
        if chance < 0.2:
            self.note("whole", balancer.complete_body(self.now, rid, self.now + 2.0))
        elif chance < 0.4:
            self.note("extend", balancer.extend_deadline(self.now, rid, self.now + 4.0))
        elif chance < 0.5:
            self.note("bind", balancer.bind_to_attempt(self.now, rid, 0))
        elif chance < 0.6:
            self.note("begun", balancer.begin_response(self.now, rid, 0))
        elif chance < 0.65:
            self.note("gone", balancer.cancel_request(self.now, rid))
        elif chance < 0.7:
            row = self.rows[self.script.randrange(6)]
            self.note(
                "members", balancer.update_servers(self.now, ListUpdateKind.PATCH, [replace(row, started_at=self.now)])
            )
            balancer.reinstate(self.now, row.server)
        elif chance < 0.75:
            balancer.set_superseded(self.script.random() < 0.5)

    def play(self, requests: int, rate: float) -> None:
        for number in range(requests):
            self.now += self.script.expovariate(rate)
            self.request(f"q{number}", self.script.random() < 0.3)
            self.end_some()
            self.disturb(f"q{self.script.randrange(max(0, number - 9), number + 1)}")

    def settle(self) -> None:
        self.now += 1.0
        for attempt, sent in list(self.open.items()):
            del self.open[attempt]
            actions = self.balancer.finish_attempt(self.now, *attempt, Outcome.CANCELLED, self.now - sent, False)
            self.note("outcome", actions)
        for rid in self.tries:
            self.note("gone", self.balancer.cancel_request(self.now, rid))

    def replace_settings(self) -> None:
        classes = self.settings.classes
        self.settings = replace(self.settings, classes=(replace(classes[0], allowed_zones=(0,)), *classes[1:]))
        self.balancer.change_settings(self.now, self.settings)

    def replace_instance(self) -> None:
        learned = self.balancer.export_learned()
        self.lines.append(f"learned {plain(astuple(learned))}")
        self.balancer = Balancer(self.settings, 5)
        self.note("members", self.balancer.update_servers(self.now, ListUpdateKind.COMPLETE, self.rows))
        self.balancer.import_learned(self.now, learned)


def test_decisions_of_a_fixed_seed_beyond_the_wire() -> None:
    day = Embedding(2026)
    for change, rate in ((day.replace_settings, 40.0), (day.replace_instance, 40.0), (day.settle, 4.0)):
        day.play(250, rate)
        day.settle()
        change()
    kinds = Counter(line.split()[1] for line in day.lines if not line.startswith("learned"))
    assert kinds == {"Sleep": 1, "Relay": 413, "UndoSend": 67, "NotNow": 446, "ReportFailure": 39}
    digest = hashlib.sha256("\n".join(day.lines).encode()).hexdigest()
    assert digest == "dd11a00602e99dcbc8ba380bb0708236e99dede123bae3a8ebb8076fa9312258"


def test_what_was_learned_is_kept_by_these_names() -> None:
    # dataclasses.asdict of these goes to the file of the daemon's state and to the process that takes over.
    day = Embedding(3)
    day.play(40, 40.0)
    learned = asdict(day.balancer.export_learned())
    assert list(learned) == ["servers", "pools", "pooled", "pace", "paced"]
    server = ["server", "started", "latency", "seen", "downs", "down_until", "cold_credit", "cold_seen", "breaker"]
    assert list(learned["servers"][0]) == server
    assert list(learned["servers"][0]["breaker"]) == ["baseline", "current", "window"]
    assert list(learned["pools"][0]) == ["rates", "born", "breaker"]
