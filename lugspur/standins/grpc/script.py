"""Scripts that define the faults of one call, such as `x-script: sleep 200ms, reset answer 2`."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

# Points of a call at which a fault can happen: after the head and after the first message of the request; before the
# response, inside its first message, and before its trailers.
POINTS = ("head", "message", "answer", "body", "trailers")
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


class ScriptError(ValueError):
    """A script is invalid; the message lists the valid steps."""


@dataclass(slots=True)
class Script:
    """The faults of one call."""

    rejection: str = ""  # refuse, above or unseen: how the call is rejected before it runs; "" runs it
    goaway: bool = False  # send GOAWAY with this call's stream as the last one
    reset: str = ""  # the point at which the stream is reset
    code: int = 2  # the HTTP/2 error code of the reset
    cut: str = ""  # the point at which the connection is closed
    stall: str = ""  # the point from which on nothing more is sent
    sleep: float = 0.0  # seconds before the response
    status: int = 0  # the grpc-status of the response
    messages: int | None = None  # messages in the response; None: as many as in the request, or one if `size` is set
    size: int | None = None  # bytes of each message of the response; None: echo the request
    spoil: str = ""  # flag, frame, early or nothing: which part of the response is malformed or missing

    def at(self, point: str) -> str:
        """Return the fault at this point: reset, cut, stall, or "" for none."""
        return next((what for what in ("reset", "cut", "stall") if getattr(self, what) == point), "")


def parse_script(text: str) -> Script:
    """Parse a script; raises ScriptError."""
    script = Script()
    for step in filter(None, (part.strip() for part in text.split(","))):
        name, *arguments = step.split()
        parser = STEP_PARSERS.get(name)
        try:
            if parser is None:
                raise ScriptError
            parser(script, arguments)
        except (ScriptError, ValueError, IndexError) as error:
            known = "; ".join(f"{key}: {meaning}" for key, meaning in STEPS.items())
            raise ScriptError(f"{step!r} is no step; write one of {known}") from error
    return script


def _parse_rejection(kind: str) -> Callable[[Script, list[str]], None]:
    def parse(script: Script, arguments: list[str]) -> None:
        if arguments:
            raise ScriptError
        script.rejection = kind

    return parse


def _parse_point(kind: str) -> Callable[[Script, list[str]], None]:
    def parse(script: Script, arguments: list[str]) -> None:
        if arguments[0] not in POINTS:
            raise ScriptError
        setattr(script, kind, arguments[0])
        script.code = int(arguments[1]) if kind == "reset" and len(arguments) > 1 else script.code

    return parse


def _parse_number(field: str) -> Callable[[Script, list[str]], None]:
    def parse(script: Script, arguments: list[str]) -> None:
        setattr(script, field, int(arguments[0]))

    return parse


def _parse_goaway(script: Script, _: list[str]) -> None:
    script.goaway = True


def _parse_sleep(script: Script, arguments: list[str]) -> None:
    match = re.fullmatch(r"(\d+)(ms|s)", arguments[0])
    if match is None:
        raise ScriptError
    script.sleep = int(match[1]) / (1000.0 if match[2] == "ms" else 1.0)


def _parse_spoil(script: Script, arguments: list[str]) -> None:
    if arguments[0] not in ("flag", "frame", "early", "nothing"):
        raise ScriptError
    script.spoil = arguments[0]


STEP_PARSERS: dict[str, Callable[[Script, list[str]], None]] = {
    "refuse": _parse_rejection("refuse"),
    "above": _parse_rejection("above"),
    "unseen": _parse_rejection("unseen"),
    "goaway": _parse_goaway,
    "reset": _parse_point("reset"),
    "cut": _parse_point("cut"),
    "stall": _parse_point("stall"),
    "sleep": _parse_sleep,
    "status": _parse_number("status"),
    "messages": _parse_number("messages"),
    "size": _parse_number("size"),
    "spoil": _parse_spoil,
}
