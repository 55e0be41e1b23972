"""The coordination service without I/O: locks, numbers, keys and watches, decided by a majority of the voters."""
