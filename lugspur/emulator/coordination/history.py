"""The observations of the applications, which the checker reads. All times are those of the simulation's clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LockTenure:
    """A time span in which a caller considered itself the holder of a lock."""

    lock: str
    holder: str
    fence: int  # fencing token
    sent: float  # time at which the call that acquired the lock was sent
    began: float  # time at which its response was received
    ended: float  # time at which the caller released the lock or its hold time expired


@dataclass(slots=True)
class IssuedNumber:
    """A number that was issued."""

    name: str
    value: int
    sent: float
    received: float


@dataclass(slots=True)
class PutAttempt:
    """A put of one value, in one or several attempts."""

    key: str
    value: str
    expected: int | None
    first_sent: float
    received: float = 0.0  # time at which the acknowledgement was received
    revision: int = 0  # 0 if the put was not acknowledged
    is_unclear: bool = False  # whether the result of any attempt is unknown


@dataclass(slots=True)
class ReadCell:
    """A read of a key; the revision is 0 if the key did not exist."""

    key: str
    value: str
    revision: int
    sent: float
    received: float


@dataclass(slots=True)
class Mismatch:
    """A put that was rejected because the key has another revision."""

    key: str
    revision: int
    sent: float
    received: float


@dataclass(slots=True)
class WatchedPut:
    """A put that a watch response contains."""

    key: str
    value: str
    revision: int


@dataclass(slots=True)
class WatchObservation:
    """One watch response: all puts above the revision `after` and up to `revision`."""

    group: str
    after: int
    revision: int
    puts: list[WatchedPut]
    sent: float
    received: float


@dataclass(slots=True)
class History:
    """All observations of the applications of one simulation."""

    tenures: list[LockTenure] = field(default_factory=list)
    numbers: list[IssuedNumber] = field(default_factory=list)
    puts: list[PutAttempt] = field(default_factory=list)
    reads: list[ReadCell] = field(default_factory=list)
    mismatches: list[Mismatch] = field(default_factory=list)
    watch_observations: list[WatchObservation] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)  # violations that a single response shows
