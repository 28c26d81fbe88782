"""A drill: edges and planners as processes on loopback; planners are killed and stopped at drawn moments.

    python benchmarks/kill_planner.py [--deaths 30] [--seed 1] [--planners 1] [--edges 2] [--logs FOLDER]

Each death is a SIGKILL and a new start, or a SIGSTOP and, later, a SIGCONT (see docs/drill.md).  Exit code 1
if a rule was broken, a fence tripped, a process ended by itself or logged a defect, or a step never came.
"""

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cressrock.lab.day import Script
from cressrock.lab.drill import Drill, rehearse
from cressrock.lab.judge import windows
from cressrock.lab.steps import Kill, Stop, draw

COLUMNS = ("requests", "served", "refused", "failed")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deaths", type=int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--planners", type=int, default=1)
    parser.add_argument("--edges", type=int, default=2)
    parser.add_argument("--logs", default=None)
    options = parser.parse_args()
    script = Script(
        seed=options.seed,
        dispatchers=options.edges,
        nodes=4,
        planners=options.planners,
        rate=options.rate,
        length_ms=options.deaths * 2600.0 + 6000,
        real=True,
        way_ms=60.0,
    )
    planners = [f"p{i}" for i in range(options.planners)]
    steps = draw(options.seed, planners, (), options.deaths, troubles=("kill", "stop"))
    drill = Drill(script, steps, logs=options.logs)
    report = rehearse(drill)
    f, actions = report.found.figures, [step.action for step in steps]
    print(
        f"{options.edges} edges, {options.planners} planners, 4 nodes, {options.rate:g} requests a second, "
        f"seed {options.seed}\n"
    )
    print(
        f"- deaths: {sum(isinstance(a, Kill) for a in actions)} killed, "
        f"{sum(isinstance(a, Stop) for a in actions)} stopped; "
        f"{sum('Go(' in what or 'Restart(' in what for _, what in report.marks)} came back"
    )
    print(f"- no planner for {report.figures['absent_ms'] / 1000:.1f} s of {report.length_ms / 1000:.0f} s")
    print(f"- {f['requests']:.0f} requests, {f['answered']:.0f} answered, {f['attempts']:.0f} attempts")
    print(f"- {f['served']:.0f} served, {f['refused']:.0f} refused, {f['failed']:.0f} failed")
    print(
        f"- measured of the machine: longest pause {report.figures['worst_pause_ms']:.0f} ms, "
        f"all together {report.figures['paused_ms'] / 1000:.1f} s"
    )
    rules = sorted({b.rule for b in report.found.breaches}) or "none"
    print(f"- rules broken: {rules}; fences {report.figures['fences']:.0f}; findings {len(report.findings)}")
    for text in [*map(str, report.found.breaches[:5]), *report.findings]:
        print(f"  - {text}")
    table = windows(report.result.trace, 1000.0)
    absent = {int(line["from_s"]): away(report.absent, line["from_s"] * 1000) for line in table}
    print("\n| seconds | count | requests | served | refused | failed | served of requests |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    kinds = (
        ("with a planner all along", lambda part: part == 0),
        ("without one for a part", lambda part: 0 < part < 1),
        ("without one all along", lambda part: part >= 1),
    )
    for name, belongs in kinds:
        lines = [line for line in table if belongs(absent[int(line["from_s"])])]
        sums = [sum(line[c] for line in lines) for c in COLUMNS]
        share = sums[1] / sums[0] if sums[0] else 0.0
        print(f"| {name} | {len(lines)} | {' | '.join(f'{n:.0f}' for n in sums)} | {share:.3f} |")
    print("\n| second | requests | served | refused | failed | part without a planner |")
    print("| --- | --- | --- | --- | --- | --- |")
    for line in table:
        cells = [f"{line[name]:.0f}" for name in ("from_s", *COLUMNS)]
        print(f"| {' | '.join(cells)} | {absent[int(line['from_s'])]:.2f} |")
    raise SystemExit(not report.well)


def away(absent, begin):
    """Return which part of the second from `begin` had no planner."""
    return sum(max(0.0, min(to, begin + 1000) - max(at, begin)) for at, to in absent) / 1000


if __name__ == "__main__":
    main()
