"""The path of a request: routes, the pick among backends, and the gate beside each backend."""
