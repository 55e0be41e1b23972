"""Builds of former revisions, taken out of the history of this repository."""

from __future__ import annotations

import subprocess
from pathlib import Path

from lugspur.bench.mesh import ROOT

# The last revision before packages, classes and fields got the terms of the field. Tests play its build against the
# present one; a clone without it (a shallow one) fails there with RevisionError, which says so.
BEFORE_RENAMES = "6c859c63bc182eec65c13e167b36f7e20d079198"


class RevisionError(Exception):
    """A former build cannot be taken out of the repository's history."""

    def __init__(self, revision: str, reason: str) -> None:
        """Keep the revision that was asked for and why there is no build of it."""
        super().__init__(f"revision {revision!r} cannot be taken out of the history of {ROOT}: {reason}")
        self.revision, self.reason = revision, reason


def extract_build(revision: str, directory: Path) -> None:
    """Unpack a revision of this repository into a directory; raises RevisionError.

    `--end-of-options` guards git against a revision that reads as an option.
    """
    named = _git(revision, "rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}")
    archive = _git(revision, "archive", "--format=tar", named.decode().strip())
    unpacked = subprocess.run(
        ["tar", "-x", "--exclude=journal", "-C", str(directory)], input=archive, capture_output=True, check=False
    )
    if unpacked.returncode != 0:
        raise RevisionError(revision, unpacked.stderr.decode(errors="replace").strip())


def _git(revision: str, *arguments: str) -> bytes:
    """Run git on this repository and return its standard output; raises RevisionError."""
    try:
        ended = subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, check=False)
    except OSError as error:
        raise RevisionError(revision, f"git cannot be run: {error}") from error
    if ended.returncode != 0:
        reason = ended.stderr.decode(errors="replace").strip()
        raise RevisionError(revision, reason or "it is not in the history; a shallow clone does not have it")
    return ended.stdout
