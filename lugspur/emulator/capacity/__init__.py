"""What the mesh costs by its size: tables and a plot from a sweep of the operators' bench."""
