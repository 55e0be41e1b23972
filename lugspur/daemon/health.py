"""The standard health service on gRPC listeners: the listener under the name "", each pool under its own.

Imported where a listener takes HTTP/2.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.grpc.health import ServingStatus, decode_service, encode_serving_status
from lugspur.grpc.messages import InvalidMessageError, pack, unpack
from lugspur.http1.front import Front
from lugspur.http1.intake import Rejected
from lugspur.pipe import Pipe, nothing
from lugspur.seams import Answerable, Form, Request

CHECK, WATCH = b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch"
LOOK_EVERY = 0.2  # seconds between looks for whoever watches: a drain is to be known well within 500 ms
Serves = Callable[[str], bool | None]  # None: nobody has that name


def takes(request: Request, caller: Answerable, front: Front, serves: Serves) -> bool:
    """Answer a Check or take up a Watch; False for any other request. Raises Rejected."""
    if request.form is None or request.target not in (CHECK, WATCH):
        return False
    try:
        [(compressed, message)] = unpack(request.body)
        service = decode_service(message)
    except (InvalidMessageError, ValueError) as fault:
        raise Rejected(400, f"no HealthCheckRequest: {fault}") from fault
    if compressed:
        raise Rejected(501, "compressed messages are not read here")
    caller.admit()
    if request.target == CHECK:
        _check(request.form, serves(service))
    else:
        _Watch(request, request.form, caller, front, lambda: serves(service)).look()
    return True


def _check(form: Form, serves: bool | None) -> None:
    if serves is None:
        raise Rejected(404, "unknown service")
    form.finish(
        b"",
        pack(encode_serving_status(ServingStatus.SERVING if serves else ServingStatus.NOT_SERVING)),
        b"grpc-status: 0\r\n",
    )


class _Watch:
    """One caller that is told of each change, until it leaves, its time is up, or the listener closes."""

    def __init__(
        self, request: Request, form: Form, caller: Answerable, front: Front, serves: Callable[[], bool | None]
    ) -> None:
        self._caller, self._front, self._serves = caller, front, serves
        self._loop = asyncio.get_running_loop()
        self._until = request.arrived + float(request.headers.get(b"x-timeout", b"inf"))
        self._told: ServingStatus | None = None
        self._pipe = Pipe(nothing)
        self._timer: asyncio.TimerHandle | None = None
        caller.gone = self._stop
        form.begin_messages(b"", self._pipe)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def look(self) -> None:
        """Tell what has changed."""
        serves = self._serves()
        state = (
            ServingStatus.SERVICE_UNKNOWN
            if serves is None
            else ServingStatus.SERVING
            if serves
            else ServingStatus.NOT_SERVING
        )
        if state is not self._told:
            self._told = state
            self._pipe.put(pack(encode_serving_status(state)))
        if self._front.closing:
            self._caller.answer(503, b"", b"the proxy leaves\n")
        elif self._loop.time() >= self._until:
            self._caller.answer(504, b"", b"the time is up\n")
        else:
            self._timer = self._loop.call_later(LOOK_EVERY, self.look)
