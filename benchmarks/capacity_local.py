"""What one process pays by size, inside and over real sockets: a line of raw figures for each measurement.

    python benchmarks/capacity_local.py [--only lists requests ...] [--seeds 1 2 3] [--out FILE]

Rows are appended to `benchmarks/results/capacity-local.jsonl`; of one row, size and seed the last run counts.
Sizes over sockets take what the system gives; a group that is not run leaves no line.
"""

import argparse
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from cressrock.lab import capacity
from cressrock.lab import localcost as lc
from cressrock.lab import localcost_fleet as fleet
from cressrock.lab import localcost_lists as lists
from cressrock.lab import localcost_requests as requests
from cressrock.lab import localcost_sockets as sockets
from cressrock.lab import localcost_state as state

HERE = Path(__file__).parent
SERVERS = (500, 1000, 2500, 5000, 10000)
WAITING = (1, 64, 256, 1024, 1667)
VOLUMES = (100, 1000, 2700, 10000)
OPEN = (64, 256, 1024, 1770, 4000)
KEYS = (1000, 10000, 50000, 106200)
EDGES = (50, 200, 400, 800)
DECREES = (64, 256, 1024, 4096, 10000)
ENTRIES = (64, 512, 2048, 9100)
# Of real processes: an edge takes 45 MB that it shares with nobody, and 4 GB are there for them.
REAL = (20, 40, 61, 85)
CONNECTIONS = (100, 500, 1000, 2000, 2700)

# group: (probe, what n counts, role, scene, sizes)
GROUPS = {
    "lists": [(lists.list_probe, "servers", lc.DISPATCHER, "birth", SERVERS)],
    "edge_lists": [(lists.edge_list_probe, "servers", lc.EDGE, "calm", SERVERS)],
    "discovery": [
        (sockets.measured(sockets.discovery_calm), "servers", lc.DISPATCHER, "calm", SERVERS[::2] + (5000,))
    ],
    "requests": [
        (requests.servers_probe, "servers", lc.DISPATCHER, "calm", SERVERS),
        (requests.volumes_probe, "volumes", lc.DISPATCHER, "calm", VOLUMES),
        (requests.volume_bytes, "volumes", lc.DISPATCHER, "calm", VOLUMES),
        (requests.one_server_probe, "waiting requests", lc.DISPATCHER, "jam", WAITING),
        (requests.servers_waiting_probe, "waiting servers", lc.DISPATCHER, "jam", WAITING),
    ],
    "state": [
        (state.ledger_probe, "waiting requests", lc.DISPATCHER, "calm", OPEN),
        (state.keys_probe, "keys", lc.EDGE, "calm", KEYS),
        (state.lending_probe, "volumes", lc.EDGE, "calm", VOLUMES),
        (state.grants_probe, "edges of a planner", lc.PLANNER, "calm", EDGES),
        (state.seat_probe, "decrees", lc.SEAT, "calm", DECREES),
        (state.reader_probe, "decrees", lc.EDGE, "calm", DECREES),
        (state.log_probe, "log entries", lc.SEAT, "calm", ENTRIES),
        (state.room_probe, "connections", lc.EDGE, "calm", CONNECTIONS),
    ],
    "pool": [(requests.pool_probe, "connections", lc.DISPATCHER, "busy", CONNECTIONS)],
    "turns": [(sockets.measured(sockets.list_turns), "servers", lc.DISPATCHER, "birth", SERVERS)],
    "connections": [
        (sockets.measured(sockets.platform_connections), "connections", lc.DISPATCHER, "calm", CONNECTIONS),
    ],
    "edge_connections": [
        (sockets.measured(sockets.edge_connections), "connections", lc.EDGE, "calm", CONNECTIONS)
    ],
    "served": [(sockets.measured(sockets.requests_served), "servers", lc.DISPATCHER, "calm", SERVERS)],
    "crowded": [(sockets.measured(sockets.requests_crowded), "servers", lc.DISPATCHER, "calm", SERVERS)],
    "hanging": [(sockets.measured(sockets.requests_hanging), "servers", lc.DISPATCHER, "calm", SERVERS)],
    "real": [(fleet.calm_probe, "dispatchers", lc.EDGE, "calm", REAL)],
    "hollow": [(fleet.hollow_probe, "dispatchers", lc.EDGE, "calm", REAL)],
    "real_relays": [(fleet.relays_probe, "dispatchers", lc.EDGE, "calm", REAL[:1])],
    "real_zones": [(fleet.zones_probe, "dispatchers", lc.EDGE, "calm", REAL)],
    "calls": [(sockets.measured(sockets.system_calls), "servers", lc.DISPATCHER, "calm", SERVERS)],
}


def commit():
    """Return the commit that is measured, marked where files of the program differ from it."""
    head = subprocess.run(
        ["git", "-C", str(HERE), "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True
    ).stdout.strip()
    changed = subprocess.run(
        ["git", "-C", str(HERE.parent), "status", "--porcelain", "--untracked-files=no", "cressrock"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    return head + ("+" if changed else "")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", nargs="*", choices=[*GROUPS], default=[*GROUPS])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--sizes", type=int, nargs="*", help="in place of each probe's own")
    parser.add_argument("--out", default=str(HERE / "results" / "capacity-local.jsonl"))
    given = parser.parse_args()
    at = commit()
    with open(given.out, "a") as file:
        for group in given.only:
            for probe, of, role, scene, sizes in GROUPS[group]:
                for n in given.sizes or sizes:
                    for seed in given.seeds:
                        began, found = time.monotonic(), []
                        try:
                            for figure in probe(n, seed):
                                found.append((figure, time.monotonic() - began))
                                began = time.monotonic()
                        except RuntimeError as wrong:  # what a probe says where it could not measure
                            print(f"{group} {probe.__name__} n={n} seed={seed}: not measured: {wrong}")
                            continue
                        for figure, seconds in found:
                            line = capacity.line(
                                capacity.Measurement(
                                    row=figure.row,
                                    n=n,
                                    seed=seed,
                                    value=round(figure.value, 6),
                                    unit=figure.unit,
                                    role=figure.role or role,
                                    scene=figure.scene or scene,
                                    at_commit=at,
                                    command=f"python benchmarks/capacity_local.py --only {group}",
                                    seconds=round(seconds, 2),
                                    of=of,
                                )
                            )
                            file.write(line + "\n")
                        file.flush()
                        print(f"{group} {probe.__name__} n={n} seed={seed}", flush=True)


if __name__ == "__main__":
    main()
