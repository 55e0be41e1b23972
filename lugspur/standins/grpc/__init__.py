"""A stand-in for a gRPC backend: it echoes messages, counts the calls it ran, and injects faults on request.

`python -m lugspur.standins.grpc --listen 127.0.0.1:0` prints `ready HOST:PORT`. A call's metadata `x-script`
holds the faults as steps separated by commas; script.py describes them.
"""
