#!/bin/sh
# The stand-ins of cases 4 to 8 are `rig_2.py` and the `case.py` beside each script: Python's standard library alone, so
# that nothing has to be compiled. This checks that they can be read, and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "review: run the build command of deploy/system.toml first" >&2; exit 1; }
exec python3 - review/rig_2.py review/[4-8]/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("review: Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files of stand-ins can be read")
END
