"""The state machines of the control plane, without I/O: they take inputs and return what to send and write."""
