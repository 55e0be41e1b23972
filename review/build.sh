#!/bin/sh
# Builds the stand-ins of the cases: they are Python of the standard library alone, so they are only compiled.
cd "$(dirname "$0")" && python3 -m compileall -q rig.py 1 2 3
