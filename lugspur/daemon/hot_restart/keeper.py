"""Finds the process that serves already, takes its place, and is found by the one that comes next.

The socket lies in the folder for temporary files, which both share, and is named after the clients' address. Each
process puts its own there once it is ready, by a rename, so that there is one at any moment.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any, Protocol

from lugspur.daemon.hot_restart.link import Link
from lugspur.daemon.hot_restart.messages import IDS_MOST, VERSION, Estate, Foreign, Parts, estate_parts
from lugspur.discovery.endpoints import Address, server_id, server_name

WITHIN = 1.0  # seconds in which an estate has to be whole: the platform waits 6 s for the new process
LINKS_MOST = 4  # processes of one proxy at once: the one before, this one, the next, and one that failed
BACKLOG = 8
EARLY_MOST = 1024  # messages that are kept until this process serves: some hundreds a second for some 0.1 s


class Handed(Protocol):
    """A proxy, as far as the other process has to do with it."""

    def estate(self) -> Estate:
        """All that another needs to go on in its place."""

    def hear_ban(self, server: int, on: bool, at: float) -> None:
        """The other process was told so."""

    def hear_drain(self, on: bool) -> None:
        """The other process was told so."""

    def hear_ids(self, begun: list[bytes], done: list[bytes]) -> None:
        """Requests at the other process."""

    def forget_ids(self) -> None:
        """The other process has ended, and its requests with it."""

    def succeeded(self, on: bool) -> None:
        """Another process serves in its place from now on, or does no more."""

    def alone(self) -> None:
        """No other process of this proxy is left."""

    def adopt(self, sock: socket.socket) -> None:
        """A caller's connection comes from the other process."""


def said(line: str) -> None:
    """One line of the log."""
    print(f"lugspur: replacement: {line}", file=sys.stderr, flush=True)


def place(address: Address) -> tuple[str, str]:
    """The folder and the name of the socket."""
    return tempfile.gettempdir(), f"lugspur-{address[0]}-{address[1]}.sock"


@contextmanager
def short(folder: str) -> Iterator[str]:
    """The folder under a path that a Unix socket's address takes, however long its own is."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


class Inheritance:
    """What a starting process got: the listening socket and the estate, if any process was there."""

    def __init__(self, listener: socket.socket, estate: Estate) -> None:
        self.listener, self.estate = listener, estate


class Keeper:
    """This process's links to the others of the same proxy."""

    def __init__(self, address: Address) -> None:
        self._folder, self._name = place(address)
        self._loop = asyncio.get_running_loop()
        self._proxy: Handed | None = None
        self._listener: socket.socket | None = None  # the clients'
        self._sock: socket.socket | None = None  # where the next process finds this one
        self._own = (0, 0)  # the file that this process has put there
        self.links: dict[Link, None] = {}
        self.predecessor: Link | None = None
        self.heir: Link | None = None  # the process that serves in this one's place
        self._ids: tuple[list[bytes], list[bytes]] = ([], [])
        self._early: list[tuple[dict[str, Any], list[int]]] = []  # heard before there was a proxy
        self._waiting: asyncio.Future[Inheritance] | None = None
        self._parts = Parts()
        self._closing = False

    # ---- as the process that comes -----------------------------------------------------------

    async def take(self) -> Inheritance | None:
        """Ask the process that serves for its place; None where there is none, or nothing whole comes in time."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            with short(self._folder) as folder:
                path = f"{folder}/{self._name}"
                # Guards against a socket that somebody else has put there.
                if os.stat(path).st_uid != os.geteuid():
                    raise PermissionError("the socket is another user's")
                sock.connect(path)
        except OSError as fault:
            sock.close()
            if not isinstance(fault, FileNotFoundError | ConnectionRefusedError):
                said(f"no hand-over: {fault}")
            return None
        self._waiting = self._loop.create_future()
        self.predecessor = link = self._link(sock)
        link.send({"t": "hello", "version": VERSION})
        try:
            return await asyncio.wait_for(self._waiting, WITHIN)
        except TimeoutError:
            said(f"no hand-over: nothing whole came within {WITHIN:g} s")
        except Foreign as fault:
            said(f"no hand-over: {fault}")
        link.close()
        return None

    def _estate(self, message: dict[str, Any], fds: list[int]) -> None:
        waiting = self._waiting
        try:
            estate = self._parts.add(message)
            if estate is None or waiting is None or waiting.done():
                return
            if len(fds) != 1:
                raise Foreign("no listening socket came")
            waiting.set_result(Inheritance(socket.socket(fileno=fds.pop()), estate))
        except Foreign as fault:
            if waiting is not None and not waiting.done():
                waiting.set_exception(fault)
        finally:
            for fd in fds:
                os.close(fd)

    # ---- as the process that serves ------------------------------------------------------------

    def serve(self, proxy: Handed, listener: socket.socket) -> None:
        """There is a proxy from here on."""
        self._proxy, self._listener = proxy, listener
        early, self._early = self._early, []
        for message, fds in early:
            self._act(message, fds)
        if self.predecessor is None or not self.predecessor.open:
            proxy.alone()

    def ready(self) -> None:
        """Clients are taken: tell the process before, and be found by the next."""
        if self.predecessor is not None:
            self.predecessor.send({"t": "ready"})
            said("this process serves in the place of the one before")
        self._be_found()

    def _be_found(self) -> None:
        """Put this process's socket in its place, whatever is there."""
        self._hide()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            with short(self._folder) as folder:
                fresh = f"{folder}/{self._name}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(fresh)  # left by a dead process of the same number
                former = os.umask(0o077)
                try:
                    sock.bind(fresh)
                finally:
                    os.umask(former)
                sock.listen(BACKLOG)
                os.rename(fresh, f"{folder}/{self._name}")
                self._own = self._found(folder)
        except OSError as fault:
            sock.close()
            said(f"the next process will not find this one: {fault}")
            return
        self._sock = sock
        self._loop.add_reader(sock.fileno(), self._come)

    def _found(self, folder: str) -> tuple[int, int]:
        found = os.stat(f"{folder}/{self._name}")
        return found.st_dev, found.st_ino

    def _hide(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _come(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self.links) >= LINKS_MOST:
            sock.close()
            return
        self._link(sock)

    def _link(self, sock: socket.socket) -> Link:
        link = Link(sock, self._heard, self._over)
        self.links[link] = None
        return link

    def _hand_over(self, link: Link, message: dict[str, Any]) -> None:
        if message.get("version") != VERSION or self._proxy is None or self._listener is None:
            link.send({"t": "no", "why": f"this process speaks version {VERSION}"})
            return
        parts = estate_parts(self._proxy.estate())
        for part in parts[:-1]:
            link.send(part)
        link.send(parts[-1], self._listener.fileno())

    # ---- what the others say -------------------------------------------------------------------

    def _heard(self, link: Link, message: dict[str, Any], fds: list[int]) -> None:
        kind = message["t"]
        if kind == "estate" and link is self.predecessor:
            self._estate(message, fds)
            return
        if kind == "no" and link is self.predecessor and self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(Foreign(str(message.get("why"))))
        elif kind == "hello":
            self._hand_over(link, message)
        elif kind == "ready":
            self.heir = link
            said("another process serves in the place of this one")
            if self._proxy is not None:
                self._proxy.succeeded(True)
        elif self._proxy is None:
            if len(self._early) >= EARLY_MOST:
                raise Foreign("too much before this process serves")
            self._early.append((message, fds))
            return
        else:
            for other in self.links:  # three in a row: what binds one binds all
                if other is not link and kind in ("ban", "drain", "ids"):
                    other.send(message)
            self._act(message, fds)
            return
        for fd in fds:
            os.close(fd)

    def _act(self, message: dict[str, Any], fds: list[int]) -> None:
        proxy, kind = self._proxy, message["t"]
        assert proxy is not None
        try:
            if kind == "ban":
                proxy.hear_ban(server_id(message["id"]), bool(message["on"]), float(message["at"]))
            elif kind == "drain":
                proxy.hear_drain(bool(message["on"]))
            elif kind == "ids":
                proxy.hear_ids([name.encode() for name in message["begun"]], [n.encode() for n in message["done"]])
            elif kind == "caller" and len(fds) == 1:
                proxy.adopt(socket.socket(fileno=fds.pop()))
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise Foreign(f"no message of this form: {fault!r}") from fault
        finally:
            for fd in fds:
                os.close(fd)

    def _over(self, link: Link) -> None:
        self.links.pop(link, None)
        if self._closing:
            return
        if link is self.predecessor:
            self.predecessor = None
            if self._waiting is not None and not self._waiting.done():
                self._waiting.set_exception(Foreign("the process that serves has ended"))
            if self._proxy is not None:
                self._proxy.forget_ids()
        if link is self.heir:
            self.heir = None
            said("the process that was to follow has ended; this one serves on")
            if self._proxy is not None:
                self._proxy.succeeded(False)
                self._be_found()
        if not self.links and self._proxy is not None:
            self._proxy.alone()

    # ---- what this process says ----------------------------------------------------------------

    def say(self, message: dict[str, Any]) -> None:
        """Tell all others at once."""
        for link in tuple(self.links):
            link.send(message)

    def ban(self, server: int, on: bool, at: float) -> None:
        """An operator told this process."""
        self.say({"t": "ban", "id": server_name(server), "on": on, "at": at})

    def drain(self, on: bool) -> None:
        """An operator told this process."""
        self.say({"t": "drain", "on": on})

    def began(self, name: bytes) -> None:
        """A request with this id is open here."""
        self._id(0, name)

    def done(self, name: bytes) -> None:
        """Nothing is owed for it any more."""
        self._id(1, name)

    def _id(self, which: int, name: bytes) -> None:
        if not self.links:
            return
        if not self._ids[0] and not self._ids[1]:
            self._loop.call_soon(self._tell_ids)
        self._ids[which].append(name)

    def _tell_ids(self) -> None:
        begun, done = self._ids
        self._ids = ([], [])
        for at in range(0, max(len(begun), len(done)), IDS_MOST):
            self.say(
                {
                    "t": "ids",
                    "begun": [name.decode() for name in begun[at : at + IDS_MOST]],
                    "done": [name.decode() for name in done[at : at + IDS_MOST]],
                }
            )

    def followed(self) -> bool:
        """Whether another process serves in this one's place, as of what has come by now."""
        for link in tuple(self.links):
            link.pump()
        return self.heir is not None

    def pass_on(self, fd: int) -> bool:
        """Give a caller's connection to the process that follows."""
        return self.heir is not None and self.heir.send({"t": "caller"}, fd)

    @property
    def owes(self) -> bool:
        """Whether a caller's connection has not gone out yet to the process that follows."""
        return self.heir is not None and self.heir.owes

    def close(self) -> None:
        """This process ends."""
        self._closing = True
        self._hide()
        with suppress(OSError), short(self._folder) as folder:
            if self._own != (0, 0) and self._found(folder) == self._own:
                os.unlink(f"{folder}/{self._name}")
        for link in tuple(self.links):
            link.close()
