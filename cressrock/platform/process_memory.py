"""Reads how much memory this process has of its own, from the kernel."""

from __future__ import annotations

import os

ASSUMED_BYTES = 20 << 20  # where the kernel does not tell
_STATM = "/proc/self/statm"  # in pages: size, resident, of which shared with files, ... (proc_pid_statm(5))


def private_bytes() -> int:
    """Return the resident memory without what is mapped from files, in bytes."""
    try:
        with open(_STATM, "rb") as file:
            _, resident, shared = file.read().split()[:3]
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return ASSUMED_BYTES
