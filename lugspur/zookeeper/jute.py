"""Jute, the encoding of ZooKeeper's records: big-endian numbers, length-prefixed buffers, texts and vectors.

A record is a class under `@record`, with fields in the order of zookeeper.jute (Apache ZooKeeper,
zookeeper-jute/src/main/resources). Both sides use them: the client, and the stand-in that plays the servers.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Annotated, Any, TypeVar, dataclass_transform, get_args, get_origin, get_type_hints

Int = Annotated[int, "i"]
Long = Annotated[int, "q"]
T = TypeVar("T")
LENGTH = struct.Struct(">i")


class JuteDecodeError(ValueError):
    """Bytes that are no such record."""


class InputArchive:
    """Bytes that are read from the front; every read raises JuteDecodeError where too few are left."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def read_struct(self, form: struct.Struct) -> tuple[Any, ...]:
        """Numbers of a fixed form."""
        try:
            found = form.unpack_from(self.data, self.position)
        except struct.error as fault:
            raise JuteDecodeError(f"{len(self.data) - self.position} bytes left of {form.size}") from fault
        self.position += form.size
        return found

    def read_buffer(self) -> bytes:
        """Length-prefixed bytes; -1, which stands for none, reads as empty."""
        length: int = self.read_struct(LENGTH)[0]
        if length < 0:
            return b""
        end = self.position + length
        if end > len(self.data):  # Guards memory: a length is believed only where its bytes are there.
            raise JuteDecodeError(f"a length of {length} where {len(self.data) - self.position} bytes are left")
        found = self.data[self.position : end]
        self.position = end
        return found

    def read_text(self) -> str:
        """A buffer of UTF-8."""
        try:
            return self.read_buffer().decode()
        except UnicodeDecodeError as fault:
            raise JuteDecodeError("a text that is not UTF-8") from fault

    def read_vector(self, read: Callable[[InputArchive], T]) -> list[T]:
        """A counted list; every element takes four bytes or more."""
        count: int = self.read_struct(LENGTH)[0]
        if count * 4 > len(self.data) - self.position:
            raise JuteDecodeError(f"a list of {count} in {len(self.data) - self.position} bytes")
        return [read(self) for _ in range(count)]

    @property
    def remaining(self) -> int:
        """How many bytes are not read yet."""
        return len(self.data) - self.position


def length_prefixed(data: bytes) -> bytes:
    """Bytes with their length before them."""
    return LENGTH.pack(len(data)) + data


Write = Callable[[Any], bytes]
Read = Callable[[InputArchive], Any]


def _codec(kind: Any) -> tuple[Write, Read]:
    """How a field that is no plain number is written and read."""
    if kind is bytes:
        return length_prefixed, InputArchive.read_buffer
    if kind is str:
        return (lambda value: length_prefixed(value.encode())), InputArchive.read_text
    if get_origin(kind) is tuple:
        write, read = _codec(get_args(kind)[0])
        return (
            lambda values: LENGTH.pack(len(values)) + b"".join(map(write, values)),
            lambda source: tuple(source.read_vector(read)),
        )
    return encode, kind.read


def _number(kind: Any) -> str:
    """The struct letter of a number's type; empty for anything else."""
    if kind is bool:
        return "?"
    return str(kind.__metadata__[0]) if get_origin(kind) is Annotated else ""


def _steps(kind: type) -> list[tuple[tuple[str, ...], struct.Struct | None, Write, Read]]:
    """The fields of a record in groups: neighbouring numbers are packed at once, the rest one by one."""
    steps: list[tuple[tuple[str, ...], struct.Struct | None, Write, Read]] = []
    names: list[str] = []
    letters = ""
    for name, hint in [*get_type_hints(kind, include_extras=True).items(), ("", None)]:
        letter = _number(hint) if name else ""
        if letter:
            names.append(name)
            letters += letter
            continue
        if names:
            form = struct.Struct(">" + letters)
            steps.append((tuple(names), form, form.pack, partial(InputArchive.read_struct, form=form)))
            names, letters = [], ""
        if name:
            steps.append(((name,), None, *_codec(hint)))
    return steps


@dataclass_transform(frozen_default=True)
def record(kind: type[T]) -> type[T]:
    """A jute record: a frozen dataclass with `read(InputArchive)`, for `encode`."""
    made: Any = dataclass(frozen=True, slots=True)(kind)
    steps = _steps(made)

    def read(source: InputArchive) -> Any:
        values: list[Any] = []
        for _, form, _, reader in steps:
            if form is None:
                values.append(reader(source))
            else:
                values.extend(reader(source))
        return made(*values)

    def write(value: Any) -> bytes:
        parts = []
        for names, form, writer, _ in steps:
            if form is None:
                parts.append(writer(getattr(value, names[0])))
            else:
                parts.append(form.pack(*(getattr(value, name) for name in names)))
        return b"".join(parts)

    made.read, made.write = staticmethod(read), write
    return made  # type: ignore[no-any-return]


def encode(value: Any) -> bytes:
    """A record's bytes."""
    return value.write()  # type: ignore[no-any-return]


def decode(kind: type[T], source: InputArchive) -> T:
    """A record from the front of `source`; raises JuteDecodeError."""
    return kind.read(source)  # type: ignore[attr-defined,no-any-return]
