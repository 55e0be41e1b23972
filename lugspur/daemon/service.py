"""Start, signals and shutdown of the platform's proxy: `python -m lugspur`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING

from lugspur import invariants, reload_signal
from lugspur.config.platform import Config, ConfigError, load
from lugspur.daemon.proxy import Proxy
from lugspur.discovery.endpoints import EndpointReader
from lugspur.http1.front import Front

if TYPE_CHECKING:
    from lugspur.daemon.hot_restart.hot_restart import HotRestart
    from lugspur.daemon.hot_restart.takeover import Takeover

# After SIGTERM, new connections are accepted for at least and at most this long.
MIN_LISTEN_SECONDS, MAX_LISTEN_SECONDS = 0.45, 0.6
QUIET_SECONDS = 0.1  # between the two limits, listening ends once no connection has arrived for this long
READ_SECONDS = 0.02  # time in which requests of connections that have just been accepted can still be read


class StartError(Exception):
    """The proxy can't start."""


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT, then finish open requests."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    hot_restart: HotRestart | None = None
    takeover: Takeover | None = None
    if config.management is not None:
        # Imported only here, to save memory in a proxy without an admin listener, which is alone at its address.
        from lugspur.daemon.hot_restart.hot_restart import HotRestart

        hot_restart = HotRestart(config.listen)
        takeover = await hot_restart.take_over()
    proxy = Proxy(config, None if takeover is None else takeover.state)
    front = proxy.front
    reload_signal.install_handler(loop, lambda: reload(proxy))
    if config.management is not None:
        from lugspur.daemon.admin.actions import admin_actions
        from lugspur.daemon.admin.listener import AdminListener

        admin_listener = AdminListener(config.management, admin_actions(proxy))
        try:
            await admin_listener.open()
        except OSError as error:
            raise StartError(f"management {config.management[0]}:{config.management[1]}: {error}") from error
    listener = await front.listen(None if takeover is None else takeover.listener, hot_restart is not None)
    if hot_restart is not None:
        proxy.on_ready = hot_restart.announce_ready
        proxy.attach_peers(hot_restart)
        hot_restart.attach(proxy, listener)
    if takeover is not None:
        proxy.accept_transferred_list()
    proxy.announce_ready()
    gc.collect()
    gc.freeze()
    await stop_requested.wait()
    if hot_restart is not None and hot_restart.has_successor():
        await transfer_connections(proxy, listener, hot_restart)
    else:
        await drain(front, listener)
    if hot_restart is not None:
        hot_restart.close()


def reload(proxy: Proxy) -> None:
    """Reload the configuration file; an invalid one changes nothing."""
    try:
        # Only the file: the environment still has the discovery address of the start.
        config = load({"RELAY_CONFIG": os.environ.get("RELAY_CONFIG", "")}, proxy.wire)
        proxy.reload(config)
    except (ConfigError, ValueError) as error:
        print(f"lugspur: reload: {error}; the former settings stay", file=sys.stderr, flush=True)


async def transfer_connections(proxy: Proxy, listener: socket.socket, hot_restart: HotRestart) -> None:
    """Finish the open requests, and transfer every caller's connection to the successor.

    If the successor ends before that, this process drains as without a successor.
    """
    front = proxy.front
    front.serving = False
    # The listener stays open, because this process has to serve on if the successor ends.
    asyncio.get_running_loop().remove_reader(listener.fileno())
    front.transfer_all(hot_restart.transfer_connection)
    await asyncio.sleep(READ_SECONDS)  # connections that have just been accepted become callers
    while front.callers or proxy.has_incoming_connections or hot_restart.has_unsent_transfers:
        if hot_restart.successor is None:
            front.transfer_socket = None
            await front.listen(listener)
            await drain(front, listener)
            return
        await asyncio.sleep(0.01)


async def drain(front: Front, listener: socket.socket) -> None:
    """Accept the connections that still arrive, finish all requests, and close the callers' connections."""
    loop = asyncio.get_running_loop()
    front.serving = False
    # The front layer goes on sending connections to this proxy for a moment.
    began = loop.time()
    while (elapsed := loop.time() - began) < MAX_LISTEN_SECONDS:
        if elapsed >= MIN_LISTEN_SECONDS and loop.time() - front.last_accept >= QUIET_SECONDS:
            break
        await asyncio.sleep(0.02)
    await front.stop_listening(listener)
    await asyncio.sleep(READ_SECONDS)
    front.close()
    while front.callers:
        await asyncio.sleep(0.01)


def main() -> int:
    """Run with the configuration that the environment names; return the exit status."""
    try:
        config = load(os.environ)
        EndpointReader(config.zones, config.types).check_initial_list(config.known)
    except (ConfigError, ValueError) as error:
        print(f"lugspur: {error}", file=sys.stderr)
        return 2
    invariants.add_listener(invariants.log_to_standard_error)
    try:
        asyncio.run(serve(config))
    except StartError as error:
        print(f"lugspur: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"lugspur: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0
