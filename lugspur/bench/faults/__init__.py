"""Random faults against a mesh of real processes, and a checker of the guarantees that the mesh gives meanwhile."""
