"""Checks the outcome of one direction: the history, the logs and the data directories."""

from __future__ import annotations

import re
import subprocess
import sys
from collections import Counter

from lugspur.bench.faults.checker import check
from lugspur.bench.faults.cluster import Cluster
from lugspur.bench.upgrade.plan import Builds, Outcome

# Timeout of one run of `replica check`.
DIRECTORY_CHECK_SECONDS = 30.0
UNDECODABLE_FINDING = "message or disk that could not be decoded"
# Matches what a process logs when it cannot decode a message of a peer or data on its disk.
UNDECODABLE = re.compile(r"event=(?:frame|set-aside)\b.*|.*\b(?:DecodeError|ValidationError)\b.*")


def check_outcome(outcome: Outcome, cluster: Cluster) -> None:
    """Add to the verdict the counts of operations, and the violations found in the history and in the logs."""
    verdict = outcome.verdict
    for violation in check(outcome.history, cluster.bounds):
        verdict.add(violation.rule.value, f"{violation.subject} {violation.detail} {violation.where}")
    verdict.read_logs(cluster.folder)
    for path in sorted(cluster.folder.glob("*.log")):
        lines = Counter(UNDECODABLE.findall(path.read_text(errors="replace")))
        for line, times in lines.items():
            verdict.add(UNDECODABLE_FINDING, f"at {path.stem}, {times} times: {line}")
    _count_changes(outcome)
    _count_requests(outcome, cluster)
    for what, count in verdict.counts.items():
        if count == 0:  # A run without operations could not have violated anything.
            verdict.add("nothing was done", what)


def _count_changes(outcome: Outcome) -> None:
    """Count the confirmed changes; `while mixed` means between the first and the last replacement."""
    since, until = outcome.mixed_span()
    confirmed = [sent for sent in outcome.history.order_attempts if sent.confirmed]
    mixed = [sent for sent in confirmed if since <= sent.began <= until]
    outcome.verdict.counts["changes confirmed"] = len({sent.order.number for sent in confirmed})
    outcome.verdict.counts["changes confirmed while mixed"] = len({sent.order.number for sent in mixed})


def _count_requests(outcome: Outcome, cluster: Cluster) -> None:
    """Count the requests and keyed operations that were served, and those of each proxy once it was replaced."""
    since, until = outcome.mixed_span()
    counts = outcome.verdict.counts
    served = [call for call in outcome.history.calls if call.status == 200]
    keyed = [call for call in served if call.key]
    counts["requests served"] = len(served)
    counts["keyed operations served"] = len({call.key for call in keyed})
    counts["keyed operations served while mixed"] = len({call.key for call in keyed if since <= call.began <= until})
    for replaced in outcome.replacements:
        if replaced.ip in cluster.proxy_ips:
            after = [call for call in served if call.sidecar == replaced.ip and call.began >= replaced.serving_at]
            counts[f"requests served by {replaced.ip} once replaced"] = len(after)


def check_data_directories(outcome: Outcome, cluster: Cluster, builds: Builds) -> None:
    """Check that both builds can read the data directory of every control node; no process may be using it."""
    for root in (builds.former, builds.present):
        for ip in cluster.control:
            command = [sys.executable, "-m", "lugspur.mesh", "replica", "check", str(cluster.folder / ip)]
            checked = subprocess.run(
                command, cwd=root, capture_output=True, check=False, timeout=DIRECTORY_CHECK_SECONDS
            )
            if checked.returncode != 0:
                output = (checked.stdout + checked.stderr).decode(errors="replace").strip()
                outcome.verdict.add("data directory that a build cannot read", f"{ip}: {output}")
