"""Where a request goes, sans I/O: routes, splits, fallbacks and shares; no sockets and no clock."""
