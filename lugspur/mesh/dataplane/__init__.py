"""The request path of the mesh: routing, backend selection, retries, and the concurrency limiter of each backend."""
