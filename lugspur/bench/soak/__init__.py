"""Soak: real processes under troubles that overlap in time, with their invariants on, for many seeds."""
