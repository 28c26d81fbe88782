"""Runs the dispatcher on the platform with its event loop's turns measured: a child of `localcost_sockets`.

At SIGUSR1 it writes the longest turns since the last time to standard error, as one line `turns [...]` of
milliseconds of processor time.  Measuring costs a microsecond a turn: processor time per request is taken
from `cressrock platform` itself.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import signal
import sys
import time
from typing import Any

MOST = 8


def main() -> int:
    """Run `cressrock platform` so."""
    longest: list[float] = []
    run = asyncio.Handle._run

    def measured(self: asyncio.Handle) -> Any:
        began = time.thread_time()
        try:
            return run(self)
        finally:
            took = (time.thread_time() - began) * 1000
            if len(longest) < MOST:
                heapq.heappush(longest, took)
            elif took > longest[0]:
                heapq.heapreplace(longest, took)

    def tell(number: int, frame: Any) -> None:
        shown = sorted(longest, reverse=True)
        longest.clear()
        print(f"turns {json.dumps([round(ms, 3) for ms in shown])}", file=sys.stderr, flush=True)

    asyncio.Handle._run = measured  # type: ignore[method-assign]
    signal.signal(signal.SIGUSR1, tell)
    from cressrock.platform.program import main as platform

    return platform()


if __name__ == "__main__":
    sys.exit(main())
