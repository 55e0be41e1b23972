"""A stand-in for a ZooKeeper ensemble: servers that share a tree and sessions, and into which faults are injected.

`python -m lugspur.standins.zookeeper --listen 127.0.0.1:0,127.0.0.1:0` prints `ready HOST:PORT,...` once it
listens.
"""
