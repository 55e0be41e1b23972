"""Programs of the mesh: sockets, disks and clocks around `lugspur.control` and `lugspur.dataplane`."""
