"""Request coalescing: which reads are equal, which wait for a shared call, and which may get its response. No I/O."""
