"""Takes readings of a hollow fleet and makes windows of them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from lugspur.emulator.capacity.measurement import Flow, Footprint, Window
from lugspur.emulator.hollow.commands import Collected
from lugspur.emulator.hollow.counting import Traffic
from lugspur.emulator.hollow.fleet import RACK, HollowFleet
from lugspur.emulator.hollow.layout import INNER
from lugspur.emulator.hollow.usage import NetworkUsage, ProcessUsage, of_address, of_process


@dataclass
class Reading:
    """A fleet at one moment."""

    at: float
    control: dict[int, ProcessUsage]
    control_network: dict[int, NetworkUsage]
    racks: dict[int, ProcessUsage]  # by process id
    rack_proxies: dict[int, int]
    backends: ProcessUsage
    real: ProcessUsage
    real_network: NetworkUsage
    real_news: NetworkUsage
    collected: dict[int, Collected]  # by process id


async def read(fleet: HollowFleet) -> Reading:
    """Read everything now."""
    collected = await fleet.collect()
    layout = fleet.layout
    real_ip = layout.proxy_ip(0)
    racks = {rack.process.pid: of_process(rack.process.pid) for rack in fleet.racks}
    control = {index: of_process(process.pid) for index, process in fleet.control.items()}
    return Reading(
        at=time.monotonic(),
        control=control,
        control_network={index: of_address(layout.control_ip(index)) for index in fleet.control},
        racks=racks,
        rack_proxies={rack.process.pid: len(rack.indexes) for rack in fleet.racks},
        backends=of_process(fleet.backends.pid),
        real=of_process(fleet.real.pid),
        real_network=of_address(real_ip, INNER),
        real_news=of_address(real_ip, INNER, f"127.{layout.net}.1.0/24"),
        collected={rack.process.pid: found for rack, found in zip(fleet.racks, collected, strict=True)},
    )


def window(first: Reading, last: Reading) -> Window:
    """What was used between two readings, by the processes that are in both."""
    seconds = last.at - first.at
    pids = first.racks.keys() & last.racks.keys()
    proxies = sum(last.rack_proxies[pid] for pid in pids)
    control = sorted(first.control.keys() & last.control.keys())
    return Window(
        seconds=seconds,
        control_cores=[_cores(first.control[n], last.control[n], seconds) for n in control],
        control_wire_bytes_s=[_wire(first.control_network[n], last.control_network[n], seconds) for n in control],
        control_written_bytes_s=[
            (last.control[n].written_bytes - first.control[n].written_bytes) / seconds for n in control
        ],
        hollow_proxy_cores=sum(_cores(first.racks[pid], last.racks[pid], seconds) for pid in pids) / proxies,
        backends_cores=_cores(first.backends, last.backends, seconds),
        real_proxy_cores=_cores(first.real, last.real, seconds),
        real_proxy_wire_bytes_s=_wire(first.real_network, last.real_network, seconds),
        real_proxy_news_bytes_s=_wire(first.real_news, last.real_news, seconds),
        received=_flows([(first.collected[pid].received, last.collected[pid].received) for pid in pids], seconds),
        sent=_flows([(first.collected[pid].sent, last.collected[pid].sent) for pid in pids], seconds),
    )


def footprint(fleet: HollowFleet, found: Reading) -> Footprint:
    """Memory, descriptors and disk at a reading."""
    full = [found.racks[pid] for pid, count in found.rack_proxies.items() if count == max(found.rack_proxies.values())]
    folders = [fleet.layout.folder / fleet.layout.control_ip(n) for n in sorted(found.control)]
    return Footprint(
        control_memory_mb=[found.control[n].memory_mb for n in sorted(found.control)],
        control_descriptors=[found.control[n].descriptors for n in sorted(found.control)],
        control_disk_mb=[_disk_mb(folder) for folder in folders],
        rack_memory_mb=sum(usage.memory_mb for usage in full) / len(full),
        rack_proxies=min(RACK, max(found.rack_proxies.values())),
        real_memory_mb=found.real.memory_mb,
        real_descriptors=found.real.descriptors,
        real_connections=found.real_network.connections,
    )


def _disk_mb(folder: Path) -> float:
    return sum(file.stat().st_blocks * 512 for file in folder.rglob("*") if file.is_file()) / (1 << 20)


def _cores(first: ProcessUsage, last: ProcessUsage, seconds: float) -> float:
    return (last.cpu_s - first.cpu_s) / seconds


def _wire(first: NetworkUsage, last: NetworkUsage, seconds: float) -> float:
    return max(0.0, (last.wire_bytes - first.wire_bytes) / seconds)


def _flows(pairs: list[tuple[dict[str, Traffic], dict[str, Traffic]]], seconds: float) -> dict[str, Flow]:
    found: dict[str, Flow] = {}
    for before, after in pairs:
        for kind, traffic in after.items():
            former = before.get(kind, Traffic())
            flow = found.setdefault(kind, Flow(0.0, 0.0))
            flow.messages += (traffic.messages - former.messages) / seconds
            flow.bytes += (traffic.bytes - former.bytes) / seconds
    return {kind: found[kind] for kind in sorted(found) if found[kind].messages}
