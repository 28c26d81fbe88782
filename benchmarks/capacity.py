"""What the coming size costs between processes: hollow processes at several sizes, and the slopes.

    python benchmarks/capacity.py [--only members.calm,spread] [--rest] [--workers 2]
    python benchmarks/capacity.py --page

Without `--page` the scenes that `--only` names (by the beginning of a row; else all) are played and each
figure is appended to benchmarks/results/capacity.jsonl.  Then, and with `--page` at once, the tables of
benchmarks/results/capacity.md and docs/CAPACITY.md are made anew from all benchmarks/results/capacity*.jsonl.
Figures are of a seed alone but for processor time, which is the least of what was asked for on a machine
that is shared.
"""

import argparse
import gc
import multiprocessing
import subprocess
import sys
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from cressrock.lab import capacity, capacity_page, hollow_scenes, hollow_turns  # noqa: E402
from cressrock.lab.fleetsim import FleetSim  # noqa: E402
from cressrock.lab.hollow import Size  # noqa: E402
from cressrock.lab.hollow_scenes import ZONES  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results"
RAW = RESULTS / "capacity.jsonl"
SMALL = (64, 128, 230, 512)
SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Job:
    """One scene at one size and seed; `row` is what its figures' names begin with."""

    row: str
    scene: str
    n: int
    seed: int
    play: str
    role: str = "edge"


def jobs():
    """Return all jobs, in the order in which they are played."""
    found = []

    def scene(row, told, play, seeds, ones=(), role="edge"):
        found.extend(Job(row, told, n, seed, play, role) for n in seeds for seed in SEEDS)
        found.extend(Job(row, told, n, 1, play, role) for n in ones)

    # What is quick and what is asked for first comes first: a run that is cut short keeps what it has.
    sizes = (64, 230, 512, 1024, 2048, 4806)
    few = (32, 64, 128)
    scene("turn", "one turn", "turns", sizes)
    scene("whole", "joining", "state", sizes)
    scene("memory", "held", "memory", sizes)
    scene("members.calm", "calm", "members_calm", (*SMALL, 1024), (2048, 4806))
    scene("spread.quiet", "nothing written", "spread_quiet", SMALL, (1024,))
    scene("spread.evidence", "anybody accuses a zone", "spread_evidence", SMALL[:3], (512,))
    scene("members.rack", "40 lost at once", "rack", SMALL[2:], (1024,))
    scene("members.day", "a day's restarts in five minutes", "members_restarts", SMALL[:3], (512, 1024))
    scene("members.zone", "a sixth lost at once, and back", "zone", SMALL[:3], (512, 1024))
    scene("spread.changes", "63 decrees a minute", "spread_changes", few, (230, 512))
    scene("spread.beats", "eight decrees renewed", "spread_beats", SMALL[:3], (512,))
    scene("agree.evidence", "anybody accuses a zone", "agree_evidence", (64,), (230,))
    scene("spread.primaries", "11 decrees as a zone is lost", "spread_primaries", few, (230,))
    scene("members.regions", "regions apart, and together", "members_regions", few, (230,))
    scene("agree.fleetsim", "calm", "agree_fleetsim", (230,), (1024,))
    scene("agree.calm", "calm", "agree_calm", (230,), (1024,))
    scene("agree.quiet", "nothing written", "agree_quiet", (230,), (1024,))
    scene("spread.evidence", "anybody accuses a zone", "spread_evidence", (), (1024, 2048))
    scene("members.rack", "40 lost at once", "rack", (), (2048, 4806))
    scene("members.day", "a day's restarts in five minutes", "members_restarts", (), (2048, 4806))
    scene("spread.quiet", "nothing written", "spread_quiet", (), (2048, 4806))
    scene("members.zone", "a sixth lost at once, and back", "zone", (), (2048,))
    scene("members.regions", "regions apart, and together", "members_regions", (), (512, 1024))
    scene("spread.primaries", "11 decrees as a zone is lost", "spread_primaries", (), (512, 1024))
    scene("spread.changes", "63 decrees a minute", "spread_changes", (), (1024,))
    scene("spread.evidence_large", "anybody accuses a zone", "evidence_large", (), (4806,))
    scene("members.zone_large", "a sixth lost at once", "zone_large", (), (4806,))
    return found


def memory(n, seed):
    """Megabytes that one process holds for `n`, by the interpreter's own count."""
    found = {}
    makers = {
        "members": lambda: hollow_turns.members_of(n, seed)[0],
        "spread": lambda: hollow_turns.spread_of(n),
        "zones_evidence": lambda: hollow_turns.heard_of(n),
        "rollout_evidence": lambda: hollow_turns.counts_of(n),
    }
    for name, make in makers.items():
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        held = make()
        gc.collect()
        found[name] = ((tracemalloc.get_traced_memory()[0] - before) / 1e6, "MB")
        tracemalloc.stop()
        del held
    return found


def ratios(play, n, seed, **given):
    """Unshared state machines over shared ones: 1 where both agree."""
    figures = {}
    for share in (True, False):
        figures[share] = play(Size(n, seed, share=share, **given), time.process_time)
        gc.collect()
    return {
        name: ((figures[False][name][0] / value if value else 1.0), "real / hollow")
        for name, (value, _) in figures[True].items()
        if name in ("sent_bytes_s", "messages_s", "cpu", "lag_rounds_p99", "decree_ms_p99")
    }


def fleetsim(n, seed):
    """The simulation of members that stood before, over hollow ones with names of the same length."""
    sim = FleetSim(seed, loss=0.01)
    hosts = sim.fleet(n)
    sim.run(3000)
    before = [(host.bytes, host.datagrams) for host in hosts]
    begun = time.process_time()
    sim.run(13_000)
    cpu = 100 * (time.process_time() - begun) / n / 10
    sent = sum(host.datagrams - start[1] for host, start in zip(hosts, before, strict=True)) / n / 10
    hollow = hollow_scenes.members_calm(Size(n, seed, spread=False), time.process_time)
    return {
        "messages_s": (sent / hollow["messages_s"][0], "real / hollow"),
        "cpu": (cpu / hollow["cpu"][0], "real / hollow"),
    }


def figures_of(job):
    size = Size(job.n, job.seed, spread=job.play.startswith(("spread", "evidence")))
    clock = time.process_time
    match job.play:
        case "turns":
            return hollow_turns.turns(job.n, job.seed, clock)
        case "state":
            return hollow_turns.state(job.n, job.seed)
        case "memory":
            return memory(job.n, job.seed)
        case "rack":
            return hollow_scenes.members_lost(size, clock, min(40, job.n // ZONES))
        case "zone":
            back = job.seed == 1 and job.n <= 1024
            return hollow_scenes.members_lost(size, clock, job.n // ZONES, back=back)
        case "zone_large":
            return hollow_scenes.members_lost(size, clock, job.n // ZONES, warm_ms=1000)
        case "evidence_large":
            return hollow_scenes.spread_evidence(size, clock, warm_ms=8000, span_ms=3000, decrees=4)
        case "agree_calm":
            return ratios(hollow_scenes.members_calm, job.n, job.seed, spread=False)
        case "agree_quiet":
            return ratios(hollow_scenes.spread_quiet, job.n, job.seed)
        case "agree_evidence":
            return ratios(hollow_scenes.spread_evidence, job.n, job.seed)
        case "agree_fleetsim":
            return fleetsim(job.n, job.seed)
    return getattr(hollow_scenes, job.play)(size, clock)


def play(job):
    gc.disable()  # of what is simulated: no cycles to speak of, and 4,800 processes' heap to go through
    begun = time.perf_counter()
    found = figures_of(job)
    return job, found, time.perf_counter() - begun


def commit():
    """Return the commit that is measured; with a + where its code was changed since."""
    told = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True
    )
    changed = subprocess.run(
        ["git", "diff", "--quiet", "HEAD", "--", "cressrock", "benchmarks/capacity.py"], cwd=ROOT, check=False
    )
    return told.stdout.strip() + "+" * bool(changed.returncode)


def measured(job, found, seconds, at):
    """Return a job's figures as measurements; what is infinite never came and is left out."""
    # A scene that is too large for its whole length has rows with the same names: they are the same figures.
    row = job.row.removesuffix("_large")
    return [
        capacity.Measurement(
            row=f"{row}.{name}",
            n=job.n,
            seed=job.seed,
            value=value,
            unit=unit,
            role=job.role,
            scene=job.scene.removesuffix(", and back") if job.row == "members.zone" else job.scene,
            at_commit=at,
            command=f"python benchmarks/capacity.py --only {job.row}",
            seconds=round(seconds, 1),
        )
        for name, (value, unit) in found.items()
        if value != float("inf")
    ]


def read_all():
    """Return the measurements of all raw files; each file by itself says where a line is wrong."""
    found = []
    for path in sorted(RESULTS.glob("capacity*.jsonl")):
        found += read(path)
    return found


def read(path):
    """Return a raw file's measurements; none of a file that is not there."""
    return capacity.read(path.read_text().splitlines(), path.name) if path.exists() else []


def write_pages():
    held = read_all()
    (RESULTS / "capacity.md").write_text(capacity_page.results(held))
    page = ROOT / "docs" / "CAPACITY.md"
    page.write_text(capacity_page.page(held, page.read_text()))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", help="beginnings of rows, with commas between")
    parser.add_argument("--sizes", help="these sizes alone, with commas between")
    parser.add_argument("--seeds", help="these seeds alone, with commas between")
    parser.add_argument("--rest", action="store_true", help="only what the raw file does not have yet")
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--page", action="store_true", help="play nothing; write the pages")
    args = parser.parse_args()
    if not args.page:
        wanted = args.only.split(",") if args.only else [""]
        sizes = {int(size) for size in args.sizes.split(",")} if args.sizes else None
        seeds = {int(seed) for seed in args.seeds.split(",")} if args.seeds else set(SEEDS)
        there = {(".".join(one.row.split(".")[:2]), one.n, one.seed) for one in read(RAW)}
        there |= {(row.split(".")[0], n, seed) for row, n, seed in there}
        todo = [
            job
            for job in jobs()
            if any(job.row.startswith(one) or one.startswith(job.row + ".") for one in wanted)
            and (sizes is None or job.n in sizes)
            and job.seed in seeds
            and (not args.rest or (job.row.removesuffix("_large"), job.n, job.seed) not in there)
        ]
        todo = list(dict.fromkeys(todo))
        if not todo:
            parser.error(f"--only {args.only}: no row begins so; rows are {sorted({j.row for j in jobs()})}")
        at = commit()
        # A process for each job: what a simulation of thousands held is given back whole.
        with multiprocessing.Pool(args.workers, maxtasksperchild=1) as pool:
            for job, found, seconds in pool.imap_unordered(play, todo):
                with RAW.open("a") as file:
                    file.writelines(capacity.line(m) + "\n" for m in measured(job, found, seconds, at))
                print(f"{job.row} n={job.n} seed={job.seed}: {seconds:.1f} s", flush=True)
    write_pages()


if __name__ == "__main__":
    main()
