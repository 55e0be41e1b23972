"""HTTP/2 with prior knowledge: a session without I/O, connections of callers, and connections to gRPC backends."""
