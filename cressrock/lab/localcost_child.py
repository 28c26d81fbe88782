"""Runs the dispatcher on the platform so that more can be seen of it: a child of `localcost_sockets`.

    python -m cressrock.lab.localcost_child turns|rest|held

`turns`: at SIGUSR1 it writes the longest turns of its event loop since the last time to standard error, as
one line `turns [...]` of milliseconds of processor time.  Measuring costs a microsecond a turn: processor
time per request is taken from `cressrock platform` itself.  `rest`: clients may rest for a minute, not 2.1 s.
`held`: the same, and at SIGUSR1 it writes what Python holds, `held BYTES`; tracing makes it slow.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import heapq
import json
import signal
import sys
import time
import tracemalloc
from typing import Any

MOST = 8
REST_MS = 60000.0


def main(mode: str) -> int:
    """Run `cressrock platform` so."""
    if mode == "turns":
        _turns()
    if mode == "held":
        signal.signal(signal.SIGUSR1, _tell_held)
        tracemalloc.start()
    from cressrock.platform import program

    if mode != "turns":
        program.FrontBounds = functools.partial(program.FrontBounds, silent_ms=REST_MS)  # type: ignore
    return program.main()


def _tell_held(number: int, frame: Any) -> None:
    gc.collect()
    print(f"held {tracemalloc.get_traced_memory()[0]}", file=sys.stderr, flush=True)


def _turns() -> None:
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


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
