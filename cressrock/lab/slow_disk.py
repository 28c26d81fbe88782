"""The program on a slow disk: `python -m cressrock.lab.slow_disk SECONDS ARGUMENTS`.

For drills alone.  Each flush of a file takes that long, whatever is written.
"""

import os
import runpy
import stat
import sys
import time
from typing import Any


def main() -> None:
    """Slow the disk down, then be the program."""
    delay_s = float(sys.argv.pop(1))
    flush = os.fsync

    def slow_flush(descriptor: Any) -> None:
        if stat.S_ISREG(os.fstat(descriptor).st_mode):
            time.sleep(delay_s)
        flush(descriptor)

    os.fsync = slow_flush  # type: ignore[assignment]
    runpy.run_module("cressrock", run_name="__main__")


if __name__ == "__main__":
    main()
