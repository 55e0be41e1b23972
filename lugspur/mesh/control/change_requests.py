"""Changes that wait to be decided, and how each may end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Entry


@dataclass(slots=True, frozen=True)
class Confirmed:
    """It is decided, or has no effect beside what is decided."""


@dataclass(slots=True, frozen=True)
class Refused:
    """It may not stand beside what is decided, and was not proposed: it is never in force."""

    error: MeshError


@dataclass(slots=True, frozen=True)
class Unclear:
    """It was proposed, and whether it is decided is not known: it may come into force."""


@dataclass(slots=True, frozen=True)
class NoQuorum:
    """Too few voters answered, and it was not proposed."""


Outcome = Confirmed | Refused | Unclear | NoQuorum


@dataclass(slots=True, eq=False)
class ChangeRequest:
    """One change that somebody waits for, until `until` by the steady clock; `over` is told once.

    `base_epoch`: a change of the voters, which counts only as the next step after that epoch.
    """

    entries: list[Entry]
    deadline: float
    on_outcome: Callable[[Outcome], None]
    base_epoch: int | None = None
    was_proposed: bool = False  # whether it has been proposed: from then on nothing proves that it is not in force
    change_id: str = ""  # of the change that it was proposed in last
    submitted_after: int = 0  # the proposer's latest proposal when it came: only a later one may refuse it


def error_of(outcome: Outcome) -> MeshError | None:
    """What a caller is told; None: it is confirmed."""
    if isinstance(outcome, Refused):
        return outcome.error
    if isinstance(outcome, Unclear):
        return MeshError(ErrorKind.UNCLEAR, "too few voters answered, and the change may come into force")
    if isinstance(outcome, NoQuorum):
        return MeshError(ErrorKind.NO_QUORUM, "too few voters answered")
    return None
