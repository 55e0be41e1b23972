"""Checks that the observations of applications are linearizable, for each lock, number and group of keys.

Fencing tokens, numbers and revisions give the order in which the calls took effect, so that it is enough to compare
this order with real time: a call that was sent after the response to another call was received takes effect later.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from lugspur.emulator.coordination.history import History, IssuedNumber, LockTenure, PutAttempt


def violations(history: History) -> list[str]:
    """Return the violations in a history, one line each."""
    return [
        *history.violations,
        *_lock_violations(history.tenures),
        *_number_violations(history.numbers),
        *_key_violations(history),
        *_watch_violations(history),
    ]


# ---- locks -----------------------------------------------------------------------------------


def _lock_violations(tenures: list[LockTenure]) -> Iterator[str]:
    by_lock: dict[str, list[LockTenure]] = defaultdict(list)
    for tenure in tenures:
        by_lock[tenure.lock].append(tenure)
    for lock, found in by_lock.items():
        yield from _overlaps(lock, found)
        yield from _fence_violations(lock, found)


def _overlaps(lock: str, tenures: list[LockTenure]) -> Iterator[str]:
    latest: LockTenure | None = None  # among the tenures that began before, the one that ended last
    for tenure in sorted(tenures, key=lambda tenure: tenure.began):
        if latest is not None and tenure.holder != latest.holder and tenure.began < latest.ended:
            yield (
                f"ONE: {tenure.holder} held {lock} from {tenure.began:.3f} while {latest.holder} held it until "
                f"{latest.ended:.3f} (fencing tokens {tenure.fence}, {latest.fence})"
            )
        if latest is None or tenure.ended > latest.ended:
            latest = tenure


def _fence_violations(lock: str, tenures: list[LockTenure]) -> Iterator[str]:
    for tenure in tenures:
        for other in tenures:
            if other.holder == tenure.holder:
                continue
            if other.fence == tenure.fence:
                yield f"ONE: {tenure.holder} and {other.holder} got fencing token {tenure.fence} of {lock}"
            elif other.began < tenure.sent and other.fence > tenure.fence:
                yield f"ONE: fencing token {tenure.fence} of {lock} was issued after {other.fence}"


# ---- numbers ---------------------------------------------------------------------------------


def _number_violations(numbers: list[IssuedNumber]) -> Iterator[str]:
    by_name: dict[str, list[IssuedNumber]] = defaultdict(list)
    for number in numbers:
        by_name[number.name].append(number)
    for name, found in by_name.items():
        values = [number.value for number in found]
        if len(set(values)) < len(values):
            yield f"ORDER: a number of {name} was issued twice"
        for number in found:
            before = max((other.value for other in found if other.received < number.sent), default=0)
            if number.value <= before:
                yield f"ORDER: {name} issued {number.value} after {before}"


# ---- keys ------------------------------------------------------------------------------------


def _key_violations(history: History) -> Iterator[str]:
    shown = _shown_values(history)
    yield from _mixed(history, shown)
    yield from _refused(history, shown)
    yield from _put_order(history)
    yield from _stale(history)
    yield from _overwritten(history)


def _shown_values(history: History) -> list[tuple[str, str, int]]:
    """Return the key, value and revision of each acknowledged put, successful read and watched put."""
    found = [(put.key, put.value, put.revision) for put in history.puts if put.revision]
    found += [(read.key, read.value, read.revision) for read in history.reads if read.revision]
    found += [(put.key, put.value, put.revision) for response in history.watch_observations for put in response.puts]
    return found


def group_of(key: str) -> str:
    """Return the group of a key."""
    return key.partition(".")[0] + "."


def _mixed(history: History, shown: list[tuple[str, str, int]]) -> Iterator[str]:
    put_values = {(put.key, put.value) for put in history.puts}
    by_revision: dict[tuple[str, int], tuple[str, str]] = {}
    by_value: dict[tuple[str, str], int] = {}
    for key, value, revision in shown:
        if (key, value) not in put_values:
            yield f"MIXED: {value} of {key} was never put"
        if by_revision.setdefault((group_of(key), revision), (key, value)) != (key, value):
            yield f"ORDER: revision {revision} of {group_of(key)} was assigned twice"
        if by_value.setdefault((key, value), revision) != revision:
            yield f"MIXED: {value} of {key} has revisions {by_value[key, value]} and {revision}"
    for mismatch in history.mismatches:
        known = by_revision.get((group_of(mismatch.key), mismatch.revision))
        if known is not None and known[0] != mismatch.key:
            yield f"MIXED: a revision mismatch of {mismatch.key} names revision {mismatch.revision} of {known[0]}"


def _refused(history: History, shown: list[tuple[str, str, int]]) -> Iterator[str]:
    values = {(key, value) for key, value, _ in shown}
    for put in history.puts:
        if not put.revision and not put.is_unclear and (put.key, put.value) in values:
            yield f"REFUSED: {put.value} of {put.key} is shown although its put was rejected"


def _put_order(history: History) -> Iterator[str]:
    by_group: dict[str, list[PutAttempt]] = defaultdict(list)
    for put in history.puts:
        if put.revision:
            by_group[group_of(put.key)].append(put)
    for group, puts in by_group.items():
        for put in puts:
            before = max((other.revision for other in puts if other.received < put.first_sent), default=0)
            if put.revision <= before:
                yield f"ORDER: {group} assigned revision {put.revision} after {before}"


def _stale(history: History) -> Iterator[str]:
    acknowledged: dict[str, list[PutAttempt]] = defaultdict(list)
    for put in history.puts:
        if put.revision:
            acknowledged[put.key].append(put)
    seen = [("a read", read.key, read.revision, read.sent) for read in history.reads]
    seen += [("a revision mismatch", found.key, found.revision, found.sent) for found in history.mismatches]
    for what, key, revision, sent in seen:
        acknowledged_revision = max((put.revision for put in acknowledged[key] if put.received < sent), default=0)
        if revision < acknowledged_revision:
            yield f"STALE: {what} of {key} shows revision {revision} after {acknowledged_revision} was acknowledged"
    for before, after in pairwise(sorted(history.reads, key=lambda read: (read.key, read.received))):
        if before.key == after.key and before.received < after.sent and after.revision < before.revision:
            yield f"STALE: a read of {after.key} shows {after.revision} after one showed {before.revision}"


def _overwritten(history: History) -> Iterator[str]:
    """Check that a put that expects a revision does not overwrite a later one."""
    revisions: dict[str, set[int]] = defaultdict(set)
    for key, _, revision in _shown_values(history):
        revisions[key].add(revision)
    for put in history.puts:
        if put.revision and put.expected is not None:
            between = [r for r in revisions[put.key] if put.expected < r < put.revision]
            if between:
                yield f"ORDER: a put of {put.key} that expects {put.expected} got {put.revision} over {between}"


# ---- watches ---------------------------------------------------------------------------------


def _watch_violations(history: History) -> Iterator[str]:
    acknowledged: dict[str, list[PutAttempt]] = defaultdict(list)
    for put in history.puts:
        if put.revision:
            acknowledged[group_of(put.key)].append(put)
    for response in history.watch_observations:
        revisions = [put.revision for put in response.puts]
        if any(a >= b for a, b in pairwise([response.after, *revisions])) or (
            revisions and revisions[-1] > response.revision
        ):
            yield f"ORDER: a watch of {response.group} from {response.after} to {response.revision} shows {revisions}"
        missing = [
            put.revision
            for put in acknowledged[response.group]
            if response.after < put.revision <= response.revision and put.revision not in revisions
        ]
        if missing and response.after > 0:
            yield f"ORDER: a watch of {response.group} from {response.after} to {response.revision} skips {missing}"
        known = max((put.revision for put in acknowledged[response.group] if put.received < response.sent), default=0)
        if response.after == 0 and response.revision < known:
            yield f"STALE: the revision of {response.group} is shown as {response.revision} after {known}"
