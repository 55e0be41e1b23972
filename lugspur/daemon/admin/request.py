"""Parses one admin request and builds the response, without I/O: bytes go in, and at most one response comes out."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

import httptools

from lugspur.daemon.admin.action import Action

#: The limit of the request line and headers; the default headers of HTTP clients are far smaller.
MAX_HEAD_BYTES = 8 << 10
#: The limit of a body; the name of a backend has about 64 characters at most.
MAX_BODY_BYTES = 256
#: The factor by which a body may be larger on the wire: chunks of one byte take six.
MAX_BODY_EXPANSION = 8


class AdminRequest:
    """One request; `response` is set once it is complete or known to be invalid."""

    def __init__(self, actions: Mapping[tuple[str, str], Action]) -> None:
        """`actions` are by method and path."""
        self._actions = actions
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._received_bytes = 0
        self._has_head = False
        self.response: bytes | None = None

    def feed(self, data: bytes) -> None:
        """Parse more of the request; data after the first request of a connection is ignored."""
        if self.response is not None:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reply(HTTPStatus.BAD_REQUEST, "the call is malformed")
        if self._received_bytes > MAX_HEAD_BYTES + MAX_BODY_EXPANSION * MAX_BODY_BYTES and self.response is None:
            too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if self._has_head:
                too_large = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self._reply(too_large, "the call is too large")

    def close(self) -> None:
        """Drop the parser, since it and this object refer to each other."""
        del self._parser

    # ---- called by the parser ------------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        self._has_head = True

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        if self.response is None:
            path, _, _ = self._target.partition(b"?")
            self._dispatch(self._parser.get_method().decode("latin-1"), path.decode("latin-1"))

    # ---- the response --------------------------------------------------------------------------

    def _dispatch(self, method: str, path: str) -> None:
        """Run the action of a complete request."""
        action = self._actions.get((method, path))
        if action is None:
            self._reply_without_action(path)
            return
        try:
            body = self._body.decode().strip()
        except UnicodeDecodeError:
            self._reply(HTTPStatus.BAD_REQUEST, "the body is not text")
            return
        result = action(body)
        self._reply(result.status, result.text)

    def _reply_without_action(self, path: str) -> None:
        allowed = sorted(known_method for known_method, known_path in self._actions if known_path == path)
        if allowed:
            allow = f"Allow: {', '.join(allowed)}\r\n"
            self._reply(HTTPStatus.METHOD_NOT_ALLOWED, "no such method here", allow)
        else:
            self._reply(HTTPStatus.NOT_FOUND, "no such call")

    def _reply(self, status: int, text: str, extra_headers: str = "") -> None:
        """Set the response, unless there is one already."""
        if self.response is None:
            self.response = (
                f"HTTP/1.1 {int(status)} {HTTPStatus(status).phrase}\r\nContent-Type: text/plain\r\n{extra_headers}"
                f"Content-Length: {len(text.encode()) + 1}\r\nConnection: close\r\n\r\n{text}\n"
            ).encode()
