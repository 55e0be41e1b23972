"""A stand-in for a gRPC box: it echoes messages, counts what ran, and fails as callers or tests ask it to.

`python -m lugspur.standins.grpc --listen 127.0.0.1:0` prints `ready HOST:PORT`. A call's metadata `x-script` says
what goes wrong, in steps separated by commas: see script.py.
"""
