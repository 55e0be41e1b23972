"""The status and metrics of coordination at one control node: what the node itself knows, not confirmed by others."""

from __future__ import annotations

from typing import Any, Protocol

from lugspur.mesh.control_node.coordination_calls import CoordinationCalls
from lugspur.mesh.control_node.coordination_service import CoordinationService
from lugspur.mesh.coordination.watches import WatchTable
from lugspur.mesh.storage.disk import Disk
from lugspur.observability.metrics import Metric, counter, gauge, labelled_counter


class CoordinationParts(Protocol):
    """The parts of a control node that concern coordination."""

    coordination: CoordinationService
    coordination_calls: CoordinationCalls
    coordination_disk: Disk
    watches: WatchTable


def coordination_summary(parts: CoordinationParts) -> dict[str, Any]:
    """Return the field `coordination` of /mesh/status."""
    node = parts.coordination.node
    state = node.acceptor.state
    return {
        "leader": node.leader or "",
        "leading": node.proposer.is_leading,
        "complete": node.acceptor.is_complete,
        "index": state.index,
        "locks": len(state.locks),
        "numbers": len(state.numbers),
        "keys": len(state.cells),
        "watches": len(parts.watches),
    }


def coordination_contents(parts: CoordinationParts, now: float) -> dict[str, Any]:
    """Return the response to `GET /mesh/coordination`; `now` is the time by the steady clock."""
    state = parts.coordination.node.acceptor.state
    return {
        "locks": {
            name: {
                "holder": lock.record.holder,
                "fence": lock.record.fence,
                "left_s": round(max(0.0, lock.expires_at - now), 3),
            }
            for name, lock in sorted(state.locks.items())
        },
        "numbers": dict(sorted(state.numbers.items())),
        "keys": {name: {"revision": cell.revision, "value": cell.value} for name, cell in sorted(state.cells.items())},
    }


def coordination_metrics(parts: CoordinationParts) -> list[Metric]:
    """Return the current metrics of coordination."""
    node, disk = parts.coordination.node, parts.coordination_disk
    state, proposer = node.acceptor.state, node.proposer
    return [
        labelled_counter(
            "coordination_answers_total",
            "Calls for locks, numbers, keys and watches, by call and answer.",
            "answer",
            parts.coordination_calls.outcome_counts,
        ),
        gauge("coordination_calls_open", "Calls that have no answer yet.", len(node.calls)),
        gauge("coordination_watches", "Watches that wait for puts.", len(parts.watches)),
        gauge("coordination_index", "The latest decided change that is known.", state.index),
        gauge("coordination_leading", "1 while this process leads.", float(proposer.is_leading)),
        gauge(
            "coordination_complete", "1 while it knows all that a voter must know.", float(node.acceptor.is_complete)
        ),
        counter("coordination_elections_total", "How often this process began to lead.", proposer.elections),
        counter(
            "coordination_batches_total",
            "Changes that this process has had decided.",
            proposer.decided_batches,
        ),
        gauge("coordination_locks", "Locks that are kept, held or run out.", len(state.locks)),
        gauge("coordination_keys", "Keys that are kept.", len(state.cells)),
        gauge("coordination_puts", "Puts that are kept for watches.", state.put_count),
        gauge("coordination_state_bytes", "Bytes of keys and puts.", state.size_bytes),
        counter("coordination_disk_commits_total", "Writes that were synced.", disk.commits),
        counter("coordination_disk_failures_total", "Writes that failed.", disk.failures),
    ]
