"""The standard health service on gRPC listeners: the listener under the name "", each pool under its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.http1.front import Front
from lugspur.http1.intake import Rejected, Request
from lugspur.seams import Answerable

PATHS = (b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch")
LOOK_EVERY = 0.2  # seconds between looks for whoever watches: a drain is to be known well within 500 ms
Serves = Callable[[str], bool | None]  # None: nobody has that name


def asked(request: Request) -> bool:
    """Whether a request is for this service."""
    return request.form is not None and request.target in PATHS


def answer(request: Request, caller: Answerable, front: Front, serves: Serves) -> None:
    """Answer a Check, or take up a Watch; raises Rejected."""
    from lugspur.grpc.health import read_service
    from lugspur.grpc.messages import Spoilt, unpack

    try:
        [(compressed, message)] = unpack(request.body)
        service = read_service(message)
    except (Spoilt, ValueError) as fault:
        raise Rejected(400, f"no HealthCheckRequest: {fault}") from fault
    if compressed:
        raise Rejected(501, "compressed messages are not read here")
    caller.admit()
    if request.target == PATHS[0]:
        _check(request, serves(service))
    else:
        _Watch(request, caller, front, lambda: serves(service)).look()


def _check(request: Request, serves: bool | None) -> None:
    from lugspur.grpc.health import Serving, write_serving
    from lugspur.grpc.messages import pack

    if serves is None:
        raise Rejected(404, "unknown service")
    assert request.form is not None
    body = pack(write_serving(Serving.SERVING if serves else Serving.NOT_SERVING))
    request.form.finish(b"", body, b"grpc-status: 0\r\n")


class _Watch:
    """One caller that is told of each change, until it leaves, its time is up, or the listener closes."""

    def __init__(self, request: Request, caller: Answerable, front: Front, serves: Callable[[], bool | None]) -> None:
        from lugspur.http2.pipe import Pipe, nothing

        assert request.form is not None
        self._caller, self._front, self._serves = caller, front, serves
        self._loop = asyncio.get_running_loop()
        self._until = request.arrived + float(request.headers.get(b"x-timeout", b"inf"))
        self._told: int | None = None
        self._pipe = Pipe(nothing)
        self._timer: asyncio.TimerHandle | None = None
        caller.gone = self._stop
        request.form.begin_answer(b"", self._pipe)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def look(self) -> None:
        """Tell what has changed."""
        from lugspur.grpc.health import Serving, write_serving
        from lugspur.grpc.messages import pack

        serves = self._serves()
        state = Serving.SERVICE_UNKNOWN if serves is None else Serving.SERVING if serves else Serving.NOT_SERVING
        if state != self._told:
            self._told = state
            self._pipe.put(pack(write_serving(state)))
        if self._front.closing:
            self._caller.answer(503, b"", b"the proxy leaves\n")
        elif self._loop.time() >= self._until:
            self._caller.answer(504, b"", b"the time is up\n")
        else:
            self._timer = self._loop.call_later(LOOK_EVERY, self.look)
