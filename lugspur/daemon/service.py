"""Start, signals and shutdown of the platform's proxy: `python -m lugspur`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING

from lugspur import invariants, reloads
from lugspur.config.platform import Config, ConfigError, load
from lugspur.daemon.proxy import Proxy
from lugspur.discovery.endpoints import EndpointReader
from lugspur.http1.front import Front

if TYPE_CHECKING:
    from lugspur.daemon.hot_restart.hot_restart import HotRestart
    from lugspur.daemon.hot_restart.takeover import Takeover

LISTEN_LEAST, LISTEN_MOST = 0.45, 0.6  # seconds after SIGTERM in which new connections are still taken...
LISTEN_QUIET = 0.1  # ...until none has come for so long
CLOSE_AFTER = 0.02  # seconds in which what has just been accepted can still be read


class StartError(Exception):
    """The proxy can't take up service."""


async def serve(config: Config) -> None:
    """Run until SIGTERM, then finish what was taken."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    hot_restart: HotRestart | None = None
    takeover: Takeover | None = None
    if config.management is not None:
        # Imported only here: a proxy without a second address stays lean, and alone under its address.
        from lugspur.daemon.hot_restart.hot_restart import HotRestart

        hot_restart = HotRestart(config.listen)
        takeover = await hot_restart.take_over()
    proxy = Proxy(config, None if takeover is None else takeover.state)
    front = proxy.front
    reloads.carry_out(loop, lambda: reload(proxy))
    if config.management is not None:
        from lugspur.daemon.admin.actions import admin_actions
        from lugspur.daemon.admin.listener import AdminListener

        admin_listener = AdminListener(config.management, admin_actions(proxy))
        try:
            await admin_listener.open()
        except OSError as fault:
            raise StartError(f"management {config.management[0]}:{config.management[1]}: {fault}") from fault
    listener = await front.listen(None if takeover is None else takeover.listener, hot_restart is not None)
    if hot_restart is not None:
        proxy.on_ready = hot_restart.announce_ready
        proxy.attach_peers(hot_restart)
        hot_restart.attach(proxy, listener)
    if takeover is not None:
        proxy.accept_transferred_list()
    proxy.begin()
    gc.collect()
    gc.freeze()
    await told.wait()
    if hot_restart is not None and hot_restart.has_successor():
        await transfer_connections(proxy, listener, hot_restart)
    else:
        await drain(front, listener)
    if hot_restart is not None:
        hot_restart.close()


def reload(proxy: Proxy) -> None:
    """Read the configuration file again; one that can't be read changes nothing."""
    try:
        # The file alone: the environment still names the discovery of the start.
        config = load({"RELAY_CONFIG": os.environ.get("RELAY_CONFIG", "")}, proxy.wire)
        proxy.reload(config)
    except (ConfigError, ValueError) as fault:
        print(f"lugspur: reload: {fault}; the former settings stay", file=sys.stderr, flush=True)


async def transfer_connections(proxy: Proxy, listener: socket.socket, hot_restart: HotRestart) -> None:
    """Finish the requests that are open here, and give every caller's connection to the successor.

    Where the successor ends before that, this process drains as without a successor.
    """
    front = proxy.front
    front.serving = False
    # Not closed: should the other process end, this one has to serve on.
    asyncio.get_running_loop().remove_reader(listener.fileno())
    front.pass_all(hot_restart.transfer_connection)
    await asyncio.sleep(CLOSE_AFTER)  # what has just been accepted becomes a caller
    while front.callers or proxy.has_incoming_connections or hot_restart.has_unsent_transfers:
        if hot_restart.successor is None:
            front.pass_to = None
            await front.listen(listener)
            await drain(front, listener)
            return
        await asyncio.sleep(0.01)


async def drain(front: Front, listener: socket.socket) -> None:
    """Take what is still coming, answer all that was taken, and let go of the callers."""
    loop = asyncio.get_running_loop()
    front.serving = False
    # Guards what is on its way: the callers' front goes on sending connections for a moment.
    begun = loop.time()
    while (passed := loop.time() - begun) < LISTEN_MOST:
        if passed >= LISTEN_LEAST and loop.time() - front.last_accept >= LISTEN_QUIET:
            break
        await asyncio.sleep(0.02)
    await front.stop_listening(listener)
    await asyncio.sleep(CLOSE_AFTER)
    front.close()
    while front.callers:
        await asyncio.sleep(0.01)


def main() -> int:
    """Run with the configuration that the environment names."""
    try:
        config = load(os.environ)
        EndpointReader(config.zones, config.types).check_initial_list(config.known)
    except (ConfigError, ValueError) as fault:
        print(f"lugspur: {fault}", file=sys.stderr)
        return 2
    invariants.add_listener(invariants.log_to_standard_error)
    try:
        asyncio.run(serve(config))
    except StartError as fault:
        print(f"lugspur: {fault}", file=sys.stderr)
        return 1
    except OSError as fault:
        print(f"lugspur: {config.listen[0]}:{config.listen[1]}: {fault}", file=sys.stderr)
        return 1
    return 0
