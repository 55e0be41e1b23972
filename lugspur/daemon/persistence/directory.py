"""The system calls that the store makes, one method each, so that a test can stop or fail at any of them."""

from __future__ import annotations

import fcntl
import os
import stat
from contextlib import suppress

CHUNK_BYTES = 1 << 20  # bytes written or read in one call


class Directory:
    """One folder."""

    def __init__(self, path: str) -> None:
        self.path = path
        # Kept open: what is done later is done to this folder, whatever takes its name.
        self._fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def close(self) -> None:
        """Let go of it."""
        os.close(self._fd)

    def create(self, name: str) -> int:
        """A new, empty file of ours; what had its name is gone."""
        with suppress(FileNotFoundError):
            self.remove(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
        return os.open(name, flags, 0o600, dir_fd=self._fd)

    def write(self, fd: int, data: memoryview) -> int:
        """Some of the bytes; how many."""
        return os.write(fd, data[:CHUNK_BYTES])

    def sync(self, fd: int) -> None:
        """Until all of it would survive a loss of power."""
        os.fsync(fd)

    def close_file(self, fd: int) -> None:
        """Close a file."""
        os.close(fd)

    def rename(self, name: str, other: str) -> None:
        """In one step; what had the other name is gone."""
        os.rename(name, other, src_dir_fd=self._fd, dst_dir_fd=self._fd)

    def remove(self, name: str) -> None:
        """Take a name away."""
        os.unlink(name, dir_fd=self._fd)

    def sync_directory(self) -> None:
        """Until the names would survive."""
        os.fsync(self._fd)

    def list_names(self) -> list[str]:
        """What is there."""
        return os.listdir(self._fd)

    def read(self, name: str, max_bytes: int) -> bytes:
        """A plain file of at most so many bytes; raises OSError, and ValueError for any other."""
        fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC, dir_fd=self._fd)
        try:
            found = os.fstat(fd)
            if not stat.S_ISREG(found.st_mode):  # Guards the start against a pipe that nobody writes to.
                raise ValueError("it is no plain file")
            if found.st_size > max_bytes:
                raise ValueError(f"it has {found.st_size} bytes, and {max_bytes} are the most")
            parts: list[bytes] = []
            while part := os.read(fd, CHUNK_BYTES):
                parts.append(part)
                if sum(map(len, parts)) > max_bytes:  # it grows
                    raise ValueError(f"it has more than {max_bytes} bytes")
            return b"".join(parts)
        finally:
            os.close(fd)

    def try_lock(self, name: str) -> int | None:
        """A lock that ends with this process; None: another holds it."""
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
