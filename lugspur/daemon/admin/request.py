"""What a call to the second address means, without I/O: bytes in, at most one answer out."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

import httptools

MAX_HEAD_BYTES = 8 << 10  # bytes of a call's head: what HTTP clients send unasked is far under it
MAX_BODY_BYTES = 256  # bytes of a call's body: an id is a name of at most 64 or so
MAX_BODY_EXPANSION = 8  # times that a body may take on the wire: chunks of one byte take six
Action = Callable[[str], tuple[int, str]]  # a call by its body: status and one line


class AdminRequest:
    """One call on its way in; `answer` is there once it is whole, or at fault."""

    def __init__(self, actions: Mapping[tuple[str, str], Action]) -> None:
        self._actions = actions
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._wire = 0
        self._headed = False
        self.answer: bytes | None = None

    def feed(self, data: bytes) -> None:
        """More of it has come; what follows the first call on a connection is not read."""
        if self.answer is not None:
            return
        self._wire += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reply(400, "the call is malformed")
        if self._wire > MAX_HEAD_BYTES + MAX_BODY_EXPANSION * MAX_BODY_BYTES and self.answer is None:
            self._reply(413 if self._headed else 431, "the call is too large")

    def close(self) -> None:
        """Let go of the parser: it and this object hold each other."""
        del self._parser

    # ---- the parser's calls ----------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        self._headed = True

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._reply(413, "the body is too large")

    def on_message_complete(self) -> None:
        if self.answer is None:
            self._decide(self._parser.get_method().decode("latin-1"), self._target.partition(b"?")[0].decode("latin-1"))

    # ---- the answer ----------------------------------------------------------------------------

    def _decide(self, method: str, path: str) -> None:
        action = self._actions.get((method, path))
        if action is not None:
            try:
                body = self._body.decode().strip()
            except UnicodeDecodeError:
                self._reply(400, "the body is not text")
                return
            self._reply(*action(body))
            return
        allowed = sorted(known for known, place in self._actions if place == path)
        if allowed:
            self._reply(405, "no such method here", f"Allow: {', '.join(allowed)}\r\n")
        else:
            self._reply(404, "no such call")

    def _reply(self, status: int, line: str, head: str = "") -> None:
        if self.answer is None:
            self.answer = (
                f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: text/plain\r\n{head}"
                f"Content-Length: {len(line.encode()) + 1}\r\nConnection: close\r\n\r\n{line}\n"
            ).encode()
