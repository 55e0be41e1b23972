"""The log of the mesh: one line of key=value pairs for each event, written to standard error by logbook."""

from __future__ import annotations

import sys

import logbook

_logger = logbook.Logger("mesh")


def start(node: str) -> None:
    """Write all events to standard error from now on, each with the time and the node's name."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    handler.format_string = f"{{record.time:%H:%M:%S.%f}} node={node} level={{record.level_name}} {{record.message}}"
    handler.push_application()


def info(event: str, **pairs: object) -> None:
    """Log an event; values with spaces are quoted."""
    _logger.info(_line(event, pairs))


def warn(event: str, **pairs: object) -> None:
    """Log an event that operators should look at."""
    _logger.warning(_line(event, pairs))


def _line(event: str, pairs: dict[str, object]) -> str:
    words = [f"event={event}"]
    for key, value in pairs.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or any(c in text for c in ' "=\n'):
            # Quotes values that could be read as further pairs or lines.
            text = '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
        words.append(f"{key}={text}")
    return " ".join(words)
