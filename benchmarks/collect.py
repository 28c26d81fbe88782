"""Evidence by collectors at the size that is coming: hollow processes in simulated time.

    python benchmarks/collect.py [--sizes 230,1024,2048,4800] [--seeds 1,2,3] [--scenes calm,zone,...]
                                 [--processes 2] [--write] [--day]

`--write` appends one JSON line for each measurement to benchmarks/results/capacity-collect.jsonl, in the
format of cressrock/lab/capacity.py.  `--day` plays a day of 230 edges the old way and the new and compares
what was decreed, and when.  Bytes are payloads of datagrams, without the headers of IP and UDP.
"""

import argparse
import random
import subprocess
import sys
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from cressrock.aggregation.collector import ReportCollector  # noqa: E402
from cressrock.aggregation.members import MemberInfo  # noqa: E402
from cressrock.aggregation.messages import Report, ReportEntry, decode, encode  # noqa: E402
from cressrock.aggregation.ranking import rank_collectors  # noqa: E402
from cressrock.aggregation.sender import ReportSender  # noqa: E402
from cressrock.aggregation.timings import AggregationTimings  # noqa: E402
from cressrock.failover.reports import ZoneReport, encode_reports  # noqa: E402
from cressrock.failover.settings import FailoverSettings, ZoneSettings  # noqa: E402
from cressrock.failover.summarizer import ReportSummarizer  # noqa: E402
from cressrock.lab import capacity  # noqa: E402
from cressrock.lab.collectsim import SIX, CollectSim, Descent, figures, part, turns  # noqa: E402
from cressrock.lab.zonesim import LOOK_MS, ZoneSim, scenes  # noqa: E402
from cressrock.lab.zonesim import Scene as Played  # noqa: E402

RAW = ROOT / "benchmarks" / "results" / "capacity-collect.jsonl"
READS = 2.5  # a second of each edge's clients
LOST = "a1"
UNITS = {  # figure -> (row, unit, role)
    "sent_bytes_s": ("sent_bytes_s", "B/s", "edge"),
    "sent_bytes_s_p99": ("sent_bytes_s_p99", "B/s", "edge"),
    "both_bytes_s": ("sent_and_received_bytes_s", "B/s", "edge"),
    "datagrams_s": ("datagrams_s", "datagrams/s", "edge"),
    "process_core": ("core", "core", "edge"),
    "collector_sent_bytes_s": ("collector_sent_bytes_s", "B/s", "collector"),
    "collector_received_bytes_s": ("collector_received_bytes_s", "B/s", "collector"),
    "collector_datagrams_s": ("collector_datagrams_s", "datagrams/s", "collector"),
    "leader_received_bytes_s": ("leader_received_bytes_s", "B/s", "council seat"),
    "zone_core": ("zone_core", "core", "collector"),
    "verdict_core": ("verdict_core", "core", "council seat"),
    "at_verdict_ms_p99": ("at_verdict_ms_p99", "ms", "council seat"),
    "in_force_ms_p99": ("in_force_ms_p99", "ms", "edge"),
    "given_up_ms": ("given_up_ms", "ms", "council seat"),
    "sound_given_up": ("sound_given_up", "zones", "council seat"),
}


def owners(sim):
    """Return the first and the second collector of the zone that is lost."""
    return [name for name, _ in rank_collectors(LOST, sim.collectors)][:2]


def do(*steps):
    """Return a scene's event that takes these steps: each gets the simulation."""
    return lambda sim: [step(sim) for step in steps]


def lose(sim):
    sim.lose(LOST)


def back(sim):
    sim.back(LOST)


def setting(name, value):
    return lambda sim: setattr(sim, name, value)


def few(sim):
    """Kill two of six machines: the collector of the zone that is lost, and another."""
    for name in owners(sim):
        sim.kill(name)


def again(sim):
    """Start whatever machine is dead."""
    for name, machine in list(sim.machines.items()):
        if not machine.up:
            sim.start(name)


def others(sim):
    """Kill both who would collect the zone, one after the other is found silent."""
    first, second = owners(sim)
    sim.kill(first)
    sim.after(1500.0, sim.kill, second)


# name -> (events, length in ms, when the zone is lost or None)
SCENES = {
    "calm": ((), 20000.0, None),
    "zone": (((8000.0, do(lose)),), 18000.0, 8000.0),
    "zone_and_edges": (((8000.0, lambda sim: sim.lose(LOST, edges=True)),), 20000.0, 8000.0),
    "zone_and_collector": (
        ((8000.0, do(lose, lambda sim: sim.kill(owners(sim)[0]))),),
        20000.0,
        8000.0,
    ),
    "zone_and_collectors": (((8000.0, do(lose, others)),), 20000.0, 8000.0),
    "zone_and_collector_stopped": (
        ((8000.0, do(lose, lambda sim: sim.stop(owners(sim)[0], 5000.0))),),
        20000.0,
        8000.0,
    ),
    "six_to_four": (((6000.0, do(few)), (8000.0, do(lose))), 18000.0, 8000.0),
    "collector_back": (
        ((8000.0, lambda sim: sim.kill(owners(sim)[0])), (16000.0, again)),
        26000.0,
        None,
    ),
    "regions_apart": (
        ((8000.0, setting("apart", True)), (23000.0, do(lose)), (40000.0, setting("apart", False))),
        50000.0,
        23000.0,
    ),
    "zone_and_back": (((8000.0, do(lose)), (23000.0, do(back))), 55000.0, 8000.0),
}


def way(size):
    """Return rounds of a decree's way down, once for each size."""
    return Descent(size, 1).play(warm=30, calm=1)


def play(job, rounds):
    name, size, seed = job
    events, length, lost_at = SCENES[name]
    began = time.process_time()
    capacity_ = size * READS / (0.6 * len(SIX))
    sim = CollectSim(
        seed,
        edges=size,
        capacity=capacity_,
        places=SIX,
        rounds=rounds,
        cpu=lambda: time.thread_time() * 1000,
    )
    sim.run(Played(name, events, length, int(lost_at is not None)))
    found = figures(sim, length / 1000, lost_at, LOST)
    if name == "regions_apart":
        del found["at_verdict_ms_p99"]  # of the other region nothing comes: no figure of this kind
    return job, found, time.process_time() - began


def descend(job):
    _, size, seed = job
    began = time.process_time()
    one = Descent(size, seed)
    rounds = one.play()
    found = {
        "decree_way_ms_p99": 200 * part(rounds, 0.99),
        "decree_way_ms_max": 200 * max(rounds),
        "decrees_sent_bytes_s": one.sent_bytes_s,
    }
    return job, found, time.process_time() - began


def remember(job):
    """Measure what a collector of one zone of so many edges, and a teller, hold in memory."""
    _, size, seed = job
    began = time.process_time()
    of = FailoverSettings(zones={n: ZoneSettings(region=r, capacity=1e6) for n, r in SIX.items()}, edges=size)
    peers = [MemberInfo(f"edge-{n:05d}", 1, LOST, True, True, True, False) for n in range(size)]
    said = [ZoneReport(zone, 1, 9, 0, 0, 0, 10.5, 10.5, 9) for zone in SIX]
    (value,) = encode_reports(7, said)
    tracemalloc.start()
    one = ReportCollector(("m0", 1), AggregationTimings(), ReportSummarizer(of), 0.0)
    one.update_members([*peers, MemberInfo("m0", 1, LOST, True, True, False, True)], ["m0"])
    for peer in peers:
        data = encode(Report(1, [ReportEntry("zones/0", 1, value)]))
        one.receive(1.0, peer.name, 1, decode(data))
    one.tick(300.0)
    collector = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    before = tracemalloc.get_traced_memory()[0]
    tellers = [ReportSender(LOST, AggregationTimings(), random.Random(n), 0.0) for n in range(100)]
    for teller in tellers:
        teller.update_collectors([(f"m{n}", 1) for n in range(6)])
        teller.put("zones/0", bytes(value) + b"", 0.0)
        teller.tick(1000.0)
    each = (tracemalloc.get_traced_memory()[0] - before) / len(tellers)
    tracemalloc.stop()
    return job, {"collector_bytes": float(collector), "teller_bytes": each}, time.process_time() - began


UNITS |= {
    "collector_bytes": ("collector_bytes", "B", "collector"),
    "teller_bytes": ("teller_bytes", "B", "edge"),
    "decree_way_ms_p99": ("way_ms_p99", "ms", "edge"),
    "decree_way_ms_max": ("way_ms_max", "ms", "edge"),
    "decrees_sent_bytes_s": ("sent_bytes_s", "B/s", "edge"),
}


OTHERS = {"descent": descend, "memory": remember}


def day(seeds):
    """Compare what was decreed in a day of 230 edges, the old way and the new."""
    scene = scenes()["a day"]
    for seed in seeds:
        both = []
        for sim in (ZoneSim(seed), CollectSim(seed)):
            sim.clients = random.Random(f"{seed} clients")  # the same reads at the same edges in both
            sim.run(scene)
            both.append(turns(sim))
            print(f"seed {seed} {type(sim).__name__}: service {sim.service(*scene.window):.3f}")
            for at, entries in both[-1]:
                print(
                    f"  {at / 1000:8.2f} s  "
                    + (
                        ", ".join(f"{z} {s.name if hasattr(s, 'name') else s} {p}" for z, s, p, _ in entries)
                        or "all near"
                    )
                )
        old, new = both
        same = [e for _, e in old] == [e for _, e in new]
        later = [b - a for (a, _), (b, _) in zip(old, new, strict=False)] if same else []
        print(
            f"seed {seed}: same decrees in the same order: {same}; new - old, ms: "
            f"{[round(x) for x in later]}; beyond a beat later: {sum(x > 500 for x in later)}"
        )


def main():
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    asked.add_argument("--sizes", default="230,1024,2048,4800")
    asked.add_argument("--seeds", default="1,2,3")
    asked.add_argument("--scenes", default=",".join([*OTHERS, *SCENES]))
    asked.add_argument("--processes", type=int, default=2)
    asked.add_argument("--write", action="store_true")
    asked.add_argument("--day", action="store_true")
    given = asked.parse_args()
    seeds = [int(s) for s in given.seeds.split(",")]
    if given.day:
        day(seeds)
        return
    git = ["git", "-C", str(ROOT)]
    commit = subprocess.run([*git, "describe", "--always"], capture_output=True, text=True, check=True)
    changed = subprocess.run([*git, "diff", "--quiet", "HEAD", "--", "cressrock", "benchmarks/collect.py"])
    commit = commit.stdout.strip() + "-dirty" * bool(changed.returncode)
    jobs = [
        (scene, int(size), seed)
        for size in given.sizes.split(",")
        for scene in given.scenes.split(",")
        for seed in seeds
    ]
    with ProcessPoolExecutor(given.processes) as pool:
        large = {size for scene, size, _ in jobs if size > 230 and scene not in OTHERS}
        ways = dict(zip(sorted(large), pool.map(way, sorted(large)), strict=True))
        runs = [
            pool.submit(OTHERS[job[0]], job) if job[0] in OTHERS else pool.submit(play, job, ways.get(job[1]))
            for job in jobs
        ]
        for run in runs:
            (scene, size, seed), found, seconds = run.result()
            command = f"python benchmarks/collect.py --sizes {size} --seeds {seed} --scenes {scene}"
            lines = []
            for key, value in found.items():
                if key not in UNITS or value is None:
                    continue
                row, unit, role = UNITS[key]
                lines.append(
                    capacity.line(
                        capacity.Measurement(
                            row=f"collect.{scene}.{row}",
                            n=size,
                            seed=seed,
                            value=round(value, 4),
                            unit=unit,
                            role=role,
                            scene=scene,
                            at_commit=commit,
                            command=command,
                            seconds=round(seconds, 1),
                        )
                    )
                )
            shown = {k: round(v, 4) if v is not None else None for k, v in found.items()}
            print(scene, size, seed, f"{seconds:.0f} s", shown, flush=True)
            if given.write:
                with RAW.open("a") as raw:
                    raw.write("".join(one + "\n" for one in lines))


assert LOOK_MS <= 250.0  # the verdicts' delay is measured with the leader's usual look

if __name__ == "__main__":
    main()
