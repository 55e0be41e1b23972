"""Takes over the listening socket and the state of the process that serves."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from lugspur.daemon.hot_restart.descriptors import close_all
from lugspur.daemon.hot_restart.packets import Packet, PacketError
from lugspur.daemon.hot_restart.process_state import ProcessState, StateAssembler


@dataclass(slots=True, frozen=True)
class Takeover:
    """What a starting process has got from its predecessor."""

    listener: socket.socket  # the clients'
    state: ProcessState


class PendingTakeover:
    """A takeover that was asked for and whose answer may be incomplete."""

    def __init__(self) -> None:
        """Begin to wait; needs a running event loop."""
        self._result: asyncio.Future[Takeover] = asyncio.get_running_loop().create_future()
        self._state_parts = StateAssembler()

    async def result(self, timeout_seconds: float) -> Takeover:
        """Wait for the whole answer; raises TimeoutError, or PacketError where it is refused or not understood."""
        return await asyncio.wait_for(self._result, timeout_seconds)

    def receive_part(self, packet: Packet, descriptors: list[int]) -> None:
        """Take a part of the state; the last one has to come with the listening socket and nothing else."""
        try:
            state = self._state_parts.add(packet)
            if state is None or self._result.done():
                return
            if len(descriptors) != 1:
                raise PacketError("no listening socket came")
            self._result.set_result(Takeover(socket.socket(fileno=descriptors.pop()), state))
        except PacketError as error:
            self._fail_by(error)
        finally:
            close_all(descriptors)

    @property
    def is_pending(self) -> bool:
        """Whether the answer is still waited for."""
        return not self._result.done()

    def fail(self, reason: str) -> None:
        """End the wait without an answer; does nothing where it has ended already."""
        self._fail_by(PacketError(reason))

    def _fail_by(self, error: PacketError) -> None:
        if not self._result.done():
            self._result.set_exception(error)
