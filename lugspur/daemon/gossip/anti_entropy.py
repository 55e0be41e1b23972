"""Anti-entropy: where two views differ though nothing changes, one member reads the other's view page by page.

SWIM has no such exchange. Each ping and ack carries the digest of the sender's view, so a quiet fleet whose views
agree never pays for it.
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

QUIET_PERIODS = 1.0  # without a change, after which a different digest is no update that is still on its way
PAGE_TIMEOUT_PERIODS = 0.5
MAX_PAGE_ATTEMPTS = 3
PAGE_OVERHEAD_BYTES = 160  # of a page's packet without its records, at most


@dataclass(slots=True)
class _Exchange:
    """A view that is being read."""

    name: str  # of the member whose view it is
    address: Address
    deadline: float  # of the page that was requested last, in seconds of the local clock
    after_name: str = ""  # the last name of the pages that were read
    attempts: int = 1  # to get this page


class AntiEntropy:
    """Reads at most one other view at a time, and answers requests of pages."""

    def __init__(self, context: ProtocolContext, membership: Membership) -> None:
        self._table, self._outbox = context.table, context.outbox
        self._rng, self._period = context.rng, context.period_seconds
        self._membership = membership
        self._exchange: _Exchange | None = None
        self._next_exchange_at = context.started_at

    def due(self) -> float:
        """When the page that was requested times out, in seconds of the local clock."""
        return float("inf") if self._exchange is None else self._exchange.deadline

    def tick(self, now: float) -> None:
        """Request a page again that did not come in time, or give the exchange up."""
        exchange = self._exchange
        if exchange is None or now < exchange.deadline:
            return
        if exchange.attempts >= MAX_PAGE_ATTEMPTS:
            self._exchange = None
            return
        exchange.attempts += 1
        self._request_page(now, exchange)

    def abandon(self) -> None:
        """Give up the exchange that is under way."""
        self._exchange = None

    def compare_digest(self, now: float, name: str, digest: int) -> None:
        """Begin to read a member's view if its digest differs though nothing has changed here for a while.

        A process that knows of two other members at most does not wait: it has just joined.
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
        """Answer a request with as many records as fit, in the order of names."""
        names = sorted(name for name in (*self._table.members, self._table.local_record.name) if name > after_name)
        max_bytes, records = self._outbox.max_packet_bytes - PAGE_OVERHEAD_BYTES, list[MemberRecord]()
        for name in names:
            record = self._record_of(name)
            max_bytes -= encoded_size(record)
            if max_bytes < 0 or len(records) >= MAX_RECORDS_PER_DATAGRAM:
                break
            records.append(record)
        is_last = len(records) == len(names)
        self._outbox.send(now, source, Page(after_name, is_last, records), requester)

    def _record_of(self, name: str) -> MemberRecord:
        local = self._table.local_record
        return local if name == local.name else self._table.members[name].record

    def receive_page(self, now: float, sender: str, page: Page) -> None:
        """Merge a page of the view that is being read, and request the next one."""
        exchange = self._exchange
        # Guards against pages of an exchange that is over, and against the second copy of a page.
        if exchange is None or exchange.name != sender or exchange.after_name != page.after_name:
            return
        for record in page.records:
            self._membership.merge(now, record, is_first_hand=False)
        if page.is_last or not page.records:
            self._exchange = None
            return
        exchange.after_name, exchange.attempts = page.records[-1].name, 1
        self._request_page(now, exchange)
