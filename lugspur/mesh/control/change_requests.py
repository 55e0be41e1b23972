"""Change requests that wait for a decision, and how each may end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Entry


@dataclass(slots=True, frozen=True)
class Confirmed:
    """It is decided, or it has no effect on what is decided."""


@dataclass(slots=True, frozen=True)
class Refused:
    """It conflicts with what is decided and was not proposed, so that it never comes into force."""

    error: MeshError


@dataclass(slots=True, frozen=True)
class Unclear:
    """It was proposed, and whether it is decided is unknown: it may come into force."""


@dataclass(slots=True, frozen=True)
class NoQuorum:
    """Too few voters replied, and it was not proposed."""


Outcome = Confirmed | Refused | Unclear | NoQuorum


@dataclass(slots=True, eq=False)
class ChangeRequest:
    """Entries that a caller wants decided together, until `deadline` by the steady clock.

    `on_outcome` is called once. `base_epoch` is set for a change of the voters, which counts only as the next step
    after that epoch.
    """

    entries: list[Entry]
    deadline: float
    on_outcome: Callable[[Outcome], None]
    base_epoch: int | None = None
    was_proposed: bool = False  # from then on nothing proves that it is not in force
    change_id: str = ""  # of the change in which it was proposed last
    submitted_after: int = 0  # the proposer's proposals by then: only a later one may refuse it


def error_of(outcome: Outcome) -> MeshError | None:
    """The error that a caller gets for an outcome; None for a confirmation."""
    if isinstance(outcome, Refused):
        return outcome.error
    if isinstance(outcome, Unclear):
        return MeshError(ErrorKind.UNCLEAR, "too few voters answered, and the change may come into force")
    if isinstance(outcome, NoQuorum):
        return MeshError(ErrorKind.NO_QUORUM, "too few voters answered")
    return None
