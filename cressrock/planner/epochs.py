"""Planner epochs that are never reused, even if the stored epoch is lost.  Only `EpochStore` performs I/O.

A new epoch is greater than the stored one and at least the wall clock in milliseconds.  A planner that lost
its file therefore starts above every epoch that an earlier process can have used, unless the clock was set
back.  In that case the edges, which remember the newest epoch they have seen, refuse it, and it starts again
above that epoch.
"""

from __future__ import annotations

from pathlib import Path

from cressrock.state_file import write_atomically

FILE_FORMAT = "cressrock-epoch-1"


def next_epoch(stored: int | None, wall_ms: float, seen: int = 0) -> int:
    """Return the epoch for a new start; `seen` is the newest epoch that an edge reports to have seen."""
    return max((stored or 0) + 1, int(wall_ms), seen + 1)


class EpochStore:
    """Stores the newest epoch in a file, written and synced atomically before the epoch is used."""

    def __init__(self, path: str | None) -> None:
        """Store the epoch at `path`.  With None, nothing is stored and epochs rely on the wall clock."""
        self.path = Path(path) if path else None

    def read(self) -> int | None:
        """Return the stored epoch; None if the file is missing, truncated or in another format."""
        if self.path is None:
            return None
        try:
            text = self.path.read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError):
            return None
        file_format, _, line = text.partition(" ")
        number = line.removesuffix("\n")
        # Without the final newline, the number may have been truncated.
        if file_format != FILE_FORMAT or not line.endswith("\n") or not number.isdigit():
            return None
        return int(number)

    def write(self, epoch: int) -> None:
        """Store an epoch; blocks until it is durable.  Raises OSError; the previous file is then intact."""
        if self.path is None:
            return
        write_atomically(self.path, f"{FILE_FORMAT} {epoch}\n".encode("ascii"))
