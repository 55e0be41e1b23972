"""What an admin request has a proxy do, and how that ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias


class ActionResult(NamedTuple):
    """The answer to an admin request."""

    status: int  # of HTTP: 2xx is yes, anything else is no
    text: str  # without its final line feed


#: Called with the body of the request, without white space around it.
Action: TypeAlias = Callable[[str], ActionResult]
