"""Responses to failed calls: their bodies are valid JSON, whatever the detail quotes."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from lugspur.interfaces import Request, Responder
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.http_api import HttpApi, reply


class Caller:
    """A caller that records the response."""

    peer = ""
    on_disconnect: Callable[[], None] | None = None
    answered: tuple[int, bytes, bytes] | None = None

    def admit(self) -> None:
        pass

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.answered = (status, head, body)

    def streaming_receiver(self) -> None:
        return None


@pytest.mark.parametrize("detail", ['a "name"', "a\\b", "line\nline", "\x00\x1f\x7f", "é \u2028 \U0001f3dd", "\ud800"])
def test_a_detail_of_any_characters_is_valid_json(detail: str) -> None:
    def reject(request: Request, caller: Responder, found: list[str]) -> None:
        raise MeshError(ErrorKind.BAD_CONFIG, detail)

    api, caller = HttpApi(), Caller()
    api.add("POST", "/config/amend", reject)
    api.handle(Request(b"POST", b"/config/amend", {}, [], b"", 0.0, True), caller)
    assert caller.answered is not None
    status, head, body = caller.answered
    assert status == 400 and b"application/json" in head
    found = json.loads(body)
    assert found == {"error": "bad-config", "detail": detail.encode("utf-8", "replace").decode()}


def test_calls_are_counted_by_handler_and_calls_without_a_handler_too() -> None:
    api = HttpApi()
    api.add("POST", "/backends/*/heartbeat", lambda request, caller, found: reply(caller))
    for path in (b"/backends/a/heartbeat", b"/backends/b/heartbeat", b"/locks/a/open"):
        caller = Caller()
        api.handle(Request(b"POST", path, {}, [], b"", 0.0, True), caller)
    assert api.calls == {"POST /backends/*/heartbeat": 2}
    assert api.unknown_calls == 1
    assert caller.answered is not None and caller.answered[0] == 404
