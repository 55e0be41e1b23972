"""Hollow fleets: many proxies in a few processes, the real control-side code over real sockets, and no traffic."""
