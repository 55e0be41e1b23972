"""The running programs: they connect callers, backends and endpoint lists by the load balancer."""
