"""gRPC's own rules, without I/O: statuses, time-outs, messages, what has run, and the way to HTTP/1.1 and back."""
