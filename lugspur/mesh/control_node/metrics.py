"""The metrics of a control node."""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import Protocol

from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control_node.coordination_status import CoordinationParts, coordination_metrics
from lugspur.mesh.control_node.majority_contact import MajorityContact
from lugspur.mesh.control_node.operator_calls import OperatorCalls
from lugspur.mesh.http_api import HttpApi
from lugspur.mesh.process import MAX_AGE_SECONDS
from lugspur.mesh.process_pause import PauseDetector
from lugspur.mesh.storage.disk import Disk
from lugspur.mesh.transport.dialer import Dialer
from lugspur.observability.metrics import Metric, counter, gauge, invariant_metrics, labelled_counter


class ControlParts(CoordinationParts, Protocol):
    """The parts of a control node that provide its metrics."""

    loop: asyncio.AbstractEventLoop
    replica: Replica
    proposer: Proposer
    disk: Disk
    operator_calls: OperatorCalls
    dispatch_calls: HttpApi
    majority_contact: MajorityContact
    pause_detector: PauseDetector
    peers: dict[str, Dialer]

    @property
    def subscribers(self) -> Sized:
        """The processes that are sent updates."""


def control_node_metrics(node: ControlParts) -> list[Metric]:
    """Return all current metrics of one control node."""
    now, replica, disk, calls = node.loop.time(), node.replica, node.disk, node.operator_calls
    return [
        labelled_counter("orders_total", "Operators' changes, by how they ended.", "how", calls.change_outcomes),
        labelled_counter("reads_total", "Operators' reads, by how they ended.", "how", calls.read_outcomes),
        labelled_counter(
            "calls_total", "Calls at the dispatch address, by method and path.", "call", node.dispatch_calls.calls
        ),
        counter(
            "unknown_calls_total",
            "Calls at the dispatch address that no handler takes.",
            node.dispatch_calls.unknown_calls,
        ),
        gauge("operator_calls_open", "Operators' calls that have no answer yet.", len(calls.waiting)),
        counter("proposals_total", "Proposals of changes.", node.proposer.proposal_count),
        counter("disk_commits_total", "Writes that were synced.", disk.commits),
        counter("disk_failures_total", "Writes that failed.", disk.failures),
        counter("stalls_total", "How often this process stood still for a second or more.", node.pause_detector.pauses),
        gauge("disk_failing", "1 while the latest write had failed.", float(bool(disk.fault))),
        gauge("configuration_index", "The latest change that is known as decided.", replica.index),
        gauge("membership_epoch", "The membership that this process goes by.", replica.epoch),
        gauge("voter", "1 while this disk has a vote.", float(replica.is_voter)),
        gauge("complete", "1 while it holds all claims that a voter must hold.", float(replica.is_complete)),
        gauge(
            "change_pending",
            "1 while a change is accepted and not known as decided.",
            replica.register.has_pending_change,
        ),
        gauge(
            "news_age_seconds",
            "Seconds since word of a majority.",
            min(MAX_AGE_SECONDS, node.majority_contact.age(now)),
        ),
        gauge("claims", "Claims of operation keys that are held.", len(replica.reservations)),
        gauge("subscribers", "Processes that follow this one's news.", len(node.subscribers)),
        gauge("peers_up", "Processes that can be reached.", sum(d.link is not None for d in node.peers.values())),
        *coordination_metrics(node),
        *invariant_metrics(),
    ]
