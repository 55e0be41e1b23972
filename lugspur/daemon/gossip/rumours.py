"""What is still to be told: each piece of news goes along with other datagrams so many times, the least told first."""

from __future__ import annotations

import math

from lugspur.daemon.gossip.wire import MAX_RECORDS_PER_DATAGRAM, MemberRecord, encoded_size

TOLD = 3  # times log10 of the members (rounded up): how often one member passes a piece on, as in SWIM, section 4.1


class Rumours:
    """At most one piece for each member: the latest. No more than there are members."""

    def __init__(self) -> None:
        self._waiting: dict[str, tuple[int, MemberRecord, int]] = {}  # how often told, what, and its bytes

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, record: MemberRecord) -> None:
        """News."""
        self._waiting[record.name] = (0, record, encoded_size(record))

    def take(self, room: int, members: int, without: str = "") -> list[MemberRecord]:
        """What goes along in so many bytes."""
        if not self._waiting:
            return []
        most = TOLD * math.ceil(math.log10(members + 1))
        found: list[MemberRecord] = []
        for name, (told, record, size) in sorted(self._waiting.items(), key=lambda item: item[1][0]):
            if len(found) >= MAX_RECORDS_PER_DATAGRAM - 2 or room < size:
                break
            if name == without:
                continue
            room -= size
            found.append(record)
            if told + 1 >= most:
                del self._waiting[name]
            else:
                self._waiting[name] = (told + 1, record, size)
        return found
