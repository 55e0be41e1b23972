"""One named pool as the daemon holds it: the module's instance, its list, its standing, its settings by reload."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from lugspur.config import model
from lugspur.config.build import member_name
from lugspur.config.load import resolved
from lugspur.daemon.places import places
from lugspur.daemon.pool import Owner, Pool
from lugspur.discovery.endpoint_overrides import EndpointOverrides
from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.discovery.platform_watch import PlatformWatch
from lugspur.discovery.registry_endpoints import RegistryEndpoints
from lugspur.discovery.registry_sessions import Ensemble, RegistrySessions
from lugspur.discovery.registry_source import RegistrySource
from lugspur.discovery.sources import EndpointSource, StaticList, WatchedFile
from lugspur.http1.upstream import Upstream
from lugspur.load_balancing.model import ListUpdateKind, Outcome, RequestClass, ServerState, Settings
from lugspur.routing.shares import Shares
from lugspur.routing.standing import Standing
from lugspur.zookeeper.session import Terms

if TYPE_CHECKING:
    from lugspur.daemon.persistence.snapshot_format import PoolSnapshot
    from lugspur.http2.upstream import Streams

GRPC = 1  # the kind of backends that speak gRPC, for the decision module: streams are bound to it
LEAVE_EVERY = 0.1  # seconds between looks at whether a pool that leaves has ended its last request


def judge(status: int, unseen: bool) -> Outcome:
    """What an ordinary backend's answer says of its attempt.

    Below 500 the backend did its work, whatever it thought of the request, but for 408 and 429: it gave up. 501
    is about the request too: another backend would not know it either.
    Only `X-Not-Processed: 1` proves of an answer that nothing ran.
    """
    if status == 501 or (status < 500 and status not in (408, 429)):
        return Outcome.OK
    return Outcome.OVERLOADED if status in (503, 504) and unseen else Outcome.ERROR


class Station:
    """A pool by its name in the file."""

    def __init__(self, name: str, sockets: Shares, owner: Owner, epoch: float, registries: RegistrySessions) -> None:
        self.name = name
        self.standing = Standing()
        self.overrides = EndpointOverrides()
        self._registries = registries
        self._sockets, self._owner, self._epoch = sockets, owner, epoch
        self._loop = asyncio.get_running_loop()
        self._row: model.Pool | None = None
        self._origin: object = None  # what its source was made from
        self._source: EndpointSource | None = None
        self.pool: Pool
        self.speaks_grpc = False  # whether a backend of it does
        self._streams: Streams | None = None  # connections to those
        self._limits = 0, 0  # bytes of answers that are not whole, and of one answer
        self._tenants: dict[str, int] = {}
        self._lists = 0  # lists and changes that have been told
        self.tried: Callable[[str, int, bool], None] | None = None  # told of each box whether a connection came up
        self.shown: Callable[[str], None] | None = None  # told when the list has changed

    def apply(
        self,
        row: model.Pool,
        settings: Settings,
        held_most: int,
        limits: model.Limits,
        beside: str,
        registries: Mapping[str, model.Registry],
        kept: PoolSnapshot | None = None,
        age: float | None = None,
    ) -> None:
        """Begin, or go on, by this row of the file `beside`; what was learned of backends stays.

        `kept`: what a process before this one knew of the pool, and its age, where that can be known.
        """
        if self._row is None:
            self._begin(row, settings)
        else:
            held = {call.facts.kind for call in self.pool.calls.values()}
            self.pool.adopt(
                replace(settings, classes=tuple(places(self.pool.settings.classes, settings.classes, held)))
            )
        self._row = row
        self._tenants = {tenant.name: at for at, tenant in enumerate(settings.tenants)}
        answer_most = limits.answer
        self._limits = held_most, answer_most
        upstream = self.pool.upstream
        upstream.tune(row.keep, row.connect, held_most, answer_most, row.idle)
        upstream.pass_from, upstream.pass_most, upstream.flow_most = limits.hold, answer_most, held_most
        if self._streams is not None:
            self._streams.tune(row.keep, row.connect, held_most, answer_most)
        if kept is not None:  # until its source has told a list, that one serves
            self._show(ListUpdateKind.STALE, self.overrides.apply(ListUpdateKind.STALE, kept.endpoints))
        self._feed(row, beside, registries)
        if kept is not None:
            self._recall(kept, age)

    def _recall(self, kept: PoolSnapshot, age: float | None) -> None:
        # Imported only here: a daemon that keeps nothing has no use for it.
        from lugspur.daemon.persistence.aging import decay

        now = self.pool.now()
        learned = decay(kept, age, now)
        if learned is not None:
            self.pool.balancer.import_learned(now, learned)

    def seen(self) -> tuple[int, int]:
        """Changes where something may have been learned."""
        return self.pool.taken, self._lists

    def kind(self, row: RequestClass) -> int:
        """A class's place in this pool's settings; one that a reload has taken out while a body came is put back."""
        known = self.pool.settings.classes
        if row not in known:
            self.pool.adopt(replace(self.pool.settings, classes=(*known, row)))
        return self.pool.settings.classes.index(row)

    def tenant(self, name: str) -> int:
        """A tenant's place in this pool's settings; one that a reload has taken out has no share any more."""
        return self._tenants.get(name, 0)

    def _begin(self, row: model.Pool, settings: Settings) -> None:
        connections = Upstream(self._sockets, self.name, row.keep, row.connect, 0, judge=judge, dialled=self._dialled)
        seed = int.from_bytes(os.urandom(8), "big")
        self.pool = Pool(settings, seed, connections, self._owner, self._epoch, lane=self._lane)
        self.pool.streams = True
        self.pool.start()

    def _lane(self) -> Streams:
        """Connections to gRPC backends, made and imported when the first of them is listed."""
        from lugspur.http2.upstream import Streams

        if self._streams is None:
            assert self._row is not None
            self._streams = Streams(self._sockets, self.name, judge, self._dialled)
            self._streams.tune(self._row.keep, self._row.connect, *self._limits)
        return self._streams

    def _dialled(self, server: int, up: bool) -> None:
        if up:
            self.standing.reached(server)
        else:
            self.standing.unreachable(self._loop.time(), server)
        if self.tried is not None:
            self.tried(self.name, server, up)

    # ---- the list ----------------------------------------------------------------------------

    def _feed(self, row: model.Pool, beside: str, registries: Mapping[str, model.Registry]) -> None:
        """Take the list from where the row says; one that has not changed goes on as it is."""
        ensemble = registries[row.registry.name] if row.registry else None
        origin = (row.members, row.file, row.watch, row.registry, row.protocol, ensemble)
        if self._source is not None and origin == self._origin:
            return
        former, self._origin = self._source, origin
        self._source = self._made(row, beside, ensemble)
        self._source.open()  # before the former ends: a session that both use goes on
        if former is not None:
            former.close()  # what it told stays until the new one tells a whole list

    def _made(self, row: model.Pool, beside: str, ensemble: model.Registry | None) -> EndpointSource:
        reader = EndpointReader(protocol=row.protocol)
        fixed = [reader.endpoint(_entry(member)) for member in row.members]
        if row.file:
            return WatchedFile(resolved(row.file, beside), reader, self._members)
        if row.watch:
            return PlatformWatch(row.watch, reader, 0, self._members)
        if row.registry is not None and ensemble is not None:
            follow, known = row.registry, bool(self.pool.backends)
            # Guards a pool whose registry has moved: its last list is better than the fixed one.
            return RegistrySource(
                self._registries,
                servers(ensemble),
                follow.path,
                RegistryEndpoints(follow.format, row.protocol),
                stale_after=follow.stale_after,
                static=[] if known else fixed,
                on_update=self._members,
                pool=self.name,
            )
        return StaticList(fixed, self._members)

    def _members(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        if not endpoints and kind is ListUpdateKind.PATCH:
            return
        if any(endpoint.speaks_grpc for endpoint in endpoints):
            endpoints = [
                replace(endpoint, row=replace(endpoint.row, host_type=GRPC)) if endpoint.speaks_grpc else endpoint
                for endpoint in endpoints
            ]
        self._show(kind, self.overrides.apply(kind, endpoints))

    def ban(self, server: int, on: bool, now: float) -> None:
        """Operators take a box out, or put it back."""
        changed = self.overrides.disable(server) if on else self.overrides.enable(server, now)
        if changed:
            self._show(ListUpdateKind.PATCH, changed)
            if not on:
                self.pool.put_back(server)

    def away(self, servers: set[int], now: float) -> None:
        """The pool's prober holds these for down, and no others; operators' bans are another matter."""
        before = self.overrides.unhealthy
        changed = self.overrides.set_unhealthy(servers, now)
        if changed:
            self._show(ListUpdateKind.PATCH, changed)
        for server in (before - servers).intersection(self.overrides.latest) - self.overrides.banned:
            self.pool.put_back(server)

    def _show(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        self._lists += 1
        self.pool.members(kind, endpoints)
        self.speaks_grpc = any(backend.lane is not None for backend in self.pool.backends.values())
        up = (key for key, server in self.pool.balancer.table.servers.items() if server.row.state is ServerState.UP)
        self.standing.listed(up)
        if self.shown is not None:
            self.shown(self.name)

    # ---- its end -----------------------------------------------------------------------------

    def leave(self, within: float) -> None:
        """The file names it no more: end with the last request that began before, in so many seconds or later.

        Guards requests whose bodies are still coming: their heads were judged by the file that named it.
        """
        self._loop.call_later(within, self._end)

    def _end(self) -> None:
        if self.pool.calls:
            self._loop.call_later(LEAVE_EVERY, self._end)
        else:
            self.close()

    def close(self) -> None:
        """Let go of the list and of all idle connections."""
        source, self._source = self._source, None
        if source is not None:
            source.close()
        self.pool.members(ListUpdateKind.COMPLETE, [])
        self.pool.upstream.close()
        if self._streams is not None:
            self._streams.close()


def servers(row: model.Registry) -> Ensemble:
    """A registry's row as its sessions need it."""
    auth = (("digest", row.auth.encode()),) if row.auth else ()
    return Ensemble(row.ensemble, Terms(row.session, row.read_only, auth))


def _entry(member: model.Member) -> dict[str, Any]:
    protocol = {"protocol": member.protocol} if member.protocol else {}
    return protocol | {
        "name": member_name(member),
        "address": f"{member.address[0]}:{member.address[1]}",
        "zone": member.zone,
        "group": member.cell,
        "weight": member.weight,
        "status": "terminating" if member.drain else "in_service",
    }
