"""Zones at 230 edges in simulated time: service over the bound, nearness, returning nodes, switches.

    python benchmarks/zones.py [--seeds 20] [--processes 4] [--keep FILE] [--write]

`--keep` keeps each run's figures in a file and plays only what is not in it yet.
`--write` writes benchmarks/results/zones.md.  Everything but the microseconds is of the seeds alone.
"""

import argparse
import gc
import json
import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from cressrock.failover.routing import Route, ZoneRouter  # noqa: E402
from cressrock.interface import Outcome  # noqa: E402
from cressrock.lab.zonesim import ZoneSim, scenes  # noqa: E402

BESIDE = ("lost", "lost, hung", "half", "flapping", "one bad network")
HEAVY = 0.75


def play(job):
    name, seed, policy, load = job
    gc.disable()  # no cycles to speak of: it only costs time
    scene = scenes()[name]
    sim = ZoneSim(seed, policy=policy, load=load)
    sim.run(scene)
    second = int(scene.window[0] // 1000)
    served = [a / max(1, min(b, c)) for a, b, c in zip(sim.served, sim.asked, sim.bound, strict=True)]
    away = [at for at, verdict in sim.decrees if any(e.state in (1, 5) for e in verdict.zones)]
    return {
        "service": sim.service(*scene.window),
        "least": min(served[second : int(scene.window[1] // 1000)], default=1.0),
        "first": sim.service(10000, 15000),
        "near": sim.nearness(1000, 10000 if scene.events else 40000),
        "over": max(site.over for site in sim.sites.values()),
        "switches": sim.switches,
        "losses": scene.losses,
        "full": sum(site.full for site in sim.sites.values()) / max(1, sum(sim.asked)),
        "decreed": (away[0] - 10000) / 1000 if away else None,
        "decrees": len(sim.decrees),
        "tells": sim.tells / len(sim.edges) / (scene.length_ms / 1000),
    }


def row(name, found):
    def most(key):
        return max(f[key] for f in found)

    def mid(key):
        return statistics.median(f[key] for f in found)

    decreed = [f["decreed"] for f in found if f["decreed"] is not None]
    return (
        f"| {name} | {mid('service'):.3f} | {min(f['service'] for f in found):.3f} | "
        f"{min(f['least'] for f in found):.3f} | {mid('first'):.3f} | {min(f['near'] for f in found):.4f} | "
        f"{most('over'):.2f} | {min(f['switches'] for f in found)} to {most('switches')} "
        f"of {most('losses')} | {most('full'):.4f} | "
        f"{f'{statistics.median(decreed):.1f}' if decreed else '-'} | {most('tells'):.2f} |"
    )


HEAD = (
    "| scene | service | least seed | least second | first 5 s | calm, near | returning | switches | "
    "overload | decreed | tells |\n" + "| --- " * 11 + "|"
)


def cost():
    """Microseconds of a read and of an attempt's end, in calm."""
    sim = ZoneSim(1)
    choice = ZoneRouter(
        "a1", {z: f.region for z, f in sim.settings.zones.items()}, sim.settings, 0.0, random.Random(1)
    )
    best = [1e9, 1e9]
    for turn in range(5):
        begin = time.perf_counter()
        for n in range(20000):
            assert isinstance(choice.route(["a1", "a2", "b1"], 1.0, False, (turn * 20000 + n) / 10), Route)
        between = time.perf_counter()
        for n in range(20000):
            choice.record_attempt("a1", 1.0, Outcome.OK, (turn * 20000 + n) / 10, 5.0)
        end = time.perf_counter()
        best = [min(best[0], (between - begin) / 0.02), min(best[1], (end - between) / 0.02)]
    return best


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--beside", type=int, default=20, help="seeds of the tables beside")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--keep", type=Path)
    parser.add_argument("--write", action="store_true")
    given = parser.parse_args()
    jobs = [(name, seed, "decided", 0.6) for name in scenes() for seed in range(1, given.seeds + 1)]
    jobs += [("lost", seed, "decided", HEAVY) for seed in range(1, given.seeds + 1)]
    jobs += [
        (name, seed, policy, load)
        for name, load in [*((n, 0.6) for n in BESIDE), ("lost", HEAVY)]
        for policy in ("none", "at once")
        for seed in range(1, given.beside + 1)
    ]
    kept = {}
    if given.keep is not None and given.keep.exists():
        lines = map(json.loads, given.keep.read_text().splitlines())
        kept = {tuple(job): found for job, found in lines}
    # Seed by seed over all scenes: where it is stopped, whole seeds are kept.
    open_jobs = sorted((job for job in jobs if job not in kept), key=lambda job: job[1])
    with ProcessPoolExecutor(given.processes) as pool:
        for job, found in zip(open_jobs, pool.map(play, open_jobs, chunksize=1), strict=True):
            kept[job] = found
            if given.keep is not None:
                with given.keep.open("a") as file:
                    file.write(json.dumps([job, found]) + "\n")
    groups = {}
    for job in jobs:
        groups.setdefault((job[2], job[3], job[0]), []).append(kept[job])

    def table(policy, load):
        rows = [row(n, found) for (p, l, n), found in groups.items() if p == policy and l == load]  # noqa: E741
        return "\n".join([HEAD, *rows])

    read, ended = cost()
    text = f"""# Zones at 230 edges

`python benchmarks/zones.py --seeds {given.seeds} --beside {given.beside}`. Seeds 1 to {given.seeds}, of the
tables beside 1 to {given.beside}; 230 edges in 3 zones of 2
regions, each zone bears 600 units a second, clients ask for 0.6 of all that (1,080 reads a second; a tenth
with a reserve, a tenth of volumes with copies in one region alone); simulated (`cressrock/lab/zonesim.py`:
the real evidence, verdicts and choices; spread, council and nodes modelled as its docstring says).

*service*: answers over the bound, which is what clients asked or all that is up bears, whichever is less, in
the scene's window (after a loss: from 5 s after it until the zone is back), median of the seeds; *least
seed*; *least second* of any seed; *first 5 s* after the trouble's begin; *calm, near*: answers from the
nearest zone with a copy before it, least seed; *returning*: most that nodes which came up cold were asked in
any second, over what they surely bear then (above 1 is too much), greatest of all seeds; *switches*: zones
given up or split by decree, of how many losses; *overload*: reads refused by nodes, of all; *decreed*:
seconds from the trouble to the first such decree, median; *tells*: entries put into the spread, by each
edge, a second.

## Decided in common

{table("decided", 0.6)}

Clients ask for {HEAVY} (more than what is left bears):

{table("decided", HEAVY)}

## No spill

{table("none", 0.6)}

At {HEAVY}:

{table("none", HEAVY)}

## At once, each for itself

Three failures in a row: elsewhere, whatever that bears; after a second all of it comes back.

{table("at once", 0.6)}

At {HEAVY}:

{table("at once", HEAVY)}

## Cost

A read's choice in calm {read:.1f} microseconds, an attempt's end {ended:.1f} (best of five of 20,000, on a
machine shared with other work).
"""
    print(text)
    if given.write:
        (Path(__file__).parent / "results" / "zones.md").write_text(text)


if __name__ == "__main__":
    main()
