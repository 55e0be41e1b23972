"""Soak tests: run real processes under overlapping faults, with invariant checks enabled, for many seeds."""
