"""Plays a storage server whose answers come twice; prints the foreign values served per copy.

python benchmarks/second_answers.py --copy-ms 12 15 25 --plays 5 --root .
"""

import argparse
import asyncio
import sys
from pathlib import Path

from cressrock.lab.second_answers import SecondAnswerDrill, SecondAnswerPlay


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--copy-ms", type=float, nargs="+", default=[12.0, 15.0, 25.0])
    parser.add_argument("--trouble-s", type=float, default=0.1)
    parser.add_argument("--pause-ms", type=float, default=10.0, help="of a client between its reads")
    parser.add_argument("--work-ms", type=float, nargs=2, default=(30.0, 30.0), help="at least, at most")
    parser.add_argument("--plays", type=int, default=5)
    parser.add_argument("--root", type=Path, default=Path(), help="the checkout that is played")
    options = parser.parse_args()
    command = [sys.executable, "-m", "cressrock", "platform"]
    for copy_ms in options.copy_ms:
        for seed in range(1, options.plays + 1):
            play = SecondAnswerPlay(
                copy_ms, options.trouble_s, options.pause_ms, tuple(options.work_ms), seed
            )
            result = asyncio.run(SecondAnswerDrill(play, command, options.root.resolve()).run())
            print(
                f"copies {copy_ms:g} ms late, seed {seed}: {result.copies} copies, "
                f"{result.foreign} foreign of {result.served} served, "
                f"{result.unserved} not served, {result.connections} connections",
                flush=True,
            )


if __name__ == "__main__":
    main()
