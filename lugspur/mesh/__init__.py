"""The program `python -m lugspur.mesh`: sockets, disks and clocks around the decisions of `control` and `dataplane`."""
