"""Calm and overloaded days at every site: what is served, used and reached of the best possible.

    python benchmarks/sites.py --loads 0.15 0.45 0.8 --seeds 5 --seconds 6
    python benchmarks/sites.py --loads 1.6 3 --seeds 2 --brain FILE   # another module beside it

Simulated time: one seed gives one day.  A day is a site, a load of its busiest shard, and who decides:
3 or 50 hosts by themselves, or the edges of 1 or of 8 planners.
"""

import argparse
import importlib.util
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from cressrock.lab.bound import bound
from cressrock.lab.day import Script, play
from cressrock.lab.judge import judge
from cressrock.lab.service import Hindrance, serve
from cressrock.lab.site import load_site
from cressrock.programs.composition import Components
from cressrock.settings.types import interface_settings

WHO = {"3 hosts": (3, 0), "50 hosts": (50, 0), "1 planner": (3, 1), "8 planners": (8, 8)}


def other(path, settings, seed, now):
    spec = importlib.util.spec_from_file_location("other_brain", path)
    module = sys.modules.get("other_brain") or importlib.util.module_from_spec(spec)
    if "other_brain" not in sys.modules:
        sys.modules["other_brain"] = module
        spec.loader.exec_module(module)
    return module.Scheduler(interface_settings(settings), seed, now)


def one(job):
    site, load, who, seed, seconds, brain = job
    hosts, planners = WHO[who]
    parts = Components(decisions=partial(other, brain)) if brain else Components()
    script = Script(
        name="calm",
        seed=seed,
        dispatchers=hosts,
        planners=planners,
        load=load,
        length_ms=seconds * 1000,
        troubles=("none",),
        site=load_site(site),
    )
    result = play(script, parts=parts)
    found, best = serve(result.trace), bound(result.trace)
    total, why = found.total, found.why()
    return {
        "wishes": total.wishes,
        "in time": total.in_time,
        "late": total.late,
        "earned": best.earned,
        "best": best.best,
        "useful": max(found.useful.values()),
        "used": max(found.used.values()),
        "idle": why.get(Hindrance.IDLE, 0),
        "limit": why.get(Hindrance.LIMIT, 0),
        "breaches": len(judge(result.trace).breaches),
        "fences": sum(result.fences.values()),
    }


def main():
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--loads", type=float, nargs="+", default=[0.15, 0.45, 0.8])
    options.add_argument("--who", nargs="+", default=list(WHO), choices=list(WHO))
    options.add_argument("--sites", nargs="+")
    options.add_argument("--seeds", type=int, default=5)
    options.add_argument("--seconds", type=float, default=6.0)
    options.add_argument("--brain", help="a file with another decision module")
    given = options.parse_args()
    sites = given.sites or sorted(str(p) for p in Path("examples/sites").glob("*.jsonnet"))
    jobs = [
        (site, load, who, seed, given.seconds, given.brain)
        for load in given.loads
        for site in sites
        for who in given.who
        for seed in range(1, given.seeds + 1)
    ]
    print(
        "| load | site | who decides | wishes | served | in time | of the best "
        "| used (in time) | idle | limit |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    broken = 0
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        days = pool.map(one, jobs)
        for load in given.loads:
            for site in sites:
                for who in given.who:
                    rows = [next(days) for _ in range(given.seeds)]
                    add = {k: sum(row[k] for row in rows) for k in rows[0]}
                    broken += add["breaches"] + add["fences"]
                    n = add["wishes"]
                    print(
                        f"| {load:g} | {Path(site).stem} | {who} | {n} "
                        f"| {(add['in time'] + add['late']) / n:.3f} "
                        f"| {add['in time'] / n:.3f} | {add['earned'] / add['best']:.3f} "
                        f"| {add['used'] / len(rows):.2f} ({add['useful'] / len(rows):.2f}) "
                        f"| {add['idle']} | {add['limit']} |",
                        flush=True,
                    )
    print(f"\n{len(jobs)} days, {broken} broken rules or fences tripped.")


if __name__ == "__main__":
    main()
