"""The standard health service on gRPC listeners: the listener has the name "", and each pool its own name.

Imported only if a listener accepts HTTP/2.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.grpc.health import ServingStatus, decode_service, encode_serving_status
from lugspur.grpc.messages import InvalidMessageError, pack, unpack
from lugspur.http1.front import Front
from lugspur.http1.request_parser import RejectionError
from lugspur.interfaces import GrpcForm, Request, Responder
from lugspur.pipe import Pipe, ignore_credit

CHECK, WATCH = b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch"
WATCH_INTERVAL_SECONDS = 0.2  # between checks of a watched service: a drain has to be reported well within 500 ms
Serves = Callable[[str], bool | None]  # returns None for an unknown name


def handle_health_request(request: Request, caller: Responder, front: Front, serves: Serves) -> bool:
    """Respond to a Check or start a Watch; return False for any other request. Raises RejectionError."""
    if request.grpc_form is None or request.target not in (CHECK, WATCH):
        return False
    try:
        [(compressed, message)] = unpack(request.body)
        service = decode_service(message)
    except (InvalidMessageError, ValueError) as error:
        raise RejectionError(400, f"no HealthCheckRequest: {error}") from error
    if compressed:
        raise RejectionError(501, "compressed messages are not read here")
    caller.admit()
    if request.target == CHECK:
        _respond_to_check(request.grpc_form, serves(service))
    else:
        _Watch(request, request.grpc_form, caller, front, lambda: serves(service)).check()
    return True


def _respond_to_check(form: GrpcForm, serves: bool | None) -> None:
    if serves is None:
        raise RejectionError(404, "unknown service")
    form.finish(
        b"",
        pack(encode_serving_status(ServingStatus.SERVING if serves else ServingStatus.NOT_SERVING)),
        b"grpc-status: 0\r\n",
    )


class _Watch:
    """A Watch: reports each change until the caller disconnects, its deadline passes, or the listener closes."""

    def __init__(
        self, request: Request, form: GrpcForm, caller: Responder, front: Front, serves: Callable[[], bool | None]
    ) -> None:
        self._caller, self._front, self._serves = caller, front, serves
        self._loop = asyncio.get_running_loop()
        self._deadline = request.arrived + float(request.headers.get(b"x-timeout", b"inf"))
        self._reported_status: ServingStatus | None = None
        self._pipe = Pipe(ignore_credit)
        self._timer: asyncio.TimerHandle | None = None
        caller.on_disconnect = self._stop
        form.begin_messages(b"", self._pipe)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """Report a change of the status, and schedule the next check."""
        serves = self._serves()
        status = (
            ServingStatus.SERVICE_UNKNOWN
            if serves is None
            else ServingStatus.SERVING
            if serves
            else ServingStatus.NOT_SERVING
        )
        if status is not self._reported_status:
            self._reported_status = status
            self._pipe.put(pack(encode_serving_status(status)))
        if self._front.closing:
            self._caller.respond(503, b"", b"the proxy leaves\n")
        elif self._loop.time() >= self._deadline:
            self._caller.respond(504, b"", b"the time is up\n")
        else:
            self._timer = self._loop.call_later(WATCH_INTERVAL_SECONDS, self.check)
