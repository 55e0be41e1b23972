"""What is freed is given back to the system: the platform ends a process by its resident memory."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Bodies of mixed sizes and unknown length arrive at once; some are given up. Prints the most bytes that were resident
# beyond those of the start and those that were counted.
PROGRAM = """
import random
from lugspur.http1.body_memory import BodyMemory, Direction, GrowingBody
from lugspur.mesh.allocator import return_large_blocks_when_freed

assert return_large_blocks_when_freed()
PAGE = 4096

def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE

checks = []
memory = BodyMemory({capacity}, checks.append)
memory.set_largest_body(64 << 20)
drawn, start, most, bodies = random.Random({seed}), resident(), 0, []
for step in range(10_000):
    while checks:
        checks.pop()()
    if len(bodies) < 8:
        size = drawn.choice([60, 35, 20, 8, 2]) << 20
        bodies.append([GrowingBody(memory, Direction.OUTGOING, lambda: None), size, 0])
    body = drawn.choice([body for body in bodies if not body[0].is_waiting])
    body[0].put(bytes(65536))
    body[2] += 65536
    if body[2] >= body[1] or drawn.random() < 0.0005:
        bodies.remove(body)
        if body[0].is_waiting or drawn.random() < 0.3:
            body[0].close()
        else:
            body[0].finish()
    most = max(most, resident() - start - memory.used_bytes)
print(most)
"""
CAPACITY = 210 << 20
BUFFERS_OF_WAITING = CAPACITY // 8  # what bodies that wait may take, which is counted apart


@pytest.mark.parametrize("seed", [1, 4])
def test_bodies_of_mixed_sizes_take_no_more_memory_than_they_are_counted_with(seed: int) -> None:
    """Guards against proxies that are killed for memory that was freed and kept in the gaps of a heap (review/8)."""
    script = PROGRAM.replace("{capacity}", str(CAPACITY)).replace("{seed}", str(seed))
    run = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60, check=True)
    assert int(run.stdout) <= BUFFERS_OF_WAITING
