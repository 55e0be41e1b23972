"""Applies what a peer has said to the proxy of this process."""

from __future__ import annotations

import socket

from lugspur.daemon.hot_restart.descriptors import close_all
from lugspur.daemon.hot_restart.packets import Packet, PacketError, PacketKind
from lugspur.daemon.hot_restart.restartable_proxy import RestartableProxy
from lugspur.discovery.endpoints import server_id

#: What binds all processes of a proxy: a process between two others passes it on.
BINDING_ALL = frozenset({PacketKind.BAN, PacketKind.DRAIN, PacketKind.REQUEST_IDS})


def apply_packet(proxy: RestartableProxy, packet: Packet, descriptors: list[int]) -> None:
    """Have the proxy follow a packet; raises PacketError. Descriptors that are of no use are closed.

    A packet of an unknown kind is passed over: a later version may send it.
    """
    try:
        _apply(proxy, packet, descriptors)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PacketError(f"no message of this form: {error!r}") from error
    finally:
        close_all(descriptors)


def _apply(proxy: RestartableProxy, packet: Packet, descriptors: list[int]) -> None:
    kind = packet["t"]
    if kind == PacketKind.BAN:
        proxy.apply_peer_ban(server_id(packet["id"]), bool(packet["on"]), float(packet["at"]))
    elif kind == PacketKind.DRAIN:
        proxy.apply_peer_drain(bool(packet["on"]))
    elif kind == PacketKind.REQUEST_IDS:
        begun = [request_id.encode() for request_id in packet["begun"]]
        proxy.apply_peer_requests(begun, [request_id.encode() for request_id in packet["done"]])
    elif kind == PacketKind.CALLER and len(descriptors) == 1:
        proxy.adopt_connection(socket.socket(fileno=descriptors.pop()))
