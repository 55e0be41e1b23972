"""Builds of former revisions, extracted from the history of this repository."""

from __future__ import annotations

import subprocess
from pathlib import Path

from lugspur.bench.mesh import ROOT

# The last revision before packages, classes and fields were renamed to the usual terms of the field. Tests run its
# build beside the present one. In a clone without this revision, such as a shallow one, they fail with a RevisionError
# that names the cause.
BEFORE_RENAMES = "6c859c63bc182eec65c13e167b36f7e20d079198"


class RevisionError(Exception):
    """A former build cannot be extracted from the repository's history."""

    def __init__(self, revision: str, reason: str) -> None:
        """Store the requested revision and the reason why there is no build of it."""
        super().__init__(f"revision {revision!r} cannot be extracted from the history of {ROOT}: {reason}")
        self.revision, self.reason = revision, reason


def extract_build(revision: str, directory: Path) -> None:
    """Unpack a revision of this repository into a directory; raises RevisionError.

    `--end-of-options` guards git against a revision that reads as an option.
    """
    commit = _git(revision, "rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}")
    archive = _git(revision, "archive", "--format=tar", commit.decode().strip())
    extraction = subprocess.run(
        ["tar", "-x", "--exclude=journal", "-C", str(directory)], input=archive, capture_output=True, check=False
    )
    if extraction.returncode != 0:
        raise RevisionError(revision, extraction.stderr.decode(errors="replace").strip())


def _git(revision: str, *arguments: str) -> bytes:
    """Run git on this repository and return its standard output; raises RevisionError."""
    try:
        completed = subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, check=False)
    except OSError as error:
        raise RevisionError(revision, f"cannot run git: {error}") from error
    if completed.returncode != 0:
        reason = completed.stderr.decode(errors="replace").strip()
        raise RevisionError(revision, reason or "the revision is not in the history; a shallow clone does not have it")
    return completed.stdout
