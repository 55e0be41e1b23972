"""The size to design for, and what is allowed at it."""

from __future__ import annotations

PROXIES = 620
PROXY_CPU_PERCENT = 3.9  # of a core that a proxy may spend on control
PROXY_MEMORY_MB = 32.0  # for control
PROXY_KB_S = 6.0  # for control
IN_FORCE_MS = 11_000.0  # from a change to the last proxy
CONTROL_CPU_PERCENT = 100.0  # of one core: the process has one thread beside that of its disk
CONTROL_MEMORY_MB = 296.0  # as today's deployments give it
DESCRIPTORS = 4096  # as today's deployments give them
