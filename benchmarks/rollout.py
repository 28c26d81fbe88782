"""Rollouts at size, simulated: harmless ones with faults beside them, a rise found, holds; and what it costs.

    python benchmarks/rollout.py [--seeds 500] [--workers 2] [--only harmless,...] [--raw FILE]

Each run is one seed of one scenario over the room's pure parts (`cressrock/lab/rolloutsim.py`).
"""

import argparse
import json
import multiprocessing
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from cressrock.lab import rolloutsim as r  # noqa: E402
from cressrock.rollout import evidence  # noqa: E402
from cressrock.rollout.counts import LocalCounts  # noqa: E402
from cressrock.rollout.evidence import CountsEntry, OutcomeCounts, RequestOutcome  # noqa: E402
from cressrock.rollout.plan import Thresholds  # noqa: E402
from cressrock.rollout.selection import eligible_stage  # noqa: E402
from cressrock.rollout.verdict import accusations_from_counts, local_accusation  # noqa: E402

LONG = r.course(least_s=1800)  # stays in the 5 % stage for half an hour
ONE = (0.01, 0.002, 0.002, 0.02, 0.08)
CALM = r.Shape(faults=False)


def played(fleet, seed, most_s=3600):
    found = fleet.play(most_s, check=seed % 25 == 0)
    return {
        "state": found.state,
        "why": found.why,
        "s": found.seconds,
        "trials": found.trials,
        "backs": found.backs,
        "faults": len(found.faults),
    }


def harmless(seed):
    """Odds of bad answers of 0.9 to 1.05 of the good version's, another for each kind; faults beside it."""
    draw = random.Random(seed)
    worse = {kind: draw.uniform(0.9, 1.05) for kind in range(5)}
    return played(r.Fleet(r.Shape(), r.course(), seed, worse=worse), seed)


def same(seed):
    """No difference at all, and nothing tolerated: the error level by itself."""
    return played(r.Fleet(r.Shape(), r.course(Thresholds(tolerated_odds_ratio=1.0)), seed), seed)


def without_the_coin(seed):
    """No difference at all, but a volume keeps its version for the stage, as if its hash alone chose."""
    return played(r.Fleet(r.Shape(), r.course(), seed, coin=False), seed)


def rise(seed):
    """Refusals from 1 % to 3 % under the candidate, in the 5 % stage, in calm."""
    return played(r.Fleet(CALM, LONG, seed, worse={r.REFUSED: 3.0625}, base=ONE), seed, 1700)


def rise_beside_faults(seed):
    """The same, faults beside it."""
    return played(r.Fleet(r.Shape(), LONG, seed, worse={r.REFUSED: 3.0625}, base=ONE), seed, 1700)


def rise_slow(seed):
    """Answers beyond half of the aim from 8 % to 12 %, in calm."""
    return played(r.Fleet(CALM, LONG, seed, worse={r.SLOW: 1.57}), seed, 1700)


def one_sick_by_it(seed):
    """One process of 230 fails half of what it decides by the candidate: it alone goes back."""
    return played(r.Fleet(r.Shape(), r.course(), seed, sick_by_it=1), seed)


def five_sick_by_it(seed):
    """Five do: two reports halt."""
    return played(r.Fleet(r.Shape(), r.course(), seed, sick_by_it=5), seed)


def hold(seed):
    """Choices of a halted candidate, by own reads."""
    found = r.hold_run(seed)
    return {"after_ms": found.after_ms, "chosen": found.chosen, "cut": found.cut}


def hold_by_word_alone(seed):
    """The same where what is told is believed."""
    found = r.hold_run(seed, reads=False)
    return {"after_ms": found.after_ms, "chosen": found.chosen, "cut": found.cut}


RUNS = {
    harmless: 1.0,
    same: 0.4,
    without_the_coin: 0.1,
    rise: 0.4,
    rise_beside_faults: 0.4,
    rise_slow: 0.1,
    one_sick_by_it: 0.1,
    five_sick_by_it: 0.1,
    hold: 0.2,
    hold_by_word_alone: 0.06,
}


def work(job):
    name, seed = job
    return name, seed, next(run for run in RUNS if run.__name__ == name)(seed)


def percentile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))] if values else float("nan")


SHARES = "p5 | p50 | p90 | p99 | most"


def spread(values):
    return " | ".join(f"{percentile(values, p):,.0f}" for p in (0.05, 0.5, 0.9, 0.99, 1.0))


def tables(found):
    print("\n| rollouts | runs | done | halted | of them by answers | by processes that went back |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name in ("harmless", "same", "without_the_coin", "one_sick_by_it", "five_sick_by_it"):
        rows = found.get(name, {}).values()
        if rows:
            halted = [x for x in rows if x["state"] == "halted"]
            backs = sum("went back" in x["why"] for x in halted)
            done = sum(x["state"] == "done" for x in rows)
            print(f"| {name} | {len(rows)} | {done} | {len(halted)} | {len(halted) - backs} | {backs} |")
    print(f"\n| requests in the stage, both versions, until halted | runs | halted | {SHARES} |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in ("rise", "rise_beside_faults", "rise_slow"):
        rows = found.get(name, {}).values()
        if rows:
            halted = [x for x in rows if x["state"] == "halted"]
            print(f"| {name} | {len(rows)} | {len(halted)} | {spread([x['trials'] for x in halted])} |")
            print(f"| {name}, seconds | {len(rows)} | {len(halted)} | {spread([x['s'] for x in halted])} |")
    print(f"\n| last choice after the halting decree, hold 10,000 ms | runs | choices | {SHARES} |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in ("hold", "hold_by_word_alone"):
        rows = found.get(name, {}).values()
        if rows:
            chosen = sum(x["chosen"] for x in rows)
            print(f"| {name} | {len(rows)} | {chosen:,} | {spread([x['after_ms'] for x in rows])} |")


def costs():
    """Time the pure parts on this machine."""
    fleet = r.Fleet(CALM, r.course(), 1)
    for now in range(20):
        fleet._second(now)
    heard = fleet.heard(fleet.marks, fleet.trials)
    own = LocalCounts("00" * 12)
    state, plan = fleet.state, r.course()
    rows = [
        ("judge, 230 processes x 5 classes x 1 stage", 20, lambda: accusations_from_counts(heard, plan, 5)),
        ("far_worse, one process", 200, lambda: local_accusation(own, plan, 5)),
        ("count a trial", 20000, lambda: own.record(0, 0, True, RequestOutcome.SERVED, 10.0, 300.0)),
        ("eligible, 5 % of the volumes", 20000, lambda: eligible_stage(state, plan, "v17", "z0")),
        (
            "told, one class",
            2000,
            lambda: (own.record(0, 0, True, RequestOutcome.SERVED, 1.0, 3.0), own.drain_changes()),
        ),
    ]
    print("\n| pure part | us a call |")
    print("| --- | --- |")
    for name, count, call in rows:
        begin = time.perf_counter()
        for _ in range(count):
            call()
        print(f"| {name} | {(time.perf_counter() - begin) / count * 1e6:,.1f} |")
    tally = OutcomeCounts([10**6, 10**6], [[10**5, 10**5]] * 5)
    size = len(evidence.encode(CountsEntry(bytes(12), tally)))
    print(f"\nOne entry in the spread: {size} bytes at a million trials.")


def main():
    asked = argparse.ArgumentParser()
    asked.add_argument("--seeds", type=int, default=500)
    asked.add_argument("--workers", type=int, default=2)
    asked.add_argument("--only", default="")
    asked.add_argument("--raw", default="")
    given = asked.parse_args()
    wanted = given.only.split(",") if given.only else [run.__name__ for run in RUNS]
    jobs = [
        (run.__name__, seed)
        for run, part in RUNS.items()
        if run.__name__ in wanted
        for seed in range(1, max(1, round(given.seeds * part)) + 1)
    ]
    found = {}
    if given.raw and Path(given.raw).exists():  # go on with what was played before
        for line in Path(given.raw).read_text().splitlines():
            name, seed, row = json.loads(line)
            found.setdefault(name, {})[seed] = row
        jobs = [(name, seed) for name, seed in jobs if seed not in found.get(name, {})]
    with multiprocessing.Pool(given.workers) as pool:
        for name, seed, row in pool.imap_unordered(work, jobs, chunksize=4):
            found.setdefault(name, {})[seed] = row
            if given.raw:
                with open(given.raw, "a") as file:
                    file.write(json.dumps([name, seed, row]) + "\n")
    tables(found)
    costs()


if __name__ == "__main__":
    main()
