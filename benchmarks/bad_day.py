"""The bad day over many seeds, in simulated time, judged from the sockets: a table for benchmarks/results.

python benchmarks/bad_day.py --dispatchers 50 --nodes 9 --rate 90 --seeds 20
"""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from cressrock.lab.bound import bound
from cressrock.lab.day import Script, play
from cressrock.lab.judge import RULES, judge
from cressrock.lab.service import serve
from cressrock.programs.composition import Components

sys.path.insert(0, str(Path(__file__).parent))
from sites import other  # noqa: E402

FIGURES = ("requests", "served", "refused", "failed", "left", "attempts")


def one(script, brain):
    result = play(script, parts=Components(decisions=partial(other, brain)) if brain else Components())
    found, best, service = judge(result.trace), bound(result.trace), serve(result.trace)
    return script.seed, found, result.fences, best, len(service.idle)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--dispatchers", type=int, default=3)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--planners", type=int, default=0)
    parser.add_argument("--brain", help="a file with another decision module")
    parser.add_argument("--jobs", type=int, default=8)
    options = parser.parse_args()
    scripts = [
        Script(
            seed=seed,
            dispatchers=options.dispatchers,
            nodes=options.nodes,
            rate=options.rate,
            planners=options.planners,
        )
        for seed in range(1, options.seeds + 1)
    ]
    print(
        f"{options.dispatchers} dispatchers, {options.planners} planners, {options.nodes} nodes, "
        f"{options.rate:g} requests a second before surges, 60 s simulated, seeds 1 to {options.seeds}\n"
    )
    names = ["seed", *FIGURES, "cold, of bound", "of the best", "idle", "rules broken", "fences"]
    print("| " + " | ".join(names) + " |\n|" + " --- |" * len(names))
    broken, looked, earned, possible, beside = 0, dict.fromkeys(RULES, 0), 0.0, 0.0, 0
    with ProcessPoolExecutor(options.jobs) as pool:
        for seed, found, fences, best, idle in pool.map(partial(one, brain=options.brain), scripts):
            earned, possible, beside = earned + best.earned, possible + best.best, beside + idle
            f = found.figures
            rules = sorted({b.rule for b in found.breaches})
            broken += bool(rules) + bool(fences)
            for rule, count in found.looked_at.items():
                looked[rule] += count
            cells = [
                f"{f[name]:.0f}" for name in ("requests", "served", "refused", "failed", "left", "attempts")
            ]
            text = ", ".join(map(str, rules)) or "none"
            row = [
                str(seed),
                *cells,
                f"{f['cold_worst_use']:.2f}",
                f"{best.share:.3f}",
                str(idle),
                text,
                str(sum(fences.values())),
            ]
            print(f"| {' | '.join(row)} |")
    print(f"\nOver all seeds {earned / possible:.3f} of the best possible, {beside} idle refusals.")
    print("Looked at, over all seeds: " + ", ".join(f"rule {r}: {n}" for r, n in looked.items()) + ".")
    raise SystemExit(bool(broken))


if __name__ == "__main__":
    main()
