"""A daemon outside a fleet imports neither the gossip and leases packages nor the libraries that they need."""

from __future__ import annotations

import subprocess
import sys
from importlib.util import find_spec

import pytest

LIBRARIES = ("msgspec", "rich", "click")
MODULES = ("lugspur.daemon.gossip", "lugspur.daemon.health_checks", "lugspur.daemon.leases", "lugspur.daemon.peers")
PRINT_IMPORTED = f"""
import sys
import lugspur.{{module}}
print([name for name in sys.modules if name.split(".")[0] in {LIBRARIES!r} or name.startswith({MODULES!r})])
"""


@pytest.mark.parametrize("module", ["daemon.service", "daemon.run", "__main__"])
def test_daemon_without_a_fleet_imports_no_gossip(module: str) -> None:
    command = [sys.executable, "-c", PRINT_IMPORTED.format(module=module)]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout == "[]\n"


@pytest.mark.parametrize("name", [*LIBRARIES, *MODULES])
def test_the_names_that_are_looked_for_exist(name: str) -> None:
    """Guards against names that no longer exist, which would never be among the imported ones."""
    assert find_spec(name) is not None


def test_an_import_of_gossip_is_noticed() -> None:
    command = [sys.executable, "-c", PRINT_IMPORTED.format(module="daemon.peers")]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert "'lugspur.daemon.gossip.protocol'" in result.stdout and "'msgspec'" in result.stdout
