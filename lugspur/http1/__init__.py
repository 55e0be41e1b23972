"""HTTP/1.1: what callers send, what backends answer, and the connections to both."""
