"""Anti-entropy: if two views still differ when no updates are on their way, one member reads the other's view by pages.

SWIM has no such exchange. Each ping and ack carries a digest of the sender's view, so the exchange costs nothing in a
quiet fleet whose views agree.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.events import Address
from lugspur.daemon.gossip.membership import Membership
from lugspur.daemon.gossip.messages import (
    MAX_RECORDS_PER_DATAGRAM,
    FetchPage,
    MemberRecord,
    Page,
    encoded_size,
)

# Protocol periods without a change of the local view after which a different digest is no longer explained by an update
# that is still on its way.
QUIET_PERIODS = 1.0
PAGE_TIMEOUT_PERIODS = 0.5  # protocol periods until a page request times out
MAX_PAGE_ATTEMPTS = 3  # requests for one page before the exchange is abandoned
# Upper bound on the encoded size of a page's packet without its records, in bytes.
PAGE_OVERHEAD_BYTES = 160


@dataclass(slots=True)
class _Exchange:
    """An exchange in progress, which reads the view of another member."""

    name: str  # the member whose view is read
    address: Address
    deadline: float  # when the latest page request times out, in seconds of the local clock
    after_name: str = ""  # the last name on the pages received so far
    attempts: int = 1  # requests sent for the current page


class AntiEntropy:
    """Reads the view of at most one other member at a time, and replies to page requests."""

    def __init__(self, context: ProtocolContext, membership: Membership) -> None:
        self._table, self._outbox = context.table, context.outbox
        self._rng, self._period = context.rng, context.period_seconds
        self._membership = membership
        self._exchange: _Exchange | None = None
        self._next_exchange_at = context.started_at

    def due(self) -> float:
        """Return when the open page request times out, in seconds of the local clock; infinity if none is open."""
        return float("inf") if self._exchange is None else self._exchange.deadline

    def tick(self, now: float) -> None:
        """Repeat a page request that timed out, or abandon the exchange after `MAX_PAGE_ATTEMPTS` requests."""
        exchange = self._exchange
        if exchange is None or now < exchange.deadline:
            return
        if exchange.attempts >= MAX_PAGE_ATTEMPTS:
            self._exchange = None
            return
        exchange.attempts += 1
        self._request_page(now, exchange)

    def abandon(self) -> None:
        """Abandon the exchange in progress, if any."""
        self._exchange = None

    def compare_digest(self, now: float, name: str, digest: int) -> None:
        """Start reading a member's view if its digest differs and the local view has not changed for a while.

        A process that knows at most two other members does not wait: it has just joined.
        """
        if digest == self._table.digest or self._exchange is not None or now < self._next_exchange_at:
            return
        entry = self._table.members.get(name)
        is_quiet = now - self._table.changed_at >= QUIET_PERIODS * self._period
        if entry is None or (len(self._table.members) > 2 and not is_quiet):
            return
        self._next_exchange_at = now + self._period * (1.0 + self._rng.random())
        self._exchange = _Exchange(name, entry.record.address, now)
        self._request_page(now, self._exchange)

    def _request_page(self, now: float, exchange: _Exchange) -> None:
        exchange.deadline = now + PAGE_TIMEOUT_PERIODS * self._period
        self._outbox.send(now, exchange.address, FetchPage(exchange.after_name), exchange.name)

    def receive_request(self, now: float, requester: str, after_name: str, source: Address) -> None:
        """Reply to a page request with as many records as fit, in the order of names."""
        names = sorted(name for name in (*self._table.members, self._table.local_record.name) if name > after_name)
        remaining_bytes, records = self._outbox.max_packet_bytes - PAGE_OVERHEAD_BYTES, list[MemberRecord]()
        for name in names:
            record = self._record_of(name)
            remaining_bytes -= encoded_size(record)
            if remaining_bytes < 0 or len(records) >= MAX_RECORDS_PER_DATAGRAM:
                break
            records.append(record)
        is_last = len(records) == len(names)
        self._outbox.send(now, source, Page(after_name, is_last, records), requester)

    def _record_of(self, name: str) -> MemberRecord:
        local = self._table.local_record
        return local if name == local.name else self._table.members[name].record

    def receive_page(self, now: float, sender: str, page: Page) -> None:
        """Merge a page of the view that is being read, and request the next page."""
        exchange = self._exchange
        # Ignores pages of an exchange that has ended, and duplicates of a page.
        if exchange is None or exchange.name != sender or exchange.after_name != page.after_name:
            return
        for record in page.records:
            self._membership.merge(now, record, is_first_hand=False)
        if page.is_last or not page.records:
            self._exchange = None
            return
        exchange.after_name, exchange.attempts = page.records[-1].name, 1
        self._request_page(now, exchange)
