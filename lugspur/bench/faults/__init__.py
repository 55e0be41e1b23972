"""Drawn faults against a mesh of real processes, and a checker of everything that was promised meanwhile."""
