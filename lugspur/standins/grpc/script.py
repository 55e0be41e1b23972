"""What is to go wrong with a call: `x-script: sleep 200ms, reset answer 2` and the like."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

POINTS = ("head", "message", "answer", "body", "trailers")  # ...of the request, of the request, of the answer
STEPS = {
    "refuse": "RST_STREAM with REFUSED_STREAM; it does not run",
    "above": "GOAWAY with the last id below this stream's; it does not run",
    "unseen": "UNAVAILABLE with x-not-processed: 1; it does not run",
    "goaway": "GOAWAY with this stream's id as the last, and the answer after it",
    "reset POINT [CODE]": f"RST_STREAM at one of {', '.join(POINTS)}; by default with INTERNAL_ERROR",
    "cut POINT": "the connection is closed there",
    "stall POINT": "nothing more comes from there on",
    "sleep TIME": "so long before the answer, as in 200ms",
    "status CODE": "the status to end with",
    "messages COUNT": "so many messages in the answer, of the first one of the request",
    "size BYTES": "so many bytes in each message of the answer",
    "spoil FRAME": "one of flag (no message), frame (no frame), early (trailers before a message ends), nothing",
}


class Wrong(ValueError):
    """A script that can't be read; its text says what to write."""


@dataclass(slots=True)
class Script:
    """One call's script."""

    never_runs: str = ""  # refuse, above or unseen
    goaway: bool = False
    reset: str = ""
    code: int = 2
    cut: str = ""
    stall: str = ""
    sleep: float = 0.0
    status: int = 0
    messages: int | None = None
    size: int | None = None
    spoil: str = ""

    def at(self, point: str) -> str:
        """What is to happen there: reset, cut, stall or nothing."""
        return next((what for what in ("reset", "cut", "stall") if getattr(self, what) == point), "")


def read(text: str) -> Script:
    """A script; raises Wrong."""
    script = Script()
    for step in filter(None, (part.strip() for part in text.split(","))):
        name, *given = step.split()
        reader = READERS.get(name)
        try:
            if reader is None:
                raise Wrong
            reader(script, given)
        except (Wrong, ValueError, IndexError) as fault:
            known = "; ".join(f"{key}: {meaning}" for key, meaning in STEPS.items())
            raise Wrong(f"{step!r} is no step; write one of {known}") from fault
    return script


def _never(kind: str) -> Callable[[Script, list[str]], None]:
    def take(script: Script, given: list[str]) -> None:
        if given:
            raise Wrong
        script.never_runs = kind

    return take


def _point(kind: str) -> Callable[[Script, list[str]], None]:
    def take(script: Script, given: list[str]) -> None:
        if given[0] not in POINTS:
            raise Wrong
        setattr(script, kind, given[0])
        script.code = int(given[1]) if kind == "reset" and len(given) > 1 else script.code

    return take


def _number(field: str) -> Callable[[Script, list[str]], None]:
    def take(script: Script, given: list[str]) -> None:
        setattr(script, field, int(given[0]))

    return take


def _goaway(script: Script, _: list[str]) -> None:
    script.goaway = True


def _sleep(script: Script, given: list[str]) -> None:
    found = re.fullmatch(r"(\d+)(ms|s)", given[0])
    if found is None:
        raise Wrong
    script.sleep = int(found[1]) / (1000.0 if found[2] == "ms" else 1.0)


def _spoil(script: Script, given: list[str]) -> None:
    if given[0] not in ("flag", "frame", "early", "nothing"):
        raise Wrong
    script.spoil = given[0]


READERS: dict[str, Callable[[Script, list[str]], None]] = {
    "refuse": _never("refuse"),
    "above": _never("above"),
    "unseen": _never("unseen"),
    "goaway": _goaway,
    "reset": _point("reset"),
    "cut": _point("cut"),
    "stall": _point("stall"),
    "sleep": _sleep,
    "status": _number("status"),
    "messages": _number("messages"),
    "size": _number("size"),
    "spoil": _spoil,
}
