"""Processes that know of each other: who is there, told by datagrams, without a place that all depend on."""
