"""Joining like reads: which reads are one, who waits for whose call, and who may have its answer. No I/O."""
