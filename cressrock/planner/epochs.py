"""Epochs that are never used twice, also with the store lost.  Pure but for `EpochStore`.

A planner's epoch is one more than the one it kept, and at least the wall clock's milliseconds: a planner that
lost its file still begins above every epoch that a former process can have used, unless its clock was set
back; then the edges, which remember the newest epoch they saw, refuse it, and it begins again above that.
"""

from __future__ import annotations

import os
from pathlib import Path

FILE_FORMAT = "cressrock-epoch-1"


def next_epoch(stored: int | None, wall_ms: float, seen: int = 0) -> int:
    """Return the epoch of a new start.  `seen` is the newest one that an edge says it has seen."""
    return max((stored or 0) + 1, int(wall_ms), seen + 1)


class EpochStore:
    """Keeps the newest epoch in a file, written whole and flushed before the epoch is used."""

    def __init__(self, path: str | None) -> None:
        """Keep the epoch at `path`; None keeps nothing: the wall clock alone separates the epochs."""
        self.path = Path(path) if path else None

    def read(self) -> int | None:
        """Return the epoch that was kept; None where there is none or the file is torn or foreign."""
        if self.path is None:
            return None
        try:
            text = self.path.read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError):
            return None
        file_format, _, line = text.partition(" ")
        number = line.removesuffix("\n")
        # The closing newline tells a whole file from one that was cut within its number.
        if file_format != FILE_FORMAT or not line.endswith("\n") or not number.isdigit():
            return None
        return int(number)

    def write(self, epoch: int) -> None:
        """Keep an epoch.  Raises OSError, before which nothing of the former file is lost."""
        if self.path is None:
            return
        partial = self.path.with_name(self.path.name + ".part")
        with open(partial, "w", encoding="ascii") as file:
            file.write(f"{FILE_FORMAT} {epoch}\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, self.path)
