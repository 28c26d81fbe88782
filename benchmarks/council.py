"""The council explored and under faults: `python benchmarks/council.py [--explore-s 64] [--seeds 20]`.

Writes benchmarks/results/council.md.  The explorer's scenarios are given so many seconds each, some at
a time; the table says what was seen and whether that was all within the bounds.  Counts and verdicts of the
simulated part depend on seeds alone.
"""

import argparse
import multiprocessing
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cressrock.lab.councilsim import Plan, simulate  # noqa: E402
from cressrock.lab.explored import BROKEN, LARGE, QUICK  # noqa: E402
from cressrock.lab.explorer import Explorer  # noqa: E402

OUT = Path(__file__).resolve().parent / "results" / "council.md"


def explore(job):
    scenario, seconds = job
    end = time.monotonic() + seconds
    found = Explorer(scenario, traces=False).run(stop=lambda: time.monotonic() > end)
    return scenario, found


def broken(job):
    kind, _, scenario = job
    return Explorer(replace(scenario, make=kind, name=kind.__name__)).run(most_states=200_000)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def bounds_of(scenario):
    told = [f"{len(scenario.seats)} seats"]
    for name in scenario.bounds.__dataclass_fields__:
        value = getattr(scenario.bounds, name)
        if value:
            told.append(f"{name} {len(value) if isinstance(value, tuple) else value}")
    return ", ".join(told + (["after a prefix"] if scenario.prefix else []))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--explore-s", type=float, default=64.0)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--faults", type=int, default=200)
    parser.add_argument("--processes", type=int, default=3)
    args = parser.parse_args()
    lines = [
        "# The council: explored, and under faults",
        "",
        f"`python benchmarks/council.py --explore-s {args.explore_s:g} --seeds {args.seeds} "
        f"--faults {args.faults} --processes {args.processes}`",
        "",
        "## Every order of messages, crashes and writes, to a bound",
        "",
        "Columns: states seen, steps between them, different steps of single seats, depth, states cut off by",
        "the bound of the wire, longest committed log, whether all states within the bounds were seen, and",
        "the invariant broken. How far a scenario comes in its time depends on the machine; a verdict does",
        "not.",
        "",
        "| scenario | states | steps | seats' steps | depth | cut | committed | all | broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    told, states, steps, bad = [], 0, 0, 0
    with multiprocessing.Pool(args.processes) as pool:
        jobs = [(scenario, args.explore_s) for scenario in (*LARGE, *QUICK)]
        for scenario, found in pool.imap(explore, jobs, chunksize=1):
            lines.append(found.row())
            print(lines[-1], flush=True)
            told.append(f"- {scenario.name}: {bounds_of(scenario)}")
            states, steps = states + found.states, steps + found.steps
            bad += found.violation is not None
        lines += ["", f"Together {states} states, {steps} steps; scenarios with an invariant broken: {bad}."]
        lines += ["", "Bounds:", "", *told]
        lines += [
            "",
            "Seats broken on purpose (`cressrock/lab/explored.py`):",
            "",
            "| seat | states | steps | seats' steps | depth | cut | committed | all | found |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        lines += [found.row() for found in pool.imap(broken, BROKEN, chunksize=1)]
        lines += [
            "",
            "## Under faults",
            "",
            f"Seeds 1 to {args.seeds}, {args.faults} faults each, 1.5 election periods apart on average,",
            "each of 0.2 to 6; clocks up to 10 % too fast or slow; messages through the codec; 4 clients on",
            "3 registers.",
            "Led: share of the time with a running leader; served: share of election periods with a client's",
            "answer; back: from the healing of everything to a new answer, in election periods.",
            "",
            "| seed | seats | leaders | entries | operations | open | led | served | back | verdict |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        plans = [
            Plan(seed=seed, seats=seats, faults=args.faults)
            for seats in (3, 5)
            for seed in range(1, args.seeds + 1)
        ]
        faults, total = Counter(), Counter()
        led, served = {3: [], 5: []}, {3: [], 5: []}
        for result in pool.imap(simulate, plans, chunksize=1):
            plan = result.plan
            faults += result.faults
            total += Counter(operations=result.operations, entries=result.committed)
            total["broken"] += bool(result.broken)
            led[plan.seats].append(result.led_share)
            served[plan.seats].append(result.served_share)
            lines.append(
                f"| {plan.seed} | {plan.seats} | {result.leaders} | {result.committed} | {result.operations} "
                f"| {result.unanswered} | {result.led_share:.3f} | {result.served_share:.3f} "
                f"| {result.recovery_ms / plan.timing.election_ms:.2f} | {result.broken[:80] or 'kept'} |"
            )
            print(lines[-1], flush=True)
        lines += [
            "",
            f"Together {total['operations']} operations, {total['entries']} entries, "
            f"{sum(faults.values())} faults; runs broken: {total['broken']}.",
        ]
        for seats in (3, 5):
            lines.append(
                f"Mean of {seats} seats: led {sum(led[seats]) / len(led[seats]):.3f}, "
                f"served {sum(served[seats]) / len(served[seats]):.3f}."
            )
        by_kind = ", ".join(f"{kind} {count}" for kind, count in sorted(faults.items()))
        lines += ["", f"Faults: {by_kind}."]
        lines += [
            "",
            "## In calm, and after a leader's death",
            "",
            "Seeds 1 to 5, 60 s simulated in calm; then seeds 1 to 5 with 40 deaths of the leader each, one",
            "at a time. Times in election periods (300 ms; network 2 ms and disk 1 ms on average,",
            "exponential).",
            "",
            "| seats | led in calm | decided, p50 | p99 | no leader after a death, p50 | p99 | worst |",
            "| --- | --- | --- | --- | --- | --- | --- |",
        ]
        for seats in (3, 5):
            plans = [Plan(seed=seed, seats=seats, faults=0, calm_ms=60_000) for seed in range(1, 6)]
            calm = pool.map(simulate, plans)
            death = {"faults": 40, "kinds": ("crash the leader",), "rest": 8.0, "lasts": (0.5, 3.0)}
            deaths = pool.map(simulate, [Plan(seed=seed, seats=seats, **death) for seed in range(1, 6)])
            assert not any(result.broken for result in (*calm, *deaths))
            election = calm[0].plan.timing.election_ms
            decided = [one / election for result in calm for one in result.decide_ms]
            gaps = [one / election for result in deaths for one in result.gaps_ms]
            lines.append(
                f"| {seats} | {sum(result.led_share for result in calm) / len(calm):.4f} "
                f"| {percentile(decided, 0.5):.3f} | {percentile(decided, 0.99):.3f} "
                f"| {percentile(gaps, 0.5):.2f} | {percentile(gaps, 0.99):.2f} | {max(gaps):.2f} |"
            )
            print(lines[-1], flush=True)
    OUT.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
