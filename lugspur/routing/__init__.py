"""Request routing without I/O: routes, weighted splits, fallbacks and shared limits; no sockets and no clock."""
