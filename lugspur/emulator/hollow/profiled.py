"""A real process of the mesh under a profile: `python -m lugspur.emulator.hollow.profiled FILE`.

SIGUSR1 begins the profile, SIGUSR2 ends it and writes the processor time by source file, in seconds, to FILE as JSON.
"""

from __future__ import annotations

import cProfile
import json
import pstats
import signal
import sys
import time
from pathlib import Path
from types import FrameType

from lugspur.mesh.program import serve


def main() -> None:
    """Serve until SIGTERM."""
    profile, path = cProfile.Profile(time.process_time), Path(sys.argv[1])

    def begin(number: int, frame: FrameType | None) -> None:
        profile.enable()

    def end(number: int, frame: FrameType | None) -> None:
        profile.disable()
        written = path.with_suffix(".new")
        written.write_text(json.dumps(_by_file(profile)))
        written.rename(path)

    signal.signal(signal.SIGUSR1, begin)
    signal.signal(signal.SIGUSR2, end)
    sys.exit(serve())


def _by_file(profile: cProfile.Profile) -> dict[str, float]:
    found: dict[str, float] = {}
    for (file, _, _), (_, _, own_s, _, _) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        found[file] = found.get(file, 0.0) + own_s
    return found


if __name__ == "__main__":
    main()
