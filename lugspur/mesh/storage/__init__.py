"""What a control node keeps on its disk: the writer, and a reader for directories of processes that do not run."""
