"""The status of a control node for operators."""

from __future__ import annotations

from typing import Any

from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.membership_changes import presences_of
from lugspur.mesh.process import MAX_AGE_SECONDS
from lugspur.mesh.settings import Own
from lugspur.mesh.storage.disk import Disk


def control_node_status(
    own: Own,
    replica: Replica,
    store: Store,
    disk: Disk,
    *,
    ip: str,
    age: float,
    voters_wanted: int,
    subscribers: int,
    coordination: dict[str, Any],
) -> dict[str, Any]:
    """Return the fields of /mesh/status; `age` is the seconds since the latest contact with a majority."""
    kinds = {kind: len(store.values_of(kind)) for kind in sorted({e.kind for e in store.all()})}
    return {
        "node": own.node_name,
        "role": "control",
        "ip": ip,
        "zone": own.zone,
        "uid": replica.voter.uid,
        "epoch": replica.epoch,
        "index": replica.index,
        "voter": replica.is_voter,
        "complete": replica.is_complete,
        "pending": replica.register.has_pending_change,
        "voters": [] if replica.membership is None else [voter.ip for voter in replica.membership.voters],
        "voters_wanted": voters_wanted,
        "age_s": round(min(MAX_AGE_SECONDS, age), 3),
        "replicas": {
            ip: {
                "uid": p.uid,
                "zone": p.zone,
                "leaving": p.leaving,
                "failing": p.failing,
                "disk_bytes": p.disk_bytes,
            }
            for ip, p in presences_of(store).items()
        },
        "entries": kinds,
        "configuration_bytes": replica.register.size_bytes,
        "claims": len(replica.reservations),
        "subscribers": subscribers,
        "disk": {"commits": disk.commits, "fault": disk.fault},
        "coordination": coordination,
    }
