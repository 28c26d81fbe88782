"""The council's figures: writes of a store, decisions of three processes, deaths of leaders, drawn faults.

    python benchmarks/council_processes.py [--seeds 1 2] [--faults 10] > RESULTS

Three replicas are processes on loopback with relays between each pair
(tests/consensus/test_replica_processes.py).
"""

import argparse
import asyncio
import platform
import resource
import sqlite3
import statistics
import sys
import tempfile
import time
from pathlib import Path

import anyio

sys.path.insert(0, str(Path(__file__).parent.parent))

from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState
from cressrock.consensus.store import ReplicaStore
from cressrock.errors import consensus as e
from tests.consensus import test_replica_processes as p

SEATS = p.NAMES


def spread(values):
    values = sorted(values)
    return f"{statistics.median(values):.1f} | {values[int(len(values) * 0.99)]:.1f} | {values[-1]:.1f}"


def store_writes(folder, count):
    """One write of each kind in turn: a shared disk is fast and slow by turns, and all meet the same."""
    print(f"## One transaction of a store (ms), {count} of each in turn, an entry of 200 bytes\n")
    print("| journal, synchronous | quarter | median | 99th | worst |\n| --- | --- | --- | --- | --- |")
    store = ReplicaStore(folder / "seat", cluster="c", replica="p1")
    made = {}
    for journal, level in (("PERSIST", "FULL"), ("TRUNCATE", "FULL"), ("DELETE", "EXTRA"), ("WAL", "FULL")):
        db = sqlite3.connect(folder / journal, isolation_level=None)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute(f"PRAGMA journal_mode={journal}")
        db.execute(f"PRAGMA synchronous={level}")
        db.execute("CREATE TABLE log(place INTEGER PRIMARY KEY, value BLOB)")
        made[f"bare SQLite, {journal}, {level}"] = (db, [])
    ours = []
    for index in range(1, count + 1):
        began = time.perf_counter()
        store.write(HardState(1, "", index - 1, 1), None, (LogEntry(1, index, "command", bytes(200)),))
        ours.append((time.perf_counter() - began) * 1000)
        for db, took in made.values():
            began = time.perf_counter()
            db.execute("BEGIN")
            db.execute("INSERT INTO log VALUES(?, ?)", (index, bytes(200)))
            db.execute("COMMIT")
            took.append((time.perf_counter() - began) * 1000)
    store.close()
    shown = {"the store (PERSIST, FULL, checksums)": ours} | {name: took for name, (_, took) in made.items()}
    for name, took in shown.items():
        print(f"| {name} | {sorted(took)[count // 4]:.1f} | {spread(took)} |")
    for db, _ in made.values():
        db.close()
    print()


def cpu(process):
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def decisions(folder, count, deaths):
    it = p.Drill(folder, 1)
    await it.begin(("client",))
    try:
        async with anyio.create_task_group() as tasks:
            council = it.client(tasks, "client")
            await council.decide("warm", b"", 60000)
            took, reads = [], []
            for number in range(count):
                began = time.perf_counter()
                await council.decide("t", b"%d" % number, 60000)
                took.append((time.perf_counter() - began) * 1000)
                began = time.perf_counter()
                await council.read("t")
                reads.append((time.perf_counter() - began) * 1000)
            print(f"## Decisions of three processes on loopback (ms), {count} of each, one after another\n")
            print("| what | median | 99th | worst |\n| --- | --- | --- | --- |")
            print(f"| decide | {spread(took)} |\n| read by read index | {spread(reads)} |\n")

            async def many(label):
                for number in range(count // 4):
                    await council.decide(f"m{label}", b"%d" % number, 60000)

            began = time.perf_counter()
            async with anyio.create_task_group() as group:
                for label in range(32):
                    group.start_soon(many, label)
            rate = 32 * (count // 4) / (time.perf_counter() - began)
            print(f"32 at once: {rate:.0f} decisions a second.\n")
            before = {name: cpu(process) for name, process in it.processes.items()}
            await asyncio.sleep(10)
            used = {name: (cpu(process) - before[name]) * 10 for name, process in it.processes.items()}
            shown = ", ".join(f"{value:.1f} %" for value in used.values())
            print(f"Calm, heartbeats of 50 ms and renewals of 200 ms: {shown} of a core a seat (10 s).\n")
            lost = []
            for _ in range(deaths):
                name = await it.leader(council)
                began = time.perf_counter()
                await it.kill(name)
                while True:
                    try:
                        await council.decide("t", b"x", 60000)
                        break
                    except e.NoQuorumError:
                        pass
                lost.append((time.perf_counter() - began) * 1000)
                await it.start(name)
            print(f"## From a leader's SIGKILL to the next decision (ms), {deaths} deaths\n")
            print("Elections of 300 ms; the client gives a seat 400 ms to answer.\n")
            print(f"| median | 99th | worst |\n| --- | --- | --- |\n| {spread(lost)} |\n")
            tasks.cancel_scope.cancel()
    finally:
        await it.end()


def drills(seeds, faults):
    print(f"## Drawn faults, {faults} for each seed: leader killed, stopped, mute, deaf; all at once\n")
    print("| seed | acknowledged | reads | terms with a leader | history |\n| --- | --- | --- | --- | --- |")
    kinds = [p.killed, p.stopped, p.mute, p.deaf, p.all_at_once]
    for seed in seeds:
        source = p.random.Random(seed)
        drawn = [source.choice(kinds) for _ in range(faults)]
        with tempfile.TemporaryDirectory() as folder:
            try:
                history, leads = anyio.run(p.drill, Path(folder), seed, drawn)
                figures = f"{len(history.acknowledged)} | {len(history.reads)} | {len(leads)} | right"
            except AssertionError as wrong:
                figures = f"| | | WRONG: {wrong}"
        print(f"| {seed} | {figures} |", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--faults", type=int, default=10)
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--deaths", type=int, default=20)
    given = parser.parse_args()
    print("# The council\n")
    command = " ".join(["benchmarks/council_processes.py", *sys.argv[1:]])
    print(f"`python {command}` on a shared machine ({platform.machine()}, other work beside it).\n")
    with tempfile.TemporaryDirectory() as folder:
        store_writes(Path(folder), given.count)
        anyio.run(decisions, Path(folder), given.count, given.deaths)
    drills(given.seeds, given.faults)
    peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss // 1024
    print(f"\nPeak memory of a seat's process: {peak} MB.")


if __name__ == "__main__":
    main()
