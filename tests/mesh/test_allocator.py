"""What is freed is given back to the system: the platform ends a process by its resident memory."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from lugspur.mesh import program
from lugspur.mesh.settings import SETTINGS_VARIABLE

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
SETTINGS = """
[self]
node_name = "f"
ip = "127.0.0.1"
zone = "z"
serves = ["courier"]
[network]
inner_ports = [1, 1]
seed_nodes = ["127.0.0.1:1"]
"""
CAPACITY = 210 << 20
BUFFERS_OF_WAITING = CAPACITY // 8  # what bodies that wait may take, which is counted apart


@pytest.mark.parametrize("seed", [1, 4])
def test_bodies_of_mixed_sizes_take_no_more_memory_than_they_are_counted_with(seed: int) -> None:
    """Guards against proxies that are killed for memory that was freed and kept in the gaps of a heap (review/8)."""
    script = PROGRAM.replace("{capacity}", str(CAPACITY)).replace("{seed}", str(seed))
    run = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60, check=True)
    assert int(run.stdout) <= BUFFERS_OF_WAITING


def test_a_process_of_the_mesh_sets_its_allocator_before_it_serves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    done: list[str] = []

    def run(serving: Coroutine[Any, Any, int]) -> int:
        serving.close()
        done.append("serve")
        return 0

    path = tmp_path / "f.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(program, "return_large_blocks_when_freed", lambda: done.append("allocator"))
    monkeypatch.setattr("lugspur.mesh.program.uvloop.run", run)
    assert program.serve() == 0 and done == ["allocator", "serve"]
