"""A measurement as it is kept: what each run gave, in one JSON file."""

from __future__ import annotations

from pathlib import Path

import msgspec

FORM = 1  # of the files
FOLDER = Path(__file__).parents[3] / "docs" / "measurements"


class Flow(msgspec.Struct):
    """Messages of one kind a second, over all hollow proxies, and the bytes of their frames."""

    messages: float
    bytes: float


class Window(msgspec.Struct):
    """What was used over some seconds. Processor time in cores."""

    seconds: float
    control_cores: list[float]  # each control machine
    control_wire_bytes_s: list[float]  # both ways, headers too; of connections that stood all the while
    control_written_bytes_s: list[float]  # sent to the disk
    hollow_proxy_cores: float  # mean of all hollow proxies
    backends_cores: float  # the process that beats for all
    real_proxy_cores: float
    real_proxy_wire_bytes_s: float  # as above, connections to other proxies and to control machines
    real_proxy_news_bytes_s: float  # ...those to control machines alone
    received: dict[str, Flow]  # by the hollow proxies
    sent: dict[str, Flow]


class Join(msgspec.Struct):
    """A fleet's start: all proxies at once."""

    seconds: float  # until every proxy is ready and knows every backend
    control_cpu_s: float  # all control machines together, from their own start on


class Footprint(msgspec.Struct):
    """Memory, descriptors and disk when the fleet stands."""

    control_memory_mb: list[float]
    control_descriptors: list[int]
    control_disk_mb: list[float]
    rack_memory_mb: float  # mean of full racks
    rack_proxies: int  # ...and how many proxies each has
    real_memory_mb: float
    real_descriptors: int
    real_connections: int


class Changes(msgspec.Struct):
    """Changes of one route each. Milliseconds, sorted."""

    window: Window
    confirmed_ms: list[float]  # from the order to its confirmation
    last_proxy_ms: list[float]  # from the order to the last hollow proxy
    after_confirmation_ms: list[float]  # from the confirmation to the last hollow proxy, 0 where that was first


class Restart(msgspec.Struct):
    """One proxy is killed, its backend's entry withdrawn by the others, and it starts again."""

    window: Window
    withdrawn_s: float  # from the kill until the last hollow proxy knows
    complete_s: float  # from its start until all know it again


class Keyed(msgspec.Struct):
    """Operation keys, each claimed once."""

    asked_per_s: float
    window: Window
    begun: int
    won: int
    lost: int
    p50_ms: float
    p99_ms: float
    commits_per_s: list[float]  # synced writes of each control machine
    claims_held: int  # by a voter at the end
    control_memory_mb: list[float]  # at the end


class CatchUp(msgspec.Struct):
    """A control machine is killed and starts again, its disk as it was or empty."""

    empty_disk: bool
    claims: int  # that the others held
    seconds: (
        float  # from its start until the membership has all its voters, each with all it must have; -1: not in time
    )
    cpu_s: float
    received_bytes: int  # from the other control machines


class Run(msgspec.Struct):
    """All at one number of proxies."""

    proxies: int
    control: int
    machine_load: float  # processes of the whole machine that want a core, others' too, over the last minute
    join: Join
    footprint: Footprint
    subscriptions: int  # to the news of all control machines, theirs to each other too, when idle
    idle: Window
    changes: Changes
    restart: Restart
    keyed: list[Keyed]
    catch_up: list[CatchUp]


class Phase(msgspec.Struct):
    """A part of the load run: what went on, and how changes fared meanwhile."""

    name: str
    seconds: float
    changes: int
    confirmed_ms: list[float]  # sorted
    proxy_ms: list[float]  # from the order to each proxy, a sample of all, sorted
    last_proxy_ms: list[float]  # from the order to the last proxy of those that run, sorted
    after_confirmation_ms: list[float]  # from the confirmation to the last one, sorted
    not_arrived: int  # changes that had not come to a proxy at the phase's end, over all changes and proxies
    claims_begun: int
    claims_won: int
    claim_p50_ms: float
    claim_p99_ms: float
    proxy_cores: float  # mean of all hollow proxies
    busiest_control_cores: float
    news_bytes_per_proxy: float  # frames of news that a hollow proxy was sent, mean
    real_proxy_memory_mb: float
    real_proxy_wire_bytes_s: float
    oldest_news_s: float  # age of the news at the proxy that had the oldest, at the phase's end
    recovered_s: float  # until all was as before; -1: nothing was to recover, or did not within the phase


class Load(msgspec.Struct):
    """The load run: changes and operation keys all the while, and failures in turn."""

    proxies: int
    control: int
    claims_per_s: float
    changes_every_s: float
    phases: list[Phase]


class Hop(msgspec.Struct):
    """Calls of one depth on real proxies: latency added to each of its hops by the mesh."""

    depth: int
    calls: int
    direct_p50_ms: float  # the same chain of backends without proxies
    direct_p99_ms: float
    mesh_p50_ms: float
    mesh_p99_ms: float
    proxies_cpu_ms: float  # of all proxies together, for each hop of a call


class Stage(msgspec.Struct):
    """A part of the processor time of one of a call's two proxies, under a profile."""

    proxy: str
    name: str
    part: float


class Measurement(msgspec.Struct):
    """One measurement of one build."""

    form: int
    made: str  # date and time, UTC
    build: str  # commit, with + where the tree differed from it
    command: str
    note: str
    sizes: list[int] = []  # that were asked for; one that has no run failed
    runs: list[Run] = []
    load: Load | None = None
    hops: list[Hop] = []
    stages: list[Stage] = []


def save(found: Measurement, path: Path) -> None:
    """Write it as people can read it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")


def load(path: Path) -> Measurement:
    """Read one; raises msgspec.ValidationError or OSError."""
    return msgspec.json.decode(path.read_bytes(), type=Measurement)


def newest(kind: str, folder: Path = FOLDER) -> Path | None:
    """The newest of a kind, by its name, which begins with its time; None where there is none."""
    return max(folder.glob(f"*-{kind}.json"), default=None)
