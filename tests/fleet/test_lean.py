"""Who is in no fleet imports nothing of it."""

from __future__ import annotations

import subprocess
import sys

import pytest

LOOK = """
import sys
import lugspur.{module}
print([name for name in sys.modules if name.split(".")[0] in ("msgspec", "rich", "click")
       or name.startswith(("lugspur.daemon.gossip", "lugspur.daemon.leases", "lugspur.daemon.company"))])
"""


@pytest.mark.parametrize("module", ["daemon.service", "daemon.run", "__main__"])
def test_nothing_of_the_fleet_is_imported(module: str) -> None:
    look = [sys.executable, "-c", LOOK.format(module=module)]
    done = subprocess.run(look, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
