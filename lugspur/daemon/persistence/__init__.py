"""What a daemon learned of its backends, kept over a restart in files that are never half written.

`snapshot_format` encodes and decodes a file, `snapshot_store` keeps two generations of it in one directory by the
system calls of `directory`, and `aging` decides how much of a file still counts when it is read.
"""
