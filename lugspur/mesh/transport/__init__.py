"""Connections between processes of the mesh: one link carries frames both ways."""
