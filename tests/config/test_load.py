"""Loading of configuration files: each fault has one message with its line and what to write instead."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.config import load as loading
from lugspur.config.lines import LineNumbers
from lugspur.config.load import ConfigFileError, load

ROOT = Path(__file__).parent.parent.parent
GOOD = """[listeners.main]
address = "127.0.0.1:0"
[classes.book]
deadline = "5s"
[pools.a]
members = [
  { address = "127.0.0.1:1" },
  { address = "127.0.0.1:2" },
]
[routes.r]
path = "/r/{id}"
pool = "a"
class = "book"
"""  # text that is appended begins on line 14


def faults(tmp_path: Path, text: str) -> list[str]:
    """Return the faults of a file with this text, without the file's name."""
    file = tmp_path / "f.toml"
    file.write_text(text)
    try:
        load(str(file))
    except ConfigFileError as found:
        assert all(line.startswith(f"{file}:") for line in found.lines)
        return [line.removeprefix(f"{file}:") for line in found.lines]
    return []


def test_a_good_file_has_no_fault(tmp_path: Path) -> None:
    assert faults(tmp_path, GOOD) == []


def test_the_examples_have_no_fault() -> None:
    assert len(load(str(ROOT / "deploy" / "registry.toml")).table.routes) == 1
    assert len(load(str(ROOT / "deploy" / "grpc.toml")).table.routes) == 3
    for number in (1, 2, 3):
        assert load(str(ROOT / "deploy" / f"fleet-{number}.toml")).file.fleet.member == f"edge-{number}"
    assert len(load(str(ROOT / "deploy" / "example.toml")).table.routes) == 6


FLEET = '[fleet]\nname = "f"\nmember = "m"\naddress = "127.0.0.1:7946"'
# ruff: noqa: E501
FAULTS = [  # the text appended to GOOD, the line of the fault, a part of the message
    ('[routes.s]\npath = 7\npool = "a"', 15, "s.path: 7 is not a string; write it in quotes"),
    ('[routes.s]\npool = "a"', 14, 'key "path" is missing; write it: a path'),
    ('[routes.s]\npath = "s"\npool = "a"', 15, 'does not begin with a slash; write "/s"'),
    ('[routes.s]\npath = "/a/*/b"\npool = "a"', 15, '"*" is allowed only alone at the end; write {name}'),
    ('[routes.s]\npath = "/{a}/{a}"\npool = "a"', 15, "has {a} twice; write another name"),
    ('[routes.s]\npath = "/x/../y"\npool = "a"', 15, "dot segment; write the resolved path"),
    ('[routes.s]\npath = "/x%2fy"\npool = "a"', 15, "an encoded slash"),
    ('[routes.s]\npath = "/s"\npool = "b"', 16, 'pool "b" is not in this file; known are a'),
    ('[routes.s]\npath = "/s"\nsplit = { a = 1, aa = 2 }', 16, 'pool "aa" is not in this file'),
    ('[routes.s]\npath = "/s"\nsplit = { a = 0 }', 16, "all weights are 0; give one pool a weight above 0"),
    ('[routes.s]\npath = "/s"\nsplit = { a = -1 }', 16, "-1 is out of range; the range is 0"),
    ('[routes.s]\npath = "/s"\npool = "a"\nfallback = ["a"]', 17, "can't be a fallback for itself; leave it out"),
    ('[routes.s]\npath = "/s"\npool = "a"\nclass = "boook"', 17, 'did you mean "book"?'),
    ('[routes.s]\npath = "/s"\npool = "a"\nreply = { status = 200 }', 14, "pool and reply are both given"),
    ('[routes.s]\npath = "/s"', 14, "no action is given; write exactly one of pool, split, reply and redirect"),
    ('[routes.s]\npath = "/s"\nreply = { status = 99 }', 16, "99 is out of range; the range is 200 to 599"),
    ('[routes.s]\npath = "/s"\nreply = { status = 200 }\nclass = "book"', 17, "can't be combined with reply"),
    ('[routes.s]\npath = "/s"\nredirect = { to = "//evil" }', 16, 'is not a valid target; begin with "/" or'),
    (
        '[routes.s]\npath = "/{x}"\nhosts = ["s"]\nredirect = { to = "https://s{x}/" }',
        17,
        "is not a valid target; begin with",
    ),
    ('[routes.s]\npath = "/s"\nredirect = { to = "/{x}" }', 16, "uses {x}, but the variables of the path are: none"),
    ('[routes.s]\npath = "/s"\nredirect = { to = "/t", status = 304 }', 16, "304 is not the status of a redirect"),
    ('[routes.s]\npath = "/s"\npool = "a"\nrewrite = "/t/*"', 17, "uses *, but the path does not end in"),
    ('[routes.s]\npath = "/s"\npool = "a"\nmethods = ["get"]', 17, '"get" is not supported; did you mean "GET"?'),
    ('[routes.s]\npath = "/s"\npool = "a"\nmethods = "GET"', 17, '"GET" is not a list; write ["GET"]'),
    ('[routes.s]\npath = "/s"\npool = "a"\nhosts = ["A.example"]', 17, 'write "a.example"'),
    ('[routes.s]\npath = "/s"\npool = "a"\nhosts = ["a:80"]', 17, 'compared without ports; write "a"'),
    ('[routes.s]\npath = "/s"\npool = "a"\nhosts = ["a.*"]', 17, 'is not a host; write "a.example"'),
    (
        '[routes.s]\npath = "/s"\npool = "a"\nheaders = { x = 1 }',
        17,
        '1 is not a string; write it in quotes, as in "1"',
    ),
    ('[routes.s]\npath = "/s"\npool = "a"\nheaders = { x = { like = "1" } }', 17, "is not a condition; write"),
    ('[routes.s]\npath = "/s"\npool = "a"\nheaders = { x = { present = false } }', 17, "write { absent = true }"),
    ('[routes.s]\npath = "/s"\npool = "a"\nquery = { x = { prefix = "" } }', 17, "an empty prefix matches any value"),
    ('[routes.s]\npath = "/s"\npool = "a"\nkey = { path = "id" }', 17, 'the path has no variable "id"; it has none'),
    ('[routes.s]\npath = "/s"\npool = "a"\nkey = {}', 17, "write exactly one of header, path, query and value"),
    ('[routes.s]\npath = "/s"\npool = "a"\nrequest = { set = { Via = "x" } }', 17, '"Via" is set by the proxy'),
    ('[routes.s]\npath = "/s"\npool = "a"\nresponse = { set = { X = "\\n" } }', 17, "is not a header's value"),
    (
        '[routes.s]\npath = "/s"\npool = "a"\nfallbak = []',
        17,
        'key "fallbak" is unknown here; did you mean "fallback"?',
    ),
    ('[routes.s]\npath = "/r/{k}"\npool = "a"', 14, 'route "s" and route "r" match the same requests'),
    ('[fleet]\nmember = "m"', 14, 'a fleet needs a name; write name = "edge"'),
    ('[fleet]\nname = "f"\naddress = "127.0.0.1:7946"', 14, "this member needs a unique name"),
    ('[fleet]\nname = "f"\nmember = "m"', 14, 'no address for datagrams is given; write address = "127.0.0.1:7946"'),
    (
        '[fleet]\nname = "f"\nmember = "m"\naddress = "0.0.0.0:7946"',
        14,
        "write advertise, the address that they can reach",
    ),
    (
        '[fleet]\nname = "f"\nmember = "m"\naddress = "x.example:1"',
        17,
        "is not a numeric address; names are not resolved",
    ),
    (FLEET + '\nseeds = ["x.example:1"]', 18, "is not a numeric address; names are not resolved for datagrams"),
    (FLEET + '\nelectors = ["a", "b"]', 18, "there are 2 electors; write the names of 3 or 5 members"),
    (FLEET + '\nelectors = ["a", "b", "c d"]', 18, '"c d" is not a member\'s name'),
    (FLEET + '\nduties = ["d"]', 18, "duties need electors; write electors, the names of 3 or 5 members"),
    (FLEET + '\nelectors = ["a", "b", "c"]\nduties = ["d e"]', 19, '"d e" is not a duty\'s name'),
    ('[fleet]\nname = "f g"', 15, '"f g" is not a valid name; write up to 48 ASCII characters'),
    ("[classes.x]\naim = 410", 15, '410 has no unit; write a string such as "410ms"'),
    ('[classes.x]\naim = "410"', 15, '"410": it has no unit; write one of us, ms, s, m, h'),
    ('[classes.x]\naim = "410sec"', 15, 'unit "sec" is unknown'),
    ('[classes.x]\naim = "soon"', 15, '"soon" is not a quantity; write one such as'),
    ('[classes.x]\naim = "6s"', 15, "the aim of 6s is later than the deadline of 5s"),
    ('[classes.x]\nrepeat = "sometimes"', 15, '"sometimes" is none of safe, keyed, unsafe'),
    ('[classes.x]\nrepeat = "keyed"', 15, "a keyed class needs a window"),
    ('[classes.x]\nwindow = "5s"', 15, 'a window applies only to repeat = "keyed"'),
    ('[classes.x]\nworth = "2"', 15, '"2" is not a number; write one without quotes'),
    ("[limits]\nbody = 5", 15, '5 has no unit; write a string such as "64KiB"'),
    ("[limits]\nsockets = 5", 15, "5 is out of range; the range is 64"),
    ("[limits]\nsockets = true", 15, "true is not an integer"),
    ('[listeners.b]\naddress = "8080"', 15, 'write one such as "127.0.0.1:8080"'),
    (
        '[listeners.b]\naddress = "127.0.0.1:1"\n[listeners.c]\naddress = "127.0.0.1:1"',
        17,
        'listener "b" already has this',
    ),
    ("[pools.b]", 14, "no backends are given; write exactly one of members"),
    ('[pools.b]\nfile = "x"\nwatch = "127.0.0.1:1"', 14, "file and watch are both given"),
    ('[pools.b]\nmembers = [\n{ address = "h:1" },\n{ address = "h:1" },\n]', 17, 'member "h:1" is already defined'),
    ('[pools.b]\nmembers = [\n{ address = "h:1" },\n{ adress = "h:1" },\n]', 17, 'did you mean "address"?'),
    ("[pools.b]\nmembers = 3", 15, "3 is not a list; write tables in brackets"),
    ("[daemon]\ninstance = 1", 15, "1 is not less than instances = 1"),
    ("[deamon]", 14, 'key "deamon" is unknown here; did you mean "daemon"?'),
    ("routes = 3", 14, 'key "routes" is unknown here'),
    ('[pools.a]\nfile = "x"', 14, "this table is already defined above; remove one of the two"),
    ("[classes.x]\nworth = 1\nworth = 2", 16, "this key is already defined above; remove one of the two"),
    ("[classes.x\nworth = 1", 14, "Expected ']'"),
    ("[classes.x]\nworth 1", 15, "a key is followed by = and a value"),
    ("[classes.x]\naim = 410ms", 15, "strings are written in quotes"),
    ('[classes.x]\naim = "\\d"', 15, "write \\\\ for a backslash"),
    ("x = " + "[" * 5000 + "]" * 5000, 1, "brackets are nested too deeply"),
    ("[registries.z]\nensemble = []", 15, 'the list is empty; write at least one address, as in ["127.0.0.1:2181"]'),
    ('[registries.z]\nensemble = ["zk"]', 15, "is not an address of the form host:port; write one such as"),
    (
        '[registries.z]\nensemble = ["h:1"]\nauth = "rosa"',
        16,
        'user or password is missing; write both, as in "user:password"',
    ),
    ('[registries.z]\nensemble = ["h:1"]\nsession = "10ms"', 16, '"10ms" is out of range; the range is 0.5s to 600s'),
    ('[pools.b]\nregistry = { name = "z", path = "/a" }', 15, 'registry "z" is not in this file'),
    (
        '[registries.z]\nensemble = ["h:1"]\n[pools.b]\nregistry = { name = "z", path = "a" }',
        17,
        '"a" is not a path of a registry node; write one such as "/services/channel"',
    ),
    (
        '[registries.z]\nensemble = ["h:1"]\n[pools.b]\nregistry = { name = "z", path = "/a", format = "jsn" }',
        17,
        '"jsn" is none of auto, own, curator, serverset',
    ),
    (
        '[registries.z]\nensemble = ["h:1"]\n[pools.b]\nfile = "f"\nregistry = { name = "z", path = "/a" }',
        16,
        "file and registry are both given; write exactly one of",
    ),
    (
        '[listeners.b]\naddress = "0.0.0.0:1"\nregister = { registry = "z", path = "/a", name = "n" }\n[registries.z]\nensemble = ["h:1"]',
        16,
        'callers can\'t connect to 0.0.0.0; write address = "HOST:PORT"',
    ),
    (
        '[listeners.b]\naddress = "127.0.0.1:1"\nregister = { registry = "z", path = "/a", name = "n/m" }\n[registries.z]\nensemble = ["h:1"]',
        16,
        '"n/m" is not the name of a registry node; write one such as "channel-1"',
    ),
]


@pytest.mark.parametrize(("added", "line", "expected"), FAULTS, ids=[expected[:40] for _, _, expected in FAULTS])
def test_one_fault_has_one_message(tmp_path: Path, added: str, line: int, expected: str) -> None:
    found = faults(tmp_path, GOOD + added + "\n")
    assert expected in found[0] and found[0].startswith(f"{line}: ")
    assert len(found) == 1


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    text = GOOD.replace('"5s"', "5").replace('pool = "a"', 'pool = "b"').replace('address = "127.0.0.1:2"', "addr = 1")
    found = faults(tmp_path, text + "[limits]\nhead = 1\nbody = 2\n")
    assert [int(line.partition(":")[0]) for line in found] == [4, 8, 12, 15, 16]
    assert not any('"book" is not in this file' in line for line in found)  # it is in the file, although it has a fault


def test_a_file_without_a_listener_is_a_fault(tmp_path: Path) -> None:
    assert faults(tmp_path, "") == ['1: no listener is defined; write [listeners.NAME] with address = "127.0.0.1:8080"']


def test_a_file_that_is_missing_too_large_or_not_utf8(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_bytes(GOOD.encode() + b"# caf\xe9\n")
    with pytest.raises(ConfigFileError, match=r"f\.toml:14: byte 0xe9 is not valid UTF-8; save the file as UTF-8"):
        load(str(file))
    with pytest.raises(ConfigFileError, match="No such file"):
        load(str(tmp_path / "none"))
    with pytest.raises(ConfigFileError, match="Is a directory"):
        load(str(tmp_path))
    with open(file, "wb") as big:
        big.truncate(loading.MAX_FILE_BYTES + 1)
    with pytest.raises(ConfigFileError, match="more than 8 MiB"):
        load(str(file))


def test_a_file_that_changes_while_it_is_read_is_read_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "f.toml"
    file.write_text(GOOD[:50])
    original_fstat, writes_left = os.fstat, [3]

    def fstat(handle: int) -> os.stat_result:
        if writes_left[0]:
            writes_left[0] -= 1
            with open(file, "a") as more:  # another process is still writing the file
                more.write(GOOD[50:] if not writes_left[0] else "")
                os.utime(file, ns=(writes_left[0], writes_left[0]))
        return original_fstat(handle)

    monkeypatch.setattr(os, "fstat", fstat)
    assert loading.read_text(str(file)) == GOOD
    writes_left[0] = 10**6
    with pytest.raises(ConfigFileError, match="the file changes while it is read"):
        loading.read_text(str(file))


def test_ten_thousand_routes(tmp_path: Path) -> None:
    rows = "".join(
        f'[routes.n{n}]\npath = "/s{n}/{{id}}/*"\nhosts = ["h{n % 100}.example"]\nmethods = ["GET"]\npool = "a"\n'
        for n in range(10_000)
    )
    text = GOOD + rows
    assert len(text) > 800_000 and faults(tmp_path, text) == []
    last = text.count("\n") + 2
    assert faults(tmp_path, text + '[routes.last]\npath = "last"\npool = "a"\n')[0].startswith(f"{last}: ")


def test_lines_are_found_for_all_forms_of_toml() -> None:
    text = '''# a comment with [brackets] and = signs
a = 1
"b c".d = """
[not.a.table]
x = 1 \\" "" """
e = [ 1, [2,
  3], { f = 'x # y', g = { h = 1 } }, # ]
  "]",
]

[t . "u v"] # here
k = 1979-05-27 07:32:00
l = "it's"
[[t.w]]
m = 1
[[t.w]]
m.n = 2
[t.w.x]
o = 3
'''
    tomllib.loads(text)
    lines = LineNumbers(text)
    for path, line in {
        ("a",): 2,
        ("b c", "d"): 3,
        ("e",): 6,
        ("e", 1): 6,
        ("e", 1, 1): 7,
        ("e", 2, "g", "h"): 7,
        ("e", 3): 8,
        ("t", "u v"): 11,
        ("t", "u v", "k"): 12,
        ("t", "w", 0, "m"): 15,
        ("t", "w", 1): 16,
        ("t", "w", 1, "m", "n"): 17,
        ("t", "w", 1, "x", "o"): 19,
        ("t", "w", 1, "none"): 16,
        ("none",): 1,
    }.items():
        assert lines.line(path) == line, path


KEYS = st.text('ab-é" .#', min_size=1, max_size=3)
VALUES: st.SearchStrategy[Any] = st.recursive(
    st.one_of(st.integers(-9, 9), st.booleans(), st.text("a\"'\\#[]{}=,é", max_size=4)),
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(KEYS, inner, max_size=3)),
    max_leaves=6,
)


def to_toml(value: Any) -> str:
    """Return a value as TOML, on one line."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(map(to_toml, value)) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{to_toml(key)} = {to_toml(inner)}" for key, inner in value.items()) + "}"
    return str(value)


@given(st.dictionaries(KEYS, VALUES, max_size=5), st.lists(st.integers(0, 3), min_size=5, max_size=5))
def test_every_value_has_its_line_after_any_other_values(table: dict[str, Any], gaps: list[int]) -> None:
    text, lines = "", {}
    for (key, value), gap in zip(table.items(), gaps, strict=False):
        text += "# x = [1\n" * gap
        lines[key] = text.count("\n") + 1
        text += f"{to_toml(key)} = {to_toml(value)}\n"
    assert tomllib.loads(text) == table
    found = LineNumbers(text)
    for key, line in lines.items():
        for path in _paths(table[key], (key,)):
            assert found.line(path) == line


def _paths(value: Any, path: tuple[Any, ...]) -> list[tuple[Any, ...]]:
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [path, *(below for key, item in inner for below in _paths(item, (*path, key)))]


def test_the_reference_names_every_key_and_its_default() -> None:
    from lugspur.config.reference import reference

    text = (ROOT / "docs" / "configuration.md").read_text()
    assert reference() in text, "run python -m lugspur.config.reference docs/configuration.md"
    assert "| `deadline` | `5s` |" in text
