"""Jute, the encoding of ZooKeeper's records: big-endian numbers, length-prefixed buffers, strings and vectors.

A record is a class with the decorator `record` and with fields in the order of zookeeper.jute (Apache ZooKeeper,
zookeeper-jute/src/main/resources). The client and the stand-in for the servers both use them.
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
    """The data is not a valid record or frame."""


class InputArchive:
    """Data that is read from the front; every read raises JuteDecodeError if too few bytes remain."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def read_struct(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read numbers in a fixed layout."""
        try:
            found = layout.unpack_from(self.data, self.position)
        except struct.error as error:
            raise JuteDecodeError(f"{layout.size} bytes expected, {len(self.data) - self.position} remain") from error
        self.position += layout.size
        return found

    def read_buffer(self) -> bytes:
        """Read length-prefixed bytes; the length -1, which represents a null buffer, is read as empty."""
        length: int = self.read_struct(LENGTH)[0]
        if length < 0:
            return b""
        end = self.position + length
        if end > len(self.data):  # limits memory: a length beyond the data is not allocated
            raise JuteDecodeError(f"{length} bytes expected, {len(self.data) - self.position} remain")
        found = self.data[self.position : end]
        self.position = end
        return found

    def read_text(self) -> str:
        """Read a string in UTF-8."""
        try:
            return self.read_buffer().decode()
        except UnicodeDecodeError as error:
            raise JuteDecodeError("a string is not valid UTF-8") from error

    def read_vector(self, read: Callable[[InputArchive], T]) -> list[T]:
        """Read a list with its length; every element takes at least four bytes."""
        count: int = self.read_struct(LENGTH)[0]
        if count * 4 > len(self.data) - self.position:
            raise JuteDecodeError(f"a list of {count} elements in {len(self.data) - self.position} bytes")
        return [read(self) for _ in range(count)]

    @property
    def remaining(self) -> int:
        """Number of bytes that have not been read yet."""
        return len(self.data) - self.position


def length_prefixed(data: bytes) -> bytes:
    """Return the data after its length."""
    return LENGTH.pack(len(data)) + data


Write = Callable[[Any], bytes]
Read = Callable[[InputArchive], Any]


def _codec(kind: Any) -> tuple[Write, Read]:
    """Return the functions that write and read a field that is not a number."""
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


def _format_character(kind: Any) -> str:
    """Return the struct format character of a number's type, or an empty string for other types."""
    if kind is bool:
        return "?"
    return str(kind.__metadata__[0]) if get_origin(kind) is Annotated else ""


def _field_groups(kind: type) -> list[tuple[tuple[str, ...], struct.Struct | None, Write, Read]]:
    """Return the fields of a record in groups: adjacent numbers are packed together, other fields one by one."""
    groups: list[tuple[tuple[str, ...], struct.Struct | None, Write, Read]] = []
    names: list[str] = []
    format_characters = ""
    for name, hint in [*get_type_hints(kind, include_extras=True).items(), ("", None)]:
        format_character = _format_character(hint) if name else ""
        if format_character:
            names.append(name)
            format_characters += format_character
            continue
        if names:
            layout = struct.Struct(">" + format_characters)
            groups.append((tuple(names), layout, layout.pack, partial(InputArchive.read_struct, layout=layout)))
            names, format_characters = [], ""
        if name:
            groups.append(((name,), None, *_codec(hint)))
    return groups


@dataclass_transform(frozen_default=True)
def record(kind: type[T]) -> type[T]:
    """Make a class a jute record: a frozen dataclass with `read(InputArchive)` and `write()`."""
    record_class: Any = dataclass(frozen=True, slots=True)(kind)
    groups = _field_groups(record_class)

    def read(source: InputArchive) -> Any:
        values: list[Any] = []
        for _, layout, _, reader in groups:
            if layout is None:
                values.append(reader(source))
            else:
                values.extend(reader(source))
        return record_class(*values)

    def write(value: Any) -> bytes:
        parts = []
        for names, layout, writer, _ in groups:
            if layout is None:
                parts.append(writer(getattr(value, names[0])))
            else:
                parts.append(layout.pack(*(getattr(value, name) for name in names)))
        return b"".join(parts)

    record_class.read, record_class.write = staticmethod(read), write
    return record_class  # type: ignore[no-any-return]


def encode(value: Any) -> bytes:
    """Return the encoded record."""
    return value.write()  # type: ignore[no-any-return]


def decode(kind: type[T], source: InputArchive) -> T:
    """Read a record from the front of `source`; raises JuteDecodeError."""
    return kind.read(source)  # type: ignore[attr-defined,no-any-return]
