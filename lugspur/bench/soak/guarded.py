"""`python -m lugspur.bench.soak.guarded NUMBER`: a process of the mesh in which one guard is disabled."""

from __future__ import annotations

import sys

from lugspur import reload_signal
from lugspur.bench.soak.guards import GUARDS
from lugspur.mesh.program import serve

if __name__ == "__main__":
    reload_signal.record_early_signal()
    GUARDS[int(sys.argv[1])].disable()
    sys.exit(serve())
