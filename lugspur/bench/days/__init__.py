"""Random days for the operators' bench: faults of every kind, at any time, some of them repeated."""
