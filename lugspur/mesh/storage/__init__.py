"""The storage of a control node: the writer, and readers for data directories of processes that do not run."""
