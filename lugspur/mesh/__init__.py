"""Programs of the mesh: sockets, disks and clocks around `lugspur.mesh.control` and `lugspur.mesh.dataplane`."""
