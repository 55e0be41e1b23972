"""Decisions of the control side, without I/O: state machines that take inputs and return what to send and write."""
