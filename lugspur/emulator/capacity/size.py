"""The mesh size to design for, and the resource budgets of each process at that size."""

from __future__ import annotations

PROXIES = 620  # number of proxies in the mesh
PROXY_CPU_PERCENT = 3.9  # percentage of a core that a proxy may spend on the control plane
PROXY_MEMORY_MB = 32.0  # megabytes that a proxy may use for the control plane
PROXY_KB_S = 6.0  # kilobytes per second that a proxy may exchange with the control plane
IN_FORCE_MS = 11_000.0  # milliseconds from a change of the configuration until the last proxy applies it
CONTROL_CPU_PERCENT = 100.0  # percentage of a core for a control node: it has one thread besides that of its disk
CONTROL_MEMORY_MB = 296.0  # megabytes that current deployments give to a control node
DESCRIPTORS = 4096  # file descriptors that current deployments give to each process
