"""One upstream cluster of the daemon: its pool, endpoint source, health, and settings over reloads."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from lugspur.config import model
from lugspur.config.build import member_name
from lugspur.config.load import resolve_path
from lugspur.daemon.class_indexes import keep_class_indexes
from lugspur.daemon.pool import Pool, PoolOwner
from lugspur.discovery.endpoint_overrides import EndpointOverrides
from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.discovery.platform_watch import PlatformWatch
from lugspur.discovery.registry_endpoints import RegistryEndpoints
from lugspur.discovery.registry_sessions import Ensemble, RegistrySessions
from lugspur.discovery.registry_source import RegistrySource
from lugspur.discovery.sources import EndpointSource, StaticList, WatchedFile
from lugspur.http1.upstream import Upstream
from lugspur.load_balancing.model import ListUpdateKind, Outcome, RequestClass, ServerState, Settings
from lugspur.routing.pool_health import PoolHealth
from lugspur.routing.shares import SharedLimit
from lugspur.zookeeper.session import SessionOptions

if TYPE_CHECKING:
    from lugspur.daemon.persistence.snapshot_format import PoolSnapshot
    from lugspur.http2.upstream import GrpcUpstream

GRPC_HOST_TYPE = 1  # host type of gRPC backends in the balancer: streams are sent to these only
IDLE_CHECK_INTERVAL_SECONDS = 0.1  # between checks whether a removed cluster has finished its last request


def classify_response(status: int, unseen: bool) -> Outcome:
    """Return the outcome of an attempt to which an ordinary backend responded with this status.

    A status below 500 means that the backend did its work, except for 408 and 429, by which it gave up. 501
    concerns the request too: another backend would not support it either.
    Only `X-Not-Processed: 1` (`unseen`) proves that nothing ran.
    """
    if status == 501 or (status < 500 and status not in (408, 429)):
        return Outcome.OK
    return Outcome.OVERLOADED if status in (503, 504) and unseen else Outcome.ERROR


class UpstreamCluster:
    """The backends of one pool of the configuration file, from its first load until it is removed and idle."""

    def __init__(
        self, name: str, sockets: SharedLimit, owner: PoolOwner, epoch: float, registries: RegistrySessions
    ) -> None:
        self.name = name
        self.health = PoolHealth()
        self.overrides = EndpointOverrides()
        self._registries = registries
        self._sockets, self._owner, self._epoch = sockets, owner, epoch
        self._loop = asyncio.get_running_loop()
        self._config: model.Pool | None = None
        self._source_key: object = None  # the settings that the source was created from
        self._source: EndpointSource | None = None
        self.pool: Pool
        self.speaks_grpc = False  # whether any backend speaks gRPC
        self._streams: GrpcUpstream | None = None  # connections to gRPC backends
        self._byte_limits = 0, 0  # bytes of all incomplete responses, and of one response
        self._tenant_indexes: dict[str, int] = {}
        self._list_changes = 0  # endpoint lists and changes received so far
        # Called with the cluster's name, the backend, and whether a connection to it was established.
        self.on_connection_attempt: Callable[[str, int, bool], None] | None = None
        self.on_endpoints_changed: Callable[[str], None] | None = None  # called with the cluster's name

    def apply(
        self,
        row: model.Pool,
        settings: Settings,
        max_held_bytes: int,
        limits: model.Limits,
        config_path: str,
        registries: Mapping[str, model.Registry],
        snapshot: PoolSnapshot | None = None,
        snapshot_age: float | None = None,
    ) -> None:
        """Put the pool's settings in the file at `config_path` into force; statistics of backends are kept.

        `snapshot` is what an earlier process learned of the pool, `snapshot_age` its age in seconds, or None
        where that is unknown.
        """
        if self._config is None:
            self._start_pool(row, settings)
        else:
            open_classes = {call.attributes.class_index for call in self.pool.calls.values()}
            self.pool.change_settings(
                replace(
                    settings,
                    classes=tuple(keep_class_indexes(self.pool.settings.classes, settings.classes, open_classes)),
                )
            )
        self._config = row
        self._tenant_indexes = {tenant.name: at for at, tenant in enumerate(settings.tenants)}
        max_response_bytes = limits.answer
        self._byte_limits = max_held_bytes, max_response_bytes
        upstream = self.pool.upstream
        upstream.update_limits(row.keep, row.connect, max_held_bytes, max_response_bytes, row.idle)
        upstream.streaming_threshold, upstream.max_streamed_response, upstream.max_streamed_bytes = (
            limits.hold,
            max_response_bytes,
            max_held_bytes,
        )
        if self._streams is not None:
            self._streams.tune(row.keep, row.connect, max_held_bytes, max_response_bytes)
        if snapshot is not None:  # serves until the source has delivered a list
            self._publish(ListUpdateKind.STALE, self.overrides.apply(ListUpdateKind.STALE, snapshot.endpoints))
        self._follow_source(row, config_path, registries)
        if snapshot is not None:
            self._restore_learned(snapshot, snapshot_age)

    def _restore_learned(self, snapshot: PoolSnapshot, snapshot_age: float | None) -> None:
        # Imported only here: a daemon without persistence does not need it.
        from lugspur.daemon.persistence.aging import decay

        now = self.pool.now()
        learned = decay(snapshot, snapshot_age, now)
        if learned is not None:
            self.pool.balancer.import_learned(now, learned)

    def change_counts(self) -> tuple[int, int]:
        """Return the counts of requests and of list changes; while both are unchanged, nothing new was learned."""
        return self.pool.request_count, self._list_changes

    def class_index(self, row: RequestClass) -> int:
        """Return the index of a class in this pool's settings.

        A class that a reload removed while the request's body was arriving is added again.
        """
        known = self.pool.settings.classes
        if row not in known:
            self.pool.change_settings(replace(self.pool.settings, classes=(*known, row)))
        return self.pool.settings.classes.index(row)

    def tenant_index(self, name: str) -> int:
        """Return the index of a tenant in this pool's settings, or 0 for a tenant that a reload removed."""
        return self._tenant_indexes.get(name, 0)

    def _start_pool(self, row: model.Pool, settings: Settings) -> None:
        connections = Upstream(
            self._sockets,
            self.name,
            row.keep,
            row.connect,
            0,
            classify=classify_response,
            on_dialled=self._record_connection_attempt,
        )
        seed = int.from_bytes(os.urandom(8), "big")
        self.pool = Pool(settings, seed, connections, self._owner, self._epoch, lane=self._grpc_streams)
        self.pool.streams_responses = True
        self.pool.start()

    def _grpc_streams(self) -> GrpcUpstream:
        """Return the connections to gRPC backends; created, and their module imported, with the first such backend."""
        from lugspur.http2.upstream import GrpcUpstream

        if self._streams is None:
            assert self._config is not None
            self._streams = GrpcUpstream(self._sockets, self.name, classify_response, self._record_connection_attempt)
            self._streams.tune(self._config.keep, self._config.connect, *self._byte_limits)
        return self._streams

    def _record_connection_attempt(self, server: int, up: bool) -> None:
        if up:
            self.health.mark_reachable(server)
        else:
            self.health.mark_unreachable(self._loop.time(), server)
        if self.on_connection_attempt is not None:
            self.on_connection_attempt(self.name, server, up)

    # ---- endpoints ----------------------------------------------------------------------------

    def _follow_source(self, row: model.Pool, config_path: str, registries: Mapping[str, model.Registry]) -> None:
        """Open the source that the configuration names; a source whose settings are unchanged stays."""
        ensemble = registries[row.registry.name] if row.registry else None
        origin = (row.members, row.file, row.watch, row.registry, row.protocol, ensemble)
        if self._source is not None and origin == self._source_key:
            return
        former, self._source_key = self._source, origin
        self._source = self._create_source(row, config_path, ensemble)
        # The new source opens before the former closes, so that a session that both use stays open.
        self._source.open()
        if former is not None:
            former.close()  # its endpoints stay until the new source delivers a complete list

    def _create_source(self, row: model.Pool, config_path: str, ensemble: model.Registry | None) -> EndpointSource:
        reader = EndpointReader(protocol=row.protocol)
        fixed = [reader.endpoint(_entry(member)) for member in row.members]
        if row.file:
            return WatchedFile(resolve_path(row.file, config_path), reader, self._receive_endpoints)
        if row.watch:
            return PlatformWatch(row.watch, reader, 0, self._receive_endpoints)
        if row.registry is not None and ensemble is not None:
            follow, known = row.registry, bool(self.pool.backends)
            # For a pool whose registry has moved, the last list is better than the fixed one.
            return RegistrySource(
                self._registries,
                registry_ensemble(ensemble),
                follow.path,
                RegistryEndpoints(follow.format, row.protocol),
                stale_after=follow.stale_after,
                static=[] if known else fixed,
                on_update=self._receive_endpoints,
                pool=self.name,
            )
        return StaticList(fixed, self._receive_endpoints)

    def _receive_endpoints(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        if not endpoints and kind is ListUpdateKind.PATCH:
            return
        if any(endpoint.speaks_grpc for endpoint in endpoints):
            endpoints = [
                replace(endpoint, row=replace(endpoint.row, host_type=GRPC_HOST_TYPE))
                if endpoint.speaks_grpc
                else endpoint
                for endpoint in endpoints
            ]
        self._publish(kind, self.overrides.apply(kind, endpoints))

    def set_banned(self, server: int, is_banned: bool, now: float) -> None:
        """Take a backend out of service, or let it serve again, at an operator's request."""
        changed = self.overrides.disable(server) if is_banned else self.overrides.enable(server, now)
        if changed:
            self._publish(ListUpdateKind.PATCH, changed)
            if not is_banned:
                self.pool.reinstate(server)

    def set_unhealthy(self, servers: set[int], now: float) -> None:
        """Record which backends the pool's health checker found unhealthy; all others count as healthy. Bans stay."""
        before = self.overrides.unhealthy
        changed = self.overrides.set_unhealthy(servers, now)
        if changed:
            self._publish(ListUpdateKind.PATCH, changed)
        for server in (before - servers).intersection(self.overrides.latest) - self.overrides.banned:
            self.pool.reinstate(server)

    def _publish(self, kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
        self._list_changes += 1
        self.pool.update_endpoints(kind, endpoints)
        self.speaks_grpc = any(backend.transport is not None for backend in self.pool.backends.values())
        up = (key for key, server in self.pool.balancer.table.servers.items() if server.row.state is ServerState.UP)
        self.health.set_backends(up)
        if self.on_endpoints_changed is not None:
            self.on_endpoints_changed(self.name)

    # ---- removal -----------------------------------------------------------------------------

    def close_when_idle(self, delay_seconds: float) -> None:
        """Close after the last open request, in `delay_seconds` at the earliest, since the file no longer has the pool.

        The delay protects requests whose bodies are still arriving: their heads were routed by the former file.
        """
        self._loop.call_later(delay_seconds, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.pool.calls:
            self._loop.call_later(IDLE_CHECK_INTERVAL_SECONDS, self._close_if_idle)
        else:
            self.close()

    def close(self) -> None:
        """Close the endpoint source and all idle connections."""
        source, self._source = self._source, None
        if source is not None:
            source.close()
        self.pool.update_endpoints(ListUpdateKind.COMPLETE, [])
        self.pool.upstream.close()
        if self._streams is not None:
            self._streams.close()


def registry_ensemble(row: model.Registry) -> Ensemble:
    """Return the addresses and session settings of a registry in the configuration."""
    auth = (("digest", row.auth.encode()),) if row.auth else ()
    return Ensemble(row.ensemble, SessionOptions(row.session, row.read_only, auth))


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
