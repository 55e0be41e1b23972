"""Flow control of large request bodies on the link of the receiving machine. No I/O.

The sender of a large body first announces its size, and then sends only as many bytes as it is granted, so that small
messages can overtake it. A body that would arrive too late is rejected before any of its bytes have crossed the link.
The number of granted bytes that have not arrived is bounded, which bounds the time for which responses and calls wait
behind them. No byte is granted before there is memory for the whole body: until then it waits at its sender.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Generic, NamedTuple, TypeVar, cast

from lugspur.http1.body_memory import (
    UNCOUNTED_BODY_BYTES,
    BodyBuffer,
    BodyMemory,
    BodyMemoryFullError,
    Direction,
    WaitingBody,
)
from lugspur.mesh.control.messages import ForwardRequest
from lugspur.mesh.dataplane.urgency import Urgency

CHUNK_BYTES = 8 << 10  # bytes per grant; takes 25 ms on the slowest known links
GRANT_AHEAD_SECONDS = 0.05  # link time that is granted ahead; exceeds the round trip of a grant and its bytes
MAX_UNCHUNKED_SECONDS = 0.03  # a body that takes less on the receiver's link is sent together with its request
MAX_UNCHUNKED_BYTES = 256 << 10  # a larger body is announced, as the receiver may have no memory for it
STALL_TIMEOUT_SECONDS = 0.3  # time without progress after which a sender no longer delays other bodies
USABLE_LINK_FRACTION = 0.9  # fraction of the link rate for granted bytes; the rest is for all other traffic
# Maximum time that a body may wait for its turn, as a fraction of its latency target minus its own transfer and service
# time.
MAX_WAIT_FRACTION = 0.5
MAX_WAIT_FRACTION_OF_RETRIES = 0.9  # the same for a request that was rejected before: another rejection would lose it

Source = TypeVar("Source")


class UploadKey(NamedTuple, Generic[Source]):
    """Identifies a body by its connection and the number of its request on that connection."""

    source: Source
    number: int


class Grant(NamedTuple, Generic[Source]):
    """A permission for the sender of a body to send its bytes up to an offset."""

    key: UploadKey[Source]
    up_to_offset: int


def is_chunked(size: int, link_rate: float) -> bool:
    """Whether a body of `size` bytes is sent in chunks to a machine with a link of `link_rate` bytes per second.

    A rate of 0 means unknown: the body is then sent together with its request.
    """
    return link_rate > 0.0 and size > max(CHUNK_BYTES, min(MAX_UNCHUNKED_BYTES, link_rate * MAX_UNCHUNKED_SECONDS))


@dataclass(slots=True)
class Upload:
    """One body that is being received."""

    request: ForwardRequest
    urgency: Urgency
    accepted_at: float
    deadline: float
    body: BodyBuffer | None = None  # None while there is no memory for it
    waiting: WaitingBody | None = None  # its place among those that wait for memory
    received_bytes: int = 0
    granted_bytes: int = 0
    progress_at: float = 0.0  # when bytes last arrived, or were granted while none were outstanding

    @property
    def missing_bytes(self) -> int:
        """The number of bytes that have not arrived, whether granted or not."""
        return self.request.body_bytes - self.received_bytes

    @property
    def outstanding_bytes(self) -> int:
        """The number of bytes that were granted and have not arrived."""
        return self.granted_bytes - self.received_bytes

    def is_stalled(self, now: float) -> bool:
        """Whether bytes are outstanding and none have arrived within the stall timeout."""
        return self.outstanding_bytes > 0 and now - self.progress_at >= STALL_TIMEOUT_SECONDS


class UploadScheduler(Generic[Source]):
    """Schedules all bodies that arrive in chunks; `Source` is the type of a connection."""

    def __init__(self, link_rate: float, memory: BodyMemory) -> None:
        """`link_rate`: bytes per second of this machine's link; if it is unknown (0), no body is accepted.

        `memory` admits the bodies.
        """
        self._rate = link_rate * USABLE_LINK_FRACTION
        self._memory = memory
        self.on_room: Callable[[], None] = _nothing  # called when a body that has waited may be granted bytes
        self._max_outstanding_bytes = max(2 * CHUNK_BYTES, int(link_rate * GRANT_AHEAD_SECONDS))
        self._uploads: dict[UploadKey[Source], Upload] = {}

    def __len__(self) -> int:
        """Return the number of bodies that are being received."""
        return len(self._uploads)

    def offer(
        self, now: float, key: UploadKey[Source], request: ForwardRequest, urgency: Urgency, service_time: float
    ) -> bool:
        """Accept a body, or return False if it never fits into the memory or its response would be too late.

        `service_time`: expected service time of the request in seconds, once its body is complete.
        """
        size = request.body_bytes
        if self._rate <= 0.0 or size <= 0 or key in self._uploads:
            return False
        if not self._arrives_in_time(request, urgency, service_time):
            return False
        upload = Upload(request, urgency, now, now + request.seconds_left, progress_at=now)
        try:
            upload.waiting = self._memory.admit(Direction.INCOMING, size, partial(self._admitted, upload))
        except BodyMemoryFullError:
            return False
        self._uploads[key] = upload
        return True

    def count_received(self, request: ForwardRequest) -> bool:
        """Count the body of a request that came without an announcement; return False if there is no memory for it."""
        if len(request.body) <= UNCOUNTED_BODY_BYTES:
            return True
        try:
            buffer = self._memory.admit_received(Direction.INCOMING, len(request.body))
        except BodyMemoryFullError:
            return False
        buffer[:] = request.body
        request.body = cast(bytes, buffer)
        return True

    def _admitted(self, upload: Upload, buffer: BodyBuffer) -> None:
        upload.body = buffer
        if upload.waiting is not None:
            upload.waiting = None
            self.on_room()

    def _arrives_in_time(self, request: ForwardRequest, urgency: Urgency, service_time: float) -> bool:
        """Whether a body would wait briefly enough for its response to be of use.

        Prevents a long queue in which every request is late: it would achieve no more throughput than a short one.
        """
        bytes_ahead = sum(upload.missing_bytes for upload in self._uploads.values() if upload.urgency <= urgency)
        if bytes_ahead == 0:
            return True
        wait = bytes_ahead / self._rate
        own_time = request.body_bytes / self._rate + service_time
        fraction = MAX_WAIT_FRACTION_OF_RETRIES if request.was_rejected else MAX_WAIT_FRACTION
        return wait <= fraction * (request.latency_target_left - own_time)

    def receive(self, now: float, key: UploadKey[Source], data: bytes) -> ForwardRequest | None:
        """Add received bytes to a body; return the request once its body is complete, with its remaining times updated.

        Bytes of a body that was dropped while they were in transit are ignored. Raises ValueError if more bytes arrive
        than were granted.
        """
        upload = self._uploads.get(key)
        if upload is None:
            return None
        end = upload.received_bytes + len(data)
        if upload.body is None or end > upload.granted_bytes:
            raise ValueError("sender exceeded its granted bytes")
        upload.body[upload.received_bytes : end] = data
        upload.received_bytes, upload.progress_at = end, now
        request = upload.request
        if end < request.body_bytes:
            return None
        del self._uploads[key]
        request.body = cast(bytes, upload.body)  # not copied: a buffer can be read like bytes
        request.seconds_left = upload.deadline - now
        request.latency_target_left -= now - upload.accepted_at
        return request

    def drop(self, key: UploadKey[Source]) -> bool:
        """Drop a body that is no longer wanted or sent; return whether it was being received."""
        upload = self._uploads.pop(key, None)
        if upload is not None and upload.waiting is not None:
            upload.waiting.cancel()
        return upload is not None

    def keys_from(self, source: Source) -> list[UploadKey[Source]]:
        """Return the keys of all bodies on one connection."""
        return [key for key in self._uploads if key.source is source]

    def drop_expired(self, now: float) -> list[UploadKey[Source]]:
        """Drop the bodies whose deadline has passed, and return their keys."""
        expired = [key for key, upload in self._uploads.items() if now >= upload.deadline]
        for key in expired:
            self.drop(key)
        return expired

    def grant(self, now: float) -> list[Grant[Source]]:
        """Grant bytes up to the capacity of the link, most urgent bodies first; return the new grants, one per body."""
        # A stalled sender must not delay others, so its outstanding bytes no longer count. It gets no further grant
        # until it delivers them; otherwise its whole body could arrive at once when it resumes.
        sending = [
            (key, upload)
            for key, upload in self._uploads.items()
            if upload.body is not None and not upload.is_stalled(now)
        ]
        outstanding = sum(upload.outstanding_bytes for _, upload in sending)
        offsets: dict[UploadKey[Source], int] = {}
        for key, upload in sorted(sending, key=lambda row: row[1].urgency):
            while upload.granted_bytes < upload.request.body_bytes:
                if outstanding + CHUNK_BYTES > self._max_outstanding_bytes:
                    return [Grant(key, offset) for key, offset in offsets.items()]
                if upload.outstanding_bytes == 0:
                    upload.progress_at = now
                step = min(CHUNK_BYTES, upload.request.body_bytes - upload.granted_bytes)
                upload.granted_bytes += step
                outstanding += step
                offsets[key] = upload.granted_bytes
        return [Grant(key, offset) for key, offset in offsets.items()]


def _nothing() -> None:
    """Do nothing."""
