"""What a process or a machine's address uses, read from the system: CPU time, memory, descriptors, and segments."""

from __future__ import annotations

import os
import re
import subprocess
from pathlib import Path

import msgspec

from lugspur.bench.processes import Usage

HEADERS = 66  # bytes of Ethernet, IP and TCP before the payload of a segment, with time stamps


class ProcessUsage(msgspec.Struct):
    """One process at one moment."""

    cpu_s: float
    memory_mb: float
    descriptors: int
    written_bytes: int  # that it has had sent to the disk


class NetworkUsage(msgspec.Struct):
    """All standing TCP connections from and to one address, since each began."""

    connections: int
    payload_bytes: int
    segments: int

    @property
    def wire_bytes(self) -> int:
        """Payload and headers, both ways."""
        return self.payload_bytes + HEADERS * self.segments


def of_process(pid: int) -> ProcessUsage:
    """Read it now; raises OSError where it has ended."""
    usage = Usage(pid)
    return ProcessUsage(usage.cpu(), usage.memory(), len(os.listdir(f"/proc/{pid}/fd")), _written_bytes(pid))


def _written_bytes(pid: int) -> int:
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("write_bytes"))


_COUNT = re.compile(r"\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


def of_address(ip: str, port: int | None = None, peers: str = "") -> NetworkUsage:
    """Connections of one address as `ss` tells of them.

    `port`: those from or to that port alone; `peers`: those with addresses of that net alone.
    """
    command = ["ss", "-tinHO", "state", "established", "src", ip]
    if port is not None:
        command += ["and", "(", "sport", "=", f":{port}", "or", "dport", "=", f":{port}", ")"]
    if peers:
        command += ["and", "dst", peers]
    found = NetworkUsage(0, 0, 0)
    for line in subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines():
        found.connections += 1
        for name, value in _COUNT.findall(line):
            if name.startswith("bytes"):
                found.payload_bytes += int(value)
            else:
                found.segments += int(value)
    return found
