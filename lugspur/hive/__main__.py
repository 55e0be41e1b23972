"""`python -m lugspur.hive serve` runs a process of the hive; all else is the operators' command line."""

import sys

if sys.argv[1:] == ["serve"]:  # Guards the start on small machines against what only the command line needs.
    from lugspur.hive.program import serve

    sys.exit(serve())

from lugspur.hive.cli import main

main()
