"""Calls that this node has taken: handed on to the leader, one hop, or kept until there is one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages.coordination import CoordinationCall, CoordinationReply
from lugspur.mesh.control.messages.coordination_records import Command, CommandFailed, Result
from lugspur.mesh.coordination.pending import PendingCommand

CALL_TIMEOUT_SECONDS = 0.8  # until a call is answered: callers try elsewhere after a second
MAX_CALLS = 512  # that wait for an answer here; beyond these they are rejected


@dataclass(slots=True)
class ForwardedCall:
    """A call that was handed on to the leader."""

    pending: PendingCommand
    leader: str


class CallRouter:
    """The calls of one node."""

    def __init__(
        self,
        own_ip: str,
        submit_here: Callable[[float, PendingCommand], Effects],
        clock_of: Callable[[str], float | None],
    ) -> None:
        """`submit_here` has a command decided by this node; `clock_of`: a voter's clock, None where it is unknown."""
        self._own_ip, self._submit_here, self._clock_of = own_ip, submit_here, clock_of
        self._waiting: list[PendingCommand] = []  # for a leader that can be reached
        self._forwarded: dict[int, ForwardedCall] = {}
        self._number = 0
        self._open = 0

    def __len__(self) -> int:
        return self._open

    def submit(self, now: float, leader: str | None, command: Command, on_result: Callable[[Result], None]) -> Effects:
        """Have a command carried out by the leader."""
        self._open += 1

        def finished(result: Result) -> None:
            self._open -= 1
            on_result(result)

        pending = PendingCommand(command, now + CALL_TIMEOUT_SECONDS, finished)
        if self._open > MAX_CALLS:  # Guards memory and the leader against a flood of calls.
            pending.reject("too many calls in hand")
            return Effects()
        return self._route(now, leader, pending)

    def _route(self, now: float, leader: str | None, pending: PendingCommand) -> Effects:
        if leader == self._own_ip:
            return self._submit_here(now, self._attempt(pending))
        clock = None if leader is None else self._clock_of(leader)
        if leader is None or clock is None:
            self._waiting.append(pending)
            return Effects()
        self._number += 1
        self._forwarded[self._number] = ForwardedCall(pending, leader)
        call = CoordinationCall(self._number, clock, pending.deadline - now, pending.command)
        return Effects(send=[(leader, call)])

    def _attempt(self, pending: PendingCommand) -> PendingCommand:
        """The command for this node's own proposer."""
        return PendingCommand(pending.command, pending.deadline, lambda result: self._take_result(pending, result))

    def _take_result(self, pending: PendingCommand, result: Result) -> None:
        if isinstance(result, CommandFailed) and result.may_retry:
            self._waiting.append(pending)  # nothing was done: another node may lead by now
        else:
            pending.finish(result)

    def take_reply(self, message: CoordinationReply) -> None:
        """The leader has answered a call."""
        call = self._forwarded.pop(message.number, None)
        if call is not None:
            self._take_result(call.pending, message.result)

    def disconnected(self, ip: str) -> None:
        """The connection to a node has ended: what was handed on to it may have been done, and is not run again."""
        for number, call in list(self._forwarded.items()):
            if call.leader != ip:
                continue
            del self._forwarded[number]
            if call.pending.is_read:
                self._waiting.append(call.pending)
            else:
                call.pending.give_up()

    def tick(self, now: float, leader: str | None) -> Effects:
        """End calls whose time is up, and hand on those that wait."""
        for number, call in list(self._forwarded.items()):
            if call.pending.deadline <= now:
                del self._forwarded[number]
                call.pending.give_up()
        return self.route_waiting(now, leader)

    def route_waiting(self, now: float, leader: str | None) -> Effects:
        """Hand on the calls that wait for a leader."""
        effects = Effects()
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            if pending.is_done:
                continue
            if pending.deadline <= now:
                pending.reject("no leader could be reached")
            else:
                effects.add(self._route(now, leader, pending))
        return effects
