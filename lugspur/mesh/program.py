"""Runs a process of the mesh: a control node or a proxy, as its settings file says."""

from __future__ import annotations

import asyncio
import gc
import os
import signal

import uvloop

from lugspur import invariants, reload_signal
from lugspur.mesh import events
from lugspur.mesh.allocator import return_large_blocks_when_freed
from lugspur.mesh.control.errors import MeshError
from lugspur.mesh.process import MeshProcess
from lugspur.mesh.settings import DEFAULT_SETTINGS_PATH, SERVED_CONTRACTS, SETTINGS_VARIABLE, Settings, load_settings

GC_YOUNG_THRESHOLD = 20_000  # allocations until a collection of the youngest generation: requests leave few cycles


def serve() -> int:
    """Run until SIGTERM; return the exit status: 1 if the start failed, 2 if the settings can't be used."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        settings = load_settings(path)
    except MeshError as fault:
        events.start("unknown")
        events.warn("settings", fault=fault.detail)
        return 2
    events.start(settings.own.node_name)
    return_large_blocks_when_freed()
    unserved = sorted(set(settings.tariffs.contracts) - SERVED_CONTRACTS)
    # Reports a deployment that requires contracts which this build does not serve: callers would only see failures.
    if unserved:
        events.warn("contracts", unserved=",".join(unserved))
    invariants.add_listener(lambda invariant, details: events.warn("invariant", violated=invariant.value, **details))
    try:
        return uvloop.run(_run(settings, path))
    except MeshError as fault:
        events.warn("stopped", code=fault.code, fault=fault.detail)
        return 1


async def _run(settings: Settings, path: str) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    # Only the module that is run is imported: on a small machine each import delays the start.
    process: MeshProcess
    if settings.is_control_node:
        from lugspur.mesh.control_node.process import ControlNode

        control_node = process = ControlNode(settings, path)
        await control_node.serve()
        shut_down = control_node.shut_down
    else:
        from lugspur.mesh.sidecar.process import Sidecar

        sidecar = process = Sidecar(settings, path)
        await sidecar.serve()
        shut_down = sidecar.shut_down
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    reload_signal.install_handler(loop, process.reload)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, 20, 50)
    events.info("serving", ip=process.ip, keeps=settings.is_control_node, first=settings.own.first_start)
    await stop.wait()
    events.info("leaving")
    await shut_down()
    return 0
