"""Persistence of what a daemon has learned of its backends, in files that are replaced atomically.

`snapshot_format` encodes and decodes a file, `snapshot_store` keeps two generations of it in one directory with the
system calls of `directory`, and `aging` decides how much of its content still counts when it is read.
"""
