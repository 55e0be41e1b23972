"""A model of coordination: the decisions that run in service, in virtual time, under drawn faults."""
