"""Handles SIGHUP from the start of a process: a signal before the loop runs is carried out once it does.

By default SIGHUP ends a process. Until its handler is installed, some tenths of a second after the start on a small
machine, a reload request would otherwise end the process without a message.
"""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


class _EarlySignal:
    """Records a signal that came before there was a loop to carry it out."""

    received = False


def _record_signal(number: int, frame: FrameType | None) -> None:
    _EarlySignal.received = True


def record_early_signal() -> None:
    """Install a SIGHUP handler that records the signal; call this first, from the main thread."""
    signal.signal(signal.SIGHUP, _record_signal)


def install_handler(loop: asyncio.AbstractEventLoop, reload: Callable[[], object]) -> None:
    """Call `reload` at each SIGHUP, and soon if one has come since `record_early_signal`."""
    loop.add_signal_handler(signal.SIGHUP, reload)
    if _EarlySignal.received:
        _EarlySignal.received = False
        loop.call_soon(reload)
