"""The size to design for, and what is allowed at it."""

from __future__ import annotations

PROXIES = 620
CONTROL = 4
SERVICES = 18
CALLS_PER_S = 71_000
CHANGES_PER_DAY = 230
RESTARTS_PER_DAY = 87
ADDED_P99_MS = 1.5  # to a call
IN_FORCE_S = 11.0  # from a change to the last proxy
PROXY_CORES = 0.039  # what a proxy may spend on control
PROXY_MEMORY_MB = 32.0
PROXY_BYTES_S = 6_000.0
KEYED_PER_S = 10_000.0  # operations under a key, by their share in today's deployments: "some ten thousand and more"
KEY_P99_MS = 100.0  # a quarter of the aim of a route of 400 ms
CONTROL_CORES = 1.0  # of one control machine: the process has one thread beside that of its disk
CONTROL_MEMORY_MB = 296.0  # as today's deployments give it
CLAIM_KEPT_S = 70.0
DESCRIPTORS = 1024  # as the settings files of today's deployments give them
DAY_S = 86_400.0
