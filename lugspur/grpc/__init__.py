"""The rules of gRPC, without I/O: statuses, timeouts, messages, ends of streams, and translation of HTTP/1.1."""
