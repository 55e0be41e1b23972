"""One proxy process goes on in another's place: its listening socket, its callers, and what it knows."""
