"""A model of the coordination service: the production code runs in virtual time under random faults."""
