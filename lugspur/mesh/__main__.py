"""`python -m lugspur.mesh serve` runs a process of the mesh; all else is the operators' command line."""

import sys

if sys.argv[1:] == ["serve"]:  # Guards the start on small machines against what only the command line needs.
    from lugspur import reload_signal

    reload_signal.record_early_signal()  # before the rest is imported, which takes its time
    from lugspur.mesh.program import serve

    sys.exit(serve())

from lugspur.mesh.cli import main

main()
