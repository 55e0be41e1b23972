"""A mesh whose processes run from the directories of two builds."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from lugspur.bench.faults.cluster import SERVICES, Cluster

CONTROL_NODES = 3
TOLERATED_MACHINES = 1
# Time that the settings give a process to finish its requests after SIGTERM.
GRACE_SECONDS = 2.0


class TwoBuildCluster(Cluster):
    """A cluster in which each process runs from the directory of one of two builds.

    One service has two backends, so that a faulty retry of an unsafe request could reach the other one.
    """

    proxy_services = (SERVICES[0], *SERVICES)

    def __init__(self, directory: Path, root: Path) -> None:
        """`root` is the directory of the build that all processes start with."""
        super().__init__(directory, CONTROL_NODES, TOLERATED_MACHINES)
        everyone = [*self.control, *self.proxy_ips]
        self.roots = dict.fromkeys(everyone, root)

    def root(self, ip: str) -> Path:
        return self.roots[ip]

    def tables(self, ip: str) -> dict[str, dict[str, Any]]:
        tables = super().tables(ip)
        tables["tariffs.bounds"]["grace_s"] = GRACE_SECONDS
        return tables
