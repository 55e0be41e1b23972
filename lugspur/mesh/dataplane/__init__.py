"""The request path of the mesh: routes, selection of backends, retries, and the concurrency limiter of each backend."""
