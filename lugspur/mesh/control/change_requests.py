"""Change requests that wait for a decision, and their possible outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Entry

# The names of these outcomes appear in log lines (`event=reconfiguration`).


@dataclass(slots=True, frozen=True)
class Confirmed:
    """The change is decided, or has no effect on the decided state."""


@dataclass(slots=True, frozen=True)
class Refused:
    """The change conflicts with the decided state and was not proposed, so that it never comes into force."""

    error: MeshError


@dataclass(slots=True, frozen=True)
class Unclear:
    """The change was proposed, and whether it is decided is unknown: it may come into force."""


@dataclass(slots=True, frozen=True)
class NoQuorum:
    """Too few voters replied, and the change was not proposed.

    Also the outcome of a membership change whose base epoch has passed.
    """


Outcome = Confirmed | Refused | Unclear | NoQuorum


@dataclass(slots=True, eq=False)
class ChangeRequest:
    """Entries to be decided together, before `deadline` by the monotonic clock.

    `on_outcome` is called once. `base_epoch` is set for a change of the membership, which is valid only as the direct
    successor of that epoch.
    """

    entries: list[Entry]
    deadline: float
    on_outcome: Callable[[Outcome], None]
    base_epoch: int | None = None
    was_proposed: bool = False  # a request that was proposed may be in force, so that it is never rejected
    change_id: str = ""  # the id of the change in which the request was proposed last
    # The proposer's number of proposals at the submission of this request: only a later proposal may reject it.
    proposals_at_submission: int = 0


def error_from_outcome(outcome: Outcome) -> MeshError | None:
    """Return the error that a caller gets for an outcome, or None for a confirmation."""
    if isinstance(outcome, Refused):
        return outcome.error
    if isinstance(outcome, Unclear):
        return MeshError(ErrorKind.UNCLEAR, "too few voters answered, and the change may come into force")
    if isinstance(outcome, NoQuorum):
        return MeshError(ErrorKind.NO_QUORUM, "too few voters answered")
    return None
