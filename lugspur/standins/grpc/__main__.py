"""`python -m lugspur.standins.grpc --listen 127.0.0.1:0` serves until the process is killed."""

from __future__ import annotations

import argparse
import asyncio

from lugspur.standins.grpc.backend import GrpcBackend
from lugspur.standins.grpc.script import STEPS


async def _serve(host: str, port: int, streams: int, window: int) -> None:
    backend = GrpcBackend(streams=streams, window=window)
    await backend.listen(host, port)
    print(f"ready {backend.address}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is killed."""
    steps = "\n".join(f"  {name:20} {meaning}" for name, meaning in STEPS.items())
    parser = argparse.ArgumentParser(
        prog="python -m lugspur.standins.grpc",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        description="A stand-in gRPC backend: it echoes messages.",
        epilog=f"A call's metadata x-script holds steps, separated by commas:\n{steps}",
    )
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--streams", type=int, default=100, help="maximum number of concurrent streams of a connection")
    parser.add_argument("--window", type=int, default=65_535, help="initial flow control window of a stream in bytes")
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    asyncio.run(_serve(host, int(port), arguments.streams, arguments.window))


if __name__ == "__main__":
    main()
