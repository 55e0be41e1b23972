"""`python -m lugspur.mesh serve` runs a process of the mesh; all other commands are for operators."""

import sys

if sys.argv[1:] == ["serve"]:  # Avoids the imports of the command line, which slow down the start on small machines.
    from lugspur import reload_signal

    reload_signal.record_early_signal()  # before the other imports, which take time
    from lugspur.mesh.program import serve

    sys.exit(serve())

from lugspur.mesh.cli import main

main()
