"""HTTP/2 with prior knowledge: a machine without I/O, callers' connections, and connections to boxes."""
