"""What operators and the platform write: keys, words and variables, frozen, whatever the code calls them.

The literals were written by the build of December 2026. A name of the code may change at any time; none of these may.
"""

from __future__ import annotations

import copy
import dataclasses
import importlib.util
import json
import re
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from lugspur.config.load import ConfigFileError, load
from lugspur.config.platform import ConfigError
from lugspur.config.platform import load as load_platform
from lugspur.config.reference import reference

ROOT = Path(__file__).parent.parent.parent

#: The tables of the daemon's file: each key with its default as the reference shows it.
REFERENCE: dict[str, dict[str, str]] = {
    "[daemon]": {
        "instances": "1",
        "instance": "0",
        "zone": "none",
    },
    "[limits]": {
        "sockets": "1024",
        "memory": "256MiB",
        "head": "16KiB",
        "body": "1MiB",
        "answer": "8MiB",
        "hold": "1048576",
        "read": "10s",
        "idle": "60s",
        "joined": "1000",
        "drain": "10",
    },
    "[guard]": {
        "on": "false",
        "memory": "0MiB",
    },
    "[management]": {
        "address": "none",
    },
    "[state]": {
        "folder": "none",
        "every": "5",
    },
    "[fleet]": {
        "name": "none",
        "member": "none",
        "address": "none",
        "advertise": "none",
        "seeds": "none",
        "key": "none",
        "period": "1",
        "electors": "none",
        "lease": "10",
        "folder": "none",
        "duties": "none",
        "history": "none",
    },
    "[listeners.NAME]": {
        "address": "must be there",
        "http2": "false",
        "streams": "100",
        "register": "none",
        "trust-forwarded": "false",
    },
    "[listeners.NAME], register": {
        "registry": "must be there",
        "path": "must be there",
        "name": "must be there",
        "address": "none",
        "zone": "none",
        "cell": "0",
        "weight": "1",
        "sequential": "false",
    },
    "[classes.NAME]": {
        "aim": "1s",
        "deadline": "5s",
        "worth": "1",
        "late-worth": "1",
        "repeat": "unsafe",
        "group": "cell",
        "window": "0s",
    },
    "[tenants.NAME]": {
        "quota": "0",
    },
    "[registries.NAME]": {
        "ensemble": "must be there",
        "session": "10",
        "auth": "none",
        "read-only": "false",
    },
    "[pools.NAME]": {
        "members": "none",
        "registry": "none",
        "file": "none",
        "watch": "none",
        "protocol": "http",
        "attempts": "3",
        "connect": "0.25s",
        "keep": "15s",
        "idle": "8",
        "share": "1",
        "check": "none",
        "cold": "as below",
        "retries": "as below",
    },
    "[pools.NAME], members": {
        "address": "must be there",
        "name": "none",
        "weight": "1",
        "protocol": "none",
        "zone": "none",
        "cell": "0",
        "drain": "false",
    },
    "[pools.NAME], registry": {
        "name": "must be there",
        "path": "must be there",
        "format": "auto",
        "stale-after": "30",
    },
    "[pools.NAME], check": {
        "path": "none",
        "every": "1",
        "within": "0.5s",
    },
    "[pools.NAME], cold": {
        "part": "0.3",
        "warm-after": "0s",
        "multiple": "3",
        "over": "3s",
    },
    "[pools.NAME], retries": {
        "free": "5",
        "part": "0.2",
        "span": "10s",
    },
    "[routes.NAME]": {
        "path": "must be there",
        "hosts": '["*"]',
        "methods": "none",
        "headers": "none",
        "query": "none",
        "priority": "0",
        "pool": "none",
        "split": "none",
        "reply": "none",
        "redirect": "none",
        "fallback": "none",
        "class": "none",
        "deadline": "none",
        "tenant": "none",
        "key": "none",
        "rewrite": "none",
        "request": "as below",
        "response": "as below",
        "join": "none",
    },
    "[routes.NAME], reply": {
        "status": "must be there",
        "body": "none",
        "headers": "none",
    },
    "[routes.NAME], redirect": {
        "to": "must be there",
        "status": "307",
    },
    "[routes.NAME], tenant": {
        "header": "none",
        "path": "none",
        "query": "none",
        "value": "none",
    },
    "[routes.NAME], key": {
        "header": "none",
        "path": "none",
        "query": "none",
        "value": "none",
    },
    "[routes.NAME], request": {
        "set": "none",
        "remove": "none",
    },
    "[routes.NAME], response": {
        "set": "none",
        "remove": "none",
    },
    "[routes.NAME], join": {
        "within": "0.1s",
        "ignore": "none",
        "across-tenants": "false",
    },
}

#: The words that a key takes, with what else its table needs.
WORDS = {
    "classes.c.repeat": ("safe", "keyed", "unsafe"),
    "classes.c.group": ("all", "zone", "cell"),
    "pools.p.protocol": ("http", "grpc"),
    "pools.q.registry.format": ("auto", "own", "curator", "serverset"),
}

FILE = """
[listeners.main]
address = "127.0.0.1:0"
[classes.c]
aim = "1s"
[registries.z]
ensemble = ["127.0.0.1:2181"]
[pools.p]
members = [{ address = "127.0.0.1:1" }]
[pools.q]
registry = { name = "z", path = "/q" }
[routes.r]
path = "/*"
pool = "p"
class = "c"
"""

#: A platform's file in which each value differs from its default.
PLATFORM: dict[str, Any] = {
    "name": "n7",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.1:8501",
    "management": "127.0.0.1:8181",
    "seed": "1f",
    "limits": {"sockets": 333, "memory_mb": 77},
    "known": {"index": 5, "endpoints": []},
    "settings": {
        "Instances": 3,
        "Ordinal": 1,
        "Tier": 1,
        "Tiers": ["one", "two"],
        "Zone": 1,
        "Zones": ["here", "there"],
        "HostTypes": ["k0", "k1"],
        "RegistryMode": "on_request",
        "OverShareWorth": 0.25,
        "FamilyInfo": {"PassesDeadline": False},
        "ClientHabits": {"MarksRetry": True},
        "Services": [
            {
                "Name": "read",
                "Aim": 0.5,
                "HardLimit": 1.5,
                "Repeat": "retryable",
                "Group": "zone",
                "Window": 2.5,
                "Credit": 3.5,
                "LateWorth": 0.75,
                "Streaming": True,
                "BoundTo": [1],
                "AllowedIn": [0],
            }
        ],
        "Orgs": [{"Name": "acme", "Share": 0.125, "AllowancePerS": 4.5}],
        "Bounds": {"Cancel": True, "SecondCopies": True, "MaxAttempts": 9, "ConnIdle": 5.5, "DialTimeout": 6.5},
        "Rules": {
            "DrainGrace": 7.5,
            "GraceToAnswer": 8.5,
            "AskEvery": 9.5,
            "ColdFrom": 0.625,
            "Cold": 10.5,
            "FallMultiple": 11.5,
            "TipAfter": 12.5,
            "ExtraFree": 13.5,
            "ExtraPerRequest": 14.5,
            "RatioSpan": 15.5,
        },
    },
}

#: Words of the platform that mean something, by the key that takes them.
PLATFORM_WORDS = {
    ("Services", 0, "Repeat"): ("retryable", "dedup", "fragile"),
    ("Services", 0, "Group"): ("all", "zone", "cell"),
    ("RegistryMode",): ("pushed", "on_request"),
}

#: Keys that a platform's later file may lack.
MAY_GO = ("AimStretch", "AllowedIn", "BoundTo", "CpuUsPerRequest", "Fleet", "PassesDeadline", "WarmKeys")

VARIABLES = {
    "RELAY_NAME": "other",
    "RELAY_LISTEN": "127.0.0.9:1",
    "RELAY_DISCOVERY": "127.0.0.9:2",
    "RELAY_MANAGEMENT": "127.0.0.9:3",
}

BALANCER = ("build", "run", "sim", "policy", "node", "packages")


# ---- the daemon's file ---------------------------------------------------------------------------


def tables() -> dict[str, dict[str, str]]:
    """The tables of the reference: each key and its default."""
    found: dict[str, dict[str, str]] = {}
    for line in reference().splitlines():
        if line.startswith("### "):
            rows = found[line[4:].replace("`", "")] = {}
        elif line.startswith("| `"):
            key, default, _ = line.strip("| ").split(" | ", 2)
            rows[key.strip("`")] = default.strip("`")
    return found


def test_all_tables_keys_and_defaults_of_the_daemons_file_are_as_they_were() -> None:
    assert tables() == REFERENCE


def test_the_page_has_the_reference() -> None:
    assert reference() in (ROOT / "docs" / "configuration.md").read_text()


def changed(text: str, path: str, value: str) -> str:
    """The file with one key more."""
    *table, key = path.split(".")
    if table[0] == "pools" and len(table) == 3:
        return text.replace('path = "/q" }', f'path = "/q", {key} = "{value}" }}')
    more = 'window = "30s"\n' if value == "keyed" else ""  # which needs one, and no other may have one
    return text.replace(f"[{'.'.join(table)}]\n", f'[{".".join(table)}]\n{key} = "{value}"\n{more}')


@pytest.mark.parametrize(("path", "word"), [(path, word) for path, words in WORDS.items() for word in words])
def test_each_word_of_the_daemons_file_is_taken_and_no_other(path: str, word: str, tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    text = changed(FILE, path, word)
    assert text != FILE
    file.write_text(text)
    load(str(file))
    file.write_text(changed(FILE, path, f"{word}-x"))
    with pytest.raises(ConfigFileError) as told:
        load(str(file))
    assert len(told.value.lines) == 1 and path in told.value.lines[0] and word in told.value.lines[0]


# ---- the platform --------------------------------------------------------------------------------


def read(folder: Path, raw: dict[str, Any], **variables: str) -> tuple[Any, ...]:
    """What a platform's file comes to, as plain values."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    config = load_platform({"RELAY_CONFIG": str(path), **variables})
    config = dataclasses.replace(config, wire={})  # as it came
    return dataclasses.astuple(config)


def paths(raw: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The paths of all keys."""
    if isinstance(raw, dict):
        return [path for key, value in raw.items() for path in ((*at, key), *paths(value, (*at, key)))]
    if isinstance(raw, list):
        return [path for place, value in enumerate(raw) for path in paths(value, (*at, place))]
    return []


def put(path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    """The platform's file with another value at a place; None: without that key."""
    raw = copy.deepcopy(PLATFORM)
    inner: Any = raw
    for key in path[:-1]:
        inner = inner[key]
    if value is None:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return raw


@pytest.mark.parametrize("path", paths(PLATFORM), ids=lambda path: ".".join(map(str, path)))
def test_each_key_of_the_platforms_file_is_read(path: tuple[Any, ...], tmp_path: Path) -> None:
    whole = read(tmp_path, PLATFORM)
    with suppress(ConfigError):  # what must be there is missed, which proves that it is read as well
        assert read(tmp_path, put(path, None)) != whole


def test_values_of_the_platforms_file_arrive(tmp_path: Path) -> None:
    found = repr(read(tmp_path, PLATFORM))
    for value in ("n7", "127.0.0.1', 8081", "127.0.0.1', 8501", "127.0.0.1', 8181", "333", str(77 << 20), "acme"):
        assert value in found
    for at in range(16):
        assert f"{at}.5" in found
    assert "(127" not in found and ", 31, " in found  # the seed is hexadecimal


@pytest.mark.parametrize(("path", "words"), PLATFORM_WORDS.items(), ids=[str(path[-1]) for path in PLATFORM_WORDS])
def test_each_word_of_the_platforms_file_means_something_else(
    path: tuple[Any, ...], words: tuple[str, ...], tmp_path: Path
) -> None:
    found = [read(tmp_path, put(("settings", *path), word)) for word in words]
    assert all(found.count(one) == 1 for one in found)


@pytest.mark.parametrize("variable", VARIABLES)
def test_each_variable_of_the_platform_goes_before_its_key(variable: str, tmp_path: Path) -> None:
    whole, value = read(tmp_path, PLATFORM), VARIABLES[variable]
    found = read(tmp_path, PLATFORM, **{variable: value})
    differs = [one for one, other in zip(found, whole, strict=True) if one != other]
    host, _, port = value.partition(":")
    assert differs == [(host, int(port)) if port else value]


def test_the_platforms_file_is_named_by_its_variable() -> None:
    with pytest.raises(ConfigError, match=r"^RELAY_CONFIG is not set$"):
        load_platform({})


@pytest.mark.parametrize("key", ["DrainGrace", *MAY_GO])
def test_which_keys_a_later_file_of_the_platform_may_lack(key: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(PLATFORM))
    former = copy.deepcopy(PLATFORM)
    former["settings"]["Rules"][key] = 1.0
    path.write_text(json.dumps(put(("settings", "Rules", "DrainGrace"), None) if key == "DrainGrace" else PLATFORM))
    if key in MAY_GO:
        load_platform({"RELAY_CONFIG": str(path)}, former)
    else:
        with pytest.raises(ConfigError, match=r"settings\.Rules\.DrainGrace is missing"):
            load_platform({"RELAY_CONFIG": str(path)}, former)


# ---- the deployment ------------------------------------------------------------------------------


def test_the_balancers_deployment_has_its_keys_and_names_what_is_there() -> None:
    found = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert tuple(found) == BALANCER
    assert found["packages"] == [] and found["policy"] and all((ROOT / path).is_file() for path in found["policy"])
    assert found["node"] and all((ROOT / path).is_dir() for path in found["node"])
    for command in (found["run"], found["sim"]):
        module = re.fullmatch(r"exec \.venv/bin/python -m ([\w.]+)", command)
        assert module is not None and importlib.util.find_spec(module[1]) is not None
    compiled = re.search(r"compileall -q ([\w ./]+)$", found["build"])
    assert compiled is not None and all((ROOT / folder).is_dir() for folder in compiled[1].split())
    assert all((ROOT / name).is_file() for name in re.findall(r"requirements[\w-]*\.txt", found["build"]))
