"""The system calls with which files in one directory are replaced atomically and durably.

Each call is a separate method, so that a test can stop the process or let the call fail at any of them.
"""

from __future__ import annotations

import fcntl
import os
import stat
from contextlib import suppress

#: The most that one call reads or writes.
CHUNK_BYTES = 1 << 20


class Directory:
    """One open directory. Every method raises OSError if its system call fails."""

    def __init__(self, path: str) -> None:
        self.path = path
        # Kept open: later calls apply to this directory, even if another one takes its name.
        self._fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def close(self) -> None:
        """Close the directory."""
        os.close(self._fd)

    def create(self, name: str) -> int:
        """Create an empty file for this user alone and return its descriptor; a file of that name is removed first."""
        with suppress(FileNotFoundError):
            self.remove(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
        return os.open(name, flags, 0o600, dir_fd=self._fd)

    def write(self, fd: int, data: memoryview) -> int:
        """Write a part of the bytes and return how many were written."""
        return os.write(fd, data[:CHUNK_BYTES])

    def write_file(self, name: str, data: bytes) -> None:
        """Create a file with this content, and block until it survives a power failure."""
        fd = self.create(name)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[self.write(fd, remaining) :]
            self.sync(fd)
        finally:
            self.close_file(fd)

    def sync(self, fd: int) -> None:
        """Block until the content of a file survives a power failure."""
        os.fsync(fd)

    def close_file(self, fd: int) -> None:
        """Close a file's descriptor."""
        os.close(fd)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file atomically; an existing file of the new name is replaced."""
        os.rename(name, new_name, src_dir_fd=self._fd, dst_dir_fd=self._fd)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(name, dir_fd=self._fd)

    def sync_directory(self) -> None:
        """Block until the names in the directory survive a power failure."""
        os.fsync(self._fd)

    def list_names(self) -> list[str]:
        """Return the names in the directory."""
        return os.listdir(self._fd)

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the content of a file. Raises ValueError if it is not a regular file, or larger than `max_bytes`."""
        fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC, dir_fd=self._fd)
        try:
            status = os.fstat(fd)
            if not stat.S_ISREG(status.st_mode):  # Guards a start against a pipe without a writer.
                raise ValueError("it is no plain file")
            if status.st_size > max_bytes:
                raise ValueError(f"it has {status.st_size} bytes, and {max_bytes} are the most")
            chunks: list[bytes] = []
            while chunk := os.read(fd, CHUNK_BYTES):
                chunks.append(chunk)
                if sum(map(len, chunks)) > max_bytes:  # The file grows while it is read.
                    raise ValueError(f"it has more than {max_bytes} bytes")
            return b"".join(chunks)
        finally:
            os.close(fd)

    def try_lock(self, name: str) -> int | None:
        """Lock a file until this process ends and return its descriptor, or None if another process holds the lock."""
        fd = os.open(name, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600, dir_fd=self._fd)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        except OSError:
            os.close(fd)
            raise
        return fd
