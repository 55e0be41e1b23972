"""Health checks of a backend, and the health that follows from a sequence of results."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from urllib.parse import urlsplit

UNHEALTHY_THRESHOLD = 3  # consecutive failed checks after which a backend counts as unhealthy
MAX_RESPONSE_BYTES = 4096  # bytes of a response that are buffered; the status line comes first


class CheckResult(Enum):
    """How one health check ended."""

    HEALTHY = auto()
    UNHEALTHY = auto()  # no response or an error: the process may still be the same
    REFUSED = auto()  # the connection was refused: the process has ended


class BackendHealth:
    """Whether a backend is healthy, and when its process started. No I/O."""

    def __init__(self) -> None:
        self.is_healthy = False
        self.started_ms = 0  # when the process was first found healthy, in milliseconds since 1970; 0: not known
        self._failures = 0  # consecutive failed checks

    def record(self, result: CheckResult, now_ms: int) -> None:
        """Record the result of a check that ended at `now_ms`, in milliseconds since 1970.

        The slow start depends on the start time: a backend that only failed some checks is as warm as before, but a
        backend that refused a connection is a new process when it is healthy again.
        """
        if result is CheckResult.HEALTHY:
            self._failures = 0
            self.is_healthy = True
            self.started_ms = self.started_ms or now_ms
            return
        self._failures += 1
        if result is CheckResult.REFUSED:
            self.started_ms = 0
        if result is CheckResult.REFUSED or self._failures >= UNHEALTHY_THRESHOLD:
            self.is_healthy = False


async def check_health(url: str, timeout_seconds: float) -> CheckResult:
    """Check a backend once.

    `http://host:port/path` has to respond to a GET with a status below 400; `tcp://host:port` has to accept a
    connection.
    """
    parts = urlsplit(url)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(parts.hostname, parts.port, limit=MAX_RESPONSE_BYTES)
            if parts.scheme == "tcp":
                return CheckResult.HEALTHY
            target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {parts.netloc}\r\nConnection: close\r\n\r\n".encode())
            is_healthy = _is_success(await reader.readline())
            return CheckResult.HEALTHY if is_healthy else CheckResult.UNHEALTHY
    except ConnectionRefusedError:
        return CheckResult.REFUSED
    except (OSError, ValueError):
        return CheckResult.UNHEALTHY
    finally:
        if writer is not None:
            writer.transport.abort()


def _is_success(status_line: bytes) -> bool:
    words = status_line.split()
    return len(words) > 1 and words[0].startswith(b"HTTP/1.") and words[1] < b"400"
