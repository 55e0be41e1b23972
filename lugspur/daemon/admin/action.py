"""An action of an admin request, and its result."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias


class ActionResult(NamedTuple):
    """The response to an admin request."""

    status: int  # of HTTP; 2xx means success
    text: str  # without the final line feed


#: Called with the body of the request, without surrounding white space.
Action: TypeAlias = Callable[[str], ActionResult]
