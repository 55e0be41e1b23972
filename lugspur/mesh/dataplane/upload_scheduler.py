"""Flow control of large request bodies, without I/O: in which order they cross this machine's link.

A sender of a large body first says how many bytes it has, and then sends as many as it is granted, so that small
messages get by. A body that would arrive too late is rejected before any of its bytes have crossed the link. The bytes
that are granted and have not arrived are bounded, and with them the time for which answers and calls wait behind them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from lugspur.mesh.control.messages import ForwardRequest
from lugspur.mesh.dataplane.urgency import Urgency

CHUNK_BYTES = 8 << 10  # of one grant: 25 ms of the slowest links that are known
GRANT_AHEAD_SECONDS = 0.05  # of the link that are granted ahead: longer than a grant and its bytes take to travel
MAX_UNCHUNKED_SECONDS = 0.03  # of the receiver's link: a body that takes less is sent at once, with its request
STALL_TIMEOUT_SECONDS = 0.3  # after which a sender that has delivered nothing delays nobody
USABLE_LINK_FRACTION = 0.9  # of the link, for granted bytes; the rest is for everything else
# A body may wait for its turn so long, as a fraction of the latency target less the time that it takes itself...
MAX_WAIT_FRACTION = 0.5
MAX_WAIT_FRACTION_OF_RETRIES = 0.9  # ...and where its caller was rejected before: rejected once more, it is lost

Source = TypeVar("Source")


class UploadKey(NamedTuple, Generic[Source]):
    """Names a body: the connection that it comes on, and its request's number there."""

    source: Source
    number: int


class Grant(NamedTuple, Generic[Source]):
    """What the sender of a body may send: its bytes up to an offset."""

    key: UploadKey[Source]
    up_to_offset: int


def is_chunked(size: int, link_rate: float) -> bool:
    """Whether a body of `size` bytes is sent in chunks, to a machine whose link carries `link_rate` bytes a second.

    A rate of 0 is an unknown one: such a body is sent at once.
    """
    return link_rate > 0.0 and size > max(CHUNK_BYTES, link_rate * MAX_UNCHUNKED_SECONDS)


@dataclass(slots=True)
class Upload:
    """One body that is being received."""

    request: ForwardRequest
    urgency: Urgency
    accepted_at: float
    deadline: float
    body: bytearray
    granted_bytes: int = 0
    progress_at: float = 0.0  # when bytes last arrived, or were granted while none were outstanding

    @property
    def missing_bytes(self) -> int:
        """Bytes that have not arrived, granted or not."""
        return self.request.body_bytes - len(self.body)

    @property
    def outstanding_bytes(self) -> int:
        """Bytes that were granted and have not arrived."""
        return self.granted_bytes - len(self.body)

    def is_stalled(self, now: float) -> bool:
        """Whether bytes are outstanding and none have arrived for long."""
        return self.outstanding_bytes > 0 and now - self.progress_at >= STALL_TIMEOUT_SECONDS


class UploadScheduler(Generic[Source]):
    """All bodies that arrive in chunks, and how much of each may be sent; `Source` is the type of a connection."""

    def __init__(self, link_rate: float, max_bytes: int) -> None:
        """`link_rate`: bytes a second of this machine's link, 0 where it is unknown: then no body is accepted.

        `max_bytes`: memory that all bodies together may take.
        """
        self._rate = link_rate * USABLE_LINK_FRACTION
        self._max_bytes = max_bytes
        self._max_outstanding_bytes = max(2 * CHUNK_BYTES, int(link_rate * GRANT_AHEAD_SECONDS))
        self._uploads: dict[UploadKey[Source], Upload] = {}

    def __len__(self) -> int:
        """Return the number of bodies that are being received."""
        return len(self._uploads)

    def offer(
        self, now: float, key: UploadKey[Source], request: ForwardRequest, urgency: Urgency, service_time: float
    ) -> bool:
        """Accept a body, or return False where there is no memory for it or its answer would come too late.

        `service_time`: seconds that the backend takes for the request once its body is complete.
        """
        size = request.body_bytes
        reserved = sum(upload.request.body_bytes for upload in self._uploads.values())
        if self._rate <= 0.0 or size <= 0 or reserved + size > self._max_bytes or key in self._uploads:
            return False
        if not self._arrives_in_time(request, urgency, service_time):
            return False
        self._uploads[key] = Upload(request, urgency, now, now + request.seconds_left, bytearray(), 0, now)
        return True

    def _arrives_in_time(self, request: ForwardRequest, urgency: Urgency, service_time: float) -> bool:
        """Whether a body's turn comes early enough.

        Guards the value of all answers: a queue in which everybody is late serves no more than a short one.
        """
        bytes_ahead = sum(upload.missing_bytes for upload in self._uploads.values() if upload.urgency <= urgency)
        if bytes_ahead == 0:
            return True
        wait = bytes_ahead / self._rate
        own_time = request.body_bytes / self._rate + service_time
        fraction = MAX_WAIT_FRACTION_OF_RETRIES if request.was_rejected else MAX_WAIT_FRACTION
        return wait <= fraction * (request.latency_target_left - own_time)

    def receive(self, now: float, key: UploadKey[Source], data: bytes) -> ForwardRequest | None:
        """Take bytes that have arrived; return the request once its body is complete, its times counted from now.

        Bytes of a body that was dropped while they were on their way are ignored. Raises ValueError for more bytes
        than were granted.
        """
        upload = self._uploads.get(key)
        if upload is None:
            return None
        if len(upload.body) + len(data) > upload.granted_bytes:
            raise ValueError("more bytes than were granted")
        upload.body += data
        upload.progress_at = now
        request = upload.request
        if len(upload.body) < request.body_bytes:
            return None
        del self._uploads[key]
        request.body = bytes(upload.body)
        request.seconds_left = upload.deadline - now
        request.latency_target_left -= now - upload.accepted_at
        return request

    def drop(self, key: UploadKey[Source]) -> bool:
        """Forget a body that nobody sends any more; return whether it was known."""
        return self._uploads.pop(key, None) is not None

    def keys_from(self, source: Source) -> list[UploadKey[Source]]:
        """Return the keys of all bodies that come on one connection."""
        return [key for key in self._uploads if key.source is source]

    def drop_expired(self, now: float) -> list[UploadKey[Source]]:
        """Drop the bodies whose deadline has passed, and return their keys."""
        expired = [key for key, upload in self._uploads.items() if now >= upload.deadline]
        for key in expired:
            del self._uploads[key]
        return expired

    def grant(self, now: float) -> list[Grant[Source]]:
        """Grant what the link can take to the most urgent bodies; return a grant for each that may now send more."""
        # Guards the link against a sender that says nothing: what it was granted delays nobody for long, and it is
        # granted no more until it delivers what is outstanding, or its whole body could come at once when it wakes.
        sending = [(key, upload) for key, upload in self._uploads.items() if not upload.is_stalled(now)]
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
