"""Crowds against one dispatcher process at several limits on memory, beside the same play at 1,024 MB.

python benchmarks/client_memory.py --limits 32 64 --connections 12 60 --requests reads --trouble none hang
"""

import argparse
import asyncio
import itertools
import sys
from pathlib import Path

from cressrock.lab.memory_drill import MemoryDrill, MemoryPlay, Requests, Trouble

REFERENCE_MB = 1024


async def play_all(plays, options):
    slots = asyncio.Semaphore(options.jobs)
    base = [sys.executable, __file__, "--one"]

    async def play_one(play):
        arguments = [play.memory_mb, play.connections, play.requests, play.trouble, play.batch]
        arguments += [play.hang_s, play.troubled_servers, play.seed, options.root]
        async with slots:
            process = await asyncio.create_subprocess_exec(
                *base, *map(str, arguments), stdout=asyncio.subprocess.PIPE
            )
            out, _ = await process.communicate()
        print(out.decode(), end="", flush=True)

    await asyncio.gather(*(play_one(play) for play in plays))


def one(arguments):
    """Play once in this process; print a line."""
    memory_mb, connections, requests, trouble, batch, hang_s, troubled, seed, root = arguments
    play = MemoryPlay(
        int(memory_mb),
        int(connections),
        Requests(requests),
        Trouble(trouble),
        int(batch),
        float(hang_s),
        int(troubled),
        int(seed),
    )
    root = Path(root).resolve()
    python = root / ".venv/bin/python"
    command = [str(python if python.exists() else sys.executable), "-m", "cressrock", "platform"]
    result = asyncio.run(MemoryDrill(play, command, root).run())
    parts = [f"{answers.served_fraction():.3f}" for answers in result.batches]
    print(
        f"{play.memory_mb:5} MB {play.connections:3} x {play.batch:3} {play.requests:6} {play.trouble:6} "
        f"hang={play.hang_s} servers={play.troubled_servers} seed={play.seed}  served {' '.join(parts)}  "
        f"quick {result.quick.served}/{result.quick.sent}  highest {result.highest_mb:.1f} MB  "
        f"{'; '.join(result.broken_rules()) or 'kept'}",
        flush=True,
    )


def main():
    if sys.argv[1:2] == ["--one"]:
        one(sys.argv[2:])
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limits", type=int, nargs="+", default=[32, 64, 96, 128, 192, REFERENCE_MB])
    parser.add_argument("--connections", type=int, nargs="+", default=[12, 18, 40, 60])
    parser.add_argument("--requests", nargs="+", default=list(Requests))
    parser.add_argument("--trouble", nargs="+", default=list(Trouble))
    parser.add_argument("--batch", type=int, default=64)
    parser.add_argument("--hang", type=float, nargs="+", default=[1.5])
    parser.add_argument("--servers", type=int, nargs="+", default=[1])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--root", default=".", help="the checkout that is played")
    options = parser.parse_args()
    kinds = itertools.product(
        options.requests, options.trouble, options.hang, options.servers, options.connections, options.limits
    )
    plays = [
        MemoryPlay(limit, connections, requests, trouble, options.batch, hang_s, servers, seed)
        for requests, trouble, hang_s, servers, connections, limit in kinds
        for seed in options.seeds
    ]
    asyncio.run(play_all(plays, options))


if __name__ == "__main__":
    main()
