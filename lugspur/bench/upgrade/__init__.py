"""Upgrade test: replaces each process of a mesh by one of another build under load."""
