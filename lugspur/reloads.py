"""SIGHUP from a process's first moment on: what comes before it can be carried out is carried out later.

By default SIGHUP ends a process. Until its handler stands, some tenths of a second on a small machine, a process that
is told to read its settings again would so be gone without a word.
"""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


class _Early:
    """What came before there was a loop to carry it out."""

    told = False


def _note(number: int, frame: FrameType | None) -> None:
    _Early.told = True


def hold() -> None:
    """From now on SIGHUP ends nothing. To be called first of all, from the main thread."""
    signal.signal(signal.SIGHUP, _note)


def carry_out(loop: asyncio.AbstractEventLoop, reload: Callable[[], object]) -> None:
    """Have `reload` called at each SIGHUP, and soon if one has come since `hold`."""
    loop.add_signal_handler(signal.SIGHUP, reload)
    if _Early.told:
        _Early.told = False
        loop.call_soon(reload)
