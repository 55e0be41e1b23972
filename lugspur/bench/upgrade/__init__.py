"""Replaces each process of a mesh by one of another build, while changes and requests go on."""
