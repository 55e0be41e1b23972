"""What applications saw, and when: the input of the checker. All times are those of the world."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LockTenure:
    """A span in which a caller counted itself the holder of a lock."""

    lock: str
    holder: str
    fence: int
    sent: float  # when the call was sent that got the fence
    began: float  # when its answer came
    ended: float


@dataclass(slots=True)
class IssuedNumber:
    """A number that was given."""

    name: str
    value: int
    sent: float
    received: float


@dataclass(slots=True)
class PutAttempt:
    """One value that was put, in one or several tries."""

    key: str
    value: str
    expected: int | None
    first_sent: float
    received: float = 0.0  # when it was acknowledged
    revision: int = 0  # 0: it was not acknowledged
    is_unclear: bool = False  # whether any try had no clear answer


@dataclass(slots=True)
class ReadCell:
    """A read of a key; revision 0: it was not there."""

    key: str
    value: str
    revision: int
    sent: float
    received: float


@dataclass(slots=True)
class Mismatch:
    """A put was refused since the key has another revision."""

    key: str
    revision: int
    sent: float
    received: float


@dataclass(slots=True)
class WatchedPut:
    """One event of a watch."""

    key: str
    value: str
    revision: int


@dataclass(slots=True)
class WatchObservation:
    """One answer of a watch: all puts above `after` and up to `revision`."""

    group: str
    after: int
    revision: int
    puts: list[WatchedPut]
    sent: float
    received: float


@dataclass(slots=True)
class History:
    """All that the applications of one world saw."""

    tenures: list[LockTenure] = field(default_factory=list)
    numbers: list[IssuedNumber] = field(default_factory=list)
    puts: list[PutAttempt] = field(default_factory=list)
    reads: list[ReadCell] = field(default_factory=list)
    mismatches: list[Mismatch] = field(default_factory=list)
    watch_observations: list[WatchObservation] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)  # what is wrong by one answer alone
