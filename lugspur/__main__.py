"""`python -m lugspur`: with no argument the platform's proxy, else the command line."""

from __future__ import annotations

import sys

from lugspur.daemon.service import main

if __name__ == "__main__":
    sys.exit(main())
