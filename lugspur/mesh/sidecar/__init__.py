"""The sidecar: the proxy process beside one backend, for outgoing requests of its machine and incoming ones."""
